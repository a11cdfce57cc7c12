// Load replays whose demand approaches or exceeds the capacity.
#include "beamhill/replay/load_replay.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requirement: no workflow goes without an active run for 3 s while there is
// free capacity. An idle workflow gets a run after 1 s; the second added here
// is for runs that end and are restarted meanwhile.
constexpr Duration kMaxIdleTime = milliseconds(2000);
// Requirement: best-effort tasks keep no serving task over its latency target
// for 4 s.
constexpr Duration kMaxViolation = seconds(4);
// Best-effort arrival rate that counts as a demand of 1, that is, for all cores
// of the 15 VMs which quick and serving work leave, by the means of ReplayLoad.
constexpr double kFullDemandArrivalsPerS = 0.98;

ReplayLoad BestEffortLoad(double demand, uint64_t seed) {
  ReplayLoad load;
  load.seed = seed;
  load.best_effort_work.arrivals_per_s = demand * kFullDemandArrivalsPerS;
  load.arrival_phase = seconds(60);
  load.burst_factor = 1;
  return load;
}

void ExpectProgress(const ReplayLoad& load) {
  const ReplayOutcome outcome = RunLoadReplay(load);
  EXPECT_LT(ToMillis(outcome.LongestIdle()), ToMillis(kMaxIdleTime));
  EXPECT_LT(ToMillis(outcome.max_violation), ToMillis(kMaxViolation));
  EXPECT_EQ(outcome.Unfinished(), 0U);
}

// Guards against a workflow that starves behind earlier ones: one with 34 tasks
// that each need many cores had no active run for 24 s, since earlier work
// occupied all VMs.
TEST(LoadReplayTest, WorkflowsProgressAt120PercentDemand) {
  ReplayLoad load = BestEffortLoad(1.2, 1);
  load.drain_phase = seconds(60);
  ExpectProgress(load);
}

TEST(LoadReplayTest, WorkflowsProgressAtTwiceTheCapacity) {
  ReplayLoad load = BestEffortLoad(2, 2);
  load.drain_phase = seconds(120);
  ExpectProgress(load);
}

TEST(LoadReplayTest, WorkflowsProgressAtFiveTimesTheCapacity) {
  ReplayLoad load = BestEffortLoad(5, 3);
  load.drain_phase = seconds(330);
  ExpectProgress(load);
}

TEST(LoadReplayTest, WorkflowsProgressWhereEveryImageInterferes) {
  // Where all services are sensitive, best-effort tasks can use only a few
  // percent of the cores.
  ReplayLoad load = BestEffortLoad(0.25, 4);
  load.interfering_fraction = 1;
  load.serving_steps = 3;
  // Neither memory nor reserved processors may be the limit.
  load.serving_resources.memory_mib = 5000;
  load.quick_work.arrivals_per_s = 1;
  load.drain_phase = seconds(300);
  ExpectProgress(load);
}

TEST(LoadReplayTest, WorkflowsProgressWithServicesOnEveryVm) {
  ReplayLoad load = BestEffortLoad(1, 5);
  load.serving_steps = 3;
  load.serving_tasks = 15;
  load.drain_phase = seconds(120);
  ExpectProgress(load);
}

TEST(LoadReplayTest, WorkflowsProgressWithEightyLargeTasksPerStep) {
  ReplayLoad load = BestEffortLoad(2, 6);
  load.best_effort_work.arrivals_per_s /= 2;
  load.best_effort_work.tasks = 80;
  load.best_effort_work.resources.cpu_millis = 5600;
  load.drain_phase = seconds(180);
  ExpectProgress(load);
}

// Returns a load whose services reserve 95 % of the processors and use half of
// them. Best-effort work of 18 images interferes with half of the services and
// needs nearly all that is left, so that throttled work adds to new arrivals.
ReplayLoad ServiceHeavyLoad(uint64_t seed) {
  ReplayLoad load;
  load.seed = seed;
  load.vm = {64000, 256000, 0};
  load.best_effort_work = {
      1.2, 2, 20, 80, {7000, 13000, 0}, milliseconds(1700), 2, seconds(1), 2};
  load.quick_work.arrivals_per_s = 2;
  load.quick_work.tasks = 10;
  load.quick_work.run_time = milliseconds(640);
  load.serving_steps = 5;
  load.serving_tasks = 14;
  load.serving_resources = {13000, 26000, 0};
  load.serving_images = 10;
  load.best_effort_images = 18;
  load.interfering_fraction = 0.5;
  load.base_tail = milliseconds(5);
  load.burst_factor = 1.4;
  load.estimate_error = 0.9;
  return load;
}

TEST(LoadReplayTest, AdaptivePacePolicyOutperformsCautiousOne) {
  double cautious_score = 0;
  double adaptive_score = 0;
  for (uint64_t seed = 1; seed <= 4; ++seed) {
    ReplayLoad load = ServiceHeavyLoad(seed);
    const ReplayOutcome adaptive = RunLoadReplay(load);
    EXPECT_LT(ToMillis(adaptive.max_violation), ToMillis(kMaxViolation));
    adaptive_score += adaptive.Score(/*best_effort=*/true);
    load.always_cautious = true;
    cautious_score += RunLoadReplay(load).Score(/*best_effort=*/true);
  }
  EXPECT_GT(adaptive_score, 1.25 * cautious_score);
}

}  // namespace
}  // namespace beamhill
