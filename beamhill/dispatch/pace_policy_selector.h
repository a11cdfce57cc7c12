// Selects the policy by which executors pace best-effort tasks, from the cores
// that these tasks request and the cores that are free for them.
//
// While the tasks fit, slowing them down at once protects the latency of
// serving tasks and makes no workflow late. When they request more than is
// free, work that is slowed down adds to the work that arrives: the backlog
// keeps growing, nearly all of it finishes too late, and serving tasks suffer
// from the backlog as well. Then best-effort tasks run at full pace, apart from
// the pauses that limit interference.
//
// Reads no clock and does no I/O.
//
//   PacePolicySelector selector;
//   selector.Observe(requested_cores, free_cores);
//   if (selector.policy() == PacePolicy::kGuarded) ...
#ifndef BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_
#define BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_

#include "beamhill/dispatch/pacing_messages.h"

namespace beamhill {

class PacePolicySelector {
 public:
  // Takes the cores that running and waiting best-effort tasks request, and the
  // cores that other tasks leave free. Must be called at regular intervals.
  void Observe(double requested_cores, double free_cores);

  PacePolicy policy() const { return policy_; }
  // Smoothed ratio of requested to free cores.
  double ratio() const { return ratio_; }

 private:
  double ratio_ = 0;
  PacePolicy policy_ = PacePolicy::kCautious;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_
