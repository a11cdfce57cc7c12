// Tests that the task of a run that is over starts again in time, whatever way
// its end takes to the owner, or if it takes none.
#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::SizeIs;

// A lease of 5 s, its allowance and the time to notice.
constexpr Duration kMaxRelease = milliseconds(7000);
// Users count a long-running task as lost that does not run for 6 s.
constexpr Duration kMaxWait = seconds(6);

// The run of a long-running task is over on vm-1; vm-2 has room for another.
class DispatcherLapseTest : public DispatcherTest {
 protected:
  void SetUp() override {
    TakeOwnership({});
    incarnations_["vm-1"] = "i-1/5";
    ConnectVm("vm-1");
    Workflow workflow = SingleStepWorkflow("w", 1, 2);
    workflow.steps[0].long_running = true;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const Sent sent = Tick();
    ASSERT_THAT(sent.starts, SizeIs(1));
    run_ = sent.starts[0].second;
    ConnectVm("vm-2");
    AdvanceTime(seconds(3), {"vm-1", "vm-2"});
    ReceiveInventory("vm-1", {run_});
    TakeSent();
  }

  // Whether the task is released and started again in time. The VMs in `alive`
  // send heartbeats. vm-1 confirms stops if `confirms`.
  bool StartsAgain(const std::vector<std::string>& alive,
                   bool confirms = true) {
    const TimePoint begin = now_;
    while (now_ - begin < kMaxRelease + kMaxWait) {
      AdvanceTime(milliseconds(250), alive);
      const Sent sent = TakeSent();
      for (const auto& [vm, run] : sent.stops) {
        if (!confirms) continue;
        dispatcher_->OnReports(vm,
                               {2,
                                StatusOf(vm).incarnation,
                                {},
                                {{run, NotBegunReason::kStopped}},
                                {}},
                               now_);
      }
      for (const auto& [vm, run] : sent.starts) {
        if (run.task.workflow == "w" && run.run > run_.run) return true;
      }
      if (dispatcher_->HeldRunsOf("w") > 0 && now_ - begin > kMaxRelease) {
        return false;
      }
    }
    return false;
  }

  RunRef run_;
};

TEST_F(DispatcherLapseTest, SilentVm) { EXPECT_TRUE(StartsAgain({"vm-2"})); }

TEST_F(DispatcherLapseTest, LinkDown) {
  dispatcher_->OnLinkDown("vm-1");
  EXPECT_TRUE(StartsAgain({"vm-2"}));
}

// It still sends heartbeats.
TEST_F(DispatcherLapseTest, InventoryThatIsAskedForDoesNotCome) {
  dispatcher_->OnVmSilent("vm-1");
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}));
}

TEST_F(DispatcherLapseTest, OtherIncarnationWithoutInventory) {
  incarnations_["vm-1"] = "i-1/6";
  dispatcher_->OnStatus("vm-1", StatusOf("vm-1"), now_);
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}));
}

TEST_F(DispatcherLapseTest, RunnerReturnedUnderItsName) {
  incarnations_["vm-1"] = "i-1/6";
  ReceiveInventory("vm-1");
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}, false));
}

TEST_F(DispatcherLapseTest, NoRunner) {
  VmStatus none;
  dispatcher_->OnInventory("vm-1", {2, none, {}, {}, {}, {}}, now_);
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}, false));
}

TEST_F(DispatcherLapseTest, RunnerReturnedUnderItsNameWithoutStartTime) {
  incarnations_["vm-1"] = "i-1";
  ReceiveInventory("vm-1");
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}));
}

TEST_F(DispatcherLapseTest, ExecutorRestartedAndRunIsMissing) {
  dispatcher_->OnLinkDown("vm-1");
  ConnectVm("vm-1");
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}));
}

TEST_F(DispatcherLapseTest, EndIsListedAfterTheLinkReturned) {
  dispatcher_->OnLinkDown("vm-1");
  ConnectVm("vm-1", {}, {{1, run_, RunEndKind::kLapsed, ""}});
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}, false));
}

TEST_F(DispatcherLapseTest, EndInAnEarlierIncarnationOnly) {
  incarnations_["vm-1"] = "i-1";
  const PastIncarnation past{
      "i-1/5", false, {{1, run_, RunEndKind::kLapsed, ""}}, {}, {}};
  dispatcher_->OnInventory("vm-1", {2, StatusOf("vm-1"), {}, {}, {}, {past}},
                           now_);
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}));
}

// A runner that does not report its start time has numbered its ends anew.
TEST_F(DispatcherLapseTest, EndWithALowerNumberThanAnother) {
  ReceiveEnd("vm-1", 5, SingleStepRun("unknown", 0, 1), RunEndKind::kDone);
  ReceiveEnd("vm-1", 4, run_, RunEndKind::kLapsed);
  EXPECT_TRUE(StartsAgain({"vm-1", "vm-2"}, false));
}

}  // namespace
}  // namespace beamhill
