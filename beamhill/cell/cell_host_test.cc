#include "beamhill/cell/cell_host.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/testing/faulty_table.h"

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kTick = std::chrono::milliseconds(100);

// A CellHost of cell "c" with a fake table. The test acts as the agents.
class CellHostTest : public testing::Test {
 protected:
  CellHostTest() {
    CellHostOptions options;
    options.owner.cell = "c";
    options.entry = "here";
    options.incarnation = 7;
    CellHostHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.random = [] { return 0.5; };
    hooks.claim_delay = [] { return Duration(0); };
    Table table = table_.AsTable();
    table.commit = [this, commit = table.commit](Transaction transaction,
                                                 const CommitDone& done) {
      commit(std::move(transaction), [this, done](const CommitAnswer& answer) {
        if (!hold_commits_) return done(answer);
        held_answers_.emplace_back([done, answer] { done(answer); });
      });
    };
    host_ = std::make_unique<CellHost>(options, table, hooks);
  }

  // Delivers the answers of the commits held so far, and holds no more.
  void AnswerCommits() {
    hold_commits_ = false;
    for (const auto& answer : std::exchange(held_answers_, {})) answer();
  }

  void LinkAgent(const std::string& vm) {
    Hello hello;
    hello.vm = vm;
    hello.cell = "c";
    hello.capacity = {4000, 8000, 0};
    hello.session = {1, 1};
    host_->OnHello(hello, now_);
  }

  // Writes the row unconditionally and returns its version.
  uint64_t Write(const std::string& key, const std::string& value) {
    Transaction write;
    write.writes.push_back({key, kAnyVersion, value});
    return table_.model().Commit(write).versions.front();
  }

  void WriteCellRow(const std::string& owner, uint64_t epoch) {
    CellRow row;
    row.owner = owner;
    row.incarnation = 1;
    row.epoch = epoch;
    Write(CellKey("c"), EncodeRow(row));
  }

  CellRow ReadCellRow() {
    CellRow row;
    EXPECT_TRUE(
        IsOk(DecodeRow(table_.model().Read({CellKey("c")})[0].value, &row)));
    return row;
  }

  // Advances the time by `length` and ticks the host. With `lost_epoch`, all
  // agents report the owner of that epoch as lost once a second.
  void RunFor(Duration length, std::optional<uint64_t> lost_epoch = {}) {
    for (const TimePoint end = now_ + length; now_ < end; now_ += kTick) {
      if (lost_epoch && now_ >= next_report_) {
        next_report_ = now_ + seconds(1);
        for (const auto& [vm, hello] : host_->agents()) {
          host_->OnAgentMessage(vm, OwnerLost{*lost_epoch}, now_);
        }
      }
      host_->Tick(now_);
      table_.Deliver();
    }
  }

  TimePoint now_ = kStart;
  TimePoint next_report_{};
  FaultyTable table_;
  bool hold_commits_ = false;
  std::vector<std::function<void()>> held_answers_;
  std::unique_ptr<CellHost> host_;
};

// Guards against a cell that stays without a live owner: an entry claims the
// cell and crashes before any agent hears from it. The agents' loss reports
// name its predecessor and must count against it after a grace period.
TEST_F(CellHostTest, ClaimsCellWhoseOwnerCrashedBeforeContactingAgents) {
  WriteCellRow("gone", 2);
  LinkAgent("vm-1");
  LinkAgent("vm-2");
  RunFor(seconds(5), 1);
  EXPECT_FALSE(host_->owns())
      << "a new owner that is still loading must not be replaced";
  RunFor(seconds(10), 1);
  EXPECT_TRUE(host_->owns());
  EXPECT_EQ(ReadCellRow().epoch, 3U);
  EXPECT_EQ(host_->counts().takeovers, 1U);
}

// A VM and its cell's owner are lost together, and the platform's list drops
// the VM before the next owner has loaded. An owner that isn't told of this
// delays the VM's tasks until the inherited lease bound, 20 minutes later.
TEST_F(CellHostTest, VmRemovedBeforeTheOwnerLoadedNeedsNoReconciliation) {
  CellSnapshot snapshot;
  snapshot.epoch = 1;
  snapshot.roster = {"vm-1", "vm-2", "vm-3", "vm-4"};
  Write(ProgressKey("c"), EncodeRow(snapshot));
  WriteCellRow("gone", 1);
  LinkAgent("vm-1");
  host_->OnVmGone("vm-2", now_);
  // The next two VMs return, one to the list and one with a Hello.
  host_->OnVmGone("vm-3", now_);
  host_->OnVmLeaving("vm-3", false);
  host_->OnVmGone("vm-4", now_);
  LinkAgent("vm-4");
  RunFor(seconds(5), 1);
  ASSERT_TRUE(host_->owns());
  const std::set<std::string> unreconciled = {"vm-1", "vm-3", "vm-4"};
  EXPECT_EQ(host_->owner()->unreconciled(), unreconciled);
}

