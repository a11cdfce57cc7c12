// That an owner hears of each begin and end, whichever message was lost and in
// whichever order looks are answered.
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

  // kRun has left for the runner when the owner attaches anew, and two looks
  // are open: one from before, one for the inventory.
  void AttachAgainAsARunStarts() {
    Register("life-1");
    Attach(1);
    Start(kRun, 1);
    ASSERT_THAT(starts_, SizeIs(1));
    sent_.clear();
    now_ += milliseconds(10);
    executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
    ASSERT_THAT(polls_, SizeIs(2));
    now_ += milliseconds(10);
  }

  // The look that was sent last is answered first.
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

// The owner stops what it holds and an inventory does not name.
TEST_F(ExecutorReportsTest, InventoryNamesARunThatBeganAfterItsLookWasSent) {
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

// The owner, which missed the report, would hold it as long as the link lasts.
TEST_F(ExecutorReportsTest, InventoryNamesNoRunThatIsKnownNeverToBegin) {
  Register("life-1");
  Attach(1);
  Start(kRun, 1);
  now_ += milliseconds(10);
  executor_->OnMessage(kLink, StopRuns{1, "life-1", {kRun}});
  AnswerAll(starts_);
  AnswerAll(stops_);
  ASSERT_THAT(polls_, SizeIs(2));  // One of before the stop.
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

// The end was listed while no owner was there, and the inventory is from a look
// that was answered late and does not list it.
TEST_F(ExecutorReportsTest, EndThatTheInventoryLacksIsReportedAfterIt) {
  Register("life-1");
  Attach(1);
  now_ += milliseconds(10);
  executor_->OnMessage(kLink, EndsSettled{1, "life-1", 1});
  ASSERT_THAT(polls_, SizeIs(2));
  executor_->OnLinkDown(kLink);
  AnswerNewestPoll({}, {{2, kRun, RunEndKind::kDone, ""}});
  sent_.clear();
  executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
  AnswerPoll({{kRun, 50, 0}});
  AnswerPoll({}, {{2, kRun, RunEndKind::kDone, ""}});
  std::vector<RunEnd> told;
  for (const VmInventory& inventory : Sent<VmInventory>()) {
    told.insert(told.end(), inventory.ended.begin(), inventory.ended.end());
  }
  for (const RunReports& reports : Sent<RunReports>()) {
    told.insert(told.end(), reports.ended.begin(), reports.ended.end());
  }
  EXPECT_THAT(told, SizeIs(1));
}

// The owner may have been unable to use the report, or to send its answer.
TEST_F(ExecutorReportsTest, EndThatStaysUnsettledIsReportedAgain) {
  Register("life-1");
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
  executor_->OnMessage(kLink, EndsSettled{1, "life-1", 1});
  sent_.clear();
  list_for(milliseconds(2000));  // The runner is slow to forget it.
  EXPECT_THAT(Sent<RunReports>(), IsEmpty());
}

// While the table is away no end is settled, and there may be hundreds.
TEST_F(ExecutorReportsTest, FewEndsAreReportedAgainAtATime) {
  Register("life-1");
  Attach(1);
  std::vector<RunEnd> ends;
  for (uint64_t number = 1; number <= 300; ++number) {
    ends.push_back({number, {{"w", 0, 0, 0}, number}, RunEndKind::kDone, ""});
  }
  AnswerPoll({}, ends);
  size_t told = 0;
  sent_.clear();
  for (int i = 0; i < 30; ++i) {
    AdvanceTime(milliseconds(100));
    AnswerPoll({}, ends);
  }
  for (const RunReports& reports : Sent<RunReports>()) {
    told += reports.ended.size();
    EXPECT_EQ(reports.ended.front().number, 1);
  }
  EXPECT_GT(told, 0);
  EXPECT_LE(told, 3 * 8);
}

// The owner places no filler of an image where it was last held back.
TEST_F(ExecutorReportsTest, PressureOfTasksThatAreGoneIsTakenBackOnEachLink) {
  RunBestEffortBesideSlowService();
  ASSERT_THAT(Sent<VmPressure>(), Not(IsEmpty()));
  EXPECT_LT(Sent<VmPressure>().back().filling[0].percent, 100);
  const auto list_nothing_for = [this](Duration time) {
    const TimePoint until = now_ + time;
    while (now_ < until) {
      AnswerPoll();
      AdvanceTime(milliseconds(100));
    }
  };
  sent_.clear();
  list_nothing_for(seconds(2));
  ASSERT_THAT(Sent<VmPressure>(), SizeIs(1));
  EXPECT_THAT(Sent<VmPressure>()[0].filling, IsEmpty());
  executor_->OnLinkDown(kLink);
  list_nothing_for(seconds(1));
  executor_->OnMessage(kOtherLink, ::beamhill::Attach{"a", 1});
  sent_.clear();
  list_nothing_for(seconds(2));
  EXPECT_THAT(Sent<VmPressure>(), SizeIs(1));
}

}  // namespace
}  // namespace beamhill
