#include "beamhill/dispatch/pace_policy_selector.h"

#include <algorithm>

namespace beamhill {
namespace {

// Asked over free from which on fillers are no longer held back: what waits
// already is as much as works.
constexpr double kPressedAbove = 1.2;
// And below which they are again. The gap keeps one wide workflow from turning
// it back and forth.
constexpr double kCalmBelow = 0.7;
// Weight of the newest of the observations, each half a second: single wide
// steps that start at once don't count, bursts count within a second.
constexpr double kSmoothing = 0.4;
// So that a deployment without any room counts as full.
constexpr double kLeastFreeCores = 1;

}  // namespace

void PacePolicySelector::Observe(double asked_cores, double free_cores) {
  const double ratio = asked_cores / std::max(free_cores, kLeastFreeCores);
  ratio_ += kSmoothing * (ratio - ratio_);
  if (ratio_ > kPressedAbove) policy_ = PacePolicy::kGuarded;
  if (ratio_ < kCalmBelow) policy_ = PacePolicy::kCautious;
}

}  // namespace beamhill
