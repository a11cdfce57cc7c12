#include "beamhill/executor/pacer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(20);

class PacerTest : public testing::Test {
 protected:
  // Feeds the same measurements for `time`, every 250 ms. `used` is the share
  // of the VM that each best-effort image uses.
  void Observe(Duration time, Duration tail,
               const std::map<std::string, double>& used) {
    Pacer::BestEffortShares shares;
    for (const auto& [image, share] : used) shares[image] = {share, requested_};
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(250);
      const bool work =
          std::any_of(used.begin(), used.end(), [this](const auto& entry) {
            return pacer_.PacePercent(entry.first) > 0;
          });
      pacer_.Observe({{"web", tail, kTarget}}, shares, work, now_);
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  double requested_ = 0.5;  // Share of the VM, by each best-effort image.
  Pacer pacer_;
};

TEST_F(PacerTest, KeepsFullPaceUnderTheTarget) {
  Observe(seconds(5), milliseconds(10), {{"f", 0.5}});
  EXPECT_EQ(pacer_.PacePercent("f"), 100);
}

// Users count a serving task as harmed after 4 s over its target.
TEST_F(PacerTest, PausesLongBeforeHarmCounts) {
  Observe(milliseconds(2500), milliseconds(40), {{"f", 0.5}});
  EXPECT_EQ(pacer_.PacePercent("f"), 0);
}

TEST_F(PacerTest, IncreasesPacesStepByStep) {
  Observe(seconds(3), milliseconds(40), {{"f", 0.5}});
  Observe(seconds(1), milliseconds(5), {{"f", 0}});
  const int first = pacer_.PacePercent("f");
  EXPECT_GT(first, 0);
  EXPECT_LT(first, 100);
  Observe(seconds(6), milliseconds(5), {{"f", 0.1}});
  EXPECT_EQ(pacer_.PacePercent("f"), 100);
}

TEST_F(PacerTest, ReducesOnlyTheMainSource) {
  pacer_.SetInterferenceWeights({{{"web", "heavy"}, milliseconds(100)},
                                 {{"web", "light"}, milliseconds(1)}});
  Observe(milliseconds(500), milliseconds(25),
          {{"heavy", 0.3}, {"light", 0.3}});
  EXPECT_LT(pacer_.PacePercent("heavy"), 50);
  EXPECT_EQ(pacer_.PacePercent("light"), 100);
}

TEST_F(PacerTest, ReducesAllWhenTheKnownSourceIsNotEnough) {
  pacer_.SetInterferenceWeights({{{"web", "heavy"}, milliseconds(100)},
                                 {{"web", "light"}, milliseconds(1)}});
  Observe(milliseconds(3500), milliseconds(25),
          {{"heavy", 0.3}, {"light", 0.3}});
  EXPECT_LT(pacer_.PacePercent("light"), 50);
}

// Weights may be wrong and single samples are imprecise: by its weight the only
// image counts as harmless, and every third sample is below the target.
TEST_F(PacerTest, PausesAllBeforeHarmCountsDespiteTheWeights) {
  pacer_.SetInterferenceWeights({{{"web", "light"}, milliseconds(1)}});
  for (int i = 0; i < 3; ++i) {
    Observe(milliseconds(500), milliseconds(25), {{"light", 0.3}});
    Observe(milliseconds(250), milliseconds(17), {{"light", 0.3}});
  }
  Observe(milliseconds(250), milliseconds(25), {{"light", 0.3}});
  EXPECT_EQ(pacer_.PacePercent("light"), 0);
}

// If pausing does not lower the tail, the load is the service's own.
TEST_F(PacerTest, RestoresHarmlessImagesAfterAnIneffectivePause) {
  pacer_.SetInterferenceWeights({{{"web", "light"}, milliseconds(1)},
                                 {{"web", "heavy"}, milliseconds(100)}});
  Observe(milliseconds(2500), milliseconds(25), {{"light", 0}, {"heavy", 0}});
  EXPECT_EQ(pacer_.PacePercent("light"), 0);
  Observe(milliseconds(1250), milliseconds(25), {{"light", 0}, {"heavy", 0}});
  EXPECT_EQ(pacer_.PacePercent("light"), 100);
  EXPECT_EQ(pacer_.PacePercent("heavy"), 0);
}

TEST_F(PacerTest, IncreasesByTheRequestsOfAllTasksOfAnImage) {
  Observe(seconds(3), milliseconds(40), {{"heavy", 0.5}});
  ASSERT_EQ(pacer_.PacePercent("heavy"), 0);
  pacer_.SetInterferenceWeights({{{"web", "heavy"}, milliseconds(120)}});
  // A step of 12 % of half the VM would add 7.2 ms to the tail of 12 ms.
  requested_ = 0.5;
  Observe(seconds(3), milliseconds(12), {{"heavy", 0}});
  EXPECT_EQ(pacer_.PacePercent("heavy"), 0);
  // A step of 12 % of a tenth of the VM would add 1.4 ms.
  requested_ = 0.1;
  Observe(seconds(1), milliseconds(12), {{"heavy", 0}});
  EXPECT_GT(pacer_.PacePercent("heavy"), 0);
}

TEST_F(PacerTest, KnownSourceIsNotIncreasedBeyondTheTarget) {
  Observe(seconds(3), milliseconds(40), {{"heavy", 0.5}});
  ASSERT_EQ(pacer_.PacePercent("heavy"), 0);
  pacer_.SetInterferenceWeights({{{"web", "heavy"}, milliseconds(500)}});
  Observe(seconds(3), milliseconds(15), {{"heavy", 0}});
  EXPECT_EQ(pacer_.PacePercent("heavy"), 0);
}

}  // namespace
}  // namespace beamhill
