#include "beamhill/placement/throttle_controller.h"

namespace beamhill {
namespace {

constexpr double kSmoothingFactor = 0.3;
// Smoothed latency over target above which an action is taken, and below which
// the throttling ends. The first is above the limit of placement, so that noise
// alone causes no action.
constexpr double kHighRatio = 1.15;
constexpr double kLowRatio = 0.9;
constexpr Duration kHighBeforeThrottle = std::chrono::seconds(2);
constexpr Duration kThrottleBeforeEvict = std::chrono::seconds(45);
constexpr Duration kLowBeforeRelease = std::chrono::seconds(15);

}  // namespace

void ThrottleController::Smooth(Duration latency) {
  const double ms = ToMillis(latency);
  smoothed_ms_ =
      has_sample_ ? smoothed_ms_ + kSmoothingFactor * (ms - smoothed_ms_) : ms;
  has_sample_ = true;
}

ThrottleAction ThrottleController::Observe(Duration latency, Duration target,
                                           TimePoint now) {
  Smooth(latency);
  const double ratio = smoothed_ms_ / ToMillis(target);
  if (ratio > kHighRatio) {
    if (!is_high_) high_since_ = now;
    is_high_ = true;
    low_since_ = now;
    const Duration high_for = now - high_since_;
    if (!throttled_ && high_for >= kHighBeforeThrottle) {
      throttled_ = true;
      last_action_ = now;
      return ThrottleAction::kThrottle;
    }
    if (throttled_ && now - last_action_ >= kThrottleBeforeEvict) {
      last_action_ = now;
      return ThrottleAction::kEvict;
    }
    return ThrottleAction::kNone;
  }
  is_high_ = false;
  if (ratio > kLowRatio) low_since_ = now;
  if (throttled_ && now - low_since_ >= kLowBeforeRelease) {
    throttled_ = false;
    last_action_ = now;
    return ThrottleAction::kRelease;
  }
  return ThrottleAction::kNone;
}

}  // namespace beamhill
