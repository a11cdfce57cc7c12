// Ranks best-effort work under overload. The owner starts, and executors pace,
// best-effort tasks in ascending order of rank: the one with the lowest rank
// goes first and is slowed down last.
//
// Best-effort work may request 1.2 to 5 times the processor time that serving
// tasks leave. Sharing it equally, or in order of arrival, would make all of
// the work late; least remaining work first finishes most of it in time. Work
// that can no longer be in time yields to work that can. Work that is too late
// to be of use goes by age, so that the oldest makes progress. Nothing starves:
// see the guaranteed runs in dispatch_best_effort.cc and the minimum pace in
// executor_pacing.cc.
//
//   double rank = BestEffortRank(Lateness::kInTime, remaining_work, due);
#ifndef BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_
#define BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_

#include "beamhill/base/time.h"

namespace beamhill {

// Whether work can still meet its objective.
enum class Lateness : int {
  kInTime = 0,
  kLate = 1,     // Misses its objective, but is still useful.
  kTooLate = 2,  // Of no more use to its caller.
};

// Returns the rank of work that needs `remaining_work` core-seconds and whose
// objective ends at `due`. Lower ranks go first.
double BestEffortRank(Lateness lateness, double remaining_work, TimePoint due);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_BEST_EFFORT_RANK_H_
