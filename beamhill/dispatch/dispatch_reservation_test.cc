// Tests how long a long-running task that has run before waits while a VM has
// its room, or would have it once short tasks there have ended.
#include "beamhill/dispatch/reservation_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SizeIs;

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

// ---- review ----

}  // namespace
}  // namespace beamhill
