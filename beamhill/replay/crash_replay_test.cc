// Guards against a task that crashes every runner which starts it and is
// restarted without end.
//
// If only runs that a runner lists as failed count as attempts, the run of a
// task that crashes its runner 10 ms after its start is released as lapsed when
// the runner returns 3 s later as another incarnation, and the task is started
// on the next runner. On 11 VMs this caused 272 runner registrations in 115 s
// and 21 starts of two tasks by their last owner alone, and each crash ended 10
// to 30 other runs.
//
// Such a task must fail, also across changes of the owner, and no other task
// may fail with it.
#include "beamhill/replay/crash_replay.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requirement: a task that has crashed three runners is started at most twice
// more.
constexpr uint32_t kMaxStartsAfterThirdLoss = 2;

void ExpectOnlyCrashingWorkflowsFail(const CrashLoad& load) {
  const CrashOutcome outcome = RunCrashReplay(load);
  SCOPED_TRACE(outcome.ToString());
  EXPECT_LE(outcome.max_starts_after_third_loss, kMaxStartsAfterThirdLoss);
  EXPECT_EQ(outcome.crashing_not_failed, 0U);
  EXPECT_EQ(outcome.healthy_failed, 0U);
  EXPECT_EQ(outcome.healthy_unfinished, 0U);
}

TEST(CrashReplayTest, TaskThatCrashesItsRunnersFails) {
  CrashLoad load;
  load.crashing = 2;
  ExpectOnlyCrashingWorkflowsFail(load);
}

TEST(CrashReplayTest, CrashingTaskFailsAcrossOwnerChanges) {
  CrashLoad load;
  load.crashing = 2;
  load.owner_change_interval = seconds(4);
  ExpectOnlyCrashingWorkflowsFail(load);
}

TEST(CrashReplayTest, EightConcurrentCrashingTasksFailNoOthers) {
  CrashLoad load;
  load.crashing = 8;
  ExpectOnlyCrashingWorkflowsFail(load);
}

TEST(CrashReplayTest, UnrelatedRunnerLossesFailNoWorkflow) {
  for (const uint64_t seed : {1, 2, 3}) {
    CrashLoad load;
    load.seed = seed;
    load.unrelated_losses_per_s = 0.5;
    load.unstable_vms = 3;
    const CrashOutcome outcome = RunCrashReplay(load);
    SCOPED_TRACE(outcome.ToString());
    EXPECT_EQ(outcome.healthy_failed, 0U);
    EXPECT_EQ(outcome.healthy_unfinished, 0U);
  }
}

}  // namespace
}  // namespace beamhill
