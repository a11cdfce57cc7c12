#include "beamhill/executor/pacer.h"

#include <algorithm>

namespace beamhill {
namespace {

// Tail over target above which fillers are cut, and below which they get
// more. The gap keeps the two from alternating.
constexpr double kReduceAboveRatio = 0.9;
constexpr double kIncreaseBelowRatio = 0.8;
// A measurement covers half a second, so a change shows fully only then.
constexpr Duration kReduceInterval = std::chrono::milliseconds(400);
constexpr Duration kIncreaseInterval = std::chrono::milliseconds(300);
constexpr int kIncreaseStepPercent = 12;
// Below this share a filler is stopped altogether.
constexpr int kMinPacePercent = 8;
// Part of the learned disturbance above which an image is a culprit.
constexpr double kMainSourceFraction = 0.2;
// Known fillers that explain less than this part of the target are not taken
// for the cause, for so long.
constexpr double kExplainedFraction = 0.12;
constexpr Duration kTrustWeightsFor = std::chrono::milliseconds(900);
// An image is harmless if at this share of a VM it explains nothing.
constexpr double kTypicalShare = 0.2;
constexpr double kOverTargetFactor = 0.35;
constexpr double kNearTargetFactor = 0.65;

// Those whose tails are near their targets or over them.
std::vector<ServingSample> NearTarget(
    const std::vector<ServingSample>& serving) {
  std::vector<ServingSample> near;
  for (const ServingSample& sample : serving) {
    if (sample.ratio() > kReduceAboveRatio) near.push_back(sample);
  }
  return near;
}

}  // namespace

int Pacer::PacePercent(const std::string& image) const {
  // An image that has come since the rest began rests as well.
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
  const std::vector<ServingSample> over = NearTarget(serving);
  if (!over.empty() && !near_target_) near_target_since_ = now;
  near_target_ = !over.empty();
  if (!over.empty() && now - reduced_at_ >= kReduceInterval) {
    ReducePaces(over, best_effort, now - near_target_since_);
    reduced_at_ = now;
  } else if (worst < kIncreaseBelowRatio &&
             now - increased_at_ >= kIncreaseInterval &&
             now - reduced_at_ >= kReduceInterval) {
    IncreasePaces(serving, best_effort);
    increased_at_ = now;
  }
}

// The tail is as high with all fillers at rest: it is the service's own load.
void Pacer::RestoreHarmless(const std::vector<ServingSample>& serving,
                            const BestEffortShares& best_effort) {
  const std::vector<ServingSample> over = NearTarget(serving);
  for (const auto& [image, share] : best_effort) {
    if (IsKnownHarmless(over, image)) percents_[image] = kFullPacePercent;
  }
}

void Pacer::ReducePaces(const std::vector<ServingSample>& over,
                        const BestEffortShares& best_effort,
                        Duration near_for) {
  if (near_for < kTrustWeightsFor) {
    ReduceLikelySources(over, best_effort);
    return;
  }
  for (const auto& [image, share] : best_effort) {
    if (!IsKnownHarmless(over, image)) ReduceImage(image, kOverTargetFactor);
  }
}

bool Pacer::IsKnownHarmless(const std::vector<ServingSample>& over,
                            const std::string& image) const {
  return std::all_of(over.begin(), over.end(), [&](const auto& sample) {
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

void Pacer::ReduceLikelySources(const std::vector<ServingSample>& over,
                                const BestEffortShares& best_effort) {
  std::map<std::string, double> contribution;
  double total = 0;
  double worst = 0;
  double target = 0;
  bool known = false;
  for (const ServingSample& sample : over) {
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
    const double asked = it == best_effort.end() ? 0 : it->second.asked;
    const double more = asked * kIncreaseStepPercent / kFullPacePercent;
    const bool harmless = std::all_of(
        serving.begin(), serving.end(), [&](const ServingSample& sample) {
          const double expected =
              ToMillis(sample.tail) + WeightMillis(sample.image, image) * more;
          return expected < kReduceAboveRatio * ToMillis(sample.target);
        });
    if (harmless)
      percent = std::min(kFullPacePercent, percent + kIncreaseStepPercent);
  }
}

}  // namespace beamhill
