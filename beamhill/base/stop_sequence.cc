#include "beamhill/base/stop_sequence.h"

namespace beamhill {

bool StopSequence::MayRefuseConnections(TimePoint now) const {
  return now - began_ >= options_.deregistration_delay;
}

bool StopSequence::MayExit(TimePoint now, size_t open_requests,
                           bool work_released) const {
  const Duration elapsed = now - began_;
  if (elapsed >= options_.grace - options_.exit_margin) return true;
  const bool idle = now - active_at_ >= options_.quiet_period;
  return work_released && open_requests == 0 && idle &&
         MayRefuseConnections(now);
}

}  // namespace beamhill
