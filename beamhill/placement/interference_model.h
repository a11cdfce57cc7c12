// Learns how much each class of batch work raises the latency of a service on
// the same VM, from delayed and noisy reports.
//
// Reads no clock and does no I/O. Latency is modelled as linear in each class's
// share of the VM's CPU: b (1 + sum over classes of w x). The observations of
// all VMs of a cell update one model by ridge regression with exponential
// forgetting. A class's weight is the sum of a shared weight and the class's
// deviation. Only the deviation is strongly regularised, so a class with few
// samples counts as an average one. Predictions include their uncertainty for
// use in decisions.
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

// The share of a VM's CPU that the tasks of each class use on it.
using ClassLoads = std::map<std::string, double>;

// Strength of the regularisation towards zero, as a number of observations of a
// fully loaded VM.
struct InterferencePriors {
  double shared = 0.05;    // Of the shared weight.
  double per_class = 0.5;  // Of each class's deviation.
  // Observations between two automatic refits, after as many that refit the
  // model each: fewer learn sooner and cost more. Callers that observe often
  // set it high and call Refit themselves.
  size_t refit_interval = 16;
};

// Predicts the latency of one service.
class InterferenceModel {
 public:
  explicit InterferenceModel(const InterferencePriors& priors = {});
  ~InterferenceModel();

  // Adds the service's latency on a VM that had these loads.
  void Observe(const ClassLoads& loads, Duration latency);

  // Refits the weights to all observations; returns whether there were any
  // since the last refit.
  bool Refit();

  struct Prediction {
    Duration mean{};
    Duration deviation{};  // One standard deviation of the estimate.
  };
  Prediction Predict(const ClassLoads& loads) const;
  // Returns only the mean of Predict, at a fraction of its cost.
  Duration Mean(const ClassLoads& loads) const;

  // Returns the latency added by the class if it used all of a VM's CPU.
  Duration WeightOf(const std::string& work_class) const;
  // The number of observations.
  size_t samples() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_INTERFERENCE_MODEL_H_
