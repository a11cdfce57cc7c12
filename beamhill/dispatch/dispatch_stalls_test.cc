// Tests how the Dispatcher treats VMs whose runners answer calls while their
// tasks make no progress.
#include <set>
#include <tuple>

#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Each;
using testing::IsEmpty;
using testing::Key;
using testing::Not;
using testing::Pair;
using testing::SizeIs;

class DispatcherStallsTest : public DispatcherTest {
 protected:
  // Connects vm-1, vm-2 and so on, of 8 cores each.
  void ConnectVms(int count) {
    if (!dispatcher_) TakeOwnership({});
    for (int i = 1; i <= count; ++i) {
      vms_.push_back("vm-" + std::to_string(i));
      ConnectVm(vms_.back());
    }
  }

  void SetStalled(const std::string& vm, bool stalled) {
    stalled_[vm] = stalled;
    dispatcher_->OnStatus(vm, StatusOf(vm), now_);
  }

  static Workflow LongRunningWorkflow(const std::string& id, uint32_t tasks) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s";
    workflow.steps[0].tail_target = milliseconds(20);
    return workflow;
  }

  // Adds the workflow and returns the starts of the next tick.
  std::vector<std::pair<std::string, RunRef>> Start(const Workflow& workflow) {
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    return Tick().starts;
  }

  // Advances the time and returns what was sent.
  Sent Advance(Duration time) {
    AdvanceTime(time, vms_);
    return TakeSent();
  }

  void ReceiveStopped(const std::string& vm, const RunRef& run) {
    const RunEnd end{++ends_[vm], run, RunEndKind::kStopped, "half"};
    dispatcher_->OnReports(vm, {2, StatusOf(vm).incarnation, {end}, {}, {}},
                           now_);
  }

  // Brings vm-1, with no other run, to the point where its probe has started;
  // returns the probe.
  RunRef StartProbeOnVm1() {
    SetStalled("vm-1", true);
    EXPECT_THAT(Start(SingleStepWorkflow("a", 20, 2)),
                Each(Key(Not(std::string("vm-1")))));
    EXPECT_THAT(Advance(milliseconds(750)).starts, IsEmpty());
    const auto starts = Advance(milliseconds(250)).starts;
    EXPECT_THAT(starts, SizeIs(1));
    EXPECT_EQ(starts.at(0).first, "vm-1");
    return starts.at(0).second;
  }

  std::vector<std::string> vms_;
  std::map<std::string, uint64_t> ends_;
};

TEST_F(DispatcherStallsTest, RunsStartElsewhereOnlyAfterTheirReportedEnd) {
  ConnectVms(4);
  Workflow fill = SingleStepWorkflow("f", 4, 2);
  fill.steps[0].best_effort = true;
  fill.steps[0].saves_progress = true;
  fill.steps[0].image = "f";
  auto starts = Start(fill);
  for (const auto& start : Start(SingleStepWorkflow("q", 3, 2))) {
    starts.push_back(start);
  }
  const std::string stalled = starts.back().first;
  std::set<RunRef> expected;
  for (const auto& [vm, run] : starts) {
    if (vm == stalled) expected.insert(run);
  }
  ASSERT_THAT(expected, SizeIs(testing::Ge(4)));  // Of both kinds.
  SetStalled(stalled, true);
  const Sent sent = Advance(milliseconds(500));
  EXPECT_THAT(sent.starts, IsEmpty());
  std::set<RunRef> stopped;
  for (const auto& [vm, run] : sent.stops) {
    EXPECT_EQ(vm, stalled);
    stopped.insert(run);
  }
  EXPECT_EQ(stopped, expected);
  for (const RunRef& run : stopped) ReceiveStopped(stalled, run);
  dispatcher_->Tick(now_, kUnixNow);
  size_t started = 0;
  for (const VmMessage& out : dispatcher_->TakeMessages()) {
    const auto* order = std::get_if<StartRuns>(&out.message);
    if (order == nullptr) continue;
    EXPECT_NE(out.vm, stalled);
    for (const StartRun& run : order->runs) {
      EXPECT_EQ(run.checkpoint, order->workflow == "f" ? "half" : "");
      ++started;
    }
  }
  EXPECT_EQ(started, expected.size());
  EXPECT_EQ(decisions_["vm_stalled"], 1);
}

