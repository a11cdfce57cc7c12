// Where the Dispatcher starts tasks, and how it asks the placement advisor.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

TEST_F(DispatcherTest, HonoursLabelsAndSpread) {
  labels_["vm-2"] = {"b", "r2"};
  Take({});
  Link("vm-1");
  Link("vm-2");
  Workflow labelled = OneStep("a", 1, 2);
  labelled.steps[0].required_label = "b";
  dispatcher_->AddWorkflow(labelled, std::nullopt, now_);
  EXPECT_EQ(Tick().starts[0].first, "vm-2");
  Workflow spread = OneStep("b", 3, 2);
  spread.steps[0].max_per_vm = 1;
  dispatcher_->AddWorkflow(spread, std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(2));
  EXPECT_NE(starts[0].first, starts[1].first);
}

TEST_F(DispatcherTest, PrefersTheRackOfTheData) {
  racks_["vm-2"] = "r2";
  Take({});
  Link("vm-1");
  Link("vm-2");
  Workflow near = OneStep("a", 2, 2);
  near.steps[0].near_rack = "r2";
  dispatcher_->AddWorkflow(near, std::nullopt, now_);
  for (const auto& [vm, run] : Tick().starts) EXPECT_EQ(vm, "vm-2");
}

TEST_F(DispatcherTest, GangStartsWholeWithOneRunOrNotAtAll) {
  Take({});
  Link("vm-1");
  Workflow gang = OneStep("a", 6, 2);
  gang.steps[0].gang = true;
  dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  Link("vm-2");
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(6));
  for (const auto& [vm, run] : starts) EXPECT_EQ(run.run, starts[0].second.run);
}

TEST_F(DispatcherTest, GangThatIsSlowWhenSpreadGoesIntoOneRack) {
  Take({});
  for (const char* vm : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
    racks_[vm] = vm < std::string("vm-3") ? "r1" : "r2";
    Link(vm);
  }
  // Leaves one VM free in the first rack and two in the second.
  Workflow other = OneStep("other", 1, 2);
  other.steps[0].each = {8000, 1000, 0};
  dispatcher_->AddWorkflow(other, std::nullopt, now_);
  ASSERT_EQ(Tick().starts.at(0).first, "vm-1");
  Workflow gang = OneStep("g", 2, 2);
  gang.steps[0].each = {8000, 1000, 0};
  gang.steps[0].gang = true;
  gang.steps[0].same_rack = true;
  dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  std::vector<std::string> vms;
  for (const auto& [vm, run] : Tick().starts) vms.push_back(vm);
  EXPECT_THAT(vms, testing::UnorderedElementsAre("vm-3", "vm-4"));
}

TEST_F(DispatcherTest, FillersNeedMemoryButNoRoomForTheirProcessors) {
  Take({});
  Link("vm-1");
  Workflow serving = OneStep("s", 1, 2);
  serving.steps[0].each = {8000, 1000, 0};
  serving.steps[0].tail_target = milliseconds(20);
  serving.steps[0].long_running = true;
  dispatcher_->AddWorkflow(serving, std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Workflow filling = OneStep("f", 1, 2);
  filling.steps[0].best_effort = true;
  dispatcher_->AddWorkflow(filling, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
  Workflow large = OneStep("g", 1, 2);
  large.steps[0].best_effort = true;
  large.steps[0].each.memory_mib = 16000;
  dispatcher_->AddWorkflow(large, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
}

// Each image that serves on a VM keeps the fillers away that it suffers from.
TEST_F(DispatcherTest, ServingTaskJoinsItsLikeOnAnEmptierVm) {
  Take({});
  const auto serve = [&](const std::string& id, const std::string& image,
                         int64_t cpu) {
    Workflow serving = OneStep(id, 1, 2);
    serving.steps[0].each = {cpu, 1000, 0};
    serving.steps[0].image = image;
    serving.steps[0].tail_target = milliseconds(20);
    serving.steps[0].long_running = true;
    dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    return Tick().starts.at(0);
  };
  Link("vm-1");
  const auto first = serve("first", "web", 1000);
  dispatcher_->OnLinkDown("vm-1");
  Link("vm-2");
  ASSERT_EQ(serve("other", "chat", 6000).first, "vm-2");
  Link("vm-1", {first.second});
  EXPECT_EQ(serve("second", "web", 1000).first, "vm-1");
}

class DispatcherAdviceTest : public DispatcherTest {
 protected:
  void AddRestricted() {
    Workflow workflow = OneStep("a", 2, 2);
    workflow.policy.needs_advice = true;
    workflow.policy.ticket_life = ticket_life_;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }

  Duration ticket_life_ = seconds(3);
};

TEST_F(DispatcherAdviceTest, StartsOnlyWhereAdvisedWithTheTicket) {
  Take({});
  Link("vm-1");
  Link("vm-2");
  AddRestricted();
  EXPECT_THAT(Tick().starts, IsEmpty());
  const auto requests = dispatcher_->TakeAdviceRequests();
  ASSERT_THAT(requests, SizeIs(1));
  EXPECT_THAT(requests[0].incarnations,
              ElementsAre("vm-1-life-1", "vm-2-life-1"));
  dispatcher_->OnAdvice(requests[0].step, Advice{{{"vm-2-life-1", "t"}}}, now_);
  dispatcher_->Tick(now_, kUnix);
  int starts = 0;
  for (const VmMessage& out : dispatcher_->TakeMessages()) {
    const auto* start = std::get_if<StartRuns>(&out.message);
    if (start == nullptr) continue;
    EXPECT_EQ(out.vm, "vm-2");
    for (const StartRun& run : start->runs) {
      EXPECT_EQ(run.ticket, "t");
      ++starts;
    }
  }
  EXPECT_EQ(starts, 2);
}

TEST_F(DispatcherAdviceTest, AsksAgainAfterAPauseAndWhenTicketsEnd) {
  ticket_life_ = milliseconds(100);
  Take({});
  Link("vm-1");
  AddRestricted();
  Tick();
  const TaskRef step = dispatcher_->TakeAdviceRequests()[0].step;
  Tick();
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), IsEmpty());
  dispatcher_->OnAdvice(step, std::nullopt, now_);
  Tick();
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), IsEmpty());
  Pass(milliseconds(500), {"vm-1"});
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), SizeIs(1));
  dispatcher_->OnAdvice(step, Advice{{{"vm-1-life-1", "t"}}}, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), SizeIs(1));
}

