// Tests how the Dispatcher detects a task that crashes its runners, and
// distinguishes it from tasks that ran beside it.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Contains;
using testing::SizeIs;

const std::vector<std::string> kVms = {"vm-1", "vm-2", "vm-3", "vm-4"};

class DispatcherCrashesTest : public DispatcherTest {
 protected:
  DispatcherCrashesTest() {
    TakeOwnership({});
    for (const std::string& vm : kVms) ConnectVm(vm);
  }

  // Advances the time until a task of the workflow is started, and returns that
  // start; nothing if there was none within `time`.
  std::optional<std::pair<std::string, RunRef>> NextStart(
      const std::string& workflow, Duration time = seconds(4)) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      AdvanceTime(milliseconds(250), alive_);
      for (const auto& start : TakeSent().starts) {
        if (start.second.task.workflow == workflow) return start;
      }
    }
    return std::nullopt;
  }

  // Lets the workflow's only task crash so many runners. Returns whether it was
  // started on each of them.
  bool CrashRunners(const std::string& workflow, int runners) {
    for (int i = 0; i < runners; ++i) {
      const auto start = NextStart(workflow);
      if (!start) return false;
      LoseRunner(start->first, {start->second});
    }
    return true;
  }

  void Add(const std::string& id, uint32_t tasks = 1) {
    dispatcher_->AddWorkflow(SingleStepWorkflow(id, tasks, 2), std::nullopt,
                             now_);
  }

  std::vector<std::string> alive_ = kVms;  // VMs that send heartbeats.
};

TEST_F(DispatcherCrashesTest, TaskThatCrashesFourRunnersFailsItsWorkflow) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
  ASSERT_TRUE(CrashRunners("a", 1));
  EXPECT_TRUE(CommitProgress());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
  EXPECT_FALSE(NextStart("a"));
}

// Guards against suspects that wait for a trial without a bound. Each loss of a
// runner makes suspects of all that had just begun there, and only two of these
// VMs are on trial at once. Users count a long-running task as lost after 6 s.
TEST_F(DispatcherCrashesTest, ManySuspectsStartInTime) {
  constexpr int kSuspects = 40;
  std::map<std::string, std::vector<RunRef>> running;  // By VM.
  const auto start_for = [&](Duration time) {
    size_t started = 0;
    for (const TimePoint end = now_ + time; now_ < end;) {
      AdvanceTime(milliseconds(250), kVms);
      for (const auto& [vm, run] : TakeSent().starts) {
        running[vm].push_back(run);
        ++started;
      }
    }
    return started;
  };
  for (int i = 0; i < kSuspects; ++i) {
    Workflow workflow = SingleStepWorkflow("w" + std::to_string(i), 1, 2);
    workflow.steps[0].each = {200, 100, 0};
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }
  for (int losses = 0; losses < 2; ++losses) {
    ASSERT_EQ(start_for(seconds(6)), kSuspects) << losses;
    for (const auto& [vm, runs] : std::exchange(running, {})) {
      LoseRunner(vm, runs);
    }
  }
  EXPECT_EQ(start_for(seconds(6)), kSuspects);
}

// Guards against tasks that wait, one after the other, for the trial of their
// workflow on a VM that takes only one of them. Users count a long-running task
// as lost after 6 s.
TEST_F(DispatcherCrashesTest, TasksKeptApartDoNotWaitForEachOthersTrials) {
  constexpr size_t kTasks = 8;
  constexpr int kManyVms = 16;
  for (const bool busy : {false, true}) {
    for (const int losses : {1, 2, 3}) {
      SCOPED_TRACE(std::to_string(losses) + (busy ? " busy" : " idle"));
      TakeOwnership({});
      alive_.clear();
      for (int i = 1; i <= kManyVms; ++i) {
        alive_.push_back("vm-" + std::to_string(i));
        ConnectVm(alive_.back());
      }
      Workflow workflow = SingleStepWorkflow("a", kTasks, 2);
      workflow.steps[0].long_running = true;
      workflow.steps[0].max_per_vm = 1;
      dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
      std::vector<std::pair<std::string, RunRef>> running;
      int others = 0;
      const auto starts_in = [&](Duration time) {
        for (const TimePoint end = now_ + time; now_ < end;) {
          // A start on each VM that is not on trial.
          Workflow other =
              SingleStepWorkflow("b" + std::to_string(++others), kManyVms, 2);
          other.steps[0].max_per_vm = 1;
          other.steps[0].each = {10, 10, 0};
          if (busy) dispatcher_->AddWorkflow(other, std::nullopt, now_);
          AdvanceTime(milliseconds(250), alive_);
          for (const auto& start : TakeSent().starts) {
            if (start.second.task.workflow == "a") running.push_back(start);
          }
        }
        return running.size();
      };
      for (int i = 0; i < losses; ++i) {
        ASSERT_EQ(starts_in(seconds(6)), kTasks);
        for (const auto& [vm, run] : std::exchange(running, {})) {
          LoseRunner(vm, {run});
        }
      }
      EXPECT_EQ(starts_in(seconds(6)), kTasks);
    }
  }
}

