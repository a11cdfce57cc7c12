#include "beamhill/executor/pacer.h"

#include <algorithm>

namespace beamhill {
namespace {

// Tail over target above which fillers are cut, and below which they get
// more. The gap keeps the two from alternating.
constexpr double kCutAbove = 0.9;
constexpr double kGiveBelow = 0.8;
// A measurement covers half a second, so a change shows fully only then.
constexpr Duration kCutPause = std::chrono::milliseconds(400);
constexpr Duration kGivePause = std::chrono::milliseconds(300);
constexpr int kGiveStep = 12;
// Below this share a filler is stopped altogether.
constexpr int kLeastPercent = 8;
// Part of the learned disturbance above which an image is a culprit.
constexpr double kCulpritPart = 0.2;
// Known fillers that explain less than this part of the target are not taken
// for the cause, for so long.
constexpr double kExplainsPart = 0.12;
constexpr Duration kTrustWeights = std::chrono::milliseconds(900);
// An image is harmless if at this share of a VM it explains nothing.
constexpr double kUsualShare = 0.2;
constexpr double kKeepOver = 0.35;
constexpr double kKeepNear = 0.65;

// Those whose tails are near their targets or over them.
std::vector<ServingSample> NearTarget(
    const std::vector<ServingSample>& serving) {
  std::vector<ServingSample> near;
  for (const ServingSample& sample : serving) {
    if (sample.ratio() > kCutAbove) near.push_back(sample);
  }
  return near;
}

}  // namespace

int Pacer::PercentOf(const std::string& image) const {
  // An image that has come since the rest began rests as well.
  if (guard_.resting()) return 0;
  const auto it = percents_.find(image);
  return it == percents_.end() ? kWholePercent : it->second;
}

double Pacer::WeightMillis(const std::string& serving,
                           const std::string& filling) const {
  const auto it = weights_.find({serving, filling});
  return it == weights_.end() ? 0 : std::max(0.0, ToMillis(it->second));
}

void Pacer::Observe(const std::vector<ServingSample>& serving,
                    const FillingShares& filling, bool fillers_work,
                    TimePoint now) {
  const bool was_resting = guard_.resting();
  guard_.Observe(serving, fillers_work, now);
  if (policy_ == PacePolicy::kGuarded) {
    percents_.clear();
    return;
  }
  if (guard_.resting()) {
    for (const auto& [image, share] : filling) percents_[image] = 0;
    cut_at_ = now;
    return;
  }
  if (was_resting && guard_.rest_was_in_vain()) {
    SpareHarmless(serving, filling);
    return;
  }
  ObserveCautiously(serving, filling, now);
}

void Pacer::ObserveCautiously(const std::vector<ServingSample>& serving,
                              const FillingShares& filling, TimePoint now) {
  double worst = 0;
  for (const ServingSample& sample : serving) {
    worst = std::max(worst, sample.ratio());
  }
  const std::vector<ServingSample> over = NearTarget(serving);
  if (!over.empty() && !over_) over_since_ = now;
  over_ = !over.empty();
  if (!over.empty() && now - cut_at_ >= kCutPause) {
    Restrain(over, filling, now - over_since_);
    cut_at_ = now;
  } else if (worst < kGiveBelow && now - given_at_ >= kGivePause &&
             now - cut_at_ >= kCutPause) {
    Give(serving, filling);
    given_at_ = now;
  }
}

// The tail is as high with all fillers at rest: it is the service's own load.
void Pacer::SpareHarmless(const std::vector<ServingSample>& serving,
                          const FillingShares& filling) {
  const std::vector<ServingSample> over = NearTarget(serving);
  for (const auto& [image, share] : filling) {
    if (KnownHarmless(over, image)) percents_[image] = kWholePercent;
  }
}

void Pacer::Restrain(const std::vector<ServingSample>& over,
                     const FillingShares& filling, Duration near_for) {
  if (near_for < kTrustWeights) {
    Cut(over, filling);
    return;
  }
  for (const auto& [image, share] : filling) {
    if (!KnownHarmless(over, image)) CutImage(image, kKeepOver);
  }
}

bool Pacer::KnownHarmless(const std::vector<ServingSample>& over,
                          const std::string& image) const {
  return std::all_of(over.begin(), over.end(), [&](const auto& sample) {
    const bool known = weights_.count({sample.image, image}) > 0;
    return known && WeightMillis(sample.image, image) * kUsualShare <
                        kExplainsPart * ToMillis(sample.target);
  });
}

void Pacer::CutImage(const std::string& image, double keep) {
  int percent = static_cast<int>(PercentOf(image) * keep);
  if (percent < kLeastPercent) percent = 0;
  percents_[image] = percent;
}

void Pacer::Cut(const std::vector<ServingSample>& over,
                const FillingShares& filling) {
  std::map<std::string, double> blame;
  double total = 0;
  double worst = 0;
  double target = 0;
  bool known = false;
  for (const ServingSample& sample : over) {
    worst = std::max(worst, sample.ratio());
    target = std::max(target, ToMillis(sample.target));
    for (const auto& [image, share] : filling) {
      known = known || weights_.count({sample.image, image}) > 0;
      const double part = WeightMillis(sample.image, image) * share.used;
      blame[image] += part;
      total += part;
    }
  }
  const double keep = worst > 1 ? kKeepOver : kKeepNear;
  const bool explained = total > kExplainsPart * target;
  for (const auto& [image, share] : filling) {
    const bool culprit = blame[image] >= kCulpritPart * total;
    if (explained ? culprit : !known) CutImage(image, keep);
  }
}

void Pacer::Give(const std::vector<ServingSample>& serving,
                 const FillingShares& filling) {
  for (auto& entry : percents_) {
    const std::string& image = entry.first;
    int& percent = entry.second;
    if (percent >= kWholePercent) continue;
    const auto it = filling.find(image);
    const double asked = it == filling.end() ? 0 : it->second.asked;
    const double more = asked * kGiveStep / kWholePercent;
    const bool harmless = std::all_of(
        serving.begin(), serving.end(), [&](const ServingSample& sample) {
          const double expected =
              ToMillis(sample.tail) + WeightMillis(sample.image, image) * more;
          return expected < kCutAbove * ToMillis(sample.target);
        });
    if (harmless) percent = std::min(kWholePercent, percent + kGiveStep);
  }
}

}  // namespace beamhill
