#include "beamhill/dispatch/best_effort_rank.h"

#include <algorithm>
#include <chrono>

namespace beamhill {
namespace {

// Above the work of any workflow in core-seconds, and above any time in
// seconds.
constexpr double kClassWidth = 1e9;
// Orders within a class stay below its end.
constexpr double kLast = kClassWidth - 1;

}  // namespace

double BestEffortRank(Lateness lateness, double work, TimePoint due) {
  const double age =
      std::chrono::duration<double>(due.time_since_epoch()).count();
  const double rank = lateness == Lateness::kTooLate ? age : work;
  return static_cast<int>(lateness) * kClassWidth +
         std::clamp(rank, 0.0, kLast);
}

}  // namespace beamhill
