// How fast each filling image of one VM may work, so that the serving tasks
// beside them stay under their targets.
//
// Pure feedback on late measurements, helped by what the owner has learned of
// which image disturbs which: cut the culprits quickly when a serving task
// nears its target, wait for the effect to show, and give back step by step.
// Without such knowledge all fillers are cut. That is for light load, where
// caution costs nothing. Where fillers ask for more than there is, a pace a
// little below demand makes nearly all work late: there the owner chooses the
// policy by which fillers work at their whole pace but for the rests of
// LatencyGuard.
//
//   Pacer pacer;
//   pacer.Observe(serving, filling, best_effort_active, now);
//   int percent = pacer.PacePercent("batch-7");
#ifndef BEAMHILL_EXECUTOR_PACER_H_
#define BEAMHILL_EXECUTOR_PACER_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/pacing_messages.h"
#include "beamhill/executor/latency_guard.h"
#include "beamhill/executor/serving_sample.h"

namespace beamhill {

// The pace of a filler that nothing holds back.
inline constexpr int kFullPacePercent = 100;

class Pacer {
 public:
  // Serving and filling image to what the filler would add to the tail if it
  // had the whole VM.
  using InterferenceWeights =
      std::map<std::pair<std::string, std::string>, Duration>;
  // Shares of the VM's processors.
  struct BestEffortShare {
    double used = 0;   // By all tasks of the image, now.
    double asked = 0;  // What they would use at their full pace.
  };
  using BestEffortShares = std::map<std::string, BestEffortShare>;  // By image.

  // `harm_after`: see LatencyGuard.
  explicit Pacer(Duration harm_after = kDefaultHarmAfter)
      : guard_(harm_after) {}

  void set_policy(PacePolicy policy) { policy_ = policy; }
  // What the owner has learned; replaces what it said before.
  void SetInterferenceWeights(InterferenceWeights weights) {
    weights_ = std::move(weights);
  }
  // Takes in the newest samples of the VM and changes paces by them.
  // `best_effort_active`: whether some filler is seen to use processors.
  void Observe(const std::vector<ServingSample>& serving,
               const BestEffortShares& best_effort, bool best_effort_active,
               TimePoint now);
  // The percentage at which tasks of the image may work; 100 at first.
  int PacePercent(const std::string& image) const;

 private:
  // Changes paces by feedback; for light load.
  void ApplyFeedback(const std::vector<ServingSample>& serving,
                     const BestEffortShares& best_effort, TimePoint now);
  double WeightMillis(const std::string& serving,
                      const std::string& best_effort) const;
  // After a rest: gives fillers that are known to be harmless their pace back.
  void RestoreHarmless(const std::vector<ServingSample>& serving,
                       const BestEffortShares& best_effort);
  // Cuts some fillers when a tail has been near its target or over it for so
  // long: at first those that are known to disturb; if that has not helped, all
  // that are not known to be harmless.
  void ReducePaces(const std::vector<ServingSample>& over,
                   const BestEffortShares& best_effort, Duration near_for);
  void ReduceLikelySources(const std::vector<ServingSample>& over,
                           const BestEffortShares& best_effort);
  void IncreasePaces(const std::vector<ServingSample>& serving,
                     const BestEffortShares& best_effort);
  bool IsKnownHarmless(const std::vector<ServingSample>& over,
                       const std::string& image) const;
  void ReduceImage(const std::string& image, double factor);

  PacePolicy policy_ = PacePolicy::kCautious;
  LatencyGuard guard_;
  InterferenceWeights weights_;
  std::map<std::string, int> percents_;
  bool near_target_ = false;  // Or near it: some fillers are cut.
  TimePoint near_target_since_{};
  TimePoint reduced_at_{};
  TimePoint increased_at_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_PACER_H_
