#include "beamhill/placement/pairwise_interference.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Observations of a serving image before its predictions count.
constexpr size_t kEnoughSamples = 20;
// A day has few images, and a wrong neighbour costs at once, so that weights
// are learned from little: a pair seen for seconds at a tenth of a VM. The
// first observations count at once; at hundreds of VMs an image has some
// hundred a second, which are taken in together.
constexpr InterferencePriors kPriors = {0.5, 0.01, 64};

// How often, and at which share of a VM, a recalled weight counts as seen.
constexpr int kRecalledTimes = 8;
constexpr double kRecalledShare = 0.2;

}  // namespace

PairwiseInterference::Learned::Learned() : model(kPriors) {}

void PairwiseInterference::Observe(const std::string& serving,
                                   const ClassLoads& fillers, Duration tail) {
  Learned& learned = by_serving_[serving];
  learned.model.Observe(fillers, tail);
  for (const auto& [filler, share] : fillers) learned.fillers.insert(filler);
}

bool PairwiseInterference::Refit() {
  bool changed = false;
  for (auto& [serving, learned] : by_serving_) {
    changed = learned.model.Refit() || changed;
  }
  return changed;
}

std::optional<Duration> PairwiseInterference::Predict(
    const std::string& serving, const ClassLoads& fillers) const {
  const auto it = by_serving_.find(serving);
  if (it == by_serving_.end() || it->second.model.samples() < kEnoughSamples) {
    return std::nullopt;
  }
  return it->second.model.Mean(fillers);
}

std::vector<PairwiseInterference::Weight> PairwiseInterference::Weights()
    const {
  std::vector<Weight> weights;
  for (const auto& [serving, learned] : by_serving_) {
    if (learned.model.samples() < kEnoughSamples) continue;
    for (const std::string& filler : learned.fillers) {
      weights.push_back({serving, filler, learned.model.WeightOf(filler)});
    }
  }
  return weights;
}

std::optional<Duration> PairwiseInterference::WeightOf(
    const std::string& serving, const std::string& filler) const {
  const auto it = by_serving_.find(serving);
  if (it == by_serving_.end()) return std::nullopt;
  const Learned& learned = it->second;
  if (learned.model.samples() < kEnoughSamples) return std::nullopt;
  if (learned.fillers.count(filler) == 0) return std::nullopt;
  return learned.model.WeightOf(filler);
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
  for (int i = 0; i < kRecalledTimes; ++i) {
    Observe(summary.serving, {}, summary.alone);
    for (const Weight& weight : summary.weights) {
      const auto added =
          std::chrono::duration_cast<Duration>(weight.per_vm * kRecalledShare);
      Observe(summary.serving, {{weight.best_effort, kRecalledShare}},
              std::max(summary.alone + added, Duration(0)));
    }
  }
}

}  // namespace beamhill
