// How the Dispatcher keeps tasks that last at work when VMs fail what they
// start, and when quick work takes each core that comes free.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

class DispatcherLastingTest : public DispatcherTest {
 protected:
  // Tasks that serve until cancelled, of so many thousandths of a core.
  static Workflow Lasting(const std::string& id, uint32_t tasks, int64_t cpu) {
    Workflow workflow = OneStep(id, tasks, 2);
    workflow.queue = "serve";
    workflow.steps[0].each.cpu_millis = cpu;
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s";
    workflow.steps[0].tail_target = milliseconds(20);
    return workflow;
  }

  // vm-1 and vm-2 each hold one lasting task and fail or finish quick ones:
  // all that vm-1 starts fails, which leads to its quarantine.
  void QuarantineVm1() {
    Take({});
    Link("vm-1");
    Link("vm-2");
    Workflow serving = Lasting("serve", 2, 4000);
    serving.steps[0].max_per_vm = 1;
    dispatcher_->AddWorkflow(serving, std::nullopt, now_);
    ASSERT_THAT(Tick().starts, SizeIs(2));
    Workflow quick = OneStep("quick", 40, 2);
    quick.steps[0].each.cpu_millis = 4000;
    quick.policy.max_attempts = 40;
    dispatcher_->AddWorkflow(quick, std::nullopt, now_);
    for (int i = 0; i < 6; ++i) {
      now_ += milliseconds(200);
      for (const auto& [vm, run] : Tick().starts) {
        End(vm, ++ends_[vm], run,
            vm == "vm-1" ? RunEndKind::kFailed : RunEndKind::kDone);
      }
    }
    dispatcher_->Cancel("quick", now_);
    Take();
  }

  std::map<std::string, uint64_t> ends_;
};

// A lasting task that goes on there never ends, so that a VM with one is never
// empty: it has to be probed beside it.
TEST_F(DispatcherLastingTest, QuarantinedVmIsProbedBesideWhatLastsThere) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(Lasting("more", 2, 4000), std::nullopt, now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(1));
  EXPECT_EQ(first[0].first, "vm-2");
  Pass(seconds(11), {"vm-1", "vm-2"});
  const auto probe = Take().starts;
  ASSERT_THAT(probe, SizeIs(1));
  EXPECT_EQ(probe[0].first, "vm-1");
}

// Users count a lasting task that is away for six seconds as lost, when there
// is a VM with room for it, sick or not.
TEST_F(DispatcherLastingTest, TaskThatRanBeforeNeedNotWaitForTheQuarantine) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(Lasting("more", 1, 4000), std::nullopt, now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(1));
  Workflow other = Lasting("other", 1, 4000);
  other.policy.priority = -1;  // It comes first.
  dispatcher_->AddWorkflow(other, std::nullopt, now_);
  End("vm-2", ++ends_["vm-2"], first[0].second, RunEndKind::kFailed);
  ASSERT_THAT(Tick().starts, SizeIs(1));  // The other one's, on vm-2.
  Pass(seconds(4), {"vm-1", "vm-2"});
  const auto starts = Take().starts;
  ASSERT_THAT(starts, SizeIs(1));
  EXPECT_EQ(starts[0].first, "vm-1");
  EXPECT_EQ(starts[0].second.task.workflow, "more");
}

// A probe that lasts comes to no end by which it could pass.
TEST_F(DispatcherLastingTest, ProbeThatStaysAtWorkEndsTheQuarantine) {
  QuarantineVm1();
  dispatcher_->AddWorkflow(Lasting("more", 4, 2000), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(2));  // Both on vm-2.
  Pass(seconds(11), {"vm-1", "vm-2"});
  ASSERT_THAT(Take().starts, SizeIs(1));  // One at a time on vm-1.
  Pass(seconds(6), {"vm-1", "vm-2"});
  EXPECT_THAT(Take().starts, SizeIs(1));
}

// Quick tasks fit into gaps that a lasting one doesn't, and come first: without
// a place that is kept free for it, it waits as long as they come.
TEST_F(DispatcherLastingTest, QuickWorkDoesNotTakeEachGapFromALastingTask) {
  Take({});
  Link("vm-1");
  Link("vm-2");
  dispatcher_->AddWorkflow(Lasting("serve", 2, 4000), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(2));
  Workflow quick = OneStep("quick", 400, 2);
  quick.steps[0].declared_run = milliseconds(100);
  dispatcher_->AddWorkflow(quick, std::nullopt, now_);
  std::vector<std::pair<std::string, RunRef>> running = Tick().starts;
  dispatcher_->AddWorkflow(Lasting("late", 1, 4000), std::nullopt, now_);
  bool started = false;
  // One quick task ends at a time, so that no gap is as wide as the lasting
  // task unless it is kept.
  for (int i = 0; i < 100 && !started; ++i) {
    now_ += milliseconds(50);
    dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
    dispatcher_->OnHeartbeat("vm-2", {2, now_}, now_);
    ASSERT_THAT(running, testing::Not(IsEmpty()));
    const auto [vm, run] = running.front();
    running.erase(running.begin());
    End(vm, ++ends_[vm], run, RunEndKind::kDone);
    for (const auto& start : Tick().starts) {
      started = started || start.second.task.workflow == "late";
      if (start.second.task.workflow == "quick") running.push_back(start);
    }
  }
  EXPECT_TRUE(started);
}

}  // namespace
}  // namespace beamhill
