#include "beamhill/dispatch/dispatcher.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Contains;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnix{1'000'000};
constexpr Resources kRoom{8000, 16000, 0};

Workflow OneStep(const std::string& id, uint32_t tasks, uint64_t offered_to) {
  Workflow workflow;
  workflow.id = id;
  workflow.queue = "q";
  workflow.service = "web";
  workflow.policy.max_attempts = 2;
  workflow.policy.stretch = 2;
  workflow.offered_to = offered_to;
  workflow.steps.resize(1);
  workflow.steps[0].tasks = tasks;
  workflow.steps[0].each = {2000, 1000, 0};
  workflow.steps[0].declared_run = seconds(1);
  return workflow;
}

// An owner under epoch 2 with executors that answer when they are told to.
class DispatcherTest : public testing::Test {
 protected:
  void Take(std::vector<std::string> inherited) {
    DispatcherOptions options;
    options.epoch = 2;
    options.inherited_vms = std::move(inherited);
    dispatcher_ = Dispatcher::Create(options, nullptr, now_);
  }

  VmStatus StatusOf(const std::string& vm) {
    VmStatus status;
    status.life = lives_[vm].empty() ? vm + "-life-1" : lives_[vm];
    status.service = "web";
    status.rack = racks_[vm];
    status.labels = labels_[vm];
    status.capacity = kRoom;
    return status;
  }

  void Answer(const std::string& vm, std::vector<RunRef> running = {},
              std::vector<RunEnd> ended = {}) {
    dispatcher_->OnInventory(
        vm, {2, StatusOf(vm), std::move(running), {}, std::move(ended)}, now_);
    dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
  }

  void Link(const std::string& vm, std::vector<RunRef> running = {},
            std::vector<RunEnd> ended = {}) {
    dispatcher_->OnLinkUp(vm);
    Answer(vm, std::move(running), std::move(ended));
  }

  // Moves time on with heartbeats of these VMs, then ticks.
  void Pass(Duration time, const std::vector<std::string>& alive = {}) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(250);
      for (const std::string& vm : alive) {
        dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
      }
      if (confirms_) dispatcher_->OnConfirmed(now_);
      dispatcher_->Tick(now_, kUnix);
    }
  }

  struct Sent {
    std::vector<std::pair<std::string, RunRef>> starts;
    std::vector<std::pair<std::string, RunRef>> stops;
    std::vector<std::pair<std::string, uint64_t>> settled;
  };

  // What was sent since the last call.
  Sent Take() {
    Sent sent;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      if (const auto* start = std::get_if<StartRuns>(&out.message)) {
        for (const StartRun& run : start->runs) {
          sent.starts.push_back(
              {out.vm,
               {{start->workflow, start->round, start->step, run.index},
                run.run}});
        }
      } else if (const auto* stop = std::get_if<StopRuns>(&out.message)) {
        for (const RunRef& run : stop->runs) {
          sent.stops.push_back({out.vm, run});
        }
      } else if (const auto* end = std::get_if<EndsSettled>(&out.message)) {
        sent.settled.push_back({out.vm, end->through});
      }
    }
    return sent;
  }

  Sent Tick() {
    dispatcher_->Tick(now_, kUnix);
    return Take();
  }

  void End(const std::string& vm, uint64_t number, const RunRef& run,
           RunEndKind kind) {
    dispatcher_->OnReports(
        vm, {2, StatusOf(vm).life, {{number, run, kind, ""}}, {}}, now_);
  }

  bool Store() {
    if (!dispatcher_->TakeCommit(now_)) return false;
    dispatcher_->OnCommitted();
    return true;
  }

  TimePoint now_ = kStart;
  bool confirms_ = true;  // Whether the ownership is confirmed as time passes.
  std::map<std::string, std::string> lives_;
  std::map<std::string, std::string> racks_;
  std::map<std::string, std::vector<std::string>> labels_;
  std::unique_ptr<Dispatcher> dispatcher_;
};

RunRef Ref(const std::string& id, uint32_t index, uint64_t run) {
  return {{id, 0, 0, index}, run};
}

TEST_F(DispatcherTest, StartsWithinRoomAndNotBeyond) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 6, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(4));  // 4 x 2 of 8 cores.
  EXPECT_THAT(Tick().starts, IsEmpty());
}

TEST_F(DispatcherTest, StoppingTaskStillTakesItsRoom) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 4, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  dispatcher_->Cancel("a", now_);
  EXPECT_THAT(Take().stops, SizeIs(4));
  dispatcher_->AddWorkflow(OneStep("b", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  End("vm-1", 1, starts[0].second, RunEndKind::kStopped);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, WorkflowOfAnotherEpochIsStoredBeforeItStarts) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 0), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  ASSERT_TRUE(Store());
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, InheritedWorkWaitsForEveryVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  EXPECT_THAT(Tick().starts, IsEmpty());
  Link("vm-2");
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, InheritedWorkWaitsOutTheLeasesOfASilentVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  Pass(seconds(13), {"vm-1"});
  EXPECT_THAT(Take().starts, IsEmpty());
  Pass(seconds(2), {"vm-1"});
  EXPECT_THAT(Take().starts, SizeIs(1));
}

