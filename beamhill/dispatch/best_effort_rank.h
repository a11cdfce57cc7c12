// In which order filling work goes, and yields, under overload: one number, the
// lowest first, that the owner and the executors compare alike.
//
// The load that it answers: filling work asks for 1.2 to 5 times what services
// leave. Sharing alike, or first come first served, makes all of it late; least
// remaining work first has most of it in time. What can't be in time any more
// yields to what can; what comes too late in any case goes by age, so that the
// oldest gets on. Nothing starves: see the least shares in dispatch_fillers.cc
// and executor_pacing.cc.
//
//   double order = BestEffortRank(Lateness::kInTime, /*work=*/12.5, due);
#ifndef BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_
#define BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_

#include "beamhill/base/time.h"

namespace beamhill {

enum class Lateness : int {
  kInTime = 0,
  kLate = 1,     // After its objective, and still worth something.
  kTooLate = 2,  // Worth nothing to its caller any more.
};

// `work` is what is left of it, in core-seconds; `due` when its objective ends.
double BestEffortRank(Lateness lateness, double work, TimePoint due);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_
