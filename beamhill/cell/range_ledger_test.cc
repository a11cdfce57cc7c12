#include "beamhill/cell/range_ledger.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

RangeRow Row(uint32_t tasks, uint32_t window) {
  RangeRow row;
  row.job.id = "j";
  row.job.tasks = tasks;
  row.range = {0, tasks};
  row.initial_window = window;
  return row;
}

TaskOutcome Outcome(uint32_t index, Attempt attempt, OutcomeKind kind,
                    const std::string& checkpoint = "") {
  return {{"j", index}, attempt, kind, checkpoint, ""};
}

const Attempt kFirst = Attempt::Make(1, 1);
const Attempt kSecond = Attempt::Make(1, 2);
const Attempt kLater = Attempt::Make(2, 1);

TEST(RangeLedger, StartsNothingAboveTheDurableWindow) {
  RangeLedger ledger(Row(100, 2), false, nullptr);
  for (uint32_t i = 0; i < 2; ++i) {
    ASSERT_EQ(ledger.NextStartable(kNow)->index, i);
    ledger.OnStarted(i, "a", Attempt::Make(1, i + 1));
  }
  EXPECT_FALSE(ledger.NextStartable(kNow));
  EXPECT_TRUE(ledger.NeedsWiderWindow());
  ledger.OnWindowDurable(ledger.Progress().window);
  EXPECT_EQ(ledger.NextStartable(kNow)->index, 2U);
}

TEST(RangeLedger, StartsNoInheritedTaskBeforeItIsReconciled) {
  RangeLedger ledger(Row(3, 3), true, nullptr);
  EXPECT_FALSE(ledger.NextStartable(kNow));
  EXPECT_TRUE(ledger.OnReportedRunning("a", 1, kFirst));
  ledger.RequeueUnknown();
  EXPECT_EQ(ledger.NextStartable(kNow)->index, 0U);
  EXPECT_EQ(ledger.running(), 1U);
}

TEST(RangeLedger, EvictedTaskResumesFromItsCheckpoint) {
  RangeLedger ledger(Row(1, 1), false, nullptr);
  ledger.OnStarted(0, "a", kFirst);
  EXPECT_TRUE(
      ledger
          .OnOutcome("a", Outcome(0, kFirst, OutcomeKind::kEvicted, "c"), kNow)
          .changed);
  EXPECT_EQ(ledger.NextStartable(kNow)->checkpoint, "c");
  EXPECT_EQ(ledger.Progress().checkpoints.size(), 1U);
}

// A new owner may receive a resumed attempt first and the checkpoint that it
// was resumed from second. The checkpoint must be kept all the same.
TEST(RangeLedger, KeepsCheckpointReportedAfterItsResumption) {
  RangeLedger ledger(Row(1, 1), true, nullptr);
  EXPECT_TRUE(ledger.OnReportedRunning("b", 0, kSecond));
  ledger.OnOutcome("a", Outcome(0, kFirst, OutcomeKind::kEvicted, "c"), kNow);
  EXPECT_EQ(ledger.running(), 1U);
  ledger.RequeueUnreported("b", {});
  EXPECT_EQ(ledger.NextStartable(kNow)->checkpoint, "c");
}

TEST(RangeLedger, LateResultOfEarlierAttemptCountsAndStopsTheLaterAttempt) {
  RangeLedger ledger(Row(1, 1), false, nullptr);
  ledger.OnStarted(0, "a", kFirst);
  ledger.RequeueUnreported("a", {});
  ledger.OnStarted(0, "b", kSecond);
  const auto effect =
      ledger.OnOutcome("a", Outcome(0, kFirst, OutcomeKind::kDone), kNow);
  EXPECT_EQ(effect.stop_on, "b");
  EXPECT_TRUE(ledger.IsFinished());
}

TEST(RangeLedger, FailingTaskIsRetriedWithBackoffAndFailsFinally) {
  RangeLedger ledger(Row(1, 1), false, nullptr);
  TimePoint now = kNow;
  Duration last_wait{};
  for (uint64_t i = 1; i <= 5; ++i) {
    ASSERT_FALSE(ledger.IsFinished());
    const TimePoint wait_start = now;
    while (!ledger.NextStartable(now)) now += std::chrono::milliseconds(100);
    EXPECT_GE(now - wait_start, last_wait);
    if (i > 1) last_wait = now - wait_start;
    ledger.OnStarted(0, "a", Attempt::Make(1, i));
    ledger.OnOutcome("a", Outcome(0, Attempt::Make(1, i), OutcomeKind::kFailed),
                     now);
  }
  EXPECT_TRUE(ledger.IsFinished());
  EXPECT_EQ(ledger.failed(), 1U);
}

// A task that crashes its worker never ends as failed. If it is requeued
// without delay each time, as after an eviction, it crashes one worker after
// another, along with the other tasks on them.
TEST(RangeLedger, RepeatedlyLostTaskIsRetriedWithBackoff) {
  RangeLedger ledger(Row(1, 1), false, nullptr);
  TimePoint now = kNow;
  for (uint64_t i = 1; i <= 8; ++i) {
    while (!ledger.NextStartable(now)) now += std::chrono::milliseconds(100);
    ledger.OnStarted(0, "a", Attempt::Make(1, i));
    ledger.OnOutcome("a", Outcome(0, Attempt::Make(1, i), OutcomeKind::kLost),
                     now);
    EXPECT_EQ(ledger.NextStartable(now).has_value(), i == 1) << i;
  }
  EXPECT_GE(now - kNow, std::chrono::seconds(60));
  EXPECT_FALSE(ledger.IsFinished());
}

TEST(RangeLedger, CancelledRangeIsUnfinishedUntilItsTasksHaveStopped) {
  RangeLedger ledger(Row(3, 3), false, nullptr);
  ledger.OnStarted(0, "a", kFirst);
  ledger.Cancel();
  EXPECT_FALSE(ledger.NextStartable(kNow));
  EXPECT_FALSE(ledger.IsFinished());
  ledger.OnOutcome("a", Outcome(0, kFirst, OutcomeKind::kEvicted), kNow);
  EXPECT_TRUE(ledger.IsFinished());
}

TEST(RangeLedger, ProgressRestoresTheState) {
  RangeLedger ledger(Row(10, 10), false, nullptr);
  for (uint32_t i = 0; i < 4; ++i) {
    ledger.OnStarted(i, "a", Attempt::Make(1, i + 1));
  }
  ledger.OnOutcome("a", Outcome(0, Attempt::Make(1, 1), OutcomeKind::kDone),
                   kNow);
  ledger.OnOutcome(
      "a", Outcome(2, Attempt::Make(1, 3), OutcomeKind::kEvicted, "c"), kNow);
  const RangeProgress progress = ledger.Progress();
  RangeLedger restored(Row(10, 10), true, &progress);
  restored.RequeueUnknown();
  EXPECT_EQ(restored.done(), 1U);
  std::set<uint32_t> indexes;
  while (const auto next = restored.NextStartable(kNow)) {
    EXPECT_EQ(next->checkpoint, next->index == 2 ? "c" : "");
    indexes.insert(next->index);
    restored.OnStarted(next->index, "b", kLater);
  }
  EXPECT_EQ(indexes, (std::set<uint32_t>{1, 2, 3, 4, 5, 6, 7, 8, 9}));
}

}  // namespace
}  // namespace beamhill
