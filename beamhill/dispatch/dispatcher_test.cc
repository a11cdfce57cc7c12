#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

// An answer can be lost with an executor that restarts behind a link that
// stays up.
TEST_F(DispatcherTest, VmThatHasNotAnsweredIsAskedAgain) {
  Take({});
  dispatcher_->OnLinkUp("vm-1");
  dispatcher_->TakeMessages();
  dispatcher_->AttachAgain();
  EXPECT_THAT(dispatcher_->TakeMessages(), SizeIs(1));
  Answer("vm-1");
  dispatcher_->TakeMessages();
  dispatcher_->AttachAgain();
  EXPECT_THAT(dispatcher_->TakeMessages(), SizeIs(0));
}

// A runner that hangs silences its executor, whose link stays up.
TEST_F(DispatcherTest, VmThatFallsSilentIsAskedWhatItHoldsBeforeItGetsMore) {
  Take({});
  Link("vm-1");
  dispatcher_->TakeMessages();
  dispatcher_->OnVmSilent("vm-1");
  dispatcher_->OnVmSilent("vm-1");
  EXPECT_THAT(dispatcher_->TakeMessages(), SizeIs(1));  // One Attach.
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  Answer("vm-1");
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, StartsWithinRoomAndNotBeyond) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 6, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(4));  // 4 x 2 of 8 cores.
  EXPECT_THAT(Tick().starts, IsEmpty());
}

TEST_F(DispatcherTest, StoppingTaskStillTakesItsRoom) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 4, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  dispatcher_->Cancel("a", now_);
  EXPECT_THAT(Take().stops, SizeIs(4));
  dispatcher_->AddWorkflow(OneStep("b", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  End("vm-1", 1, starts[0].second, RunEndKind::kStopped);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, WorkflowOfAnotherEpochIsStoredBeforeItStarts) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 0), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
  ASSERT_TRUE(Store());
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, InheritedWorkWaitsForEveryVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  EXPECT_THAT(Tick().starts, IsEmpty());
  Link("vm-2");
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, InheritedWorkWaitsOutTheLeasesOfASilentVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  Pass(seconds(13), {"vm-1"});
  EXPECT_THAT(Take().starts, IsEmpty());
  Pass(seconds(2), {"vm-1"});
  EXPECT_THAT(Take().starts, SizeIs(1));
}

TEST_F(DispatcherTest, OwnWorkNeedNotWaitForASilentVm) {
  Take({"vm-1", "vm-2"});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, RunningTaskIsAdoptedAndNotStartedAgain) {
  Take({"vm-1"});
  dispatcher_->AddWorkflow(OneStep("a", 1, 1), std::nullopt, now_);
  ASSERT_TRUE(Store());
  Link("vm-1", {Ref("a", 0, 3)});
  EXPECT_THAT(Tick().starts, IsEmpty());
  EXPECT_EQ(dispatcher_->counts().adopted, 1);
}

TEST_F(DispatcherTest, NewRunIsAboveAllOfEarlierEpochs) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, ElementsAre(std::pair("vm-1", Ref("a", 0, 1001))));
}

TEST_F(DispatcherTest, InventoryWithUnknownWorkIsAskedForAgain) {
  Take({"vm-1"});
  dispatcher_->OnLinkUp("vm-1");
  EXPECT_FALSE(dispatcher_->OnInventory(
      "vm-1", {2, StatusOf("vm-1"), {Ref("late", 0, 1)}, {}, {}, {}}, now_));
  EXPECT_THAT(Take().stops, IsEmpty());
  dispatcher_->AddWorkflow(OneStep("late", 1, 1), std::nullopt, now_);
  Link("vm-1", {Ref("late", 0, 1)});
  EXPECT_EQ(dispatcher_->counts().adopted, 1);
}

// The reference to the run was into the table that it was erased from, so
// nothing was found to be let go (a day drawn by the users' bench: tasks that
// last were away for 30 s).
TEST_F(DispatcherTest, NewLifeOfARunnerFreesItsWorkAtOnce) {
  Take({});
  Link("vm-1");
  Link("vm-2");
  dispatcher_->AddWorkflow(OneStep("a-workflow-with-a-long-name", 2, 2),
                           std::nullopt, now_);
  const auto first = Tick().starts;
  ASSERT_THAT(first, SizeIs(2));
  const std::string vm = first[0].first;
  lives_[vm] = "another life";
  Answer(vm);
  const auto again = Tick().starts;
  ASSERT_THAT(again, SizeIs(2));
  EXPECT_GT(again[0].second.run, first[0].second.run);
}