class ObjectiveTest : public DispatcherTest {
 protected:
  // The order of the newest start of a filler; late work comes after any in
  // time.
  double NewestOrder() {
    double order = -1;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      const auto* starts = std::get_if<StartRuns>(&out.message);
      if (starts != nullptr) order = starts->traits.best_effort_rank;
    }
    return order;
  }

  static Workflow Filler(uint32_t tasks) {
    Workflow filling = OneStep("f", tasks, 2);
    filling.steps[0].best_effort = true;
    filling.steps[0].image = "f";
    return filling;
  }

  static constexpr double kLate = 1e9;
};

// Nearly every workflow of forty tasks has a run that fails; by an objective
// without these it was taken for late, and yielded to all that was not.
TEST_F(ObjectiveTest, RunsThatFailLengthenTheObjective) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(Filler(1), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  now_ += std::chrono::milliseconds(1500);  // Of 2 s, without failures.
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  End("vm-1", 1, starts[0].second, RunEndKind::kFailed);
  Pass(std::chrono::seconds(1), {"vm-1"});
  const double order = NewestOrder();
  EXPECT_GE(order, 0);
  EXPECT_LT(order, kLate);
}

// A step that is wide for the deployment can't be done in one go.
TEST_F(ObjectiveTest, WideStepsAreGivenTimeForTheirWaves) {
  Take({});
  Link("vm-1");  // Eight cores: a wave has two.
  dispatcher_->AddWorkflow(Filler(6), std::nullopt, now_);
  const auto first = Tick().starts;
  Pass(std::chrono::milliseconds(2500), {"vm-1"});
  dispatcher_->TakeMessages();
  uint64_t number = 0;
  for (const auto& [vm, run] : first) {
    End(vm, ++number, run, RunEndKind::kDone);
  }
  dispatcher_->Tick(now_, kUnix);
  const double order = NewestOrder();
  EXPECT_GE(order, 0);
  EXPECT_LT(order, kLate);
}

class ColdVmTest : public DispatcherTest {
 protected:
  // vm-1 is slow for the next 4 s, vm-2 is not.
  void TakeOneCold() {
    Take({});
    colds_["vm-1"] = std::chrono::seconds(4);
    Link("vm-1");
    Link("vm-2");
  }
};

TEST_F(ColdVmTest, WorkGoesToWarmVmsFirst) {
  TakeOneCold();
  dispatcher_->AddWorkflow(OneStep("a", 5, 2), std::nullopt, now_);
  std::map<std::string, int> on;
  for (const auto& start : Tick().starts) ++on[start.first];
  // Four have room on the warm one; the fifth need not wait for the other.
  EXPECT_EQ(on["vm-2"], 4);
  EXPECT_EQ(on["vm-1"], 1);
}

TEST_F(ColdVmTest, IsLikeOthersOnceItIsWarm) {
  TakeOneCold();
  Pass(std::chrono::seconds(5), {"vm-1", "vm-2"});
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, "vm-1");  // The first of equals.
}

// Four tasks there take three times what is declared; the others of the step
// are not expected to.
TEST_F(ColdVmTest, TimesThereTellNothingOfOtherTasks) {
  Take({});
  colds_["vm-1"] = std::chrono::seconds(30);
  Link("vm-1");
  Workflow workflow = OneStep("a", 8, 2);
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(4));
  Pass(std::chrono::seconds(3), {"vm-1"});
  uint64_t number = 0;
  for (const auto& [vm, run] : starts) {
    End(vm, ++number, run, RunEndKind::kDone);
  }
  // The objective stays at twice eight waves of 1 s each, 4 s ago.
  Pass(std::chrono::seconds(1), {"vm-1"});
  EXPECT_THAT(dispatcher_->Dump(now_), testing::HasSubstr("due_ms 12000"));
}

}  // namespace
}  // namespace beamhill
