// Tests how long a long-running task waits that no VM runs when its owner has
// taken over.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kShortTasks = 8;
constexpr Duration kStep = milliseconds(50);

class TakeoverWaitsTest : public DispatcherTest {
 protected:
  // Takes over from an owner under epoch 1. Its short tasks fill the only VM
  // and run on; no VM runs the task of "serve".
  void TakeOverWithFullVm(WorkflowState state_of_serve) {
    TakeOwnership({"vm-1"});
    Workflow serve = SingleStepWorkflow("serve", 1, 1);
    serve.queue = "serve";
    serve.steps[0].each = {4000, 100, 0};
    serve.steps[0].long_running = true;
    ProgressRecord record;
    record.opened_by_epoch = 1;
    record.state = state_of_serve;
    dispatcher_->AddWorkflow(serve, record, now_);
    Workflow quick = SingleStepWorkflow("quick", kShortTasks, 1);
    quick.policy.priority = -1;
    quick.steps[0].each = {1000, 100, 0};
    record.state = WorkflowState::kRunning;
    dispatcher_->AddWorkflow(quick, record, now_);
    ASSERT_TRUE(CommitProgress());
    std::vector<RunRef> running;
    for (uint32_t i = 0; i < kShortTasks; ++i) {
      running.push_back(SingleStepRun("quick", i, 1));
    }
    ConnectVm("vm-1", running);
  }

  // Whether "serve" starts within `time`. Short tasks end only when stopped.
  bool ServeStartsWithin(Duration time) {
    uint64_t ends = 0;
    for (const TimePoint end = now_ + time; now_ < end;) {
      now_ += kStep;
      dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
      dispatcher_->OnConfirmed(now_);
      const Sent sent = Tick();
      for (const auto& [vm, run] : sent.stops) {
        ReceiveEnd(vm, ++ends, run, RunEndKind::kStopped);
      }
      for (const auto& [vm, run] : sent.starts) {
        if (run.task.workflow == "serve") return true;
      }
    }
    return false;
  }
};

// Guards against a task that ran under the earlier owner waiting for short
// tasks without end: the new owner took it for one that had never run.
TEST_F(TakeoverWaitsTest, TaskOfBegunWorkflowGetsRoom) {
  TakeOverWithFullVm(WorkflowState::kRunning);
  EXPECT_TRUE(ServeStartsWithin(seconds(4)));
}

// Guards against stopping short tasks for one that nobody has missed yet.
TEST_F(TakeoverWaitsTest, TaskOfWorkflowThatHasNotBegunStopsNone) {
  TakeOverWithFullVm(WorkflowState::kQueued);
  EXPECT_FALSE(ServeStartsWithin(seconds(4)));
  EXPECT_EQ(dispatcher_->counts().moved, 0U);
}

}  // namespace
}  // namespace beamhill
