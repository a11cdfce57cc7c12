// Guards against counting a workflow as begun when its first start is only
// ordered, whether or not a runner answers the start.
//
// Callers are then told too few waiting jobs: with a start ordered at 16.1 s,
// returned as outdated at 18.3 s and begun at 22 s, they were told 3 where 9
// had waited for 5 s.
#include "beamhill/replay/owner_and_vm_test_base.h"

namespace beamhill {
namespace {

class UnansweredStartTest : public OwnerAndVmTest {
 protected:
  // Brings the owner to order the start of the task; the runner does not answer
  // it yet.
  void OrderStart() {
    TakeOver(1);
    for (int i = 0; i < 10 && !started_; ++i) {
      ExchangeMessages();
      AnswerPolls({});
    }
    ASSERT_TRUE(started_);
    ExchangeMessages();
  }
};

TEST_F(UnansweredStartTest, WorkflowWaitsUntilARunnerConfirmsTheStart) {
  OrderStart();
  EXPECT_EQ(owner_->WaitingIn(""), 1);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kQueued);
  AnswerStarts();
  ExchangeMessages();
  EXPECT_EQ(owner_->WaitingIn(""), 0);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kRunning);
}

TEST_F(UnansweredStartTest, PollThatShowsTheRunBeginsTheWorkflow) {
  OrderStart();
  for (auto& done : std::exchange(pending_starts_, {})) done(RunnerReply{});
  ExchangeMessages();
  EXPECT_EQ(owner_->WaitingIn(""), 1);
  AnswerPolls({}, /*gone=*/false, {{{"w", 0, 0, 0}, 1}});
  ExchangeMessages();
  EXPECT_EQ(owner_->WaitingIn(""), 0);
}

}  // namespace
}  // namespace beamhill
