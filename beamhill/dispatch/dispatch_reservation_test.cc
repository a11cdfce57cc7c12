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

// Guards against short tasks that find no room because it is reserved, and so
// keep the long-running task off the room that is reserved for it.
TEST_F(DispatcherReservationTest, ShortTasksDoNotHideReservedRoom) {
  for (const char* vm : {"vm-1", "vm-2"}) {
    Connect(vm);
    StartFixed(std::string("fixed-") + vm, vm, {4000, 100, 0});
  }
  dispatcher_->AddWorkflow(LongRunning("serve", 2, {2000, 100, 0}),
                           std::nullopt, now_);
  const auto serving = Tick().starts;
  ASSERT_THAT(serving, SizeIs(2));
  AddShort("quick", 1000, {1000, 100, 0});
  Lapse(serving[0].first, serving[0].second);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
}

// Guards against a reservation on a VM that already runs as many tasks of the
// step as it may.
TEST_F(DispatcherReservationTest, VmAtTheStepsLimitIsNotReserved) {
  Connect("vm-1");
  Connect("vm-2");
  StartFixed("fixed", "vm-2", {4000, 100, 0});
  Workflow serve = LongRunning("serve", 2, {2000, 100, 0});
  serve.steps[0].max_per_vm = 1;
  dispatcher_->AddWorkflow(serve, std::nullopt, now_);
  const auto serving = Tick().starts;
  ASSERT_THAT(serving, SizeIs(2));
  AddShort("quick", 1000, {1000, 100, 0});
  const auto on_vm_2 =
      std::find_if(serving.begin(), serving.end(),
                   [](const auto& start) { return start.first == "vm-2"; });
  ASSERT_NE(on_vm_2, serving.end());
  Lapse(on_vm_2->first, on_vm_2->second);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
}

// Guards against a reservation on a VM whose memory other long-running tasks
// use.
TEST_F(DispatcherReservationTest, VmWithoutMemoryIsNotReserved) {
  Connect("vm-1");
  Connect("vm-2");
  StartFixed("memory", "vm-1", {1000, 15500, 0});
  StartFixed("fixed", "vm-2", {4000, 100, 0});
  dispatcher_->AddWorkflow(LongRunning("serve", 1, {2000, 1000, 0}),
                           std::nullopt, now_);
  const auto serving = Tick().starts;
  ASSERT_THAT(serving, SizeIs(1));
  AddShort("quick", 1000, {1000, 50, 0});
  Lapse(serving[0].first, serving[0].second);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
}

// Guards against a reservation that stands although its VM refuses the task.
TEST_F(DispatcherReservationTest, VmThatRefusesTheTaskIsNotReservedForEver) {
  Connect("vm-1");
  Connect("vm-2");
  StartFixed("fixed-2", "vm-2", {4000, 100, 0});
  dispatcher_->AddWorkflow(LongRunning("serve", 1, {4000, 100, 0}),
                           std::nullopt, now_);
  const auto serving = Tick().starts;
  ASSERT_THAT(serving, SizeIs(1));
  refuses_ = {"vm-1"};
  AddShort("quick", 1000, {1000, 100, 0});
  Lapse(serving[0].first, serving[0].second);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
  EXPECT_EQ(started_on_, "vm-2");
}

// Guards against a wait that lasts as long as the short tasks on each VM.
TEST_F(DispatcherReservationTest, ShortTasksThatRunLongAreStopped) {
  Connect("vm-1");
  Connect("vm-2");
  const RunRef serving = StartFixed("serve", "vm-1", {4000, 100, 0});
  AddShort("quick", 12, {1000, 100, 0});
  for (const auto& [vm, run] : Tick().starts) {
    running_.push_back({vm, run, now_});
  }
  ASSERT_THAT(running_, SizeIs(12));
  dispatcher_->AddWorkflow(LongRunning("new", 1, {500, 100, 0}), std::nullopt,
                           now_);
  AddShort("more", 1000, {1000, 100, 0});
  Lapse("vm-1", serving);
  EXPECT_LT(ToMillis(TimeToStart("serve", seconds(30))), ToMillis(kMaxWait));
  EXPECT_LE(stopped_, 4U);
}

// Guards against tasks that have never run taking each core that becomes free
// on the VM that is reserved for one that has.
TEST_F(DispatcherReservationTest, NewLongRunningTasksLeaveReservedRoom) {
  Connect("vm-1");
  const RunRef serving = StartFixed("serve", "vm-1", {4000, 100, 0});
  AddShort("quick", 8, {1000, 100, 0});
  Lapse("vm-1", serving);
  for (const auto& [vm, run] : Tick().starts) {
    running_.push_back({vm, run, now_});
  }
  ASSERT_THAT(running_, SizeIs(8));
  Workflow fresh = LongRunning("fresh", 20, {1000, 100, 0});
  fresh.policy.priority = -1;
  dispatcher_->AddWorkflow(fresh, std::nullopt, now_);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
}

// Guards against a gang whose last member found no room, while the others held
// theirs, hiding that room from tasks of the same size.
TEST_F(DispatcherReservationTest, GangThatDoesNotFitHidesNoRoom) {
  Connect("vm-1");
  Workflow quick = SingleStepWorkflow("quick", 2, 2);
  quick.policy.max_attempts = 100;
  quick.steps[0].each = {4000, 100, 0};
  dispatcher_->AddWorkflow(quick, std::nullopt, now_);
  const auto running = Tick().starts;
  ASSERT_THAT(running, SizeIs(2));
  Workflow gang = SingleStepWorkflow("gang", 2, 2);
  gang.policy.priority = -1;
  gang.steps[0].each = {4000, 100, 0};
  gang.steps[0].gang = true;
  dispatcher_->AddWorkflow(gang, std::nullopt, now_);
  ReceiveEnd("vm-1", ++ends_["vm-1"], running[0].second, RunEndKind::kFailed);
  EXPECT_LT(ToMillis(TimeToStart("quick")), ToMillis(kMaxWait));
}

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
