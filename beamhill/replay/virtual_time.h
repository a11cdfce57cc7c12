// A queue of callbacks in virtual time, for replays that run thousands of
// seconds in one. Callbacks of one moment run in the order they were added.
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
  void After(Duration delay, std::function<void()> call) {
    calls_.emplace(std::pair(now_ + delay, next_++), std::move(call));
  }
  // Runs all that falls due up to `end`, which is the time afterwards.
  void RunUntil(TimePoint end) {
    while (!calls_.empty() && calls_.begin()->first.first <= end) {
      auto first = calls_.extract(calls_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = end;
  }

 private:
  TimePoint now_;
  uint64_t next_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> calls_;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_VIRTUAL_TIME_H_
