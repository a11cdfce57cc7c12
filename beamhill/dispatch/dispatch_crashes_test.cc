// How the Dispatcher finds a task that takes its runners down, and tells it
// from its neighbours.
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
    Take({});
    for (const std::string& vm : kVms) Link(vm);
  }

  // The next start of the workflow's task within so long, if there is any.
  std::optional<std::pair<std::string, RunRef>> NextStart(
      const std::string& workflow, Duration time = seconds(4)) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      Pass(milliseconds(250), alive_);
      for (const auto& start : Take().starts) {
        if (start.second.task.workflow == workflow) return start;
      }
    }
    return std::nullopt;
  }

  // The workflow's only task takes so many runners down. Returns whether it
  // was started for each of them.
  bool TakeDown(const std::string& workflow, int runners) {
    for (int i = 0; i < runners; ++i) {
      const auto start = NextStart(workflow);
      if (!start) return false;
      LoseRunner(start->first, {start->second});
    }
    return true;
  }

  void Add(const std::string& id, uint32_t tasks = 1) {
    dispatcher_->AddWorkflow(OneStep(id, tasks, 2), std::nullopt, now_);
  }

  std::vector<std::string> alive_ = kVms;  // VMs that send heartbeats.
};

TEST_F(DispatcherCrashesTest, TaskThatTakesFourRunnersDownIsGivenUp) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
  ASSERT_TRUE(TakeDown("a", 1));
  EXPECT_TRUE(Store());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
  EXPECT_FALSE(NextStart("a"));
}

// A VM that loses its runner by itself would speak against any task.
TEST_F(DispatcherCrashesTest, SuspectGoesWhereNoRunnerWasLostOfLate) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 1));
  LoseRunner("vm-1", {});
  LoseRunner("vm-2", {});
  LoseRunner("vm-3", {});
  const auto start = NextStart("a");
  ASSERT_TRUE(start);
  EXPECT_EQ(start->first, "vm-4");
}

TEST_F(DispatcherCrashesTest, NothingElseStartsWhereASuspectHasJustBegun) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 1));
  const auto trial = NextStart("a");
  ASSERT_TRUE(trial);
  Add("b", 16);  // Room for it is on all four.
  for (int i = 0; i < 4; ++i) {
    Pass(milliseconds(250), kVms);
    for (const auto& [vm, run] : Take().starts) EXPECT_NE(vm, trial->first);
  }
  Pass(milliseconds(500), kVms);
  EXPECT_THAT(Take().starts, Contains(testing::Pair(trial->first, testing::_)));
}

TEST_F(DispatcherCrashesTest, SuspectWaitsUntilNothingElseHasJustBegun) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 1));
  Workflow first = OneStep("b", 15, 2);  // One more finds room on one VM.
  first.policy.priority = -1;
  dispatcher_->AddWorkflow(first, std::nullopt, now_);
  const TimePoint b_began = now_ + milliseconds(250);
  const auto trial = NextStart("a");
  ASSERT_TRUE(trial);
  EXPECT_GE(ToMillis(now_ - b_began), ToMillis(kCrashWindow));
}

