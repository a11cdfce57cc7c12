// Tells from what fillers ask for, against what there is for them, how
// executors are to pace them.
//
// Answers two loads that want the opposite. While all fillers fit, holding them
// back at once keeps services calm and makes nobody late. Once they ask for
// more than there is, work that is held back comes on top of what arrives: its
// backlog grows all day, nearly all of it ends too late, and services bear the
// backlog too. Then fillers work at their whole pace, but for the rests that
// bound harm.
//
// Pure.
//
//   PacePolicySelector load;
//   load.Observe(asked_cores, free_cores);
//   if (load.policy() == PacePolicy::kGuarded) ...
#ifndef BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_
#define BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_

#include "beamhill/dispatch/pacing_messages.h"

namespace beamhill {

class PacePolicySelector {
 public:
  // What the tasks that fill ask for, running and waiting, and what the others
  // leave of the processors; in cores. To be called at even intervals.
  void Observe(double asked_cores, double free_cores);

  PacePolicy policy() const { return policy_; }
  // Asked over free, smoothed.
  double ratio() const { return ratio_; }

 private:
  double ratio_ = 0;
  PacePolicy policy_ = PacePolicy::kCautious;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PACE_POLICY_SELECTOR_H_