// The other members of a gang end with the stopped one. Stops of a workflow
// that is over exist already, and without full authority nothing moves.
TEST_F(DispatcherStallsTest, OnlyWhatMayMoveIsStopped) {
  ConnectVms(4);
  Workflow gang = SingleStepWorkflow("g", 2, 2);
  gang.steps[0].gang = true;
  gang.steps[0].max_per_vm = 1;
  const auto members = Start(gang);
  ASSERT_THAT(members, SizeIs(2));
  dispatcher_->SetAuthority(Authority::kClosing, now_);
  SetStalled(members[0].first, true);
  EXPECT_THAT(Advance(milliseconds(500)).stops, IsEmpty());
  dispatcher_->SetAuthority(Authority::kFull, now_);
  EXPECT_THAT(Tick().stops, testing::ElementsAre(members[0]));
  EXPECT_THAT(Advance(milliseconds(250)).stops, IsEmpty());
  EXPECT_EQ(dispatcher_->counts().moved, 1U);
  dispatcher_->Cancel("g", now_);
  EXPECT_EQ(Tick().stops_with_repeats, 1U);  // Of the other member.
}

// Guards against a stall that begins before the runs do: only the owner can
// tell the executor how long they may take.
TEST_F(DispatcherStallsTest, ExecutorsAreToldOfOverdueRuns) {
  ConnectVms(3);
  const auto starts = Start(SingleStepWorkflow("a", 6, 2));
  ASSERT_THAT(starts, SizeIs(6));
  std::map<RunRef, std::string> told;  // The VM, by run.
  const auto advance = [&](Duration time) {
    AdvanceTime(time, vms_);
    size_t messages = 0;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      const auto* bounds = std::get_if<ProgressBounds>(&out.message);
      if (bounds == nullptr) continue;
      ++messages;
      EXPECT_EQ(bounds->epoch, 2U);
      EXPECT_EQ(bounds->incarnation, StatusOf(out.vm).incarnation);
      for (const RunProgressBound& bound : bounds->runs) {
        told[bound.run] = out.vm;
        EXPECT_EQ(bound.cpu_per_percent, seconds(5));  // On two cores.
      }
    }
    return messages;
  };
  EXPECT_EQ(advance(seconds(2)), 0U);
  for (int i = 0; i < 4; ++i) {
    const auto& [vm, run] = starts[i];
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kDone);
  }
  EXPECT_EQ(advance(milliseconds(250)), 0U) << "others are not much faster";
  EXPECT_EQ(advance(milliseconds(250)), 1U);
  EXPECT_THAT(told, testing::UnorderedElementsAre(
                        Pair(starts[4].second, starts[4].first),
                        Pair(starts[5].second, starts[5].first)));
  EXPECT_EQ(advance(milliseconds(4750)), 0U);
  EXPECT_EQ(advance(milliseconds(250)), 1U) << "the first message may be lost";
}

TEST_F(DispatcherStallsTest, LongRunningTasksMoveAsTheirStepAllows) {
  for (const uint32_t max_unavailable : {0U, 2U}) {
    dispatcher_.reset();
    vms_.clear();
    stalled_.clear();
    ends_.clear();
    ConnectVms(4);
    Workflow serving = LongRunningWorkflow("s", 4);
    serving.steps[0].max_unavailable = max_unavailable;
    const auto starts = Start(serving);
    ASSERT_THAT(starts, SizeIs(4));
    const std::string stalled = starts[0].first;
    ASSERT_THAT(starts, Each(Key(stalled)));
    SetStalled(stalled, true);
    const size_t at_once = std::max<size_t>(1, max_unavailable);
    const auto stops = Advance(milliseconds(500)).stops;
    ASSERT_THAT(stops, SizeIs(at_once));
    for (const auto& [vm, run] : stops) ReceiveStopped(vm, run);
    const Sent after = Advance(seconds(1));
    EXPECT_THAT(after.starts, SizeIs(at_once));
    EXPECT_THAT(after.starts, Each(Key(Not(stalled))));
    EXPECT_THAT(after.stops, IsEmpty());  // The moved tasks start up.
    EXPECT_THAT(Advance(seconds(3)).stops, SizeIs(at_once));
  }
}