// Of the workflows that share a trial, all but one are innocent.
TEST_F(DispatcherCrashesTest, LossOfASharedTrialIsNotCounted) {
  Workflow workflow = SingleStepWorkflow("a", 1, 2);
  WorkflowProgress progress(workflow);
  const TaskRef task{"a", 0, 0, 0};
  for (const uint64_t run : {1, 2}) progress.OnRunnerCrash(task, run);
  progress.At(task).shared_trial_run = 3;
  for (const uint64_t run : {3, 4}) progress.OnRunnerCrash(task, run);
  EXPECT_NE(progress.state(), WorkflowState::kFailed);
  progress.OnRunnerCrash(task, 5);
  EXPECT_EQ(progress.state(), WorkflowState::kFailed);
}

// The loss of a runner that crashes for reasons of its own would count against
// any task that is on trial there.
TEST_F(DispatcherCrashesTest, SuspectStartsWhereNoRunnerWasLostRecently) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 1));
  LoseRunner("vm-1", {});
  LoseRunner("vm-2", {});
  LoseRunner("vm-3", {});
  const auto start = NextStart("a");
  ASSERT_TRUE(start);
  EXPECT_EQ(start->first, "vm-4");
}

TEST_F(DispatcherCrashesTest, NothingElseStartsWhereASuspectHasJustStarted) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 1));
  const auto trial = NextStart("a");
  ASSERT_TRUE(trial);
  Add("b", 16);  // Some fit on each VM.
  for (int i = 0; i < 4; ++i) {
    AdvanceTime(milliseconds(250), kVms);
    for (const auto& [vm, run] : TakeSent().starts) EXPECT_NE(vm, trial->first);
  }
  AdvanceTime(milliseconds(500), kVms);
  EXPECT_THAT(TakeSent().starts,
              Contains(testing::Pair(trial->first, testing::_)));
}

TEST_F(DispatcherCrashesTest, SuspectWaitsUntilNothingElseHasJustStarted) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 1));
  // Leaves room for one more task on one VM.
  Workflow first = SingleStepWorkflow("b", 15, 2);
  first.policy.priority = -1;
  dispatcher_->AddWorkflow(first, std::nullopt, now_);
  const TimePoint b_started = now_ + milliseconds(250);
  const auto trial = NextStart("a");
  ASSERT_TRUE(trial);
  EXPECT_GE(ToMillis(now_ - b_started), ToMillis(kCrashWindow));
}

