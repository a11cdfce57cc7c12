// How the Dispatcher heeds data halls that are to be emptied.
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
  // A VM of 8 cores in each of the halls "north" and "south".
  void TakeTwoHalls() {
    Take({});
    halls_["vm-n"] = "north";
    halls_["vm-s"] = "south";
    Link("vm-n");
    Link("vm-s");
  }

  void Evacuate(std::vector<std::string> halls) {
    dispatcher_->SetEvacuations({true, ++version_, std::move(halls)});
  }

  static Workflow Lasting(uint32_t tasks) {
    Workflow workflow = OneStep("serve", tasks, 2);
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s";
    workflow.steps[0].tail_target = milliseconds(20);
    return workflow;
  }

  std::vector<std::string> Alive() const { return {"vm-n", "vm-s"}; }

  uint64_t version_ = 0;
};

TEST_F(DispatcherHallsTest, NothingIsStartedThere) {
  TakeTwoHalls();
  Evacuate({"north"});
  dispatcher_->AddWorkflow(OneStep("a", 20, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-s", testing::_)));
}

TEST_F(DispatcherHallsTest, NeitherFillersNorRetriesNorIdleWork) {
  TakeTwoHalls();
  Workflow filling = OneStep("f", 30, 2);
  filling.steps[0].best_effort = true;
  filling.steps[0].image = "f";
  filling.policy.max_attempts = 100;
  dispatcher_->AddWorkflow(filling, std::nullopt, now_);
  auto running = Tick().starts;
  ASSERT_THAT(running, testing::Not(IsEmpty()));
  Evacuate({"north", "south"});
  std::map<std::string, uint64_t> ends;
  for (const auto& [vm, run] : running) {
    End(vm, ++ends[vm], run, RunEndKind::kFailed);
  }
  // Idle work gets a run after a second wherever there is memory, but not here.
  Pass(seconds(5), Alive());
  EXPECT_THAT(Take().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->StateOf("f"), WorkflowState::kRunning);
}

TEST_F(DispatcherHallsTest, WhatEndsByItselfGoesOn) {
  TakeTwoHalls();
  dispatcher_->AddWorkflow(OneStep("a", 8, 2), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(8));
  Evacuate({"north"});
  Pass(seconds(2), Alive());
  EXPECT_THAT(Take().stops, IsEmpty());
}

TEST_F(DispatcherHallsTest, LastingTasksMoveOutOneOfAStepAtATime) {
  TakeTwoHalls();
  Workflow serving = Lasting(4);
  serving.steps[0].max_per_vm = 2;
  dispatcher_->AddWorkflow(serving, std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(4));
  halls_["vm-s2"] = "south";
  Link("vm-s2");
  Pass(seconds(3), {"vm-n", "vm-s", "vm-s2"});
  Take();
  Evacuate({"north"});
  Pass(seconds(1), {"vm-n", "vm-s", "vm-s2"});
  const auto stops = Take().stops;
  ASSERT_THAT(stops, SizeIs(1));
  EXPECT_EQ(stops[0].first, "vm-n");
  End("vm-n", 1, stops[0].second, RunEndKind::kStopped);
  Pass(seconds(1), {"vm-n", "vm-s", "vm-s2"});
  const auto after = Take();
  ASSERT_THAT(after.starts, SizeIs(1));
  EXPECT_EQ(after.starts[0].first, "vm-s2");
  EXPECT_THAT(after.stops, IsEmpty());  // The first is not at work yet.
  Pass(seconds(3), {"vm-n", "vm-s", "vm-s2"});
  EXPECT_THAT(Take().stops, SizeIs(1));
}

TEST_F(DispatcherHallsTest, LastingTasksStayWhereNoOtherHallHasRoom) {
  TakeTwoHalls();
  dispatcher_->AddWorkflow(Lasting(8), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(8));
  Pass(seconds(3), Alive());
  Take();
  Evacuate({"north"});
  Pass(seconds(3), Alive());
  EXPECT_THAT(Take().stops, IsEmpty());
}

TEST_F(DispatcherHallsTest, FillsAgainOnceItIsWithdrawn) {
  TakeTwoHalls();
  Evacuate({"north", "south"});
  dispatcher_->AddWorkflow(OneStep("a", 8, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kQueued);
  Evacuate({"south"});
  const auto starts = Tick().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-n", testing::_)));
}

// Its VMs are gone for good while it is to be emptied: what they ran goes on
// elsewhere.
TEST_F(DispatcherHallsTest, HallThatLosesPowerMeanwhile) {
  TakeTwoHalls();
  dispatcher_->AddWorkflow(OneStep("a", 8, 2), std::nullopt, now_);
  for (const auto& [vm, run] : Tick().starts) {
    if (vm == "vm-s") End(vm, run.task.index + 1, run, RunEndKind::kDone);
  }
  Evacuate({"north"});
  dispatcher_->OnLinkDown("vm-n");
  Pass(seconds(7), {"vm-s"});
  const auto starts = Take().starts;
  EXPECT_THAT(starts, SizeIs(4));
  EXPECT_THAT(starts, Each(Pair("vm-s", testing::_)));
}

// The executor's clock is its own: an order names its latest start by it.
TEST_F(DispatcherHallsTest, OrdersNameTheirLatestStartByTheExecutorsClock) {
  TakeTwoHalls();
  const TimePoint its_now{std::chrono::hours(5)};
  for (const char* vm : {"vm-n", "vm-s"}) {
    dispatcher_->OnHeartbeat(vm, {2, its_now}, now_);
  }
  now_ += milliseconds(300);
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  dispatcher_->Tick(now_, kUnix);
  for (const VmMessage& out : dispatcher_->TakeMessages()) {
    const auto* starts = std::get_if<StartRuns>(&out.message);
    if (starts == nullptr) continue;
    EXPECT_EQ(starts->latest_start,
              its_now + milliseconds(300) + kStartOrderTtl);
    return;
  }
  FAIL() << "nothing was started";
}

}  // namespace
}  // namespace beamhill