// Two steps must not be promised the same room, and a task must not be stopped
// where it has none.
TEST_F(DispatcherStallsTest, LongRunningTasksStayWithoutRoomElsewhere) {
  ConnectVms(3);
  std::vector<std::pair<std::string, RunRef>> starts;
  for (int i = 0; i < 11; ++i) {
    for (const auto& start :
         Start(LongRunningWorkflow("s" + std::to_string(i), 1))) {
      starts.push_back(start);
    }
  }
  ASSERT_THAT(starts, SizeIs(11));  // Room for one more task.
  const std::string stalled = starts[0].first;
  SetStalled(stalled, true);
  const auto stops = Advance(seconds(1)).stops;
  ASSERT_THAT(stops, SizeIs(1));
  ReceiveStopped(stalled, stops[0].second);
  Advance(seconds(8));
  EXPECT_EQ(dispatcher_->counts().moved, 1U);
}

TEST_F(DispatcherStallsTest, FailedProbesAreMovedAndRepeatedWithGrowingDelay) {
  ConnectVms(4);
  RunRef probe = StartProbeOnVm1();
  for (const int delay : {2000, 4000, 4000}) {
    EXPECT_THAT(Advance(milliseconds(1250)).stops, IsEmpty());
    EXPECT_THAT(Advance(milliseconds(250)).stops,
                testing::ElementsAre(Pair("vm-1", probe)));
    ReceiveStopped("vm-1", probe);
    EXPECT_THAT(Advance(milliseconds(delay - 250)).starts, IsEmpty());
    const auto starts = Advance(milliseconds(250)).starts;
    ASSERT_THAT(starts, SizeIs(1));
    EXPECT_EQ(starts[0].first, "vm-1");
    probe = starts[0].second;
  }
}

TEST_F(DispatcherStallsTest, VmIsInUseAgainOnceItsProbeProgresses) {
  ConnectVms(4);
  StartProbeOnVm1();
  Advance(milliseconds(250));
  SetStalled("vm-1", false);
  const Sent sent = Tick();
  EXPECT_THAT(sent.starts, SizeIs(3));
  EXPECT_THAT(sent.starts, Each(Key("vm-1")));
  EXPECT_THAT(Advance(seconds(3)).stops, IsEmpty());
  EXPECT_EQ(decisions_["vm_progresses"], 1);
  EXPECT_EQ(decisions_["vm_probed"], 1);
}

// A gang or a long-running task can't be moved away at once if the probe fails.
TEST_F(DispatcherStallsTest, GangsAndLongRunningTasksAreNoProbes) {
  ConnectVms(3);
  SetStalled("vm-1", true);
  Workflow gang = SingleStepWorkflow("g", 3, 2);
  gang.steps[0].each.cpu_millis = 8000;
  gang.steps[0].gang = true;
  EXPECT_THAT(Start(gang), IsEmpty());
  EXPECT_THAT(Advance(seconds(2)).starts, IsEmpty());
  EXPECT_THAT(Start(LongRunningWorkflow("s", 9)), SizeIs(8));
  EXPECT_THAT(Advance(seconds(4)).starts, IsEmpty());
  // They must not keep other steps from finding the VM.
  EXPECT_THAT(Start(SingleStepWorkflow("a", 9, 2)), SizeIs(1));
}

// Guards against a probe beside runs that are still being stopped.
TEST_F(DispatcherStallsTest, ProbeWaitsUntilOnlyLongRunningTasksAreLeft) {
  ConnectVms(4);
  Start(LongRunningWorkflow("s", 1));
  const auto starts = Start(SingleStepWorkflow("a", 40, 2));
  ASSERT_THAT(starts, SizeIs(15));
  SetStalled("vm-1", true);
  const auto stops = Advance(seconds(3)).stops;
  ASSERT_THAT(stops, Not(IsEmpty()));
  for (size_t i = 1; i < stops.size(); ++i) {
    ReceiveStopped("vm-1", stops[i].second);
  }
  EXPECT_THAT(Tick().starts, IsEmpty());
  ReceiveStopped("vm-1", stops[0].second);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherStallsTest, NewOwnerLearnsOfStallsFromInventories) {
  stalled_["vm-1"] = true;
  TakeOwnership({"vm-1", "vm-4"});
  Workflow workflow = SingleStepWorkflow("a", 1, 1);
  dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  ASSERT_TRUE(CommitProgress());
  vms_ = {"vm-1", "vm-2", "vm-3"};
  ConnectVm("vm-1", {SingleStepRun("a", 0, 1)});
  ConnectVm("vm-2");
  ConnectVm("vm-3");
  EXPECT_THAT(Tick().stops, IsEmpty());  // vm-4 might run the task, too.
  ConnectVm("vm-4");
  EXPECT_THAT(Tick().stops,
              testing::ElementsAre(Pair("vm-1", SingleStepRun("a", 0, 1))));
}

