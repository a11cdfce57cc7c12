#include "beamhill/placement/placement_policy.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Standard deviations of the estimate that are added to the predicted latency.
constexpr double kUncertaintyWeight = 1.0;
// Limits of latency over target when tail latency has all the weight, and when
// it has none.
constexpr double kStrictLimit = 0.75;
constexpr double kLooseLimit = 1.1;
// Preference of a full VM over an empty one, in latency over target: large
// tasks fit more often when small ones are packed.
constexpr double kPackingWeight = 0.05;

double LimitFor(const PolicyWeights& weights) {
  const double sum = std::max(
      1e-9, weights.tail_latency + weights.throughput + weights.evictions);
  const double tail = weights.tail_latency / sum;
  return kLooseLimit + (kStrictLimit - kLooseLimit) * tail;
}

}  // namespace

PlacementPolicy::PlacementPolicy(Predict predict, const PolicyWeights& weights)
    : predict_(std::move(predict)),
      weights_(weights),
      limit_(LimitFor(weights)) {}

std::optional<size_t> PlacementPolicy::Choose(const std::string& work_class,
                                              double share,
                                              const std::vector<VmLoad>& vms,
                                              Duration target) const {
  std::optional<size_t> best;
  double best_cost = 0;
  for (size_t i = 0; i < vms.size(); ++i) {
    ClassLoads after = vms[i].loads;
    after[work_class] += share;
    const auto predicted = predict_(after);
    const double expected = ToMillis(predicted.mean) +
                            kUncertaintyWeight * ToMillis(predicted.deviation);
    const double risk =
        expected * std::max(1.0, vms[i].latency_ratio) / ToMillis(target);
    if (risk > limit_) continue;
    const double cost = risk + kPackingWeight * vms[i].free_share;
    if (best && cost >= best_cost) continue;
    best = i;
    best_cost = cost;
  }
  return best;
}

}  // namespace beamhill