// A start that the executor's earlier version had sent may yet take effect.
TEST_F(DispatcherTest, LifeThatALaterExecutorNamesMoreExactlyKeepsItsWork) {
  Take({});
  lives_["vm-1"] = "i-1";
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  lives_["vm-1"] = "i-1/1764745200000";
  Link("vm-1");
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
  EXPECT_THAT(Tick().starts, IsEmpty());
  // Numbers of ends may have begun anew.
  End("vm-1", 1, run, RunEndKind::kDone);
  EXPECT_EQ(dispatcher_->counts().done, 1);
}

TEST_F(DispatcherTest, RunnerThatStartsAgainUnderItsIdIsAnotherLife) {
  Take({});
  lives_["vm-1"] = "i-1/1764745200000";
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  lives_["vm-1"] = "i-1/1764745200001";
  Answer("vm-1");
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

// It was kept from work since nobody answered where the incarnation before was.
TEST_F(DispatcherTest, NextLifeOfARunnerTakesWorkAtOnce) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  dispatcher_->OnReports("vm-1",
                         {2,
                          StatusOf("vm-1").incarnation,
                          {},
                          {{run, NotBegunReason::kUnreachable}},
                          {}},
                         now_);
  Pass(milliseconds(250), {"vm-1"});
  EXPECT_THAT(Take().starts, IsEmpty());
  lives_["vm-1"] = "vm-1-life-2";
  Answer("vm-1");
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, SilentVmsWorkStartsElsewhereOnlyAfterItsLease) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a-workflow-with-a-long-name", 1, 2),
                           std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Link("vm-2");
  Pass(milliseconds(4900), {"vm-2"});
  EXPECT_THAT(Take().starts, IsEmpty());
  Pass(seconds(1), {"vm-2"});
  const auto again = Take().starts;
  ASSERT_THAT(again, SizeIs(1));
  EXPECT_EQ(again[0].first, "vm-2");
}

// An owner that was paused may find that leases which it granted have run
// out, while a successor has renewed them. (The simulation of the cells found
// this with seed 426964.)
TEST_F(DispatcherTest, LeaseThatASuccessorMayHaveRenewedIsNotTakenAsLapsed) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  ASSERT_THAT(Tick().starts, SizeIs(1));
  Link("vm-2");
  confirms_ = false;
  Pass(seconds(7), {"vm-2"});
  EXPECT_TRUE(dispatcher_->WantsConfirmation(now_));
  EXPECT_THAT(Take().starts, IsEmpty());
  dispatcher_->OnConfirmed(now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

TEST_F(DispatcherTest, NoLeaseAndNoStartWithoutAuthority) {
  Take({});
  Link("vm-1");
  Take();
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  for (const Authority lacking : {Authority::kNone, Authority::kClosing}) {
    dispatcher_->SetAuthority(lacking, now_);
    dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
    dispatcher_->Tick(now_, kUnix);
    // Whatever was decided would leave now.
    dispatcher_->SetAuthority(Authority::kClosing, now_);
    EXPECT_THAT(dispatcher_->TakeMessages(), IsEmpty());
  }
}

TEST_F(DispatcherTest, RunMissingFromAnInventoryIsStoppedBeforeItIsFreed) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  Link("vm-1");
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
  EXPECT_THAT(Tick().starts, IsEmpty());
  dispatcher_->OnReports("vm-1",
                         {2,
                          StatusOf("vm-1").incarnation,
                          {},
                          {{run, NotBegunReason::kStopped}},
                          {}},
                         now_);
  now_ += seconds(1);
  dispatcher_->OnHeartbeat("vm-1", {2, now_}, now_);
  EXPECT_THAT(Tick().starts, SizeIs(1));
}

// Found on tsagaan-tal-grown scale-2 (UNASKED): the executor was restarted
// between the owner's stop and its own call to the runner.
TEST_F(DispatcherTest, StopThatAnExecutorLostIsRepeatedAfterItsInventory) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  dispatcher_->Cancel("a", now_);
  ASSERT_THAT(Take().stops, SizeIs(1));
  dispatcher_->OnLinkDown("vm-1");
  Link("vm-1", {run});
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
}

TEST_F(DispatcherTest, StopForAVmWithoutALinkIsSentOnceItHasOne) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  dispatcher_->OnLinkDown("vm-1");
  dispatcher_->Cancel("a", now_);
  Take();
  Link("vm-1", {run});
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
}

