#include "beamhill/executor/pacer.h"

#include <algorithm>

namespace beamhill {
namespace {

// Ratio of tail to target above which paces are reduced, and below which they
// are increased. The gap prevents oscillation.
constexpr double kReduceAboveRatio = 0.9;
constexpr double kIncreaseBelowRatio = 0.8;
// Minimum time between changes. A measurement covers half a second, so the
// effect of a change is fully visible only after that.
constexpr Duration kReduceInterval = std::chrono::milliseconds(400);
constexpr Duration kIncreaseInterval = std::chrono::milliseconds(300);
constexpr int kStepPercent = 12;  // Of one increase.
// An image whose pace would fall below this is paused.
constexpr int kMinPacePercent = 8;
// An image that causes at least this fraction of the expected interference is
// one of its main sources.
constexpr double kMainSourceFraction = 0.2;
// Expected interference below this fraction of the target does not explain a
// high tail. The weights decide which paces are reduced for this long; after
// that all images are reduced but those known to be harmless.
constexpr double kExplainedFraction = 0.12;
constexpr Duration kTrustWeightsFor = std::chrono::milliseconds(900);
// An image is harmless if its interference at this share of a VM stays below
// kExplainedFraction.
constexpr double kTypicalShare = 0.2;
// Factors by which a pace is reduced while a tail is over or near its target.
constexpr double kOverTargetFactor = 0.35;
constexpr double kNearTargetFactor = 0.65;

// Returns the samples whose tails are near or over their targets.
std::vector<ServingSample> SamplesNearTarget(
    const std::vector<ServingSample>& serving) {
  std::vector<ServingSample> near;
  for (const ServingSample& sample : serving) {
    if (sample.ratio() > kReduceAboveRatio) near.push_back(sample);
  }
  return near;
}

}  // namespace

int Pacer::PacePercent(const std::string& image) const {
  // Images that appear during a pause are paused as well.
  if (guard_.paused()) return 0;
  const auto it = percents_.find(image);
  return it == percents_.end() ? kFullPacePercent : it->second;
}

double Pacer::WeightMillis(const std::string& serving,
                           const std::string& best_effort) const {
  const auto it = weights_.find({serving, best_effort});
  return it == weights_.end() ? 0 : std::max(0.0, ToMillis(it->second));
}

void Pacer::Observe(const std::vector<ServingSample>& serving,
                    const BestEffortShares& best_effort,
                    bool best_effort_active, TimePoint now) {
  const bool was_paused = guard_.paused();
  guard_.Observe(serving, best_effort_active, now);
  if (policy_ == PacePolicy::kGuarded) {
    percents_.clear();
    return;
  }
  if (guard_.paused()) {
    for (const auto& [image, share] : best_effort) percents_[image] = 0;
    reduced_at_ = now;
    return;
  }
  if (was_paused && guard_.last_pause_ineffective()) {
    RestoreHarmless(serving, best_effort);
    return;
  }
  ApplyFeedback(serving, best_effort, now);
}

void Pacer::ApplyFeedback(const std::vector<ServingSample>& serving,
                          const BestEffortShares& best_effort, TimePoint now) {
  double worst = 0;
  for (const ServingSample& sample : serving) {
    worst = std::max(worst, sample.ratio());
  }
  const std::vector<ServingSample> high = SamplesNearTarget(serving);
  if (!high.empty() && !near_target_) near_target_since_ = now;
  near_target_ = !high.empty();
  if (!high.empty() && now - reduced_at_ >= kReduceInterval) {
    ReducePaces(high, best_effort, now - near_target_since_);
    reduced_at_ = now;
  } else if (worst < kIncreaseBelowRatio &&
             now - increased_at_ >= kIncreaseInterval &&
             now - reduced_at_ >= kReduceInterval) {
    IncreasePaces(serving, best_effort);
    increased_at_ = now;
  }
}

// The tail stayed high while all best-effort runs were paused, so it is due to
// the service's own load.
void Pacer::RestoreHarmless(const std::vector<ServingSample>& serving,
                            const BestEffortShares& best_effort) {
  const std::vector<ServingSample> high = SamplesNearTarget(serving);
  for (const auto& [image, share] : best_effort) {
    if (IsKnownHarmless(high, image)) percents_[image] = kFullPacePercent;
  }
}

void Pacer::ReducePaces(const std::vector<ServingSample>& high,
                        const BestEffortShares& best_effort,
                        Duration near_for) {
  if (near_for < kTrustWeightsFor) {
    ReduceLikelySources(high, best_effort);
    return;
  }
  for (const auto& [image, share] : best_effort) {
    if (!IsKnownHarmless(high, image)) ReduceImage(image, kOverTargetFactor);
  }
}

bool Pacer::IsKnownHarmless(const std::vector<ServingSample>& high,
                            const std::string& image) const {
  return std::all_of(high.begin(), high.end(), [&](const auto& sample) {
    const bool known = weights_.count({sample.image, image}) > 0;
    return known && WeightMillis(sample.image, image) * kTypicalShare <
                        kExplainedFraction * ToMillis(sample.target);
  });
}

void Pacer::ReduceImage(const std::string& image, double factor) {
  int percent = static_cast<int>(PacePercent(image) * factor);
  if (percent < kMinPacePercent) percent = 0;
  percents_[image] = percent;
}

void Pacer::ReduceLikelySources(const std::vector<ServingSample>& high,
                                const BestEffortShares& best_effort) {
  std::map<std::string, double> contribution;
  double total = 0;
  double worst = 0;
  double target = 0;
  bool known = false;
  for (const ServingSample& sample : high) {
    worst = std::max(worst, sample.ratio());
    target = std::max(target, ToMillis(sample.target));
    for (const auto& [image, share] : best_effort) {
      known = known || weights_.count({sample.image, image}) > 0;
      const double part = WeightMillis(sample.image, image) * share.used;
      contribution[image] += part;
      total += part;
    }
  }
  const double factor = worst > 1 ? kOverTargetFactor : kNearTargetFactor;
  const bool explained = total > kExplainedFraction * target;
  for (const auto& [image, share] : best_effort) {
    const bool main_source = contribution[image] >= kMainSourceFraction * total;
    if (explained ? main_source : !known) ReduceImage(image, factor);
  }
}

void Pacer::IncreasePaces(const std::vector<ServingSample>& serving,
                          const BestEffortShares& best_effort) {
  for (auto& entry : percents_) {
    const std::string& image = entry.first;
    int& percent = entry.second;
    if (percent >= kFullPacePercent) continue;
    const auto it = best_effort.find(image);
    const double requested = it == best_effort.end() ? 0 : it->second.requested;
    const double step = requested * kStepPercent / kFullPacePercent;
    const bool harmless = std::all_of(
        serving.begin(), serving.end(), [&](const ServingSample& sample) {
          const double expected =
              ToMillis(sample.tail) + WeightMillis(sample.image, image) * step;
          return expected < kReduceAboveRatio * ToMillis(sample.target);
        });
    if (harmless) percent = std::min(kFullPacePercent, percent + kStepPercent);
  }
}

}  // namespace beamhill
