// Tests how long a long-running task waits whose VMs a placement advisor
// restricts.
#include "beamhill/dispatch/reservation_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SizeIs;

class DispatcherAdviceWaitsTest : public DispatcherReservationTest {
 protected:
  // Starts a long-running task that needs the advisor's tickets.
  RunRef StartAdvised(const std::string& id, const Resources& each) {
    Workflow workflow = LongRunning(id, 1, each);
    workflow.policy.needs_advice = true;
    workflow.policy.ticket_lifetime = seconds(1);
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    Tick();
    AnswerAdviceRequests();
    const auto starts = Tick().starts;
    EXPECT_THAT(starts, SizeIs(1));
    return starts.empty() ? RunRef{} : starts[0].second;
  }
};

// Guards against asking the advisor again and again about the same runners,
// while others have room.
TEST_F(DispatcherAdviceWaitsTest, AdvisorIsAskedAboutAllRunnersWithRoom) {
  for (int i = 10; i < 90; ++i) Connect("vm-" + std::to_string(i));
  advised_ = {"vm-89"};
  Workflow serve = LongRunning("serve", 1, {2000, 100, 0});
  serve.policy.needs_advice = true;
  serve.policy.ticket_lifetime = seconds(1);
  dispatcher_->AddWorkflow(serve, std::nullopt, now_);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
  EXPECT_EQ(started_on_, "vm-89");
}

// Guards against reservations on VMs that the advisor has not allowed, while
// short tasks refill the one that it would allow.
TEST_F(DispatcherAdviceWaitsTest, VmThatTheAdvisorRefusedIsNotReserved) {
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) Connect(vm);
  StartFixed("fixed", "vm-3", {4000, 100, 0});
  advised_ = {"vm-3"};
  const RunRef serving = StartAdvised("serve", {4000, 100, 0});
  AddShort("quick", 1000, {1000, 100, 0});
  Lapse("vm-3", serving);
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
  EXPECT_EQ(started_on_, "vm-3");
}

// Guards against a ticket for a VM that runs as many tasks of the step as it
// may: it keeps the advisor from being asked about others.
TEST_F(DispatcherAdviceWaitsTest, AdvisorIsAskedBesideAVmAtTheStepsLimit) {
  Connect("vm-1");
  advised_ = {"vm-1", "vm-2"};
  Workflow serve = LongRunning("serve", 2, {2000, 100, 0});
  serve.steps[0].max_per_vm = 1;
  serve.policy.needs_advice = true;
  serve.policy.ticket_lifetime = seconds(20);
  dispatcher_->AddWorkflow(serve, std::nullopt, now_);
  ASSERT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
  Connect("vm-2");
  EXPECT_LT(ToMillis(TimeToStart("serve")), ToMillis(kMaxWait));
  EXPECT_EQ(started_on_, "vm-2");
}

// Guards against short tasks stopped for nothing: for a reservation on a VM
// that runs as many tasks of an advised step as it may.
TEST_F(DispatcherAdviceWaitsTest, VmAtTheLimitOfAnAdvisedStepIsNotReserved) {
  for (const char* vm : {"vm-1", "vm-2", "vm-3"}) Connect(vm);
  StartFixed("fixed", "vm-3", {4000, 100, 0});
  advised_ = {"vm-1", "vm-2", "vm-3"};
  Workflow serve = LongRunning("serve", 3, {2000, 100, 0});
  serve.steps[0].max_per_vm = 1;
  serve.policy.needs_advice = true;
  serve.policy.ticket_lifetime = seconds(1);
  dispatcher_->AddWorkflow(serve, std::nullopt, now_);
  Tick();
  AnswerAdviceRequests();
  const auto serving = Tick().starts;
  ASSERT_THAT(serving, SizeIs(3));
  AddShort("quick", 1000, {1000, 100, 0});
  AdvanceTime(seconds(2), alive_);
  for (const auto& [vm, run] : TakeSent().starts) {
    running_.push_back({vm, run, now_});
  }
  const auto on_vm_3 =
      std::find_if(serving.begin(), serving.end(),
                   [](const auto& start) { return start.first == "vm-3"; });
  ASSERT_NE(on_vm_3, serving.end());
  Lapse("vm-3", on_vm_3->second);
  EXPECT_LT(ToMillis(TimeToStart("serve", seconds(30))), ToMillis(kMaxWait));
  EXPECT_LE(stopped_, 2U);
}

// Guards against a wait for the room of one VM after the other, most of which
// the advisor does not allow.
TEST_F(DispatcherAdviceWaitsTest, AdvisorIsAskedAboutVmsThatMayBeReserved) {
  for (int i = 10; i < 40; ++i) Connect("vm-" + std::to_string(i));
  AddShort("quick", 30 * 8, {1000, 100, 0});
  for (const auto& [vm, run] : Tick().starts) {
    running_.push_back({vm, run, now_});
  }
  ASSERT_THAT(running_, SizeIs(30 * 8));
  Connect("vm-40");
  StartFixed("fixed", "vm-40", {4000, 100, 0});
  advised_ = {"vm-40"};
  const RunRef serving = StartAdvised("serve", {4000, 100, 0});
  AddShort("more", 1000, {1000, 100, 0});
  Lapse("vm-40", serving);
  EXPECT_LT(ToMillis(TimeToStart("serve", seconds(3))), ToMillis(kMaxWait));
}

}  // namespace
}  // namespace beamhill
