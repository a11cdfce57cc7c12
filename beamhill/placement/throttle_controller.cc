#include "beamhill/placement/throttle_controller.h"

namespace beamhill {
namespace {

constexpr double kSampleWeight = 0.3;
// Latency over target that starts a step, and under which it is taken back.
// The first is above what placement aims at, so that noise alone starts none.
constexpr double kBreach = 1.15;
constexpr double kCalm = 0.9;
constexpr Duration kBreachBeforeThrottle = std::chrono::seconds(2);
constexpr Duration kThrottleBeforeEvict = std::chrono::seconds(45);
constexpr Duration kCalmBeforeRelease = std::chrono::seconds(15);

}  // namespace

void ThrottleController::Smooth(Duration latency) {
  const double ms = ToMillis(latency);
  smoothed_ms_ =
      seen_ ? smoothed_ms_ + kSampleWeight * (ms - smoothed_ms_) : ms;
  seen_ = true;
}

ThrottleAction ThrottleController::Observe(Duration latency, Duration target,
                                           TimePoint now) {
  Smooth(latency);
  const double ratio = smoothed_ms_ / ToMillis(target);
  if (ratio > kBreach) {
    if (!above_) above_since_ = now;
    above_ = true;
    below_since_ = now;
    const Duration above = now - above_since_;
    if (!throttled_ && above >= kBreachBeforeThrottle) {
      throttled_ = true;
      last_step_ = now;
      return ThrottleAction::kThrottle;
    }
    if (throttled_ && now - last_step_ >= kThrottleBeforeEvict) {
      last_step_ = now;
      return ThrottleAction::kEvict;
    }
    return ThrottleAction::kNone;
  }
  above_ = false;
  if (ratio > kCalm) below_since_ = now;
  if (throttled_ && now - below_since_ >= kCalmBeforeRelease) {
    throttled_ = false;
    last_step_ = now;
    return ThrottleAction::kRelease;
  }
  return ThrottleAction::kNone;
}

}  // namespace beamhill
