#include "beamhill/workflow/workflow_progress.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using Phase = WorkflowProgress::Phase;
using testing::SizeIs;

constexpr UnixMillis kNow{1'000'000};
constexpr TimePoint kStart{std::chrono::hours(1)};

// Two steps, of three tasks and of one; the second waits for the first.
Workflow TwoSteps(uint32_t attempts) {
  Workflow workflow;
  workflow.id = "w1";
  workflow.policy.max_attempts = attempts;
  workflow.steps.resize(2);
  workflow.steps[0].tasks = 3;
  workflow.steps[1].tasks = 1;
  workflow.steps[1].after = {0};
  return workflow;
}

TaskRef Task(uint32_t step, uint32_t index) { return {"w1", 0, step, index}; }

void RunOnce(WorkflowProgress& progress, const TaskRef& task, uint64_t run,
             RunEndKind kind) {
  progress.OnStarted(task, run, "vm-1", kStart);
  progress.OnEnded(task, run, kind, "", kStart);
}

TEST(WorkflowProgressTest, StepWaitsForEveryTaskOfEarlierSteps) {
  WorkflowProgress progress(TwoSteps(2));
  RunOnce(progress, Task(0, 0), 1, RunEndKind::kDone);
  RunOnce(progress, Task(0, 2), 1, RunEndKind::kDone);
  ASSERT_THAT(progress.OpenSteps(kNow), SizeIs(1));
  EXPECT_EQ(progress.OpenSteps(kNow)[0].step, 0);
  RunOnce(progress, Task(0, 1), 1, RunEndKind::kDone);
  ASSERT_THAT(progress.OpenSteps(kNow), SizeIs(1));
  EXPECT_EQ(progress.OpenSteps(kNow)[0].step, 1);
}

TEST(WorkflowProgressTest, WaitsUntilARunnerHasBegunATask) {
  WorkflowProgress progress(TwoSteps(2));
  RunOnce(progress, Task(0, 0), 1, RunEndKind::kNotBegun);
  progress.OnStarted(Task(0, 0), 2, "vm-1", kStart);
  EXPECT_EQ(progress.state(), WorkflowState::kQueued);
  progress.OnBegun();
  EXPECT_EQ(progress.state(), WorkflowState::kRunning);
}

TEST(WorkflowProgressTest, CompletesWithTheLastTask) {
  WorkflowProgress progress(TwoSteps(2));
  for (uint32_t i = 0; i < 3; ++i) {
    RunOnce(progress, Task(0, i), 1, RunEndKind::kDone);
  }
  EXPECT_EQ(progress.state(), WorkflowState::kRunning);
  RunOnce(progress, Task(1, 0), 1, RunEndKind::kDone);
  EXPECT_EQ(progress.state(), WorkflowState::kCompleted);
}

TEST(WorkflowProgressTest, OnlyFailuresCountAsAttempts) {
  WorkflowProgress progress(TwoSteps(2));
  uint64_t run = 1;
  for (const RunEndKind kind :
       {RunEndKind::kStopped, RunEndKind::kLapsed, RunEndKind::kBroken,
        RunEndKind::kAlone, RunEndKind::kNotBegun, RunEndKind::kFailed}) {
    RunOnce(progress, Task(0, 0), run++, kind);
  }
  EXPECT_EQ(progress.state(), WorkflowState::kRunning);
  RunOnce(progress, Task(0, 0), run++, RunEndKind::kFailed);
  EXPECT_EQ(progress.state(), WorkflowState::kFailed);
}

// A run that lasted may be told of again, long after later ones crashed.
TEST(WorkflowProgressTest, RunThatOutlivedItsStartClearsOnlyEarlierCrashes) {
  WorkflowProgress progress(TwoSteps(2));
  const TaskRef task{"w", 0, 0, 0};
  EXPECT_TRUE(progress.OnRunnerCrash(task, 1));
  EXPECT_TRUE(progress.OnStartSurvived(task, 2));
  for (uint64_t run = 3; run <= 6; ++run) {
    EXPECT_FALSE(progress.over());
    EXPECT_TRUE(progress.OnRunnerCrash(task, run));
    EXPECT_FALSE(progress.OnStartSurvived(task, 2));
  }
  EXPECT_EQ(progress.state(), WorkflowState::kFailed);
}

TEST(WorkflowProgressTest, FailureReportedTwiceCountsOnce) {
  WorkflowProgress progress(TwoSteps(2));
  RunOnce(progress, Task(0, 0), 1, RunEndKind::kFailed);
  progress.OnEnded(Task(0, 0), 1, RunEndKind::kFailed, "", kStart);
  EXPECT_EQ(progress.state(), WorkflowState::kRunning);
}

