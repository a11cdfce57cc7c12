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

}  // namespace
}  // namespace beamhill
