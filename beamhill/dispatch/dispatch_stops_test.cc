// Stops and settled ends that were sent and did not arrive.
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
  // A lasting task of "w" runs on vm-1.
  RunRef RunLastingWork() {
    Take({});
    Link("vm-1");
    Workflow workflow = OneStep("w", 1, 2);
    workflow.steps[0].long_running = true;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const Sent sent = Tick();
    EXPECT_THAT(sent.starts, SizeIs(1));
    return sent.starts.at(0).second;
  }

  RunRef CancelRunningWork() {
    const RunRef run = RunLastingWork();
    dispatcher_->Cancel("w", now_);
    return run;
  }

  // A run on vm-1 is done, and its end, the first one, is settled.
  RunRef SettleAnEnd() {
    Take({});
    Link("vm-1");
    dispatcher_->AddWorkflow(OneStep("w", 1, 2), std::nullopt, now_);
    const RunRef run = Tick().starts.at(0).second;
    End("vm-1", 1, run, RunEndKind::kDone);
    EXPECT_TRUE(Store());
    EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
    return run;
  }

  // vm-1 holds a run that no workflow asks for.
  void ShowStray() {
    dispatcher_->OnLinkUp("vm-1");
    for (int i = 0; i < 5; ++i) Answer("vm-1", {Ref("unknown", 0, 1)});
    ASSERT_EQ(dispatcher_->Summary(now_).stops, 1);
  }
};

TEST_F(DispatcherStopsTest, StopThatIsLostIsSentAgainUntilTheRunIsOver) {
  const RunRef run = CancelRunningWork();
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
  for (int i = 0; i < 3; ++i) {
    Pass(seconds(2), {"vm-1"});
    const Sent sent = Take();
    EXPECT_THAT(sent.stops, ElementsAre(Pair("vm-1", run)));
    EXPECT_LE(sent.stop_orders, 2);
  }
  End("vm-1", 1, run, RunEndKind::kStopped);
  Take();
  Pass(seconds(5), {"vm-1"});
  EXPECT_THAT(Take().stops, IsEmpty());
}

// It was asked anew what it holds, on the same link: its executor obeys.
TEST_F(DispatcherStopsTest, StopDoesNotWaitForTheInventoryOfAnAttachedVm) {
  const RunRef run = RunLastingWork();
  dispatcher_->OnVmSilent("vm-1");
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

// Rows of another workflow can't be found: the VM is asked four more times.
TEST_F(DispatcherStopsTest, StopDoesNotWaitForWorkThatNobodyKnows) {
  const RunRef run = RunLastingWork();
  dispatcher_->OnVmSilent("vm-1");
  EXPECT_FALSE(dispatcher_->OnInventory(
      "vm-1", {2, StatusOf("vm-1"), {run, Ref("unknown", 0, 1)}, {}, {}, {}},
      now_));
  dispatcher_->Cancel("w", now_);
  EXPECT_THAT(Tick().stops, ElementsAre(Pair("vm-1", run)));
}

TEST_F(DispatcherStopsTest, StopIsOverOnceTheRunNeverBegins) {
  const RunRef run = CancelRunningWork();
  Take();
  dispatcher_->OnReports("vm-1",
                         {2,
                          StatusOf("vm-1").incarnation,
                          {},
                          {{run, NotBegunReason::kStopped}},
                          {}},
                         now_);
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

TEST_F(DispatcherStopsTest, StopIsOverOnceAnotherLifeOfTheRunnerIsThere) {
  CancelRunningWork();
  lives_["vm-1"] = "vm-1-life-2";
  Link("vm-1");
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

// It held nothing else, and went for good.
TEST_F(DispatcherStopsTest, StopOfAStrayIsOverWithTheLeaseOfItsVm) {
  Take({});
  ShowStray();
  dispatcher_->OnLinkDown("vm-1");
  Pass(seconds(30));
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

// A run that no workflow asks for, which its VM had and has no more.
TEST_F(DispatcherStopsTest, StopOfAStrayIsOverOnceItsVmDoesNotShowIt) {
  Take({});
  ShowStray();
  Answer("vm-1");
  EXPECT_EQ(dispatcher_->Summary(now_).stops, 0);
}

TEST_F(DispatcherStopsTest, EndThatIsStillListedIsSettledAgain) {
  const RunRef run = SettleAnEnd();
  dispatcher_->OnLinkDown("vm-1");
  Link("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  Take();
  Store();
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
}

// Its executor missed the word that it is settled, on a link that stands.
TEST_F(DispatcherStopsTest, EndThatIsReportedAgainIsSettledAgain) {
  const RunRef run = SettleAnEnd();
  End("vm-1", 1, run, RunEndKind::kDone);
  Store();
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
}

// A runner that doesn't tell when it started keeps its name over a restart, and
// numbers its ends from 1 again.
TEST_F(DispatcherStopsTest, EndThatWasNotTakenInIsNotSettled) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
  End("vm-1", 1, Tick().starts.at(0).second, RunEndKind::kDone);
  ASSERT_TRUE(Store());
  ASSERT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
  dispatcher_->AddWorkflow(OneStep("b", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts.at(0).second;
  dispatcher_->OnLinkDown("vm-1");
  Link("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  Take();
  Store();
  EXPECT_THAT(Take().settled, IsEmpty());
}

// While a VM is out of reach nobody can tell it.
TEST_F(DispatcherStopsTest,
       EndThatIsStoredWithoutALinkIsSettledOnceThereIsOne) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("w", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts.at(0).second;
  End("vm-1", 1, run, RunEndKind::kDone);
  dispatcher_->OnLinkDown("vm-1");
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, IsEmpty());  // Nobody would hear it.
  Link("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  Take();
  Store();
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
}

// Once its rows are gone nobody knows that the run is to be stopped.
TEST_F(DispatcherStopsTest, WorkIsNotForgottenWhileAVmHoldsARunOfIt) {
  const RunRef run = CancelRunningWork();
  ASSERT_TRUE(Store());
  Pass(DispatcherOptions{}.retention + seconds(1), {"vm-1"});
  Store();
  EXPECT_TRUE(dispatcher_->Knows("w"));
  End("vm-1", 1, run, RunEndKind::kStopped);
  Store();
  EXPECT_FALSE(dispatcher_->Knows("w"));
}

}  // namespace
}  // namespace beamhill