TEST_F(DispatcherCrashesTest,
       RunReportedAsLongerThanTheCrashWindowClearsItsTask) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 3));
  const auto third = NextStart("a");
  ASSERT_TRUE(third);
  LoseRunner(third->first, {}, {third->second});
  ASSERT_TRUE(CrashRunners("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// A long-running task does not end, so the length of its run has to clear it.
TEST_F(DispatcherCrashesTest, RunOfLongDurationClearsItsTask) {
  Workflow workflow = SingleStepWorkflow("a", 1, 2);
  workflow.steps[0].long_running = true;
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  ASSERT_TRUE(CrashRunners("a", 3));
  const auto third = NextStart("a");
  ASSERT_TRUE(third);
  AdvanceTime(seconds(11), kVms);
  // The runner is lost for another reason; the run had begun before.
  LoseRunner(third->first, {});
  ASSERT_TRUE(CrashRunners("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// A gang's tasks are placed together, so two waiting gangs would share their
// VMs at each attempt, and the healthy one would be suspected as much as the
// other.
TEST_F(DispatcherCrashesTest, GangsUnderSuspicionDoNotShareAVm) {
  for (const char* id : {"a", "b"}) {
    Workflow gang = SingleStepWorkflow(id, 2, 2);
    gang.steps[0].gang = true;
    dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  }
  AdvanceTime(milliseconds(250), kVms);
  std::map<std::string, std::vector<RunRef>> begun;
  for (const auto& [vm, run] : TakeSent().starts) begun[vm].push_back(run);
  for (const auto& [vm, runs] : begun) LoseRunner(vm, runs);
  AdvanceTime(milliseconds(250), kVms);
  std::map<std::string, std::set<std::string>> workflows;
  for (const auto& [vm, run] : TakeSent().starts) {
    workflows[vm].insert(run.task.workflow);
  }
  EXPECT_FALSE(workflows.empty());
  for (const auto& [vm, ids] : workflows) EXPECT_THAT(ids, SizeIs(1)) << vm;
}

// The runner does not return before its lease ends, while its executor stays
// connected.
TEST_F(DispatcherCrashesTest,
       LossOfAnUnresponsiveRunnerCountsOnceItsLeaseEnds) {
  Add("a");
  for (int i = 0; i < 4; ++i) {
    const auto start = NextStart("a", seconds(8));
    ASSERT_TRUE(start) << i;
    alive_.erase(std::find(alive_.begin(), alive_.end(), start->first));
  }
  EXPECT_FALSE(NextStart("a", seconds(8)));
  EXPECT_TRUE(CommitProgress());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

TEST_F(DispatcherCrashesTest, NextOwnerRestoresStoredCrashes) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 3));
  const auto commit = dispatcher_->TakeCommit(now_);
  ASSERT_TRUE(commit);
  ASSERT_THAT(commit->progress, SizeIs(1));
  TakeOwnership({});
  for (const std::string& vm : kVms) ConnectVm(vm);
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 1, 2),
                           commit->progress[0].second, now_);
  ASSERT_TRUE(CrashRunners("a", 1));
  EXPECT_TRUE(CommitProgress());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// The executor gave the silent runner up and kept its list of ends; the runner
// has answered since, so its inventory lists the same ends again.
TEST_F(DispatcherCrashesTest, EndsOfAnIncarnationThatGoesOnAreAppliedOnce) {
  Add("a", 2);
  AdvanceTime(milliseconds(250), alive_);
  const auto starts = TakeSent().starts;
  ASSERT_THAT(starts, SizeIs(2));
  const std::string vm = starts[0].first;
  ASSERT_EQ(starts[1].first, vm);
  const RunEnd stopped{1, starts[0].second, RunEndKind::kStopped, ""};
  const RunEnd done{2, starts[1].second, RunEndKind::kDone, ""};
  const PastIncarnation past{
      StatusOf(vm).incarnation, false, {stopped, done}, {}, {}};
  dispatcher_->OnInventory(
      vm, {2, StatusOf(vm), {}, {}, {stopped, done}, {past}}, now_);
  EXPECT_EQ(dispatcher_->HeldRunsOf("a"), 0U);
  EXPECT_EQ(dispatcher_->counts().done, 1U);
  EXPECT_TRUE(NextStart("a"));
}

TEST_F(DispatcherCrashesTest, RepeatedReportOfALossCountsOnce) {
  Add("a");
  ASSERT_TRUE(CrashRunners("a", 1));
  const auto start = NextStart("a");
  ASSERT_TRUE(start);
  for (int i = 0; i < 4; ++i) LoseRunner(start->first, {start->second});
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// A suspect that has waited for long is started without a trial. If the wait
// counted only from the end of a run that the owner itself has seen, a new
// owner that restores a hundred suspects would make them all wait for the few
// VMs that are on trial at a time: some for more than 38 s, although most of
// the capacity is free.
TEST_F(DispatcherCrashesTest, NextOwnerDoesNotKeepSuspectsWaitingForTrials) {
  ProgressRecord record;
  record.opened_by_epoch = 1;
  record.steps.resize(1);
  record.steps[0].crashes = {{0, {1}}};
  constexpr size_t kSuspects = 12;  // The VMs have capacity for all of them.
  for (size_t i = 0; i < kSuspects; ++i) {
    dispatcher_->AddWorkflow(SingleStepWorkflow("s" + std::to_string(i), 1, 1),
                             record, now_);
  }
  EXPECT_TRUE(CommitProgress());
  AdvanceTime(seconds(4), kVms);
  EXPECT_THAT(TakeSent().starts, SizeIs(kSuspects));
}

}  // namespace
}  // namespace beamhill
