// How much each image that is best-effort slows each image that serves, learned
// from late, noisy tails of all VMs.
//
// Pure. One InterferenceModel for each serving image, over the shares of a
// VM's processors that filling images use beside it.
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

class PairwiseInterference {
 public:
  // The tail of a serving image on a VM while these images filled it.
  void Observe(const std::string& serving, const ClassLoads& fillers,
               Duration tail);

  // Brings predictions up to date with what was observed. Without a call they
  // may trail it by some observations. Returns whether anything was new.
  bool Refit();

  // The expected tail, or nothing while too little has been seen.
  std::optional<Duration> Predict(const std::string& serving,
                                  const ClassLoads& fillers) const;

  struct Weight {
    std::string serving;
    std::string filler;
    Duration per_vm{};  // Added to the tail by a filler that has a whole VM.
  };
  // Of all pairs that have been seen beside each other.
  std::vector<Weight> Weights() const;
  // Of one pair; nothing while too little has been seen of it.
  std::optional<Duration> WeightOf(const std::string& serving,
                                   const std::string& filler) const;

  // What was learned of one serving image, to be kept elsewhere.
  struct Summary {
    std::string serving;
    Duration alone{};  // The tail with nothing beside it.
    std::vector<Weight> weights;
  };
  std::vector<Summary> Summaries() const;
  // Takes a summary over, as if it had been seen a few times. What is
  // observed from then on soon outweighs it.
  void Recall(const Summary& summary);

 private:
  struct Learned {
    InterferenceModel model;
    std::set<std::string> fillers;
    Learned();
  };

  std::map<std::string, Learned> by_serving_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_PAIRWISE_INTERFERENCE_H_