TEST_F(DispatcherTest, OwnWorkNeedNotWaitForASilentVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, RunningTaskIsAdoptedAndNotStartedAgain) {
  Take({"vm-1"});
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  Link("vm-1", {Ref("a", 0, 3)});
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->counts().adopted, 1);
}

TEST_F(DispatcherTest, NewRunIsAboveAllOfEarlierEpochs) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, ElementsAre(std::pair("vm-1", Ref("a", 0, 1001))));
}

TEST_F(DispatcherTest, InventoryWithUnknownWorkIsAskedForAgain) {
  Take({"vm-1"});
  dispatcher_->OnLinkUp("vm-1");
  EXPECT_FALSE(dispatcher_->OnInventory(
      "vm-1", {2, StatusOf("vm-1"), {Ref("late", 0, 1)}, {}, {}}, now_));
  EXPECT_THAT(Take().stops, IsEmpty());
  dispatcher_->AddWorkflow(OneStep("late", 1, 1), std::nullopt, now_);
  Link("vm-1", {Ref("late", 0, 1)});
  EXPECT_EQ(dispatcher_->counts().adopted, 1);
}

// The reference to the run was into the table that it was erased from, so
// nothing was found to be let go (a day drawn by the users' bench: tasks that
// last were away for 30 s).
TEST_F(DispatcherTest, NewLifeOfARunnerFreesItsWorkAtOnce) {
  Take({});
  Link("vm-1");
  Link("vm-2");
  dispatcher_->AddWorkflow(OneStep("a-workflow-with-a-long-name", 2, 2),
                           std::nullopt, now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(2));
  const std::string vm = first[0].first;
  lives_[vm] = "another life";
  Answer(vm);
  const auto again = Tick().starts;
  ASSERT_THAT(again, SizeIs(2));
  EXPECT_GT(again[0].second.run, first[0].second.run);
}

TEST_F(DispatcherTest, SilentVmsWorkStartsElsewhereOnlyAfterItsLease) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a-workflow-with-a-long-name", 1, 2),
                           std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Link("vm-2");
  Pass(milliseconds(4900), {"vm-2"});
  EXPECT_THAT(Take().starts, IsEmpty());
  Pass(seconds(1), {"vm-2"});
  const auto again = Take().starts;
  ASSERT_THAT(again, SizeIs(1));
  EXPECT_EQ(again[0].first, "vm-2");
}

// An owner that was paused may find that leases which it granted have run
// out, while a successor has renewed them. (The simulation of the cells found
// this with seed 426964.)
TEST_F(DispatcherTest, LeaseThatASuccessorMayHaveRenewedIsNotTakenAsLapsed) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Link("vm-2");
  confirms_ = false;
  Pass(seconds(7), {"vm-2"});
  EXPECT_TRUE(dispatcher_->WantsConfirmation(now_));
  EXPECT_THAT(Take().starts, IsEmpty());
  dispatcher_->OnConfirmed(now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, NoLeaseAndNoStartWithoutAuthority) {
  Take({});
  Link("vm-1");
  Take();
  dispatcher_->set_may_act(false);
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  dispatcher_->Tick(now_, kUnix);
  EXPECT_THAT(dispatcher_->TakeMessages(), IsEmpty());
}

TEST_F(DispatcherTest, RunMissingFromAnInventoryIsStoppedBeforeItIsFreed) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  Link("vm-1");
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
  EXPECT_THAT(Tick().starts, IsEmpty());
  dispatcher_->OnReports(
      "vm-1", {2, StatusOf("vm-1").life, {}, {{run, NotBegunReason::kStopped}}},
      now_);
  now_ += seconds(1);
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, EndIsSettledOnlyOnceStored) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  End("vm-1", 1, Tick().starts[0].second, RunEndKind::kDone);
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kRunning);
  ASSERT_TRUE(dispatcher_->TakeCommit(now_));
  EXPECT_THAT(Take().settled, IsEmpty());
  dispatcher_->OnCommitFailed();
  EXPECT_THAT(Take().settled, IsEmpty());
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 1)));
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kCompleted);
}

TEST_F(DispatcherTest, EndThatComesDuringACommitWaitsForTheNext) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 2, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  End("vm-1", 1, starts[0].second, RunEndKind::kDone);
  ASSERT_TRUE(dispatcher_->TakeCommit(now_));
  End("vm-1", 2, starts[1].second, RunEndKind::kDone);
  dispatcher_->OnCommitted();
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 1)));
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kRunning);
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 2)));
}