// A new owner hears the ends of one task from several VMs, in any order. With
// only the highest failed run kept, the earlier ones were not counted and the
// task was started once too often (a day drawn by the users' bench).
TEST(WorkflowProgressTest, FailuresHeardOutOfOrderAllCount) {
  WorkflowProgress progress(TwoSteps(3));
  for (const uint64_t run : {3, 5, 1}) {
    progress.OnEnded(Task(0, 0), run, RunEndKind::kFailed, "", kStart);
  }
  EXPECT_EQ(progress.state(), WorkflowState::kFailed);
}

TEST(WorkflowProgressTest, RecordRestoresDoneAndFailures) {
  const Workflow workflow = TwoSteps(2);
  WorkflowProgress first(workflow);
  RunOnce(first, Task(0, 0), 1, RunEndKind::kDone);
  RunOnce(first, Task(0, 1), 7, RunEndKind::kFailed);
  WorkflowProgress second(workflow);
  second.Restore(first.Record(/*epoch=*/4));
  EXPECT_EQ(second.At(Task(0, 0)).phase, Phase::kDone);
  EXPECT_EQ(second.At(Task(0, 1)).phase, Phase::kWaiting);
  EXPECT_EQ(second.At(Task(0, 1)).run, 7);
  second.OnEnded(Task(0, 1), 7, RunEndKind::kFailed, "", kStart);
  EXPECT_EQ(second.state(), WorkflowState::kRunning);
  second.OnEnded(Task(0, 1), 8, RunEndKind::kFailed, "", kStart);
  EXPECT_EQ(second.state(), WorkflowState::kFailed);
}

TEST(WorkflowProgressTest, EndOfAnEarlierRunLeavesTheHeldOne) {
  WorkflowProgress progress(TwoSteps(2));
  progress.OnStarted(Task(0, 0), 2, "vm-2", kStart);
  progress.OnEnded(Task(0, 0), 1, RunEndKind::kLapsed, "", kStart);
  EXPECT_EQ(progress.At(Task(0, 0)).phase, Phase::kHeld);
  EXPECT_EQ(progress.At(Task(0, 0)).vm, "vm-2");
}

TEST(WorkflowProgressTest, OneMemberEndsItsWholeGang) {
  Workflow workflow = TwoSteps(2);
  workflow.steps[0].gang = true;
  WorkflowProgress progress(workflow);
  RunOnce(progress, Task(0, 1), 1, RunEndKind::kDone);
  EXPECT_TRUE(progress.StepDone(0, 0));
}

TEST(WorkflowProgressTest, LongRunningTaskStartsAgainHoweverItEnds) {
  Workflow workflow = TwoSteps(1);
  workflow.steps[0].long_running = true;
  WorkflowProgress progress(workflow);
  for (const RunEndKind kind : {RunEndKind::kDone, RunEndKind::kFailed}) {
    RunOnce(progress, Task(0, 0), 1, kind);
    EXPECT_EQ(progress.At(Task(0, 0)).phase, Phase::kWaiting);
    EXPECT_EQ(progress.state(), WorkflowState::kRunning);
  }
}

TEST(WorkflowProgressTest, RoundsOpenWhenTheyFallDue) {
  Workflow workflow = TwoSteps(2);
  workflow.repetitions = 3;
  workflow.first_due = kNow;
  workflow.interval = UnixMillis(500);
  WorkflowProgress progress(workflow);
  EXPECT_THAT(progress.OpenSteps(kNow - UnixMillis(1)), SizeIs(0));
  EXPECT_THAT(progress.OpenSteps(kNow), SizeIs(1));
  EXPECT_THAT(progress.OpenSteps(kNow + UnixMillis(500)), SizeIs(2));
  EXPECT_TRUE(progress.HasLaterRound(kNow + UnixMillis(500)));
}

TEST(WorkflowProgressTest, CancelledStaysCancelled) {
  WorkflowProgress progress(TwoSteps(2));
  progress.OnStarted(Task(0, 0), 1, "vm-1", kStart);
  progress.Cancel();
  progress.OnEnded(Task(0, 0), 1, RunEndKind::kDone, "", kStart);
  EXPECT_EQ(progress.state(), WorkflowState::kCancelled);
  EXPECT_THAT(progress.OpenSteps(kNow), SizeIs(0));
}

TEST(CheckWorkflowTest, RefusesWhatCannotBeRun) {
  EXPECT_FALSE(CheckWorkflow(TwoSteps(1)));
  Workflow no_steps = TwoSteps(1);
  no_steps.steps.clear();
  EXPECT_TRUE(CheckWorkflow(no_steps));
  Workflow waits_for_itself = TwoSteps(1);
  waits_for_itself.steps[1].after = {1};
  EXPECT_TRUE(CheckWorkflow(waits_for_itself));
  Workflow no_tasks = TwoSteps(1);
  no_tasks.steps[0].tasks = 0;
  EXPECT_TRUE(CheckWorkflow(no_tasks));
  Workflow too_many = TwoSteps(1);
  too_many.repetitions = 1000;
  too_many.steps[0].tasks = 10'000;
  EXPECT_TRUE(CheckWorkflow(too_many));
}

}  // namespace
}  // namespace beamhill
