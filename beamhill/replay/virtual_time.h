// VirtualTime: a simulated clock with a queue of timed callbacks, which lets a
// replay simulate thousands of seconds in one second.
//
// Callbacks due at the same time run in the order in which they were added.
//
//   VirtualTime time(start);
//   time.After(std::chrono::milliseconds(50), [] { ... });
//   time.RunUntil(start + std::chrono::seconds(60));
#ifndef BEAMHILL_REPLAY_VIRTUAL_TIME_H_
#define BEAMHILL_REPLAY_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "beamhill/base/time.h"

namespace beamhill {

class VirtualTime {
 public:
  explicit VirtualTime(TimePoint start) : now_(start) {}

  TimePoint now() const { return now_; }
  // Calls `callback` once, `delay` from now.
  void After(Duration delay, std::function<void()> callback) {
    events_.emplace(std::pair(now_ + delay, next_sequence_++),
                    std::move(callback));
  }
  // Runs all callbacks due up to and including `end`, also those added
  // meanwhile, and advances the clock to `end`.
  void RunUntil(TimePoint end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
      auto event = events_.extract(events_.begin());
      now_ = event.key().first;
      event.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_;
  uint64_t next_sequence_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events_;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_VIRTUAL_TIME_H_
