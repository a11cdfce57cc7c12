// Learns how much each best-effort image raises the tail latency of each
// serving image, from delayed and noisy reports of all VMs.
//
// Reads no clock and does no I/O. It has one InterferenceModel per serving
// image, over the shares of a VM's CPU that best-effort images use beside it.
//
//   PairwiseInterference learned;
//   learned.Observe("web", {{"batch-7", 0.3}}, tail);
//   if (auto tail = learned.Predict("web", loads); tail > target) ...
#ifndef BEAMHILL_PLACEMENT_PAIRWISE_INTERFERENCE_H_
#define BEAMHILL_PLACEMENT_PAIRWISE_INTERFERENCE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/placement/interference_model.h"

namespace beamhill {

// Predicts the tail latencies of all serving images.
class PairwiseInterference {
 public:
  // Adds the tail latency of a serving image on a VM where best-effort images
  // had these loads.
  void Observe(const std::string& serving, const ClassLoads& best_effort,
               Duration tail);

  // Refits all models to all observations; without it predictions may lag
  // behind by some observations. Returns whether there were new ones.
  bool Refit();

  // Returns the expected tail latency; nullopt while there are too few
  // observations.
  std::optional<Duration> Predict(const std::string& serving,
                                  const ClassLoads& best_effort) const;

  // The effect of a best-effort image on a serving image.
  struct Weight {
    std::string serving;
    std::string best_effort;
    Duration per_vm{};  // Added tail latency if it used all of a VM's CPU.
  };
  // Returns the weights of all pairs that were observed on one VM.
  std::vector<Weight> Weights() const;
  // Returns the weight of one pair; nullopt while there are too few
  // observations.
  std::optional<Duration> WeightOf(const std::string& serving,
                                   const std::string& best_effort) const;

  // What was learned of one serving image, for storage.
  struct Summary {
    std::string serving;
    Duration alone{};  // Tail latency without best-effort load.
    std::vector<Weight> weights;
  };
  std::vector<Summary> Summaries() const;
  // Adds a few observations that match the summary. Later observations soon
  // outweigh them.
  void Restore(const Summary& summary);

 private:
  struct Learned {
    InterferenceModel model;
    std::set<std::string> images;  // Observed best-effort images.
    Learned();
  };

  std::map<std::string, Learned> by_serving_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_PAIRWISE_INTERFERENCE_H_
