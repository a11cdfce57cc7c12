// Tests on which VMs the Dispatcher starts tasks, how it asks the placement
// advisor, and how it ranks best-effort tasks.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

TEST_F(DispatcherTest, HonoursRequiredLabelAndMaxPerVm) {
  labels_["vm-2"] = {"b", "r2"};
  TakeOwnership({});
  ConnectVm("vm-1");
  ConnectVm("vm-2");
  Workflow labelled = SingleStepWorkflow("a", 1, 2);
  labelled.steps[0].required_label = "b";
  dispatcher_->AddWorkflow(labelled, std::nullopt, now_);
  EXPECT_EQ(Tick().starts[0].first, "vm-2");
  Workflow spread = SingleStepWorkflow("b", 3, 2);
  spread.steps[0].max_per_vm = 1;
  dispatcher_->AddWorkflow(spread, std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(2));
  EXPECT_NE(starts[0].first, starts[1].first);
}

TEST_F(DispatcherTest, PrefersTheRackOfTheData) {
  racks_["vm-2"] = "r2";
  TakeOwnership({});
  ConnectVm("vm-1");
  ConnectVm("vm-2");
  Workflow in_rack = SingleStepWorkflow("a", 2, 2);
  in_rack.steps[0].preferred_rack = "r2";
  dispatcher_->AddWorkflow(in_rack, std::nullopt, now_);
  for (const auto& [vm, run] : Tick().starts) EXPECT_EQ(vm, "vm-2");
}

TEST_F(DispatcherTest, GangStartsAllItsTasksWithOneRunNumberOrNone) {
  TakeOwnership({});
  ConnectVm("vm-1");
  Workflow gang = SingleStepWorkflow("a", 6, 2);
  gang.steps[0].gang = true;
  dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  ConnectVm("vm-2");
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(6));
  for (const auto& [vm, run] : starts) EXPECT_EQ(run.run, starts[0].second.run);
}

TEST_F(DispatcherTest, SameRackGangStartsWithinOneRack) {
  TakeOwnership({});
  for (const char* vm : {"vm-1", "vm-2", "vm-3", "vm-4"}) {
    racks_[vm] = vm < std::string("vm-3") ? "r1" : "r2";
    ConnectVm(vm);
  }
  // Occupies vm-1, which leaves one free VM in r1 and two in r2.
  Workflow other = SingleStepWorkflow("other", 1, 2);
  other.steps[0].each = {8000, 1000, 0};
  dispatcher_->AddWorkflow(other, std::nullopt, now_);
  ASSERT_EQ(Tick().starts.at(0).first, "vm-1");
  Workflow gang = SingleStepWorkflow("g", 2, 2);
  gang.steps[0].each = {8000, 1000, 0};
  gang.steps[0].gang = true;
  gang.steps[0].same_rack = true;
  dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  std::vector<std::string> vms;
  for (const auto& [vm, run] : Tick().starts) vms.push_back(vm);
  EXPECT_THAT(vms, testing::UnorderedElementsAre("vm-3", "vm-4"));
}

TEST_F(DispatcherTest, BestEffortTasksNeedFreeMemoryButNoUnreservedCpu) {
  TakeOwnership({});
  ConnectVm("vm-1");
  Workflow serving = SingleStepWorkflow("s", 1, 2);
  serving.steps[0].each = {8000, 1000, 0};
  serving.steps[0].tail_target = milliseconds(20);
  serving.steps[0].long_running = true;
  dispatcher_->AddWorkflow(serving, std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Workflow workflow = SingleStepWorkflow("f", 1, 2);
  workflow.steps[0].best_effort = true;
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
  Workflow large = SingleStepWorkflow("g", 1, 2);
  large.steps[0].best_effort = true;
  large.steps[0].each.memory_mib = 16000;
  dispatcher_->AddWorkflow(large, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
}

// Each serving image on a VM excludes the best-effort images that interfere
// with it, so serving tasks of one image are kept together.
TEST_F(DispatcherTest, ServingTaskJoinsAVmThatServesItsImage) {
  TakeOwnership({});
  const auto serve = [&](const std::string& id, const std::string& image,
                         int64_t cpu) {
    Workflow serving = SingleStepWorkflow(id, 1, 2);
    serving.steps[0].each = {cpu, 1000, 0};
    serving.steps[0].image = image;
    serving.steps[0].tail_target = milliseconds(20);
    serving.steps[0].long_running = true;
    dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    return Tick().starts.at(0);
  };
  ConnectVm("vm-1");
  const auto first = serve("first", "web", 1000);
  dispatcher_->OnLinkDown("vm-1");
  ConnectVm("vm-2");
  ASSERT_EQ(serve("other", "chat", 6000).first, "vm-2");
  ConnectVm("vm-1", {first.second});
  EXPECT_EQ(serve("second", "web", 1000).first, "vm-1");
}

class DispatcherAdviceTest : public DispatcherTest {
 protected:
  void AddWorkflowThatNeedsAdvice() {
    Workflow workflow = SingleStepWorkflow("a", 2, 2);
    workflow.policy.needs_advice = true;
    workflow.policy.ticket_lifetime = ticket_lifetime_;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }

  Duration ticket_lifetime_ = seconds(3);
};

TEST_F(DispatcherAdviceTest, StartsOnlyOnAdvisedVmsAndPassesTheirTickets) {
  TakeOwnership({});
  ConnectVm("vm-1");
  ConnectVm("vm-2");
  AddWorkflowThatNeedsAdvice();
  EXPECT_THAT(Tick().starts, IsEmpty());
  const auto requests = dispatcher_->TakeAdviceRequests();
  ASSERT_THAT(requests, SizeIs(1));
  EXPECT_THAT(requests[0].incarnations,
              ElementsAre("vm-1-incarnation-1", "vm-2-incarnation-1"));
  dispatcher_->OnAdvice(requests[0].step, Advice{{{"vm-2-incarnation-1", "t"}}},
                        now_);
  dispatcher_->Tick(now_, kUnixNow);
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

TEST_F(DispatcherAdviceTest, AsksAgainAfterAPauseAndWhenTicketsExpire) {
  ticket_lifetime_ = milliseconds(100);
  TakeOwnership({});
  ConnectVm("vm-1");
  AddWorkflowThatNeedsAdvice();
  Tick();
  const TaskRef step = dispatcher_->TakeAdviceRequests()[0].step;
  Tick();
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), IsEmpty());
  dispatcher_->OnAdvice(step, std::nullopt, now_);
  Tick();
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), IsEmpty());
  AdvanceTime(milliseconds(500), {"vm-1"});
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), SizeIs(1));
  dispatcher_->OnAdvice(step, Advice{{{"vm-1-incarnation-1", "t"}}}, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), SizeIs(1));
}

