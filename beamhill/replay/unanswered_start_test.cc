// Runners left starts unanswered. A workflow counted as begun from the moment
// its first start was ordered, whenever that start left and whatever became of
// it: one was ordered at 16.1 s, given back as outdated at 18.3 s and began at
// 22 s, while callers who asked were told that 3 jobs wait where 9 had waited
// for 5 s.
#include "beamhill/replay/owner_and_vm_test_base.h"

namespace beamhill {
namespace {

class UnansweredStartTest : public OwnerAndVmTest {
 protected:
  // The owner has ordered the task's start, and its runner has not answered.
  void OrderStart() {
    TakeOver(1);
    for (int i = 0; i < 10 && !started_; ++i) {
      Exchange();
      AnswerLooks({});
    }
    ASSERT_TRUE(started_);
    Exchange();
  }
};

TEST_F(UnansweredStartTest, WorkWaitsUntilARunnerHasBegunIt) {
  OrderStart();
  EXPECT_EQ(owner_->WaitingIn(""), 1);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kQueued);
  AnswerStarts();
  Exchange();
  EXPECT_EQ(owner_->WaitingIn(""), 0);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kRunning);
}

TEST_F(UnansweredStartTest, WorkHasBegunThatALookShowsRunning) {
  OrderStart();
  for (auto& done : std::exchange(starts_, {})) done(RunnerReply{});
  Exchange();
  EXPECT_EQ(owner_->WaitingIn(""), 1);
  AnswerLooks({}, /*gone=*/false, {{{"w", 0, 0, 0}, 1}});
  Exchange();
  EXPECT_EQ(owner_->WaitingIn(""), 0);
}

}  // namespace
}  // namespace beamhill
