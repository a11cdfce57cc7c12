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

// One entry's host of the cell "c", with the table and agents played.
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
        held_.emplace_back([done, answer] { done(answer); });
      });
    };
    host_ = std::make_unique<CellHost>(options, table, hooks);
  }

  void AnswerCommits() {
    hold_commits_ = false;
    for (const auto& answer : std::exchange(held_, {})) answer();
  }

  void Link(const std::string& vm) {
    Hello hello;
    hello.vm = vm;
    hello.cell = "c";
    hello.capacity = {4000, 8000, 0};
    hello.session = {1, 1};
    host_->OnHello(hello, now_);
  }

  uint64_t Write(const std::string& key, const std::string& value) {
    Transaction write;
    write.writes.push_back({key, kAnyVersion, value});
    return table_.model().Commit(write).versions.front();
  }

  void OwnRow(const std::string& owner, uint64_t epoch) {
    CellRow row;
    row.owner = owner;
    row.incarnation = 1;
    row.epoch = epoch;
    Write(CellKey("c"), EncodeRow(row));
  }

  CellRow OwnRow() {
    CellRow row;
    EXPECT_TRUE(
        IsOk(DecodeRow(table_.model().Read({CellKey("c")})[0].value, &row)));
    return row;
  }

  // Agents that report the owner of `epoch` as lost do so each second.
  void Pass(Duration length, std::optional<uint64_t> lost_epoch = {}) {
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
  std::vector<std::function<void()>> held_;
  std::unique_ptr<CellHost> host_;
};

// An entry took the cell and was gone before it had spoken to any agent. Their
// reports named the owner before it, were held against nobody, and the cell
// stood still for good.
TEST_F(CellHostTest, CellIsTakenFromAnOwnerThatNoAgentHasHeardOf) {
  OwnRow("gone", 2);
  Link("vm-1");
  Link("vm-2");
  Pass(seconds(5), 1);
  EXPECT_FALSE(host_->owns()) << "an owner that still loads is left alone";
  Pass(seconds(10), 1);
  EXPECT_TRUE(host_->owns());
  EXPECT_EQ(OwnRow().epoch, 3U);
  EXPECT_EQ(host_->counts().takeovers, 1U);
}

// A VM and its cell's owner were lost together. The list dropped the VM before
// the next owner had loaded, which was not told, so that the VM's work waited
// for the end of leases that nobody held: 20 minutes.
TEST_F(CellHostTest, VmThatTheListDroppedBeforeTheOwnerLoadedBlocksNothing) {
  CellSnapshot snapshot;
  snapshot.epoch = 1;
  snapshot.roster = {"vm-1", "vm-2", "vm-3", "vm-4"};
  Write(ProgressKey("c"), EncodeRow(snapshot));
  OwnRow("gone", 1);
  Link("vm-1");
  host_->OnVmGone("vm-2", now_);
  // The list shows it again, and one says Hello: these two are not gone.
  host_->OnVmGone("vm-3", now_);
  host_->OnVmLeaving("vm-3", false);
  host_->OnVmGone("vm-4", now_);
  Link("vm-4");
  Pass(seconds(5), 1);
  ASSERT_TRUE(host_->owns());
  const std::set<std::string> unreconciled = {"vm-1", "vm-3", "vm-4"};
  EXPECT_EQ(host_->owner()->unreconciled(), unreconciled);
}

// The entry left while its claim was on its way. The claim took effect, and the
// cell belonged to an entry that was gone.
TEST_F(CellHostTest, ClaimThatIsAnsweredAfterTheReleaseIsGivenUp) {
  Link("vm-1");
  hold_commits_ = true;
  Pass(kTick);
  ASSERT_EQ(OwnRow().owner, "here");
  int released = 0;
  host_->Release([&released] { ++released; });
  Pass(seconds(1));
  EXPECT_EQ(released, 0) << "the claim may take effect yet";
  AnswerCommits();
  Pass(seconds(1));
  EXPECT_FALSE(host_->owns());
  EXPECT_TRUE(OwnRow().released);
  EXPECT_EQ(released, 1);
}

// As above, while what the cell's last owner left could not be read.
TEST_F(CellHostTest, CellThatWasNotLoadedYetIsGivenUpToo) {
  Link("vm-1");
  hold_commits_ = true;
  Pass(kTick);
  table_.set_fault(TableFault::kDown);
  AnswerCommits();
  Pass(kTick);
  table_.set_fault(TableFault::kNone);
  ASSERT_FALSE(host_->owns());
  int released = 0;
  host_->Release([&released] { ++released; });
  Pass(seconds(1));
  EXPECT_TRUE(OwnRow().released);
  EXPECT_EQ(released, 1);
}

// The progress could not be read when the cell was taken. The host never tried
// again, and kept the cell without doing anything for it.
TEST_F(CellHostTest, ProgressThatCannotBeReadIsReadAgain) {
  Write(ProgressKey("c"), "torn");
  Link("vm-1");
  Pass(seconds(5));
  EXPECT_FALSE(host_->owns());
  EXPECT_LE(host_->counts().reads, 3U) << "one try for now";
  Write(ProgressKey("c"), EncodeRow(CellSnapshot{}));
  Pass(seconds(30));
  EXPECT_TRUE(host_->owns());
}

// A job was cancelled while the table did not answer its cell's owner.
TEST_F(CellHostTest, CancellationThatTheTableTellsLateStopsWhatRuns) {
  RangeRow range;
  range.job.id = "j";
  range.job.tasks = 1;
  range.job.each = {1000, 1000, 0};
  range.range = {0, 1};
  range.initial_window = 1;
  Write(RangeKey("c", "j"), EncodeRow(range));
  Link("vm-1");
  size_t starts = 0;
  size_t stops = 0;
  const auto pass = [&](Duration length) {
    for (const TimePoint end = now_ + length; now_ < end;) {
      Pass(kTick);
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
  pass(seconds(5));
  ASSERT_EQ(starts, 1U);
  table_.set_fault(TableFault::kDown);
  pass(seconds(2));
  range.cancelled = true;
  Write(RangeKey("c", "j"), EncodeRow(range));
  pass(std::chrono::minutes(21));
  EXPECT_EQ(stops, 0U);
  table_.set_fault(TableFault::kNone);
  pass(seconds(15));
  EXPECT_EQ(stops, 1U);
}

}  // namespace
}  // namespace beamhill
