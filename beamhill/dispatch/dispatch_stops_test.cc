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
  // A lasting task of "w" runs on vm-1, and the workflow is cancelled.
  RunRef CancelRunningWork() {
    Take({});
    Link("vm-1");
    Workflow workflow = OneStep("w", 1, 2);
    workflow.steps[0].long_running = true;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const Sent sent = Tick();
    EXPECT_THAT(sent.starts, SizeIs(1));
    const RunRef run = sent.starts.at(0).second;
    dispatcher_->Cancel("w", now_);
    return run;
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

TEST_F(DispatcherStopsTest, EndThatIsStillListedIsSettledAgain) {
  Take({});
  Link("vm-1");
  dispatcher_->AddWorkflow(OneStep("w", 1, 2), std::nullopt, now_);
  const RunRef run = Tick().starts.at(0).second;
  End("vm-1", 1, run, RunEndKind::kDone);
  ASSERT_TRUE(Store());
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
  dispatcher_->OnLinkDown("vm-1");
  Link("vm-1", {}, {{1, run, RunEndKind::kDone, ""}});
  Take();
  Store();
  EXPECT_THAT(Take().settled, ElementsAre(Pair("vm-1", 1)));
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
  Take();  // Nothing leaves without a link.
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
