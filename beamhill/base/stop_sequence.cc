#include "beamhill/base/stop_sequence.h"

namespace beamhill {

bool StopSequence::MayRefuseConnections(TimePoint now) const {
  return now - began_ >= options_.deregistration_delay;
}

bool StopSequence::MayExit(TimePoint now, size_t open_requests,
                           bool released) const {
  const Duration waited = now - began_;
  if (waited >= options_.grace - options_.exit_margin) return true;
  const bool quiet = now - active_at_ >= options_.quiet;
  return released && open_requests == 0 && quiet && MayRefuseConnections(now);
}

}  // namespace beamhill