TEST_F(DispatcherTest, DrainingVmGetsNothingNewAndLosesWhatCannotEnd) {
  Take({});
  Link("vm-1");
  Workflow lasting = OneStep("a", 1, 2);
  lasting.steps[0].long_running = true;
  dispatcher_->AddWorkflow(lasting, std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  VmStatus draining = StatusOf("vm-1");
  draining.draining = true;
  draining.remaining = seconds(3);
  dispatcher_->OnStatus("vm-1", draining);
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
  dispatcher_->AddWorkflow(OneStep("b", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
}

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
  filling.steps[0].fills = true;
  dispatcher_->AddWorkflow(filling, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
  Workflow large = OneStep("g", 1, 2);
  large.steps[0].fills = true;
  large.steps[0].each.memory_mib = 16000;
  dispatcher_->AddWorkflow(large, std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
}

class DispatcherAdviceTest : public DispatcherTest {
 protected:
  void AddRestricted() {
    Workflow workflow = OneStep("a", 2, 2);
    workflow.policy.needs_advice = true;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }
};

TEST_F(DispatcherAdviceTest, StartsOnlyWhereAdvisedWithTheTicket) {
  Take({});
  Link("vm-1");
  Link("vm-2");
  AddRestricted();
  EXPECT_THAT(Tick().starts, IsEmpty());
  const auto requests = dispatcher_->TakeAdviceRequests();
  ASSERT_THAT(requests, SizeIs(1));
  EXPECT_THAT(requests[0].lives, ElementsAre("vm-1-life-1", "vm-2-life-1"));
  dispatcher_->OnAdvice(requests[0].step,
                        Advice{{{"vm-2-life-1", "t"}}, seconds(3)}, now_);
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
  dispatcher_->OnAdvice(step, Advice{{{"vm-1-life-1", "t"}}, milliseconds(100)},
                        now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_THAT(dispatcher_->TakeAdviceRequests(), SizeIs(1));
}

class DispatcherPressureTest : public DispatcherTest {
 protected:
  // Two VMs, each full of one serving image; returns where the calm one is.
  std::string ServeCalmAndTouchy() {
    Take({});
    Link("vm-1");
    Link("vm-2");
    for (const char* image : {"calm", "touchy"}) {
      Workflow serving = OneStep(image, 1, 2);
      serving.steps[0].each = {8000, 1000, 0};
      serving.steps[0].image = image;
      serving.steps[0].tail_target = milliseconds(20);
      serving.steps[0].long_running = true;
      dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    }
    std::string calm_vm;
    for (const auto& [vm, run] : Tick().starts) {
      if (run.task.workflow == "calm") calm_vm = vm;
    }
    return calm_vm;
  }

  // The touchy image suffers from filler "f", the calm one does not.
  void Teach(const std::string& calm_vm) {
    for (int i = 0; i < 60; ++i) {
      const int64_t cpu = (i % 4) * 1000;
      for (const char* vm : {"vm-1", "vm-2"}) {
        const bool calm = vm == calm_vm;
        const Duration tail = milliseconds(calm ? 6 : 6 + cpu / 100);
        dispatcher_->OnPressure(
            vm, {2, {{calm ? "calm" : "touchy", tail}}, {{"f", cpu, 100}}},
            now_);
      }
    }
  }

  static Workflow Filler() {
    Workflow filling = OneStep("f", 1, 2);
    filling.steps[0].fills = true;
    filling.steps[0].saves_progress = true;
    filling.steps[0].image = "f";
    return filling;
  }
};

TEST_F(DispatcherPressureTest, FillerAvoidsTheImageThatItDisturbs) {
  const std::string calm_vm = ServeCalmAndTouchy();
  Teach(calm_vm);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, calm_vm);
}

TEST_F(DispatcherPressureTest, NextOwnerRecallsWhatWasLearned) {
  Teach(ServeCalmAndTouchy());
  const PressureRecord learned = dispatcher_->LearnedPressure();
  const std::string calm_vm = ServeCalmAndTouchy();
  dispatcher_->RecallPressure(learned);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, calm_vm);
}

TEST_F(DispatcherPressureTest, StarvedFillerIsMovedToACalmPlace) {
  const std::string calm_vm = ServeCalmAndTouchy();
  const std::string other = calm_vm == "vm-1" ? "vm-2" : "vm-1";
  dispatcher_->OnLinkDown(calm_vm);
  dispatcher_->AddWorkflow(Filler(), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  ASSERT_EQ(starts[0].first, other);
  Link(calm_vm, {{{"calm", 0, 0, 0}, 1001}});
  Teach(calm_vm);
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(300);
    for (const char* vm : {"vm-1", "vm-2"}) {
      dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
    }
    dispatcher_->OnPressure(
        other, {2, {{"touchy", milliseconds(25)}}, {{"f", 0, 0}}}, now_);
    dispatcher_->Tick(now_, kUnix);
  }
  EXPECT_THAT(Take().stops, Contains(std::pair(other, starts[0].second)));
}

TEST_F(DispatcherTest, FinishedWorkflowIsForgottenAfterItsRetention) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  End("vm-1", 1, Tick().starts[0].second, RunEndKind::kDone);
  ASSERT_TRUE(Store());
  now_ += seconds(129);
  EXPECT_FALSE(dispatcher_->TakeCommit(now_));
  now_ += seconds(2);
  const auto commit = dispatcher_->TakeCommit(now_);
  ASSERT_TRUE(commit);
  EXPECT_THAT(commit->forgotten, ElementsAre("a"));
  dispatcher_->OnCommitted();
  EXPECT_FALSE(dispatcher_->Knows("a"));
}

}  // namespace
}  // namespace beamhill
