// Tests that stops and acknowledgements of ends are sent again when they are
// lost.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::Pair;
using testing::SizeIs;

class DispatcherStopsTest : public DispatcherTest {
 protected:
  // Starts the long-running task of "w" on vm-1.
  RunRef StartLongRunningTask() {
    TakeOwnership({});
    ConnectVm("vm-1");
    Workflow workflow = SingleStepWorkflow("w", 1, 2);
    workflow.steps[0].long_running = true;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const Sent sent = Tick();
    EXPECT_THAT(sent.starts, SizeIs(1));
    return sent.starts.at(0).second;
  }

  RunRef CancelLongRunningTask() {
    const RunRef run = StartLongRunningTask();
    dispatcher_->Cancel("w", now_);
    return run;
  }

  // Finishes a run on vm-1 and has its end, number 1, acknowledged.
  RunRef AcknowledgeAnEnd() {
    TakeOwnership({});
    ConnectVm("vm-1");
    dispatcher_->AddWorkflow(SingleStepWorkflow("w", 1, 2), std::nullopt, now_);
    const RunRef run = Tick().starts.at(0).second;
    ReceiveEnd("vm-1", 1, run, RunEndKind::kDone);
    EXPECT_TRUE(CommitProgress());
    EXPECT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
    return run;
  }

  // Reports a run of an unknown workflow on vm-1 until it is to be stopped.
  void ReportUnknownRun() {
    dispatcher_->OnLinkUp("vm-1");
    for (int i = 0; i < 5; ++i) {
      ReceiveInventory("vm-1", {SingleStepRun("unknown", 0, 1)});
    }
    ASSERT_EQ(dispatcher_->Summary(now_).stops, 1);
  }
};

TEST_F(DispatcherStopsTest, LostStopIsRepeatedUntilTheRunEnds) {
  const RunRef run = CancelLongRunningTask();
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
  for (int i = 0; i < 3; ++i) {
    AdvanceTime(seconds(2), {"vm-1"});
    const Sent sent = TakeSent();
    EXPECT_THAT(sent.stops, ElementsAre(Pair("vm-1", run)));
    EXPECT_LE(sent.stops_with_repeats, 2);
  }
  ReceiveEnd("vm-1", 1, run, RunEndKind::kStopped);
  TakeSent();
  AdvanceTime(seconds(5), {"vm-1"});
  EXPECT_THAT(TakeSent().stops, IsEmpty());
}

// The executor was sent another Attach on the same link, and obeys stops before
// its inventory arrives.
TEST_F(DispatcherStopsTest, StopIsSentBeforeTheInventoryOfAnAttachedVm) {
  const RunRef run = StartLongRunningTask();
  dispatcher_->OnVmSilent("vm-1");
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

// The rows of an unknown workflow may be missing from the table; the inventory
// is then requested four more times before it is accepted.
TEST_F(DispatcherStopsTest, StopIsSentWhileTheInventoryHasUnknownWork) {
  const RunRef run = StartLongRunningTask();
  dispatcher_->OnVmSilent("vm-1");
  EXPECT_FALSE(dispatcher_->OnInventory(
      "vm-1",
      {2, StatusOf("vm-1"), {run, SingleStepRun("unknown", 0, 1)}, {}, {}, {}},
      now_));
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

TEST_F(DispatcherStopsTest, StopIsCompleteOnceTheRunIsKnownNeverToBegin) {
  const RunRef run = CancelLongRunningTask();
  TakeSent();
  dispatcher_->OnReports("vm-1",
                         {2,
                          StatusOf("vm-1").incarnation,
                          {},
                          {{run, NotBegunReason::kStopped}},
                          {}},
                         now_);
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

TEST_F(DispatcherStopsTest, StopIsCompleteOnceTheRunnerHasANewIncarnation) {
  CancelLongRunningTask();
  incarnations_["vm-1"] = "vm-1-incarnation-2";
  ConnectVm("vm-1");
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

// The VM held nothing else and does not return.
TEST_F(DispatcherStopsTest,
       StopOfAnUnknownRunIsCompleteWhenTheVmsLeaseExpires) {
  TakeOwnership({});
  ReportUnknownRun();
  dispatcher_->OnLinkDown("vm-1");
  AdvanceTime(seconds(30));
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

// The run of an unknown workflow is missing from the VM's next inventory.
TEST_F(DispatcherStopsTest,
       StopOfAnUnknownRunIsCompleteOnceTheInventoryLacksIt) {
  TakeOwnership({});
  ReportUnknownRun();
  ReceiveInventory("vm-1");
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

TEST_F(DispatcherStopsTest, EndThatIsStillListedIsAcknowledgedAgain) {
  const RunRef run = AcknowledgeAnEnd();
  dispatcher_->OnLinkDown("vm-1");
  ConnectVm("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  TakeSent();
  CommitProgress();
  EXPECT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
}

// The executor missed the acknowledgement although the link stayed up.
TEST_F(DispatcherStopsTest, EndThatIsReportedAgainIsAcknowledgedAgain) {
  const RunRef run = AcknowledgeAnEnd();
  ReceiveEnd("vm-1", 1, run, RunEndKind::kDone);
  CommitProgress();
  EXPECT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
}

// A runner that does not report its start time keeps its incarnation name
// across a restart, and numbers its ends from 1 again.
TEST_F(DispatcherStopsTest, EndThatWasNotAppliedIsNotAcknowledged) {
  TakeOwnership({});
  ConnectVm("vm-1");
  dispatcher_->AddWorkflow(SingleStepWorkflow("a", 1, 2), std::nullopt, now_);
  ReceiveEnd("vm-1", 1, Tick().starts.at(0).second, RunEndKind::kDone);
  ASSERT_TRUE(CommitProgress());
  ASSERT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
  dispatcher_->AddWorkflow(SingleStepWorkflow("b", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts.at(0).second;
  dispatcher_->OnLinkDown("vm-1");
  ConnectVm("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  TakeSent();
  CommitProgress();
  EXPECT_THAT(TakeSent().acknowledged, IsEmpty());
}

// A disconnected VM cannot receive the acknowledgement.
TEST_F(DispatcherStopsTest,
       EndStoredWhileDisconnectedIsAcknowledgedOnceConnected) {
  TakeOwnership({});
  ConnectVm("vm-1");
  dispatcher_->AddWorkflow(SingleStepWorkflow("w", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts.at(0).second;
  ReceiveEnd("vm-1", 1, run, RunEndKind::kDone);
  dispatcher_->OnLinkDown("vm-1");
  ASSERT_TRUE(CommitProgress());
  EXPECT_THAT(TakeSent().acknowledged, IsEmpty());  // There is no link.
  ConnectVm("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  TakeSent();
  CommitProgress();
  EXPECT_THAT(TakeSent().acknowledged, ElementsAre(Pair("vm-1", 1)));
}

// Once the workflow's rows are deleted, no owner would know that the run has to
// be stopped.
TEST_F(DispatcherStopsTest, WorkflowIsNotForgottenWhileAVmHoldsARunOfIt) {
  const RunRef run = CancelLongRunningTask();
  ASSERT_TRUE(CommitProgress());
  AdvanceTime(DispatcherOptions{}.retention + seconds(1), {"vm-1"});
  CommitProgress();
  EXPECT_TRUE(dispatcher_->Knows("w"));
  ReceiveEnd("vm-1", 1, run, RunEndKind::kStopped);
  CommitProgress();
  EXPECT_FALSE(dispatcher_->Knows("w"));
}

}  // namespace
}  // namespace beamhill