TEST_F(DispatcherTest, EndIsSettledOnlyOnceStored) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  End("vm-1", 1, Tick().starts[0].second, RunEndKind::kDone);
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kRunning);
  ASSERT_TRUE(dispatcher_->TakeCommit(now_));
  EXPECT_THAT(Take().settled, IsEmpty());
  dispatcher_->OnCommitFailed();
  EXPECT_THAT(Take().settled, IsEmpty());
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 1)));
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kCompleted);
}

TEST_F(DispatcherTest, EndThatComesDuringACommitWaitsForTheNext) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 2, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  End("vm-1", 1, starts[0].second, RunEndKind::kDone);
  ASSERT_TRUE(dispatcher_->TakeCommit(now_));
  End("vm-1", 2, starts[1].second, RunEndKind::kDone);
  dispatcher_->OnCommitted();
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 1)));
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kRunning);
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, ElementsAre(std::pair("vm-1", 2)));
}

TEST_F(DispatcherTest, DrainingVmGetsNothingNewAndLosesWhatCannotEnd) {
  Take({});
  Link("vm-1");
  Workflow lasting = OneStep("a", 1, 2);
  lasting.steps[0].long_running = true;
  dispatcher_->AddWorkflow(lasting, std::nullopt, now_);
  const RunRef run = Tick().starts[0].second;
  VmStatus draining = StatusOf("vm-1");
  draining.draining = true;
  draining.remaining = seconds(3);
  dispatcher_->OnStatus("vm-1", draining, now_);
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", run)));
  dispatcher_->AddWorkflow(OneStep("b", 1, 2), std::nullopt, now_);
  EXPECT_THAT(Tick().starts, IsEmpty());
}

// After a takeover all finished workflows fall due at once; a transaction over
// the store's 100 entries would be refused for good.
TEST_F(DispatcherTest, ForgettingManyStaysWithinOneTransaction) {
  Take({});
  ProgressRecord completed;
  completed.state = WorkflowState::kCompleted;
  for (int i = 0; i < 70; ++i) {
    dispatcher_->AddWorkflow(OneStep("w" + std::to_string(i), 1, 1), completed,
                             now_);
  }
  now_ += seconds(131);
  size_t forgotten = 0;
  while (const auto commit = dispatcher_->TakeCommit(now_)) {
    EXPECT_LE(3 * commit->forgotten.size() + 2 * commit->progress.size(), 98);
    forgotten += commit->forgotten.size();
    dispatcher_->OnCommitted();
  }
  EXPECT_EQ(forgotten, 70);
}

TEST_F(DispatcherTest, VmFoundDrainingIsEvacuatedToo) {
  Take({"vm-1"});
  Workflow lasting = OneStep("a", 1, 1);
  lasting.steps[0].long_running = true;
  dispatcher_->AddWorkflow(lasting, std::nullopt, now_);
  dispatcher_->OnLinkUp("vm-1");
  VmStatus draining = StatusOf("vm-1");
  draining.draining = true;
  draining.remaining = seconds(3);
  dispatcher_->OnInventory("vm-1", {2, draining, {Ref("a", 0, 1)}, {}, {}, {}},
                           now_);
  EXPECT_THAT(Take().stops, ElementsAre(std::pair("vm-1", Ref("a", 0, 1))));
}

TEST_F(DispatcherTest, FinishedWorkflowIsForgottenAfterItsRetention) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  End("vm-1", 1, Tick().starts[0].second, RunEndKind::kDone);
  ASSERT_TRUE(Store());
  now_ += seconds(129);
  EXPECT_FALSE(dispatcher_->TakeCommit(now_));
  now_ += seconds(2);
  const auto commit = dispatcher_->TakeCommit(now_);
  ASSERT_TRUE(commit);
  EXPECT_THAT(commit->forgotten, ElementsAre("a"));
  dispatcher_->OnCommitted();
  EXPECT_FALSE(dispatcher_->Knows("a"));
}

// Its runs may be gone before the progress is stored: who has been told that it
// is cancelled must not be told that it runs.
TEST_F(DispatcherTest, CancelledWorkIsShownSoAtOnce) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  const auto starts = Tick().starts;
  ASSERT_THAT(starts, SizeIs(1));
  dispatcher_->Cancel("a", now_);
  End("vm-1", 1, starts[0].second, RunEndKind::kStopped);
  EXPECT_EQ(dispatcher_->StateOf("a"), WorkflowState::kCancelled);
}

}  // namespace
}  // namespace beamhill
