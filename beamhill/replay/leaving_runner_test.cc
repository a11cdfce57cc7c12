// A run ended as done on a runner that left two milliseconds later. Its
// executor had heard of the end while no owner was linked to it, did not keep
// it, and asked the runner again once one was: by then nobody answered. 0.6 s
// later the runner counted as gone with an empty inventory, and the owner
// started the task once more.
#include "beamhill/replay/owner_and_vm_test_base.h"

namespace beamhill {
namespace {

const RunRef kRun{{"w", 0, 0, 0}, 1};

using LeavingRunnerTest = OwnerAndVmTest;

TEST_F(LeavingRunnerTest, EndThatWasHeardWithoutAnOwnerIsNotLost) {
  TakeOver(1);
  for (int i = 0; i < 10 && !started_; ++i) {
    Exchange();
    AnswerLooks({});
  }
  ASSERT_TRUE(started_);
  AnswerStarts();
  executor_->OnLinkDown(1);
  to_owner_.clear();
  AnswerLooks({{1, kRun, RunEndKind::kDone, ""}});
  executor_->OnRunnerLeaving("vm-1-life");
  TakeOver(2);
  LinkVm2();
  for (int i = 0; i < 60; ++i) {
    Exchange();
    AnswerLooks({}, /*gone=*/true);
  }
  EXPECT_FALSE(started_again_);
  EXPECT_EQ(owner_->StateOf("w"), WorkflowState::kCompleted);
}

}  // namespace
}  // namespace beamhill
