// Tests how long a long-running task that has run before waits while a VM has
// its room, or would have it once short tasks there have ended.
#include <deque>

#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SizeIs;

// Users count a long-running task as lost that does not run for 6 s.
constexpr Duration kMaxWait = seconds(6);
constexpr Duration kStep = milliseconds(50);

class DispatcherReservationTest : public DispatcherTest {
 protected:
  void SetUp() override { TakeOwnership({}); }

  static Workflow LongRunning(const std::string& id, uint32_t tasks,
                              const Resources& each) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.queue = "serve";
    workflow.steps[0].each = each;
    workflow.steps[0].long_running = true;
    return workflow;
  }

  void Connect(const std::string& vm) {
    labels_[vm] = {vm};
    ConnectVm(vm);
    alive_.push_back(vm);
  }

  // Starts a long-running task on that VM; it stays there.
  RunRef StartFixed(const std::string& id, const std::string& vm,
                    const Resources& each) {
    Workflow workflow = LongRunning(id, 1, each);
    workflow.steps[0].required_label = vm;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const auto starts = Tick().starts;
    EXPECT_THAT(starts, SizeIs(1));
    return starts.empty() ? RunRef{} : starts[0].second;
  }

  // Adds short tasks that go before all others.
  void AddShort(const std::string& id, uint32_t tasks, const Resources& each) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.policy.priority = -1;
    workflow.policy.max_attempts = 100;
    workflow.steps[0].each = each;
    workflow.steps[0].declared_run = milliseconds(100);
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }

  // Time until a task of the workflow starts; kMaxWait if none does. Short
  // tasks end one at a time, each `ends_after` its start at the earliest.
  Duration TimeToStart(const std::string& workflow,
                       Duration ends_after = Duration(0)) {
    const TimePoint begin = now_;
    while (now_ - begin < kMaxWait) {
      now_ += kStep;
      for (const std::string& vm : alive_) {
        dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
      }
      dispatcher_->OnConfirmed(now_);
      if (!running_.empty() && now_ - running_.front().at >= ends_after) {
        const Running ended = running_.front();
        running_.pop_front();
        ReceiveEnd(ended.vm, ++ends_[ended.vm], ended.run, RunEndKind::kDone);
      }
      const Sent sent = Tick();
      for (const auto& [vm, run] : sent.stops) EndStopped(vm, run);
      for (const auto& [vm, run] : sent.starts) {
        if (refuses_.count(vm) > 0) {
          dispatcher_->OnReports(vm,
                                 {2,
                                  StatusOf(vm).incarnation,
                                  {},
                                  {{run, NotBegunReason::kNoRoom}},
                                  {}},
                                 now_);
        } else if (run.task.workflow == workflow) {
          started_on_ = vm;
          return now_ - begin;
        } else {
          running_.push_back({vm, run, now_});
        }
      }
    }
    return kMaxWait;
  }

  // Ends the run as lapsed; its task waits from now on.
  void Lapse(const std::string& vm, const RunRef& run) {
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kLapsed);
  }

  struct Running {
    std::string vm;
    RunRef run;
    TimePoint at;
  };

  void EndStopped(const std::string& vm, const RunRef& run) {
    const auto it =
        std::find_if(running_.begin(), running_.end(),
                     [&](const Running& other) { return other.run == run; });
    if (it != running_.end()) running_.erase(it);
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kStopped);
    ++stopped_;
  }

  std::vector<std::string> alive_;
  std::deque<Running> running_;  // Short tasks, the oldest first.
  std::map<std::string, uint64_t> ends_;
  std::set<std::string> refuses_;  // VMs that refuse all starts.
  std::string started_on_;
  size_t stopped_ = 0;
};

// What operators see of a long-running task that no VM has room for.
TEST_F(DispatcherReservationTest, WaitsAreReportedWithTheirReason) {
  Connect("vm-1");
  const RunRef serving = StartFixed("serve", "vm-1", {6000, 100, 0});
  Lapse("vm-1", serving);
  AddShort("quick", 8, {1000, 100, 0});
  for (const auto& [vm, run] : Tick().starts) {
    running_.push_back({vm, run, now_});
  }
  ASSERT_THAT(running_, SizeIs(8));
  AdvanceTime(milliseconds(2500), alive_);
  const auto waiting = dispatcher_->WaitingTasks(/*limit=*/10, now_);
  ASSERT_THAT(waiting, SizeIs(1));
  EXPECT_EQ(waiting[0].reason, WaitReason::kReserved);
  EXPECT_EQ(waiting[0].reserved_vm, "vm-1");
  EXPECT_EQ(waiting[0].obstacle, Obstacle::kRoom);
  EXPECT_EQ(waiting[0].vms_with_room, 0U);
  EXPECT_EQ(ToMillis(waiting[0].waited), 2500);
}

}  // namespace
}  // namespace beamhill
