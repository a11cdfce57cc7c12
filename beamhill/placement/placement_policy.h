// Chooses the VM on which a batch task interferes least with the service, or
// lets the task wait.
//
// Reads no clock and does no I/O. The cost of a VM that the task fits on is the
// service's predicted latency with the task there, plus its uncertainty, over
// the target. The deployment's weights set how close to the target batch work
// may bring a service.
//
//   PlacementPolicy policy(model, weights);
//   auto choice = policy.Choose("revaluation", 0.1, vms, target);
#ifndef BEAMHILL_PLACEMENT_PLACEMENT_POLICY_H_
#define BEAMHILL_PLACEMENT_PLACEMENT_POLICY_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/placement/interference_model.h"

namespace beamhill {

// Relative weights of the goals; only their ratios matter.
struct PolicyWeights {
  double tail_latency = 50;
  double throughput = 30;
  double evictions = 20;
};

// One VM on which the task would fit.
struct VmLoad {
  ClassLoads loads;
  double free_share = 0;  // Of its CPU, without the task.
  // The service's recent latency there over the one predicted for the present
  // loads; above 1 when the service has more load than usual.
  double latency_ratio = 1;
};

// Compares VMs by the predictions of `predict`.
class PlacementPolicy {
 public:
  using Predict =
      std::function<InterferenceModel::Prediction(const ClassLoads& loads)>;

  PlacementPolicy(Predict predict, const PolicyWeights& weights);

  // Returns the index of the best VM, nullopt if all are above the limit and
  // the task should wait. `share` is the part of a VM's CPU that the task uses.
  std::optional<size_t> Choose(const std::string& work_class, double share,
                               const std::vector<VmLoad>& vms,
                               Duration target) const;

  // The highest latency over target that batch work may cause.
  double limit() const { return limit_; }

 private:
  Predict predict_;
  PolicyWeights weights_;
  double limit_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_PLACEMENT_POLICY_H_
