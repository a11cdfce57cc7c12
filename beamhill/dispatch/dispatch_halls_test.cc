// Tests how the Dispatcher treats data halls that are being evacuated.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Each;
using testing::IsEmpty;
using testing::Pair;
using testing::SizeIs;

class DispatcherHallsTest : public DispatcherTest {
 protected:
  // Connects vm-n in hall "north" and vm-s in hall "south", of 8 cores each.
  void ConnectOneVmPerHall() {
    TakeOwnership({});
    halls_["vm-n"] = "north";
    halls_["vm-s"] = "south";
    ConnectVm("vm-n");
    ConnectVm("vm-s");
  }

  void Evacuate(std::vector<std::string> halls) {
    dispatcher_->SetEvacuations({true, ++version_, std::move(halls)});
  }

  static Workflow LongRunningWorkflow(uint32_t tasks) {
    Workflow workflow = SingleStepWorkflow("serve", tasks, 2);
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s";
    workflow.steps[0].tail_target = milliseconds(20);
    return workflow;
  }

  std::vector<std::string> Alive() const { return {"vm-n", "vm-s"}; }

  uint64_t version_ = 0;
};

TEST_F(DispatcherHallsTest, NothingIsStartedInAnEvacuatedHall) {
  ConnectOneVmPerHall();
  Evacuate({"north"});
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 20, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-s", testing::_)));
}

TEST_F(DispatcherHallsTest, NoBestEffortTaskRetryOrIdleWorkflowIsStartedThere) {
  ConnectOneVmPerHall();
  Workflow workflow = SingleStepWorkflow("f", 30, 2);
  workflow.steps[0].best_effort = true;
  workflow.steps[0].image = "f";
  workflow.policy.max_attempts = 100;
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  auto running = Tick().starts;
  ASSERT_THAT(running, testing::Not(IsEmpty()));
  Evacuate({"north", "south"});
  std::map<std::string, uint64_t> ends;
  for (const auto& [vm, run] : running) {
    ReceiveEnd(vm, ++ends[vm], run, RunEndKind::kFailed);
  }
  // A workflow with no run for a second gets one on any VM with free memory,
  // except in these halls.
  AdvanceTime(seconds(5), Alive());
  EXPECT_THAT(TakeSent().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->StateOf("f"), WorkflowState::kRunning);
}

TEST_F(DispatcherHallsTest, TasksThatEndByThemselvesKeepRunning) {
  ConnectOneVmPerHall();
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 8, 2), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(8));
  Evacuate({"north"});
  AdvanceTime(seconds(2), Alive());
  EXPECT_THAT(TakeSent().stops, IsEmpty());
}

TEST_F(DispatcherHallsTest, LongRunningTasksMoveOutOnePerStepAtATime) {
  ConnectOneVmPerHall();
  Workflow serving = LongRunningWorkflow(4);
  serving.steps[0].max_per_vm = 2;
  dispatcher_->AddWorkflow(serving, std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(4));
  halls_["vm-s2"] = "south";
  ConnectVm("vm-s2");
  AdvanceTime(seconds(3), {"vm-n", "vm-s", "vm-s2"});
  TakeSent();
  Evacuate({"north"});
  AdvanceTime(seconds(1), {"vm-n", "vm-s", "vm-s2"});
  const auto stops = TakeSent().stops;
  ASSERT_THAT(stops, SizeIs(1));
  EXPECT_EQ(stops[0].first, "vm-n");
  ReceiveEnd("vm-n", 1, stops[0].second, RunEndKind::kStopped);
  AdvanceTime(seconds(1), {"vm-n", "vm-s", "vm-s2"});
  const auto after = TakeSent();
  ASSERT_THAT(after.starts, SizeIs(1));
  EXPECT_EQ(after.starts[0].first, "vm-s2");
  EXPECT_THAT(after.stops, IsEmpty());  // The moved task has only just started.
  AdvanceTime(seconds(3), {"vm-n", "vm-s", "vm-s2"});
  EXPECT_THAT(TakeSent().stops, SizeIs(1));
}

