#include "beamhill/executor/pacer.h"

#include <algorithm>

namespace beamhill {
namespace {

// Tail over target above which fillers are cut, and below which they get
// more. The gap keeps the two from alternating.
constexpr double kCutAbove = 0.92;
constexpr double kGiveBelow = 0.78;
// A measurement covers half a second, so a change shows fully only then.
constexpr Duration kCutPause = std::chrono::milliseconds(400);
constexpr Duration kGivePause = std::chrono::milliseconds(500);
constexpr int kGiveStep = 12;
// Below this share a filler is stopped altogether.
constexpr int kLeastPercent = 8;

}  // namespace

int Pacer::Observe(const std::vector<TailSample>& samples, TimePoint now) {
  double worst = 0;
  for (const TailSample& sample : samples) {
    if (sample.target <= Duration(0)) continue;
    worst = std::max(worst, ToMillis(sample.tail) / ToMillis(sample.target));
  }
  if (worst > kCutAbove && now - changed_at_ >= kCutPause) {
    // Further over the target, a deeper cut.
    const double keep = worst > 1 ? 0.4 : 0.7;
    percent_ = static_cast<int>(percent_ * keep);
    if (percent_ < kLeastPercent) percent_ = 0;
    changed_at_ = now;
  } else if (worst < kGiveBelow && percent_ < 100 &&
             now - changed_at_ >= kGivePause) {
    percent_ = std::min(100, percent_ + kGiveStep);
    changed_at_ = now;
  }
  return percent_;
}

}  // namespace beamhill
