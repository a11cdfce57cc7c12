// Prevents callbacks from running after the object that they refer to has been
// destroyed.
//
//   class Store {
//     Lifetime lifetime_;  // Declared last, so that it is destroyed first.
//     void Poll() {
//       table_.read(keys, lifetime_.Guard([this](auto rows) { ... }));
//     }
//   };
#ifndef BEAMHILL_BASE_LIFETIME_H_
#define BEAMHILL_BASE_LIFETIME_H_

#include <memory>
#include <utility>

namespace beamhill {

// Not thread-safe: the guarded callbacks must run on the thread that destroys
// this object.
class Lifetime {
 public:
  Lifetime() : alive_(std::make_shared<char>()) {}
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  // No callback returned by Guard runs any more, as after the destruction.
  void End() { alive_.reset(); }

  // Returns a callable of one argument that calls `callback` with it, or does
  // nothing if this object has been destroyed.
  template <typename F>
  auto Guard(F callback) const {
    return [alive = std::weak_ptr<char>(alive_),
            callback = std::move(callback)](auto answer) mutable {
      if (!alive.expired()) callback(std::move(answer));
    };
  }

 private:
  std::shared_ptr<char> alive_;
};

}  // namespace beamhill

#endif  // BEAMHILL_BASE_LIFETIME_H_