// Guards against an evacuation that rests for as long as some new task waits.
TEST_F(DispatcherHallsTest, EvacuationGoesOnWhileCapacityIsReserved) {
  TakeOwnership({});
  halls_["vm-n"] = "north";
  ConnectVm("vm-n");
  dispatcher_->AddWorkflow(LongRunningWorkflow(1), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  labels_["vm-s"] = {"large"};
  ConnectVm("vm-s");
  ConnectVm("vm-s2");
  Workflow quick = SingleStepWorkflow("quick", 4, 2);
  quick.steps[0].required_label = "large";
  dispatcher_->AddWorkflow(quick, std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(4));
  Workflow large = LongRunningWorkflow(1);
  large.id = "large";
  large.steps[0].each = {8000, 100, 0};
  large.steps[0].required_label = "large";
  dispatcher_->AddWorkflow(large, std::nullopt, now_);
  AdvanceTime(seconds(3), {"vm-n", "vm-s", "vm-s2"});
  ASSERT_THAT(TakeSent().starts, IsEmpty());
  Evacuate({"north"});
  AdvanceTime(seconds(1), {"vm-n", "vm-s", "vm-s2"});
  EXPECT_THAT(TakeSent().stops, SizeIs(1));
}

TEST_F(DispatcherHallsTest, LongRunningTasksStayWhileNoOtherHallHasCapacity) {
  ConnectOneVmPerHall();
  dispatcher_->AddWorkflow(LongRunningWorkflow(8), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(8));
  AdvanceTime(seconds(3), Alive());
  TakeSent();
  Evacuate({"north"});
  AdvanceTime(seconds(3), Alive());
  EXPECT_THAT(TakeSent().stops, IsEmpty());
}

TEST_F(DispatcherHallsTest, HallIsUsedAgainOnceItsEvacuationIsWithdrawn) {
  ConnectOneVmPerHall();
  Evacuate({"north", "south"});
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 8, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kQueued);
  Evacuate({"south"});
  const auto starts = Tick().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-n", testing::_)));
}

// The VMs of the hall disappear during its evacuation; their work has to start
// again in another hall.
TEST_F(DispatcherHallsTest, WorkOfAHallThatLosesPowerStartsElsewhere) {
  ConnectOneVmPerHall();
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 8, 2), std::nullopt, now_);
  for (const auto& [vm, run] : Tick().starts) {
    if (vm == "vm-s") {
      ReceiveEnd(vm, run.task.index + 1, run, RunEndKind::kDone);
    }
  }
  Evacuate({"north"});
  dispatcher_->OnLinkDown("vm-n");
  AdvanceTime(seconds(7), {"vm-s"});
  const auto starts = TakeSent().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-s", testing::_)));
}

// The executor's clock differs from the owner's, and the executor checks the
// latest start of an order by its own.
TEST_F(DispatcherHallsTest, LatestStartOfAnOrderIsOnTheExecutorsClock) {
  ConnectOneVmPerHall();
  const TimePoint executor_now{std::chrono::hours(5)};
  for (const char* vm : {"vm-n", "vm-s"}) {
    dispatcher_->OnHeartbeat(vm, {2, executor_now}, now_);
  }
  now_ += milliseconds(300);
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 1, 2), std::nullopt, now_);
  dispatcher_->Tick(now_, kUnixNow);
  for (const VmMessage& out : dispatcher_->TakeMessages()) {
    const auto* starts = std::get_if<StartRuns>(&out.message);
    if (starts == nullptr) continue;
    EXPECT_EQ(starts->latest_start,
              executor_now + milliseconds(300) + kStartOrderTtl);
    return;
  }
  FAIL() << "nothing was started";
}

}  // namespace
}  // namespace beamhill