// An entry shuts down while its claim is in progress. If the claim then takes
// effect without being released, the cell belongs to a process that has exited.
TEST_F(CellHostTest, ReleasesCellWhoseClaimIsAnsweredAfterRelease) {
  LinkAgent("vm-1");
  hold_commits_ = true;
  RunFor(kTick);
  ASSERT_EQ(ReadCellRow().owner, "here");
  int released = 0;
  host_->Release([&released] { ++released; });
  RunFor(seconds(1));
  EXPECT_EQ(released, 0) << "the claim may still take effect";
  AnswerCommits();
  RunFor(seconds(1));
  EXPECT_FALSE(host_->owns());
  EXPECT_TRUE(ReadCellRow().released);
  EXPECT_EQ(released, 1);
}

// As above, with a claimed cell whose snapshot can't be read yet.
TEST_F(CellHostTest, ReleasesCellThatIsNotLoadedYet) {
  LinkAgent("vm-1");
  hold_commits_ = true;
  RunFor(kTick);
  table_.set_fault(TableFault::kDown);
  AnswerCommits();
  RunFor(kTick);
  table_.set_fault(TableFault::kNone);
  ASSERT_FALSE(host_->owns());
  int released = 0;
  host_->Release([&released] { ++released; });
  RunFor(seconds(1));
  EXPECT_TRUE(ReadCellRow().released);
  EXPECT_EQ(released, 1);
}

// A progress row that can't be decoded when the cell is claimed must be read
// again. Otherwise the host keeps the cell without scheduling it.
TEST_F(CellHostTest, RetriesProgressRowThatCannotBeDecoded) {
  Write(ProgressKey("c"), "torn");
  LinkAgent("vm-1");
  RunFor(seconds(5));
  EXPECT_FALSE(host_->owns());
  EXPECT_LE(host_->counts().reads, 3U) << "retries must wait";
  Write(ProgressKey("c"), EncodeRow(CellSnapshot{}));
  RunFor(seconds(30));
  EXPECT_TRUE(host_->owns());
}

// A job is cancelled while the table doesn't answer the cell's owner, for
// longer than the owner's term.
TEST_F(CellHostTest, CancellationReadAfterTableOutageStopsRunningTask) {
  RangeRow range;
  range.job.id = "j";
  range.job.tasks = 1;
  range.job.each = {1000, 1000, 0};
  range.range = {0, 1};
  range.initial_window = 1;
  Write(RangeKey("c", "j"), EncodeRow(range));
  LinkAgent("vm-1");
  size_t starts = 0;
  size_t stops = 0;
  const auto run_with_agent = [&](Duration length) {
    for (const TimePoint end = now_ + length; now_ < end;) {
      RunFor(kTick);
      const Fence fence{1, {1, 1}};
      host_->OnAgentMessage("vm-1", Heartbeat{fence, now_}, now_);
      for (const AgentMessage& message : host_->TakeMessages()) {
        const Message& m = message.message;
        if (const auto* request = std::get_if<InventoryRequest>(&m)) {
          host_->OnAgentMessage(
              "vm-1", Inventory{request->fence, request->number, {}, {}}, now_);
        }
        starts += std::holds_alternative<StartTasks>(m) ? 1 : 0;
        stops += std::holds_alternative<StopTasks>(m) ? 1 : 0;
      }
    }
  };
  run_with_agent(seconds(5));
  ASSERT_EQ(starts, 1U);
  table_.set_fault(TableFault::kDown);
  run_with_agent(seconds(2));
  range.cancelled = true;
  Write(RangeKey("c", "j"), EncodeRow(range));
  run_with_agent(std::chrono::minutes(21));
  EXPECT_EQ(stops, 0U);
  table_.set_fault(TableFault::kNone);
  run_with_agent(seconds(15));
  EXPECT_EQ(stops, 1U);
}

}  // namespace
}  // namespace beamhill
