// Decides when the batch work of a VM is throttled, evicted and released in
// favour of the VM's service, with hysteresis.
//
// Reads no clock and does no I/O; there is one for each VM. An eviction is
// requested only if throttling has not helped for some time, one at a time.
//
//   ThrottleController controller;
//   switch (controller.Observe(latency, target, now)) {
//     case ThrottleAction::kThrottle: ...
#ifndef BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_
#define BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_

#include <cstdint>

#include "beamhill/base/time.h"

namespace beamhill {

enum class ThrottleAction : uint8_t {
  kNone,
  kThrottle,  // Slow down the VM's batch tasks.
  kEvict,     // Checkpoint and stop the one that interferes most.
  kRelease,   // End the throttling.
};

// Follows the service's latency on one VM.
class ThrottleController {
 public:
  // Adds a reported latency and returns what to do next.
  ThrottleAction Observe(Duration latency, Duration target, TimePoint now);
  bool throttled() const { return throttled_; }

 private:
  void Smooth(Duration latency);

  double smoothed_ms_ = 0;
  bool has_sample_ = false;
  bool throttled_ = false;
  bool is_high_ = false;
  TimePoint high_since_{};
  TimePoint low_since_{};
  TimePoint last_action_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_THROTTLE_CONTROLLER_H_