class BestEffortRankTest : public DispatcherTest {
 protected:
  // Returns the best-effort rank of the newest start, -1 if nothing was
  // started. Ranks of late work are above those of all work that is in time.
  double NewestRank() {
    double rank = -1;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      const auto* starts = std::get_if<StartRuns>(&out.message);
      if (starts != nullptr) rank = starts->traits.best_effort_rank;
    }
    return rank;
  }

  static Workflow BestEffortWorkflow(uint32_t tasks) {
    Workflow workflow = SingleStepWorkflow("f", tasks, 2);
    workflow.steps[0].best_effort = true;
    workflow.steps[0].image = "f";
    return workflow;
  }

  static constexpr double kLateRank = 1e9;
};

// Nearly every workflow of 40 tasks has a failed run. When the objective left
// no time for those, such workflows counted as late and ranked after all
// others.
TEST_F(BestEffortRankTest, FailedRunsExtendTheObjective) {
  TakeOwnership({});
  ConnectVm("vm-1");
  dispatcher_->AddWorkflow(BestEffortWorkflow(1), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  // The objective is 2 s without failures.
  now_ += std::chrono::milliseconds(1500);
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  ReceiveEnd("vm-1", 1, starts[0].second, RunEndKind::kFailed);
  AdvanceTime(std::chrono::seconds(1), {"vm-1"});
  const double rank = NewestRank();
  EXPECT_GE(rank, 0);
  EXPECT_LT(rank, kLateRank);
}

// A step with more tasks than the deployment runs at a time takes several
// waves.
TEST_F(BestEffortRankTest, ObjectiveCoversAllWavesOfAWideStep) {
  TakeOwnership({});
  ConnectVm("vm-1");  // Of 8 cores, one wave uses 2.
  dispatcher_->AddWorkflow(BestEffortWorkflow(6), std::nullopt, now_);
  const auto first = Tick().starts;
  AdvanceTime(std::chrono::milliseconds(2500), {"vm-1"});
  dispatcher_->TakeMessages();
  uint64_t number = 0;
  for (const auto& [vm, run] : first) {
    ReceiveEnd(vm, ++number, run, RunEndKind::kDone);
  }
  dispatcher_->Tick(now_, kUnixNow);
  const double rank = NewestRank();
  EXPECT_GE(rank, 0);
  EXPECT_LT(rank, kLateRank);
}

class ColdVmTest : public DispatcherTest {
 protected:
  // Connects vm-1, which is cold and so slow for 4 s, and vm-2, which is warm.
  void ConnectColdAndWarmVm() {
    TakeOwnership({});
    cold_for_["vm-1"] = std::chrono::seconds(4);
    ConnectVm("vm-1");
    ConnectVm("vm-2");
  }
};

TEST_F(ColdVmTest, WarmVmsAreUsedFirst) {
  ConnectColdAndWarmVm();
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 5, 2), std::nullopt, now_);
  std::map<std::string, int> on;
  for (const auto& start : Tick().starts) ++on[start.first];
  // Four tasks fit on the warm VM; the fifth starts on the cold one at once.
  EXPECT_EQ(on["vm-2"], 4);
  EXPECT_EQ(on["vm-1"], 1);
}

TEST_F(ColdVmTest, VmCountsAsWarmAfterTheReportedTime) {
  ConnectColdAndWarmVm();
  AdvanceTime(std::chrono::seconds(5), {"vm-1", "vm-2"});
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 1, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, "vm-1");  // The first of equal VMs.
}

// Tasks on a cold VM take three times the declared time; that says nothing
// about the step's other tasks.
TEST_F(ColdVmTest, RunTimesOnAColdVmDoNotChangeTheExpectation) {
  TakeOwnership({});
  cold_for_["vm-1"] = std::chrono::seconds(30);
  ConnectVm("vm-1");
  Workflow workflow = SingleStepWorkflow("a", 8, 2);
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(4));
  AdvanceTime(std::chrono::seconds(3), {"vm-1"});
  uint64_t number = 0;
  for (const auto& [vm, run] : starts) {
    ReceiveEnd(vm, ++number, run, RunEndKind::kDone);
  }
  // The objective stays at twice eight waves of 1 s each and began 4 s ago.
  AdvanceTime(std::chrono::seconds(1), {"vm-1"});
  EXPECT_THAT(dispatcher_->Dump(now_), testing::HasSubstr("due_ms 12000"));
}

}  // namespace
}  // namespace beamhill
