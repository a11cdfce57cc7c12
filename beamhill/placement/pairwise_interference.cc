#include "beamhill/placement/pairwise_interference.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Observations of a serving image before predictions are returned for it.
constexpr size_t kMinSamples = 20;
// Weights have to be learned from little data, such as a pair observed for some
// seconds at a tenth of a VM: deployments have few images, and a bad placement
// harms at once. The long refit interval is for hundreds of VMs, where an image
// has some hundred observations a second; the first ones refit the model at
// once.
constexpr InterferencePriors kPriors = {0.5, 0.01, 64};

// Number of observations, and share of a VM's CPU in them, by which a stored
// weight is restored.
constexpr int kRestoredObservations = 8;
constexpr double kRestoredShare = 0.2;

}  // namespace

PairwiseInterference::Learned::Learned() : model(kPriors) {}

void PairwiseInterference::Observe(const std::string& serving,
                                   const ClassLoads& best_effort,
                                   Duration tail) {
  Learned& learned = by_serving_[serving];
  learned.model.Observe(best_effort, tail);
  for (const auto& [image, share] : best_effort) learned.images.insert(image);
}

bool PairwiseInterference::Refit() {
  bool changed = false;
  for (auto& [serving, learned] : by_serving_) {
    changed = learned.model.Refit() || changed;
  }
  return changed;
}

std::optional<Duration> PairwiseInterference::Predict(
    const std::string& serving, const ClassLoads& best_effort) const {
  const auto it = by_serving_.find(serving);
  if (it == by_serving_.end() || it->second.model.samples() < kMinSamples) {
    return std::nullopt;
  }
  return it->second.model.Mean(best_effort);
}

std::vector<PairwiseInterference::Weight> PairwiseInterference::Weights()
    const {
  std::vector<Weight> weights;
  for (const auto& [serving, learned] : by_serving_) {
    if (learned.model.samples() < kMinSamples) continue;
    for (const std::string& image : learned.images) {
      weights.push_back({serving, image, learned.model.WeightOf(image)});
    }
  }
  return weights;
}

std::optional<Duration> PairwiseInterference::WeightOf(
    const std::string& serving, const std::string& best_effort) const {
  const auto it = by_serving_.find(serving);
  if (it == by_serving_.end()) return std::nullopt;
  const Learned& learned = it->second;
  if (learned.model.samples() < kMinSamples) return std::nullopt;
  if (learned.images.count(best_effort) == 0) return std::nullopt;
  return learned.model.WeightOf(best_effort);
}

std::vector<PairwiseInterference::Summary> PairwiseInterference::Summaries()
    const {
  std::map<std::string, Summary> by_serving;
  for (const Weight& weight : Weights()) {
    Summary& summary = by_serving[weight.serving];
    summary.serving = weight.serving;
    summary.weights.push_back(weight);
  }
  std::vector<Summary> summaries;
  for (auto& [serving, summary] : by_serving) {
    summary.alone = Predict(serving, {}).value_or(Duration(0));
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

void PairwiseInterference::Restore(const Summary& summary) {
  for (int i = 0; i < kRestoredObservations; ++i) {
    Observe(summary.serving, {}, summary.alone);
    for (const Weight& weight : summary.weights) {
      const auto added =
          std::chrono::duration_cast<Duration>(weight.per_vm * kRestoredShare);
      Observe(summary.serving, {{weight.best_effort, kRestoredShare}},
              std::max(summary.alone + added, Duration(0)));
    }
  }
}

}  // namespace beamhill
