#include "beamhill/dispatch/best_effort_rank.h"

#include <algorithm>
#include <chrono>

namespace beamhill {
namespace {

// Width of the range of ranks of each Lateness. Exceeds the remaining work of
// any workflow in core-seconds, and any due time in seconds.
constexpr double kLatenessWidth = 1e9;
// Highest rank within such a range.
constexpr double kMaxRankInRange = kLatenessWidth - 1;

}  // namespace

double BestEffortRank(Lateness lateness, double remaining_work, TimePoint due) {
  const double due_seconds =
      std::chrono::duration<double>(due.time_since_epoch()).count();
  const double rank =
      lateness == Lateness::kTooLate ? due_seconds : remaining_work;
  return static_cast<int>(lateness) * kLatenessWidth +
         std::clamp(rank, 0.0, kMaxRankInRange);
}

}  // namespace beamhill
