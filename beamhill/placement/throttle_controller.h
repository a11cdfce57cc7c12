// When batch work on a VM yields to its service: throttle, then evict, then
// back, with hysteresis.
//
// Pure; one for each VM. It is fed the service's latency as it is reported
// and says what to do next. An eviction is asked for only after throttling
// has not helped for a while, and one at a time.
//
//   ThrottleController ladder;
//   switch (ladder.Observe(latency, target, now)) {
//     case ThrottleAction::kThrottle: ...
#ifndef BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_
#define BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_

#include <cstdint>

#include "beamhill/base/time.h"

namespace beamhill {

enum class ThrottleAction : uint8_t {
  kNone,
  kThrottle,  // Slow the batch tasks of the VM down.
  kEvict,     // Checkpoint and stop the most harmful one.
  kRelease,   // End the throttling.
};

class ThrottleController {
 public:
  ThrottleAction Observe(Duration latency, Duration target, TimePoint now);
  bool throttled() const { return throttled_; }

 private:
  void Smooth(Duration latency);

  double smoothed_ms_ = 0;
  bool seen_ = false;
  bool throttled_ = false;
  bool above_ = false;
  TimePoint above_since_{};
  TimePoint below_since_{};
  TimePoint last_step_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_
