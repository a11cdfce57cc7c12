// Tests that decisions made without authority, or while it ends, are neither
// lost nor sent too early.
#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "beamhill/config/config.h"
#include "beamhill/link/link.h"
#include "beamhill/scheduler/work_owner_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Exceeds the time that an owner may act without the table.
constexpr Duration kBeyondAuthorityTerm = seconds(9);

// An executor that reports a given inventory and records the orders it
// receives.
class RecordingVm {
 public:
  explicit RecordingVm(EventLoop& loop) {
    auto listener = LinkListener::Listen(loop, {"127.0.0.1", 0},
                                         [this](Link&) { return Hooks(); });
    listener_ = std::move(ValueOf(listener));
    beat_ = loop.Every(milliseconds(100), [this] {
      Send(VmHeartbeat{epoch_, BootClock::now()});
    });
  }

  RowWrite Row() const {
    const VmRecord record{"vm",
                          ToString(Address{"127.0.0.1", listener_->port()})};
    return {rows::kExecutors + record.vm, kAnyVersion, EncodeRecord(record)};
  }

  // Sets what the next inventory reports.
  void SetInventory(std::vector<RunRef> running,
                    std::vector<RunEnd> ended = {}) {
    running_ = std::move(running);
    ended_ = std::move(ended);
  }
  void SendInventory() {
    VmInventory inventory;
    inventory.epoch = epoch_;
    inventory.status.incarnation = "life";
    inventory.status.service = "web";
    inventory.status.capacity = {8000, 16000, 0};
    inventory.running = running_;
    inventory.ended = ended_;
    Send(inventory);
  }
  void ReportEnd(const RunEnd& end) {
    Send(RunReports{epoch_, "life", {end}, {}, {}});
  }

  bool attached() const { return epoch_ != 0; }
  const std::set<RunRef>& started() const { return started_; }
  const std::set<RunRef>& stopped() const { return stopped_; }
  uint64_t acknowledged_through() const { return acknowledged_through_; }

 private:
  void Send(const DispatchMessage& message) {
    if (link_ != nullptr) link_->Send(EncodeDispatch(message));
  }

  LinkHooks Hooks() {
    LinkHooks hooks;
    hooks.on_message = [this](Link& link, std::string_view frame) {
      const auto message = DecodeDispatch(frame);
      if (IsOk(message)) OnMessage(link, ValueOf(message));
    };
    hooks.on_close = [this](Link&) { link_ = nullptr; };
    return hooks;
  }

  void OnMessage(Link& link, const DispatchMessage& message) {
    if (const auto* attach = std::get_if<Attach>(&message)) {
      link_ = &link;
      epoch_ = attach->epoch;
      SendInventory();
    } else if (const auto* starts = std::get_if<StartRuns>(&message)) {
      for (const StartRun& start : starts->runs) {
        started_.insert(
            {{starts->workflow, starts->round, starts->step, start.index},
             start.run});
      }
    } else if (const auto* stops = std::get_if<StopRuns>(&message)) {
      stopped_.insert(stops->runs.begin(), stops->runs.end());
    } else if (const auto* ends = std::get_if<EndsAcknowledged>(&message)) {
      acknowledged_through_ = std::max(acknowledged_through_, ends->through);
    }
  }

  std::unique_ptr<LinkListener> listener_;
  Link* link_ = nullptr;
  uint64_t epoch_ = 0;
  std::vector<RunRef> running_;
  std::vector<RunEnd> ended_;
  std::set<RunRef> started_;
  std::set<RunRef> stopped_;
  uint64_t acknowledged_through_ = 0;
  Timer beat_;
};

class WorkOwnerAuthorityTest : public WorkOwnerTest {
 protected:
  static Workflow Job(const std::string& id, bool is_long_running) {
    Workflow workflow;
    workflow.id = id;
    workflow.queue = "q";
    workflow.service = "web";
    workflow.policy.max_attempts = 2;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    workflow.steps[0].each = {1000, 1000, 0};
    workflow.steps[0].declared_run = seconds(1);
    workflow.steps[0].long_running = is_long_running;
    return workflow;
  }

  void Store(const std::vector<Workflow>& workflows) {
    Transaction rows;
    rows.writes.push_back(vm_.Row());
    for (const Workflow& workflow : workflows) {
      rows.writes.push_back({rows::kWorkflows + workflow.id, kAnyVersion,
                             EncodeRecord(workflow)});
    }
    table_.model().Commit(rows);
  }

  // Ends the owner's authority, as a long outage of the table does.
  void ExpireAuthority() {
    table_.set_fault(TableFault::kDown);
    clock_ahead_ = kBeyondAuthorityTerm;
    ASSERT_TRUE(RunUntil([this] { return !keeper_->MayAct(); }));
  }
  void RestoreTable() { table_.set_fault(TableFault::kNone); }

  void RunLoopFor(Duration time) {
    const Timer over = loop_->After(time, [this] { loop_->Stop(); });
    loop_->Run();
  }

