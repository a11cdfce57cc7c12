// Guards against the loss of a run's end when its runner leaves 2 ms after it.
//
// If an executor without a link to an owner drops an end that it has polled,
// and polls the runner again only when an owner is linked, the runner no longer
// answers. It is considered gone 0.6 s later, the inventory is empty, and the
// owner starts the completed task again.
#include "beamhill/replay/owner_and_vm_test_base.h"

namespace beamhill {
namespace {

const RunRef kRun{{"w", 0, 0, 0}, 1};

using LeavingRunnerTest = OwnerAndVmTest;

TEST_F(LeavingRunnerTest, EndPolledWithoutAnOwnerIsNotLost) {
  TakeOver(1);
  for (int i = 0; i < 10 && !started_; ++i) {
    ExchangeMessages();
    AnswerPolls({});
  }
  ASSERT_TRUE(started_);
  AnswerStarts();
  executor_->OnLinkDown(1);
  messages_to_owner_.clear();
  AnswerPolls({{1, kRun, RunEndKind::kDone, ""}});
  executor_->OnRunnerLeaving("vm-1-incarnation");
  TakeOver(2);
  LinkVm2();
  for (int i = 0; i < 60; ++i) {
    ExchangeMessages();
    AnswerPolls({}, /*gone=*/true);
  }
  EXPECT_FALSE(started_again_);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kCompleted);
}

// The successor may start the task elsewhere at once, and only then.
TEST_F(LeavingRunnerTest, TaskOfAGoneRunnerStartsAgainSoonAfterATakeover) {
  TakeOver(1);
  for (int i = 0; i < 10 && !started_; ++i) {
    ExchangeMessages();
    AnswerPolls({});
  }
  ASSERT_TRUE(started_);
  AnswerStarts();
  executor_->OnRunnerLeaving("vm-1-incarnation");
  for (int i = 0; i < 40 && !executor_->runner_is_gone(); ++i) {
    ExchangeMessages();
    AnswerPolls({}, /*gone=*/true);
  }
  ASSERT_TRUE(executor_->runner_is_gone());
  messages_to_owner_.clear();
  started_again_ = false;
  TakeOver(2);
  LinkVm2();
  for (int i = 0; i < 10; ++i) ExchangeMessages();
  EXPECT_TRUE(started_again_);
}

// An executor that has just started is told of an exit, by a delayed
// announcement, and has no owner under whose epoch it could poll the runner.
// An empty inventory would make the owner start the running task once more.
TEST_F(LeavingRunnerTest, UnverifiedExitDoesNotStartARunningTaskAgain) {
  executor_->OnRunnerLeaving("vm-1-incarnation");
  now_ += std::chrono::milliseconds(700);
  executor_->Tick();
  ASSERT_TRUE(executor_->runner_is_gone());
  TakeOver(2);
  LinkVm2();
  for (int i = 0; i < 60; ++i) {
    // The runner renews its registration.
    if (i == 10) executor_->OnRunnerRegistered(StatusOf("vm-1"), {});
    ExchangeMessages();
    AnswerPolls({}, /*gone=*/false, {kRun});
  }
  EXPECT_FALSE(started_again_);
  EXPECT_EQ(owner_->HeldRunsOf("w"), 1);
}

// Guards against a double start: a successor does not wait for a VM without a
// row, and an earlier owner may still be linked when the next runner registers.
TEST_F(LeavingRunnerTest, OwnerBeforeTheTakeoverStartsNothingOnANewRunner) {
  TakeOver(1);
  for (int i = 0; i < 10 && pending_polls_.empty(); ++i) ExchangeMessages();
  executor_->OnRunnerLeaving("vm-1-incarnation");
  for (int i = 0; i < 40 && !executor_->runner_is_gone(); ++i) {
    executor_->Tick();
    now_ += std::chrono::milliseconds(50);
    AnswerPolls({}, /*gone=*/true);
  }
  ASSERT_TRUE(executor_->runner_is_gone());
  for (int i = 0; i < 10; ++i) ExchangeMessages();
  ASSERT_FALSE(started_);
  std::unique_ptr<Dispatcher> earlier = std::move(owner_);
  // The successor finds only the row of vm-2.
  DispatcherOptions options;
  options.epoch = 2;
  options.inherited_vms = {"vm-2"};
  owner_ = Dispatcher::Create(options, nullptr, now_);
  owner_->AddWorkflow(SingleTaskWorkflow(), std::nullopt, now_);
  LinkVm2();
  for (int i = 0; i < 10 && !started_again_; ++i) ExchangeMessages();
  EXPECT_TRUE(started_again_);  // On vm-2.
  // The earlier owner has not heard of it; its authority is not over.
  std::swap(owner_, earlier);
  VmStatus status = StatusOf("vm-1");
  status.incarnation = "vm-1-next";
  messages_to_owner_.clear();
  executor_->RejectOwnersBelow(2);  // As the table names the successor.
  executor_->OnRunnerRegistered(status, RunnerClock(1));
  for (int i = 0; i < 20; ++i) {
    now_ += std::chrono::milliseconds(50);
    for (const auto& m : std::exchange(messages_to_owner_, {})) {
      if (const auto* st = std::get_if<VmStatus>(&m)) {
        owner_->OnStatus("vm-1", *st, now_);
      } else if (const auto* hb = std::get_if<VmHeartbeat>(&m)) {
        owner_->OnHeartbeat("vm-1", *hb, now_);
      } else if (const auto* inv = std::get_if<VmInventory>(&m)) {
        owner_->OnInventory("vm-1", *inv, now_);
      }
    }
    owner_->Tick(now_, UnixMillis(1'000'000));
    for (const VmMessage& out : owner_->TakeMessages()) {
      if (out.vm == "vm-1") executor_->OnMessage(1, out.message);
    }
    executor_->Tick();
    AnswerPolls({});
  }
  EXPECT_FALSE(started_);
}

}  // namespace
}  // namespace beamhill