TEST_F(DispatcherStallsTest, WithTooManyStalledAllStayInUse) {
  ConnectVms(3);
  ASSERT_THAT(Start(SingleStepWorkflow("a", 6, 2)), SizeIs(6));
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) SetStalled(vm, true);
  EXPECT_THAT(Advance(seconds(4)).stops, IsEmpty());
  EXPECT_THAT(Start(SingleStepWorkflow("b", 9, 2)), SizeIs(6));
  EXPECT_EQ(decisions_["vms_stalled"], 1);
  SetStalled("vm-1", false);
  SetStalled("vm-2", false);
  EXPECT_THAT(Tick().stops, Each(Key("vm-3")));
  EXPECT_EQ(decisions_["vms_stalled"], 2);
}

// Guards against a fault of all VMs of one service that looks like one of
// single VMs beside the many of another service.
TEST_F(DispatcherStallsTest, VmsOfOtherServicesDoNotCount) {
  for (int i = 3; i <= 9; ++i) services_["vm-" + std::to_string(i)] = "other";
  ConnectVms(9);
  ASSERT_THAT(Start(SingleStepWorkflow("a", 6, 2)), SizeIs(6));
  Workflow other = SingleStepWorkflow("o", 6, 2);
  other.service = "other";
  const std::string busy = Start(other).at(0).first;
  for (const char* vm : {"vm-1", "vm-2"}) SetStalled(vm, true);
  EXPECT_THAT(Advance(seconds(4)).stops, IsEmpty())
      << "both VMs of the service";
  SetStalled(busy, true);
  EXPECT_THAT(Advance(seconds(1)).stops, Each(Key(busy)));
  SetStalled("vm-2", false);
  EXPECT_THAT(Advance(seconds(1)).stops, Each(Key(busy))) << "one of two";
}

// Guards against a task that is moved without end: one that slows down by
// itself looks like a stall on each VM that it has to itself.
TEST_F(DispatcherStallsTest, TaskIsMovedOffStalledVmsTwice) {
  ConnectVms(7);
  const auto first = Start(SingleStepWorkflow("a", 1, 2));
  ASSERT_THAT(first, SizeIs(1));
  auto [vm, run] = first[0];
  for (int i = 0; i < 2; ++i) {
    SetStalled(vm, true);
    ASSERT_THAT(Tick().stops, testing::ElementsAre(Pair(vm, run)));
    ReceiveStopped(vm, run);
    const auto next = Advance(milliseconds(250)).starts;
    ASSERT_THAT(next, SizeIs(1));
    SetStalled(vm, false);
    std::tie(vm, run) = next[0];
  }
  SetStalled(vm, true);
  EXPECT_THAT(Advance(seconds(1)).stops, IsEmpty());
  // The VM is still probed, beside the task.
  EXPECT_THAT(Start(SingleStepWorkflow("b", 40, 2)),
              testing::Contains(Key(vm)));
}

// Guards against a VM that stays out of use after its stall, as there is only
// long-running work.
TEST_F(DispatcherStallsTest, LongRunningTaskProbesAVmThatNothingElseProbes) {
  ConnectVms(3);
  SetStalled("vm-1", true);
  EXPECT_THAT(Start(LongRunningWorkflow("s", 9)), SizeIs(8));
  EXPECT_THAT(Advance(seconds(7)).starts, IsEmpty());
  const auto probe = Advance(seconds(4)).starts;
  ASSERT_THAT(probe, testing::ElementsAre(Key("vm-1")));
  EXPECT_GE(decisions_["vm_probed"], 1);
  EXPECT_THAT(Advance(seconds(10)).stops, IsEmpty()) << "no room elsewhere";
}

