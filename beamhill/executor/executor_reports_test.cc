// Tests that an owner learns of each begin and end, whichever message is lost
// and in whichever order polls are answered.
#include "beamhill/executor/executor_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Contains;
using testing::IsEmpty;
using testing::Not;
using testing::SizeIs;

class ExecutorReportsTest : public ExecutorTest {
 protected:
  static constexpr uint64_t kOtherLink = 2;

  // The start of kRun is in flight when the owner attaches again, and so are
  // two polls: an earlier one, and the one for the inventory.
  void AttachAgainAsARunStarts() {
    Register("incarnation-1");
    Attach(1);
    Start(kRun, 1);
    ASSERT_THAT(starts_, SizeIs(1));
    sent_.clear();
    now_ += milliseconds(10);
    executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
    ASSERT_THAT(polls_, SizeIs(2));
    now_ += milliseconds(10);
  }

  // Answers the newest poll in flight.
  void AnswerNewestPoll(std::vector<RunningRun> running,
                        std::vector<RunEnd> ended) {
    ASSERT_THAT(polls_, Not(IsEmpty()));
    const auto done = polls_.back().second;
    polls_.pop_back();
    done({{RunnerVerdict::kDone, RunnerClock(1000)},
          std::move(running),
          std::move(ended)});
  }
};

// The owner stops runs that it holds and an inventory does not list.
TEST_F(ExecutorReportsTest, InventoryListsARunThatBeganAfterItsPollWasSent) {
  AttachAgainAsARunStarts();
  AnswerAll(starts_);
  now_ += milliseconds(1);
  AnswerPoll();
  AnswerPoll();
  for (const VmInventory& inventory : Sent<VmInventory>()) {
    EXPECT_THAT(inventory.running, Contains(kRun));
  }
  AnswerPoll({{kRun, 0, 0}});
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].running, Contains(kRun));
}

// The owner missed the report, and would otherwise keep the run for as long as
// the link lasts.
TEST_F(ExecutorReportsTest, InventoryOmitsARunKnownNeverToBegin) {
  Register("incarnation-1");
  Attach(1);
  Start(kRun, 1);
  now_ += milliseconds(10);
  executor_->OnMessage(kLink, StopRuns{1, "incarnation-1", {kRun}});
  AnswerAll(starts_);
  AnswerAll(stops_);
  ASSERT_THAT(polls_, SizeIs(2));  // One was sent before the stop.
  executor_->OnLinkDown(kLink);
  now_ += milliseconds(10);
  AnswerNewestPoll({}, {});
  sent_.clear();
  now_ += milliseconds(10);
  executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
  AnswerPoll({{kRun, 0, 0}});
  EXPECT_THAT(Sent<VmInventory>(), IsEmpty());
  AnswerPoll();
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].running, IsEmpty());
}

// The end was listed while no owner was attached, and the inventory comes from
// an earlier poll, answered late, that does not list it.
TEST_F(ExecutorReportsTest, EndMissingFromTheInventoryIsReportedAfterIt) {
  Register("incarnation-1");
  Attach(1);
  now_ += milliseconds(10);
  executor_->OnMessage(kLink, EndsAcknowledged{1, "incarnation-1", 1});
  ASSERT_THAT(polls_, SizeIs(2));
  executor_->OnLinkDown(kLink);
  AnswerNewestPoll({}, {{2, kRun, RunEndKind::kDone, ""}});
  sent_.clear();
  executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
  AnswerPoll({{kRun, 50, 0}});
  AnswerPoll({}, {{2, kRun, RunEndKind::kDone, ""}});
  std::vector<RunEnd> reported;
  for (const VmInventory& inventory : Sent<VmInventory>()) {
    reported.insert(reported.end(), inventory.ended.begin(),
                    inventory.ended.end());
  }
  for (const RunReports& reports : Sent<RunReports>()) {
    reported.insert(reported.end(), reports.ended.begin(), reports.ended.end());
  }
  EXPECT_THAT(reported, SizeIs(1));
}

// The owner may have been unable to process the report or to acknowledge it.
TEST_F(ExecutorReportsTest, UnacknowledgedEndIsReportedAgain) {
  Register("incarnation-1");
  Attach(1);
  const RunEnd end{1, kRun, RunEndKind::kDone, ""};
  const auto list_for = [&](Duration time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      AnswerPoll({}, {end});
      AdvanceTime(milliseconds(100));
    }
  };
  list_for(milliseconds(900));
  EXPECT_THAT(Sent<RunReports>(), SizeIs(1));
  list_for(milliseconds(4000));
  EXPECT_GE(Sent<RunReports>().size(), 4);
  EXPECT_LE(Sent<RunReports>().size(), 6);
  EXPECT_EQ(Sent<RunReports>().back().ended.size(), 1);
  executor_->OnMessage(kLink, EndsAcknowledged{1, "incarnation-1", 1});
  sent_.clear();
  list_for(milliseconds(2000));  // The runner still lists the end.
  EXPECT_THAT(Sent<RunReports>(), IsEmpty());
}

// While the table is unavailable no end is acknowledged, and there may be
// hundreds.
TEST_F(ExecutorReportsTest, RepeatedEndsAreLimitedPerReport) {
  Register("incarnation-1");
  Attach(1);
  std::vector<RunEnd> ends;
  for (uint64_t number = 1; number <= 300; ++number) {
    ends.push_back({number, {{"w", 0, 0, 0}, number}, RunEndKind::kDone, ""});
  }
  AnswerPoll({}, ends);
  size_t reported = 0;
  sent_.clear();
  for (int i = 0; i < 30; ++i) {
    AdvanceTime(milliseconds(100));
    AnswerPoll({}, ends);
  }
  for (const RunReports& reports : Sent<RunReports>()) {
    reported += reports.ended.size();
    EXPECT_EQ(reports.ended.front().number, 1);
  }
  EXPECT_GT(reported, 0);
  EXPECT_LE(reported, 3 * 8);
}

// The owner places no best-effort task of an image where its pace was last
// reported as reduced, so it must learn that nothing is paced any more.
TEST_F(ExecutorReportsTest, IdleInterferenceReportIsSentOnceOnEachLink) {
  RunBestEffortBesideSlowService();
  ASSERT_THAT(Sent<VmInterference>(), Not(IsEmpty()));
  EXPECT_LT(Sent<VmInterference>().back().best_effort_loads[0].percent, 100);
  const auto list_nothing_for = [this](Duration time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      AnswerPoll();
      AdvanceTime(milliseconds(100));
    }
  };
  sent_.clear();
  list_nothing_for(seconds(2));
  ASSERT_THAT(Sent<VmInterference>(), SizeIs(1));
  EXPECT_THAT(Sent<VmInterference>()[0].best_effort_loads, IsEmpty());
  executor_->OnLinkDown(kLink);
  list_nothing_for(seconds(1));
  executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
  sent_.clear();
  list_nothing_for(seconds(2));
  EXPECT_THAT(Sent<VmInterference>(), SizeIs(1));
}

}  // namespace
}  // namespace beamhill
