// Tests how the Dispatcher keeps long-running tasks running when VMs are
// quarantined for failing tasks, and when short tasks compete for each core
// that becomes free.
#include <set>

#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

class DispatcherLongRunningTest : public DispatcherTest {
 protected:
  // Returns a workflow of serving tasks that run until they are cancelled;
  // `cpu` is in thousandths of a core.
  static Workflow LongRunningWorkflow(const std::string& id, uint32_t tasks,
                                      int64_t cpu) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.queue = "serve";
    workflow.steps[0].each.cpu_millis = cpu;
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s";
    workflow.steps[0].tail_target = milliseconds(20);
    return workflow;
  }

  // Leaves one long-running task on each of vm-1 and vm-2, and vm-1 in
  // quarantine since all short tasks fail there and succeed on vm-2.
  void QuarantineVm1() {
    TakeOwnership({});
    ConnectVm("vm-1");
    ConnectVm("vm-2");
    Workflow serving = LongRunningWorkflow("serve", 2, 4000);
    serving.steps[0].max_per_vm = 1;
    dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    ASSERT_THAT(Tick().starts, SizeIs(2));
    Workflow quick = SingleStepWorkflow("quick", 40, 2);
    quick.steps[0].each.cpu_millis = 4000;
    quick.policy.max_attempts = 40;
    dispatcher_->AddWorkflow(quick, std::nullopt, now_);
    for (int i = 0; i < 6; ++i) {
      now_ += milliseconds(200);
      for (const auto& [vm, run] : Tick().starts) {
        ReceiveEnd(vm, ++ends_[vm], run,
                   vm == "vm-1" ? RunEndKind::kFailed : RunEndKind::kDone);
      }
    }
    dispatcher_->Cancel("quick", now_);
    TakeSent();
  }

  std::map<std::string, uint64_t> ends_;
  std::set<std::string> vms_;
  std::map<std::string, RunRef> runs_;  // By workflow.
};

// A VM with a long-running task never becomes empty, so a probe has to run
// beside that task.
TEST_F(DispatcherLongRunningTest,
       QuarantinedVmIsProbedBesideItsLongRunningTask) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(LongRunningWorkflow("more", 2, 4000), std::nullopt,
                           now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(1));
  EXPECT_EQ(first[0].first, "vm-2");
  AdvanceTime(seconds(11), {"vm-1", "vm-2"});
  const auto probe = TakeSent().starts;
  ASSERT_THAT(probe, SizeIs(1));
  EXPECT_EQ(probe[0].first, "vm-1");
}

// Users count a long-running task as lost when it has not run for 6 s although
// some VM, quarantined or not, has capacity for it.
TEST_F(DispatcherLongRunningTest, TaskThatRanBeforeMayStartOnAQuarantinedVm) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(LongRunningWorkflow("more", 1, 4000), std::nullopt,
                           now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(1));
  Workflow other = LongRunningWorkflow("other", 1, 4000);
  other.policy.priority = -1;  // Starts before "more".
  dispatcher_->AddWorkflow(other, std::nullopt, now_);
  ReceiveEnd("vm-2", ++ends_["vm-2"], first[0].second, RunEndKind::kFailed);
  ASSERT_THAT(Tick().starts, SizeIs(1));  // Of "other", on vm-2.
  AdvanceTime(seconds(4), {"vm-1", "vm-2"});
  const auto starts = TakeSent().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, "vm-1");
  EXPECT_EQ(starts[0].second.task.workflow, "more");
}

// A long-running probe does not end, so it passes by staying up.
TEST_F(DispatcherLongRunningTest, ProbeThatKeepsRunningEndsTheQuarantine) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(LongRunningWorkflow("more", 4, 2000), std::nullopt,
                           now_);
  ASSERT_THAT(Tick().starts, SizeIs(2));  // Both on vm-2.
  AdvanceTime(seconds(11), {"vm-1", "vm-2"});
  ASSERT_THAT(TakeSent().starts, SizeIs(1));  // One at a time on vm-1.
  AdvanceTime(seconds(6), {"vm-1", "vm-2"});
  EXPECT_THAT(TakeSent().starts, SizeIs(1));
}