  // Lets the VM hold a run of `workflow`, the only one stored.
  void SetUpHeldRun(const Workflow& workflow) {
    Store({workflow});
    vm_.SetInventory({RunOf(workflow.id)});
    ASSERT_TRUE(RunUntil([&] {
      return owner_ && owner_->loaded() &&
             owner_->dispatcher()->HeldRunsOf(workflow.id) == 1;
    }));
  }

  // Ends the authority between the decision on a start and its sending: the
  // advisor is queried after a tick's decisions and before its messages are
  // sent.
  void ExpireAuthorityAfterStartDecision() {
    Workflow advised = Job("a", /*is_long_running=*/false);
    advised.policy.needs_advice = true;
    on_advice_request_ = [this] {
      table_.set_fault(TableFault::kDown);
      clock_ahead_ = kBeyondAuthorityTerm;
    };
    Store({advised, Job("w", /*is_long_running=*/false)});
    ASSERT_TRUE(RunUntil([&] {
      return owner_ && owner_->loaded() && clock_ahead_ > Duration(0) &&
             owner_->dispatcher()->counts().starts > 0;
    }));
  }

  RunRef RunOf(const std::string& workflow, uint64_t run = 1) const {
    return {{workflow, 0, 0, 0}, run};
  }

  RecordingVm vm_{*loop_};
};

TEST_F(WorkOwnerAuthorityTest,
       RunOfAJobCancelledWithoutAuthorityIsStoppedLater) {
  SetUpHeldRun(Job("w", /*is_long_running=*/true));
  ExpireAuthority();
  owner_->OnCancelStored("w");
  RunLoopFor(milliseconds(100));
  RestoreTable();
  EXPECT_TRUE(RunUntil([&] { return vm_.stopped().count(RunOf("w")) > 0; }));
}

// A VM reports such a run if it was unreachable at the time of the
// cancellation.
TEST_F(WorkOwnerAuthorityTest,
       RunOfACancelledJobFoundWithoutAuthorityIsStoppedLater) {
  Store({Job("w", /*is_long_running=*/true)});
  ASSERT_TRUE(RunUntil([&] { return vm_.started().size() == 1; }));
  owner_->OnCancelStored("w");
  ASSERT_TRUE(RunUntil([&] { return vm_.stopped().size() == 1; }));
  const RunRef run = *vm_.stopped().begin();
  vm_.ReportEnd({1, run, RunEndKind::kStopped, ""});
  ASSERT_TRUE(
      RunUntil([&] { return owner_->dispatcher()->HeldRunsOf("w") == 0; }));
  ExpireAuthority();
  const RunRef cancelled_run = RunOf("w", run.run + 1);
  vm_.SetInventory({cancelled_run});
  vm_.SendInventory();
  RunLoopFor(milliseconds(100));
  RestoreTable();
  EXPECT_TRUE(RunUntil([&] { return vm_.stopped().count(cancelled_run) > 0; }));
}

// The answer to the transaction that stores an end arrives after the authority
// has ended.
TEST_F(WorkOwnerAuthorityTest, EndStoredWithoutAuthorityIsAcknowledgedLater) {
  SetUpHeldRun(Job("w", /*is_long_running=*/false));
  RunLoopFor(milliseconds(300));
  hold_commit_answers_ = true;
  vm_.ReportEnd({1, RunOf("w"), RunEndKind::kDone, ""});
  ASSERT_TRUE(RunUntil([&] {
    return table_.model().rows().count(rows::kProgress + std::string("w")) >
               0 &&
           !held_answers_.empty();
  }));
  ExpireAuthority();
  ReleaseHeldAnswers();
  RunLoopFor(milliseconds(100));
  EXPECT_FALSE(keeper_->MayAct());
  RestoreTable();
  EXPECT_TRUE(RunUntil([&] { return vm_.acknowledged_through() >= 1; }));
}

// The authority ends between the decision on a start and its sending, which are
// milliseconds apart in a large deployment.
TEST_F(WorkOwnerAuthorityTest, StartDecidedAsAuthorityEndsIsSentLater) {
  ExpireAuthorityAfterStartDecision();
  RunLoopFor(milliseconds(100));
  RestoreTable();
  EXPECT_TRUE(RunUntil([&] {
    return std::any_of(
        vm_.started().begin(), vm_.started().end(),
        [](const RunRef& run) { return run.task.workflow == "w"; });
  }));
}

// Stops that wait for the authority to return are not sent before.
TEST_F(WorkOwnerAuthorityTest, NoStopIsSentWithoutAuthority) {
  SetUpHeldRun(Job("w", /*is_long_running=*/true));
  ExpireAuthority();
  owner_->OnCancelStored("w");
  RunLoopFor(milliseconds(300));
  EXPECT_FALSE(keeper_->MayAct());
  EXPECT_TRUE(vm_.stopped().empty());
}

TEST_F(WorkOwnerAuthorityTest, NoStartIsSentAfterAuthorityEnds) {
  ExpireAuthorityAfterStartDecision();
  RunLoopFor(milliseconds(300));
  EXPECT_FALSE(keeper_->MayAct());
  EXPECT_TRUE(vm_.started().empty());
}

}  // namespace
}  // namespace beamhill
