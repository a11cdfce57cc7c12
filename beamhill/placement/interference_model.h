// How much each class of batch work slows a service on the same VM, learned
// from late, noisy latencies.
//
// Pure. Latency is taken as linear in each class's share of the VM's
// processors: b (1 + sum over classes of w x). All VMs of a cell feed one
// model by ridge regression with forgetting. A class's weight is the sum of a
// shared weight and its own deviation, and only the deviation is strongly
// held to zero: a class with few samples therefore counts as an average one.
// Predictions carry their uncertainty, so that a decision can price it.
//
//   InterferenceModel model;
//   model.Observe({{"revaluation", 0.5}}, latency);
//   auto p = model.Predict(loads_after_placement);
#ifndef BEAMHILL_PLACEMENT_INTERFERENCE_MODEL_H_
#define BEAMHILL_PLACEMENT_INTERFERENCE_MODEL_H_

#include <cstddef>
#include <map>
#include <memory>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// Share of a VM's processors that tasks of a class use on it.
using ClassLoads = std::map<std::string, double>;

// How firmly weights are held to zero, in observations of a whole VM's load.
struct InterferencePriors {
  double shared = 0.05;
  double of_class = 0.5;
  // Observations between two solutions: fewer learn sooner and cost more.
  // Beyond these, whoever observes often calls Refit at times of its own.
  size_t solve_every = 16;
};

class InterferenceModel {
 public:
  explicit InterferenceModel(const InterferencePriors& priors = {});
  ~InterferenceModel();

  // The service's latency on a VM while these classes ran there.
  void Observe(const ClassLoads& loads, Duration latency);

  // Takes in what was observed since the last solution; returns whether there
  // was any.
  bool Refit();

  struct Prediction {
    Duration mean{};
    Duration deviation{};  // One standard deviation of the estimate.
  };
  Prediction Predict(const ClassLoads& loads) const;
  // The mean of Predict alone, at a fraction of its cost.
  Duration Mean(const ClassLoads& loads) const;

  // How much a whole VM of the class would add to the latency.
  Duration WeightOf(const std::string& work_class) const;
  size_t samples() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_INTERFERENCE_MODEL_H_
