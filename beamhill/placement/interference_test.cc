#include <gtest/gtest.h>

#include <random>

#include "beamhill/placement/interference_model.h"
#include "beamhill/placement/placement_policy.h"
#include "beamhill/placement/throttle_controller.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kSeed = 20261202;

// Returns 20 ms, plus 60 ms for a VM full of "noisy" or 4 ms for one full of
// "quiet" in proportion to their shares, times `noise`.
Duration Latency(const ClassLoads& loads, double noise) {
  double ms = 20;
  for (const auto& [name, share] : loads) {
    ms += share * (name == "noisy" ? 60 : 4);
  }
  return Duration(static_cast<int64_t>(ms * noise * 1000));
}

void TrainModel(InterferenceModel* model, int samples) {
  std::mt19937_64 random(kSeed);
  std::uniform_real_distribution<double> share(0, 0.5);
  std::lognormal_distribution<double> noise(0, 0.25);
  for (int i = 0; i < samples; ++i) {
    const ClassLoads loads = {{"noisy", share(random)},
                              {"quiet", share(random)}};
    model->Observe(loads, Latency(loads, noise(random)));
  }
}

TEST(InterferenceModel, SeparatesClassesDespiteNoise) {
  InterferenceModel model;
  TrainModel(&model, 2000);
  EXPECT_NEAR(ToMillis(model.WeightOf("noisy")), 60, 12);
  EXPECT_NEAR(ToMillis(model.WeightOf("quiet")), 4, 8);
  EXPECT_NEAR(ToMillis(model.Predict({}).mean), 20, 3);
}

TEST(InterferenceModel, UnknownClassCountsAsAverageAndIsUncertain) {
  InterferenceModel model;
  TrainModel(&model, 2000);
  const auto unknown = model.Predict({{"new", 0.5}});
  EXPECT_GT(unknown.mean, model.Predict({{"quiet", 0.5}}).mean);
  EXPECT_LT(unknown.mean, model.Predict({{"noisy", 0.5}}).mean);
  model.Observe({{"new", 0.5}}, milliseconds(30));
  EXPECT_GT(model.Predict({{"new", 0.5}}).deviation,
            model.Predict({{"noisy", 0.5}}).deviation);
}

TEST(InterferenceModel, AdaptsToAChangeOfWeights) {
  InterferenceModel model;
  for (int i = 0; i < 3000; ++i) {
    const double share = (i % 10) / 10.0;
    model.Observe({{"a", share}},
                  Duration(milliseconds(20)) +
                      Duration(static_cast<int64_t>(share * 5e4)));
  }
  for (int i = 0; i < 6000; ++i) {
    const double share = (i % 10) / 10.0;
    model.Observe({{"a", share}}, milliseconds(20));
  }
  EXPECT_LT(ToMillis(model.WeightOf("a")), 12);
}

TEST(PlacementPolicy, ChoosesTheVmWithTheLeastInterferenceOrWaits) {
  InterferenceModel model;
  TrainModel(&model, 2000);
  const PlacementPolicy policy(
      [&model](const ClassLoads& loads) { return model.Predict(loads); }, {});
  const std::vector<VmLoad> vms = {{{{"noisy", 0.4}}, 0.5, 1},
                                   {{{"quiet", 0.5}}, 0.5, 1}};
  EXPECT_EQ(policy.Choose("noisy", 0.2, vms, milliseconds(80)), 1U);
  EXPECT_EQ(policy.Choose("noisy", 0.2, vms, milliseconds(25)), std::nullopt);
  const std::vector<VmLoad> overloaded = {{{{"quiet", 0.5}}, 0.5, 3}};
  EXPECT_EQ(policy.Choose("noisy", 0.2, overloaded, milliseconds(80)),
            std::nullopt);
}

TEST(PlacementPolicy, WeightsSetTheLimit) {
  const auto none = [](const ClassLoads&) {
    return InterferenceModel::Prediction{};
  };
  const PlacementPolicy tail(none, {80, 10, 10});
  const PlacementPolicy throughput(none, {10, 60, 30});
  EXPECT_LT(tail.limit(), throughput.limit());
}

TEST(ThrottleController, ThrottlesThenEvictsThenReleases) {
  ThrottleController controller;
  TimePoint now = kStart;
  std::vector<ThrottleAction> actions;
  const auto run = [&](Duration latency, int for_seconds) {
    for (int i = 0; i < for_seconds; ++i) {
      now += seconds(1);
      const ThrottleAction action =
          controller.Observe(latency, milliseconds(100), now);
      if (action != ThrottleAction::kNone) actions.push_back(action);
    }
  };
  run(milliseconds(50), 10);
  EXPECT_TRUE(actions.empty());
  run(milliseconds(200), 60);
  ASSERT_EQ(actions.size(), 2U);
  EXPECT_EQ(actions[0], ThrottleAction::kThrottle);
  EXPECT_EQ(actions[1], ThrottleAction::kEvict);
  run(milliseconds(100), 60);
  EXPECT_EQ(actions.size(), 2U) << "no action between the two ratios";
  run(milliseconds(40), 40);
  ASSERT_EQ(actions.size(), 3U);
  EXPECT_EQ(actions[2], ThrottleAction::kRelease);
}

}  // namespace
}  // namespace beamhill
