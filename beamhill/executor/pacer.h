// Determines how fast each best-effort image on one VM may run, so that the
// serving tasks beside it stay within their latency targets.
//
// PacePolicy::kCautious is feedback control on delayed measurements. When a
// serving task comes near its target, the paces of the images that interfere
// with it are reduced quickly; once the effect is visible and the tail is low,
// they are raised step by step. Which image interferes with which is learned by
// the owner and given as weights; without weights all best-effort images are
// reduced. This suits light load, where reduced paces cost nothing.
//
// Under overload a pace slightly below demand would make nearly all best-effort
// work late. The owner then selects PacePolicy::kGuarded, under which images
// run at full pace except while LatencyGuard pauses them.
//
//   Pacer pacer;
//   pacer.Observe(serving, best_effort, best_effort_active, now);
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

// The pace of a best-effort run without restriction.
inline constexpr int kFullPacePercent = 100;

class Pacer {
 public:
  // By serving and best-effort image: how much the best-effort image would add
  // to the serving image's tail latency if it used the whole VM.
  using ImagePairWeights =
      std::map<std::pair<std::string, std::string>, Duration>;
  // Shares of the VM's CPU, from 0 to 1.
  struct BestEffortShare {
    double used = 0;       // Currently, by all tasks of the image.
    double requested = 0;  // What these would use at full pace.
  };
  using BestEffortShares = std::map<std::string, BestEffortShare>;  // By image.

  // `harm_after` is passed on to LatencyGuard.
  explicit Pacer(Duration harm_after = kDefaultHarmAfter)
      : guard_(harm_after) {}

  void set_policy(PacePolicy policy) { policy_ = policy; }
  // Replaces the weights by those that the owner has learned.
  void SetInterferenceWeights(ImagePairWeights weights) {
    weights_ = std::move(weights);
  }
  // Updates paces by the newest samples of the VM. `best_effort_active` tells
  // whether any best-effort run uses CPU by these samples.
  void Observe(const std::vector<ServingSample>& serving,
               const BestEffortShares& best_effort, bool best_effort_active,
               TimePoint now);
  // The pace of the image's tasks in percent; 100 for an image not seen before.
  int PacePercent(const std::string& image) const;

 private:
  // The feedback control of PacePolicy::kCautious.
  void ApplyFeedback(const std::vector<ServingSample>& serving,
                     const BestEffortShares& best_effort, TimePoint now);
  double WeightMillis(const std::string& serving,
                      const std::string& best_effort) const;
  // After an ineffective pause, restores the full pace of images that are known
  // to be harmless.
  void RestoreHarmless(const std::vector<ServingSample>& serving,
                       const BestEffortShares& best_effort);
  // Reduces paces while the tails in `high` have been near or above their
  // targets for `near_for`: at first those of likely sources of interference;
  // after kTrustWeightsFor, those of all images not known to be harmless.
  void ReducePaces(const std::vector<ServingSample>& high,
                   const BestEffortShares& best_effort, Duration near_for);
  void ReduceLikelySources(const std::vector<ServingSample>& high,
                           const BestEffortShares& best_effort);
  void IncreasePaces(const std::vector<ServingSample>& serving,
                     const BestEffortShares& best_effort);
  bool IsKnownHarmless(const std::vector<ServingSample>& high,
                       const std::string& image) const;
  void ReduceImage(const std::string& image, double factor);

  PacePolicy policy_ = PacePolicy::kCautious;
  LatencyGuard guard_;
  ImagePairWeights weights_;
  std::map<std::string, int> percents_;
  // Whether some tail is near or above its target, so that paces are reduced.
  bool near_target_ = false;
  TimePoint near_target_since_{};
  TimePoint reduced_at_{};
  TimePoint increased_at_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_PACER_H_
