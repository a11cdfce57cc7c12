// Regression bounds for routing, as ratios to capacity and to baselines in
// virtual time.
#include "beamhill/testing/routing_bench.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

constexpr uint64_t kSeed = 424'242;

RoutingResult Bench(RoutingPolicy policy, double load, bool one_slow,
                    bool one_failing) {
  RoutingBenchOptions options;
  options.policy = policy;
  options.seed = kSeed;
  options.load = load;
  options.one_slow = one_slow;
  options.one_failing = one_failing;
  options.length = std::chrono::seconds(20);
  return RunRoutingBench(options);
}

TEST(RoutingBench, KeepsGoodputAtTwiceTheCapacity) {
  const RoutingResult moderate_load =
      Bench(RoutingPolicy::kBeamhill, 0.7, false, false);
  const RoutingResult r = Bench(RoutingPolicy::kBeamhill, 2.0, false, false);
  EXPECT_GT(r.goodput, 0.95);
  EXPECT_LT(r.p99_ms, moderate_load.p99_ms * 1.2);
  EXPECT_EQ(r.over_slots, 0U);
  EXPECT_LT(moderate_load.not_run, 0.005);
}

TEST(RoutingBench, AvoidsSlowRunner) {
  const RoutingResult r = Bench(RoutingPolicy::kBeamhill, 0.7, true, false);
  for (const RoutingPolicy baseline :
       {RoutingPolicy::kRandom, RoutingPolicy::kRoundRobin,
        RoutingPolicy::kLeastOfTwo}) {
    EXPECT_LT(r.p99_ms, Bench(baseline, 0.7, true, false).p99_ms * 0.95);
  }
}

TEST(RoutingBench, AvoidsRunnerThatFailsFast) {
  const RoutingResult r = Bench(RoutingPolicy::kBeamhill, 0.7, false, true);
  EXPECT_LT(r.errors, 0.01);
  EXPECT_GT(Bench(RoutingPolicy::kLeastOfTwo, 0.7, false, true).errors, 0.05);
}

}  // namespace
}  // namespace beamhill