class DispatcherRoomMakingTest : public DispatcherLongRunningTest,
                                 public testing::WithParamInterface<bool> {};

// Guards against a long-running task that waits without end while there is more
// than twice the room for it in all, but not enough on any VM. Users count it
// as lost after 6 s.
TEST_P(DispatcherRoomMakingTest, TaskThatFitsOnNoVmGetsRoomByAMove) {
  TakeOwnership({});
  const auto start = [&](const std::string& id, const std::string& vm,
                         int64_t cpu, const std::string& label) {
    labels_[vm] = {vm};
    if (vms_.count(vm) == 0) ConnectVm(vm);
    vms_.insert(vm);
    Workflow workflow = LongRunningWorkflow(id, 1, cpu);
    workflow.steps[0].required_label = label;
    if (!GetParam()) workflow.steps[0].tail_target = Duration(0);
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const auto starts = Tick().starts;
    ASSERT_THAT(starts, SizeIs(1));
    ASSERT_EQ(starts[0].first, vm);
    runs_[id] = starts[0].second;
  };
  start("fixed-1", "vm-1", 4000, "vm-1");
  start("small", "vm-1", 2000, "");
  for (const char* vm : {"vm-2", "vm-3", "vm-4"}) {
    start(std::string("fixed-") + vm, vm, 6000, vm);
  }
  start("large", "vm-5", 4000, "");
  dispatcher_->OnReports("vm-5",
                         {2,
                          StatusOf("vm-5").incarnation,
                          {{1, runs_["large"], RunEndKind::kStopped, ""}},
                          {},
                          {}},
                         now_);
  dispatcher_->OnLinkDown("vm-5");
  vms_.erase("vm-5");
  const std::vector<std::string> alive(vms_.begin(), vms_.end());
  std::map<std::string, std::string> started;  // The VM, by workflow.
  size_t stops = 0;
  for (int i = 0; i < 24 && started.size() < 2; ++i) {
    AdvanceTime(milliseconds(250), alive);
    const Sent sent = TakeSent();
    for (const auto& [vm, run] : sent.starts) started[run.task.workflow] = vm;
    for (const auto& [vm, run] : sent.stops) {
      ++stops;
      ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kStopped);
    }
  }
  EXPECT_EQ(started["large"], "vm-1");
  EXPECT_THAT(started["small"], testing::AnyOf("vm-2", "vm-3", "vm-4"));
  EXPECT_EQ(stops, 1U);
}

INSTANTIATE_TEST_SUITE_P(WithTailTarget, DispatcherRoomMakingTest,
                         testing::Bool());

// Short tasks fit into gaps that are too small for a long-running task, and are
// ahead in the order. Without a reservation the long-running task starves while
// they keep arriving.
TEST_F(DispatcherLongRunningTest, ShortTasksDoNotStarveALongRunningTask) {
  TakeOwnership({});
  ConnectVm("vm-1");
  ConnectVm("vm-2");
  dispatcher_->AddWorkflow(LongRunningWorkflow("serve", 2, 4000), std::nullopt,
                           now_);
  ASSERT_THAT(Tick().starts, SizeIs(2));
  Workflow quick = SingleStepWorkflow("quick", 400, 2);
  quick.steps[0].declared_run = milliseconds(100);
  dispatcher_->AddWorkflow(quick, std::nullopt, now_);
  std::vector<std::pair<std::string, RunRef>> running = Tick().starts;
  dispatcher_->AddWorkflow(LongRunningWorkflow("late", 1, 4000), std::nullopt,
                           now_);
  bool started = false;
  // One short task ends at a time, so no gap is large enough for the
  // long-running task unless it is reserved.
  for (int i = 0; i < 100 && !started; ++i) {
    now_ += milliseconds(50);
    dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
    dispatcher_->OnHeartbeat("vm-2", {2, now_}, now_);
    ASSERT_THAT(running, testing::Not(IsEmpty()));
    const auto [vm, run] = running.front();
    running.erase(running.begin());
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kDone);
    for (const auto& start : Tick().starts) {
      started = started || start.second.task.workflow == "late";
      if (start.second.task.workflow == "quick") running.push_back(start);
    }
  }
  EXPECT_TRUE(started);
}

}  // namespace
}  // namespace beamhill
