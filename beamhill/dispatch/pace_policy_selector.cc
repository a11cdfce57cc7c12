#include "beamhill/dispatch/pace_policy_selector.h"

#include <algorithm>

namespace beamhill {
namespace {

// Above this ratio of requested to free cores best-effort tasks run at full
// pace: as much work is waiting as is running.
constexpr double kGuardedAbove = 1.2;
// Below this ratio they are slowed down again. The gap prevents a single
// workflow with many tasks from switching the policy back and forth.
constexpr double kCautiousBelow = 0.7;
// Weight of the newest observation; there is one every half second. A single
// step with many tasks that start at once has no effect, while a backlog has
// one within a second.
constexpr double kSmoothing = 0.4;
// Lower bound of the divisor, so that a deployment without free cores counts as
// full.
constexpr double kMinFreeCores = 1;

}  // namespace

void PacePolicySelector::Observe(double requested_cores, double free_cores) {
  const double ratio = requested_cores / std::max(free_cores, kMinFreeCores);
  ratio_ += kSmoothing * (ratio - ratio_);
  if (ratio_ > kGuardedAbove) policy_ = PacePolicy::kGuarded;
  if (ratio_ < kCautiousBelow) policy_ = PacePolicy::kCautious;
}

}  // namespace beamhill