// It must not be preferred to a VM that is known to work.
TEST_F(DispatcherStallsTest, LongRunningTaskGoesToAVmThatProgresses) {
  ConnectVms(4);
  SetStalled("vm-1", true);
  Advance(seconds(20));
  EXPECT_THAT(Start(LongRunningWorkflow("s", 12)),
              Each(Key(Not(std::string("vm-1")))));
}

// Guards against a VM that stays out of use if its service has long tasks only:
// a percent of one takes longer than a probe used to last.
TEST_F(DispatcherStallsTest, ProbeOfALongTaskLastsForSomePercent) {
  ConnectVms(4);
  SetStalled("vm-1", true);
  Workflow workflow = SingleStepWorkflow("a", 20, 2);
  workflow.steps[0].declared_run = seconds(300);
  Start(workflow);
  const auto probe = Advance(seconds(1)).starts;
  ASSERT_THAT(probe, testing::ElementsAre(Key("vm-1")));
  EXPECT_THAT(Advance(milliseconds(8750)).stops, IsEmpty());
  EXPECT_THAT(Advance(milliseconds(250)).stops, testing::ElementsAre(probe[0]));
}

// The status may change while there is no link, or with the runner.
TEST_F(DispatcherStallsTest, InventoryReplacesWhatWasKnown) {
  ConnectVms(4);
  SetStalled("vm-1", true);
  SetStalled("vm-1", true);
  EXPECT_EQ(dispatcher_->Summary(now_).stalled_vms, 1U);
  EXPECT_THAT(dispatcher_->Dump(now_), testing::HasSubstr("stalled_ms"));
  dispatcher_->OnLinkDown("vm-1");
  EXPECT_EQ(dispatcher_->Summary(now_).stalled_vms, 0U);
  stalled_["vm-1"] = false;
  ConnectVm("vm-1");
  EXPECT_THAT(Start(SingleStepWorkflow("a", 16, 2)), SizeIs(16));
  dispatcher_->Cancel("a", now_);
  SetStalled("vm-2", true);
  stalled_["vm-2"] = false;
  LoseRunner("vm-2", {});
  EXPECT_THAT(Start(SingleStepWorkflow("b", 16, 2)),
              testing::Contains(Key("vm-2")));
  EXPECT_THAT(dispatcher_->Dump(now_), Not(testing::HasSubstr("stalled_ms")));
}

// Tails of a stalled VM say nothing about interference.
TEST_F(DispatcherStallsTest, NothingIsLearnedFromAStalledVm) {
  ConnectVms(1);  // Too many are stalled; that makes no difference here.
  const auto learn = [&] {
    for (int i = 0; i < 50; ++i) {
      dispatcher_->OnInterference(
          "vm-1", {2, {{"s", seconds(30)}}, {{"f", i % 5 * 1000, 100}}});
    }
    Advance(seconds(1));
    return dispatcher_->LearnedInterference().images;
  };
  SetStalled("vm-1", true);
  EXPECT_THAT(learn(), IsEmpty());
  SetStalled("vm-1", false);
  EXPECT_THAT(learn(), SizeIs(1));
}

// A task that may crash its runner would hide whether the VM progresses.
TEST_F(DispatcherStallsTest, NoSuspectIsTriedOnAStalledVm) {
  labels_["vm-1"] = labels_["vm-2"] = {"special"};
  ConnectVms(4);
  Workflow workflow = SingleStepWorkflow("a", 1, 2);
  workflow.steps[0].required_label = "special";
  const auto starts = Start(workflow);
  ASSERT_THAT(starts, testing::ElementsAre(Key("vm-1")));
  LoseRunner("vm-1", {starts[0].second});
  dispatcher_->OnLinkDown("vm-1");
  SetStalled("vm-2", true);
  vms_.erase(vms_.begin());
  EXPECT_THAT(Advance(milliseconds(1500)).starts, IsEmpty());
  SetStalled("vm-2", false);
  EXPECT_THAT(Tick().starts, testing::ElementsAre(Key("vm-2")));
}

