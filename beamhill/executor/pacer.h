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
// HarmGuard.
//
//   Pacer pacer;
//   pacer.Observe(serving, filling, fillers_work, now);
//   int percent = pacer.PercentOf("batch-7");
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
inline constexpr int kWholePercent = 100;

class Pacer {
 public:
  // Serving and filling image to what the filler would add to the tail if it
  // had the whole VM.
  using Weights = std::map<std::pair<std::string, std::string>, Duration>;
  // Shares of the VM's processors.
  struct FillingShare {
    double used = 0;   // By all tasks of the image, now.
    double asked = 0;  // What they would use at their full pace.
  };
  using FillingShares = std::map<std::string, FillingShare>;  // By image.

  // `harm_after`: see HarmGuard.
  explicit Pacer(Duration harm_after = kDefaultHarmAfter)
      : guard_(harm_after) {}

  void set_policy(PacePolicy policy) { policy_ = policy; }
  // What the owner has learned; replaces what it said before.
  void SetWeights(Weights weights) { weights_ = std::move(weights); }
  // Takes in the newest samples of the VM and changes paces by them.
  // `fillers_work`: whether some filler is seen to use processors.
  void Observe(const std::vector<ServingSample>& serving,
               const FillingShares& filling, bool fillers_work, TimePoint now);
  // The percentage at which tasks of the image may work; 100 at first.
  int PercentOf(const std::string& image) const;

 private:
  // Changes paces by feedback; for light load.
  void ObserveCautiously(const std::vector<ServingSample>& serving,
                         const FillingShares& filling, TimePoint now);
  double WeightMillis(const std::string& serving,
                      const std::string& filling) const;
  // After a rest: gives fillers that are known to be harmless their pace back.
  void SpareHarmless(const std::vector<ServingSample>& serving,
                     const FillingShares& filling);
  // Cuts some fillers when a tail has been near its target or over it for so
  // long: at first those that are known to disturb; if that has not helped, all
  // that are not known to be harmless.
  void Restrain(const std::vector<ServingSample>& over,
                const FillingShares& filling, Duration near_for);
  void Cut(const std::vector<ServingSample>& over,
           const FillingShares& filling);
  void Give(const std::vector<ServingSample>& serving,
            const FillingShares& filling);
  bool KnownHarmless(const std::vector<ServingSample>& over,
                     const std::string& image) const;
  void CutImage(const std::string& image, double keep);

  PacePolicy policy_ = PacePolicy::kCautious;
  HarmGuard guard_;
  Weights weights_;
  std::map<std::string, int> percents_;
  bool over_ = false;  // Or near it: some fillers are cut.
  TimePoint over_since_{};
  TimePoint cut_at_{};
  TimePoint given_at_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_PACER_H_