TEST_F(DispatcherCrashesTest, RunThatOutlivedItsStartClearsItsTask) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 3));
  const auto third = NextStart("a");
  ASSERT_TRUE(third);
  LoseRunner(third->first, {}, {third->second});
  ASSERT_TRUE(TakeDown("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// A lasting task that is at work ends its suspicion by lasting.
TEST_F(DispatcherCrashesTest, RunThatLastsClearsItsTask) {
  Workflow lasting = OneStep("a", 1, 2);
  lasting.steps[0].long_running = true;
  dispatcher_->AddWorkflow(lasting, std::nullopt, now_);
  ASSERT_TRUE(TakeDown("a", 3));
  const auto third = NextStart("a");
  ASSERT_TRUE(third);
  Pass(seconds(11), kVms);
  // It goes down with its runner for another reason, as it was seen to begin.
  LoseRunner(third->first, {});
  ASSERT_TRUE(TakeDown("a", 3));
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// Gangs find their places together, so that two which wait would share their
// VMs each time, and a sound one would seem as guilty as the other.
TEST_F(DispatcherCrashesTest, GangsUnderSuspicionDoNotShareAVm) {
  for (const char* id : {"a", "b"}) {
    Workflow gang = OneStep(id, 2, 2);
    gang.steps[0].gang = true;
    dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  }
  Pass(milliseconds(250), kVms);
  std::map<std::string, std::vector<RunRef>> begun;
  for (const auto& [vm, run] : Take().starts) begun[vm].push_back(run);
  for (const auto& [vm, runs] : begun) LoseRunner(vm, runs);
  Pass(milliseconds(250), kVms);
  std::map<std::string, std::set<std::string>> workflows;
  for (const auto& [vm, run] : Take().starts) {
    workflows[vm].insert(run.task.workflow);
  }
  EXPECT_FALSE(workflows.empty());
  for (const auto& [vm, ids] : workflows) EXPECT_THAT(ids, SizeIs(1)) << vm;
}

// The runner comes back only after the lease; its executor is there meanwhile.
TEST_F(DispatcherCrashesTest, RunnerThatStaysAwayCountsOnceItsLeaseIsOver) {
  Add("a");
  for (int i = 0; i < 4; ++i) {
    const auto start = NextStart("a", seconds(8));
    ASSERT_TRUE(start) << i;
    alive_.erase(std::find(alive_.begin(), alive_.end(), start->first));
  }
  EXPECT_FALSE(NextStart("a", seconds(8)));
  EXPECT_TRUE(Store());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

TEST_F(DispatcherCrashesTest, NextOwnerKnowsWhatWasStored) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 3));
  const auto commit = dispatcher_->TakeCommit(now_);
  ASSERT_TRUE(commit);
  ASSERT_THAT(commit->progress, SizeIs(1));
  Take({});
  for (const std::string& vm : kVms) Link(vm);
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), commit->progress[0].second,
                           now_);
  ASSERT_TRUE(TakeDown("a", 1));
  EXPECT_TRUE(Store());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// The runner was given up as silent and has answered since: what it lists now
// includes what was kept of it.
TEST_F(DispatcherCrashesTest, EndsOfALifeThatGoesOnAreTakenOnce) {
  Add("a", 2);
  Pass(milliseconds(250), alive_);
  const auto starts = Take().starts;
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

TEST_F(DispatcherCrashesTest, SameLossToldTwiceCountsOnce) {
  Add("a");
  ASSERT_TRUE(TakeDown("a", 1));
  const auto start = NextStart("a");
  ASSERT_TRUE(start);
  for (int i = 0; i < 4; ++i) LoseRunner(start->first, {start->second});
  EXPECT_NE(dispatcher_->StateOf("a"), WorkflowState::kFailed);
}

// An owner had gone down with many runners, and its successor knew a hundred
// suspects from what was stored. How long each had been away counted from the
// end of a run that the successor itself had seen, so that for these no time
// passed: they waited for a trial alone, a few of which are free at a time, and
// some were still waiting after 38 s with most of the room free.
TEST_F(DispatcherCrashesTest, NextOwnerLeavesNoSuspectWaitingForATrial) {
  ProgressRecord record;
  record.opened_by = 1;
  record.steps.resize(1);
  record.steps[0].crashes = {{0, {1}}};
  constexpr size_t kSuspects = 12;  // There is room for each.
  for (size_t i = 0; i < kSuspects; ++i) {
    dispatcher_->AddWorkflow(OneStep("s" + std::to_string(i), 1, 1), record,
                             now_);
  }
  EXPECT_TRUE(Store());
  Pass(seconds(4), kVms);
  EXPECT_THAT(Take().starts, SizeIs(kSuspects));
}

}  // namespace
}  // namespace beamhill