// Capacity of a stalled VM would be reserved in vain.
TEST_F(DispatcherStallsTest, NoCapacityIsReservedOnAStalledVm) {
  ConnectVms(3);
  SetStalled("vm-1", true);
  const auto running = Start(SingleStepWorkflow("a", 40, 2));
  ASSERT_THAT(running, SizeIs(8));
  Workflow serving = LongRunningWorkflow("s", 1);
  serving.steps[0].each.cpu_millis = 8000;
  ASSERT_THAT(Start(serving), IsEmpty());
  Advance(seconds(2));
  std::map<std::string, RunRef> one_of;  // By VM.
  for (const auto& [vm, run] : running) one_of[vm] = run;
  ASSERT_THAT(one_of, SizeIs(2));
  for (const auto& [vm, run] : one_of) ReceiveStopped(vm, run);
  EXPECT_THAT(Tick().starts, SizeIs(1));  // The other VM is kept for "s".
}

TEST_F(DispatcherStallsTest, NoStarvedRunIsMovedToAStalledVm) {
  labels_["vm-2"] = {"full"};
  ConnectVms(3);
  Workflow fill = SingleStepWorkflow("f", 1, 2);
  fill.steps[0].best_effort = true;
  fill.steps[0].saves_progress = true;
  fill.steps[0].image = "f";
  const auto starts = Start(fill);
  ASSERT_THAT(starts, testing::ElementsAre(Key("vm-1")));
  Workflow other = SingleStepWorkflow("a", 4, 2);
  other.steps[0].required_label = "full";
  ASSERT_THAT(Start(other), SizeIs(4));
  SetStalled("vm-3", true);
  for (int i = 0; i < 8; ++i) {
    dispatcher_->OnInterference("vm-1", {2, {}, {{"f", 0, 0}}});
    EXPECT_THAT(Advance(milliseconds(250)).stops, IsEmpty());
  }
  SetStalled("vm-3", false);
  EXPECT_THAT(Advance(milliseconds(500)).stops, SizeIs(1));
}

// A false detection on one VM after the other, at any time, must not take more
// of a step away than allowed. Every run here is stopped within 250 ms.
TEST_F(DispatcherStallsTest, FalseDetectionsCostEachStepOneTaskAtATime) {
  ConnectVms(6);
  Workflow serving = LongRunningWorkflow("s", 12);
  serving.steps[0].max_per_vm = 3;
  std::map<RunRef, std::string> running;
  for (const auto& [vm, run] : Start(serving)) running[run] = vm;
  ASSERT_THAT(running, SizeIs(12));
  size_t moves = 0;
  for (int i = 0; i < 120; ++i) {
    if (i % 10 == 0) {
      SetStalled(vms_[i / 10 % 6], true);
      SetStalled(vms_[(i / 10 + 5) % 6], false);
    }
    const Sent sent = Advance(milliseconds(250));
    for (const auto& [vm, run] : sent.starts) running[run] = vm;
    for (const auto& [vm, run] : sent.stops) {
      running.erase(run);
      ReceiveStopped(vm, run);
      ++moves;
    }
    EXPECT_GE(running.size(), 11U);
  }
  EXPECT_GE(moves, 5U);
}

// With a false detection on the VM that a task has just moved to, two tasks of
// the step would be away at once.
TEST_F(DispatcherStallsTest, TaskThatStartsUpOnAStalledVmIsAway) {
  ConnectVms(6);
  const auto starts = Start(LongRunningWorkflow("s", 4));
  const std::string first = starts.at(0).first;
  ASSERT_THAT(starts, Each(Key(first)));
  SetStalled(first, true);
  const auto stops = Advance(milliseconds(250)).stops;
  ASSERT_THAT(stops, SizeIs(1));
  ReceiveStopped(first, stops[0].second);
  const auto moved = Advance(milliseconds(250)).starts;
  ASSERT_THAT(moved, SizeIs(1));
  SetStalled(moved[0].first, true);
  // The task itself may move on.
  EXPECT_THAT(Advance(milliseconds(500)).stops, testing::ElementsAre(moved[0]));
}

}  // namespace
}  // namespace beamhill
