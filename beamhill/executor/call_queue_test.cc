#include "beamhill/executor/call_queue.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

RunRef RunOf(uint32_t index) { return {{"w", 0, 0, index}, 1}; }

TEST(CallQueueTest, CallsAreTakenInOrderUpToTheLimitInFlight) {
  CallQueue<int> queue(2);
  for (uint32_t i = 0; i < 4; ++i) queue.Push(RunOf(i), 0, kNow);
  EXPECT_EQ(queue.TakeNext()->run, RunOf(0));
  EXPECT_EQ(queue.TakeNext()->run, RunOf(1));
  EXPECT_FALSE(queue.TakeNext());
  queue.OnDone();
  EXPECT_EQ(queue.TakeNext()->run, RunOf(2));
  EXPECT_EQ(queue.waiting(), 1);
}

TEST(CallQueueTest, LaterCallForARunReplacesTheEarlierInItsPosition) {
  CallQueue<int> queue(9);
  queue.Push(RunOf(0), 10, kNow);
  queue.Push(RunOf(1), 20, kNow);
  queue.Push(RunOf(0), 30, kNow + std::chrono::seconds(1));
  EXPECT_EQ(queue.OldestWait(kNow + std::chrono::seconds(2)),
            std::chrono::seconds(2));
  EXPECT_EQ(queue.TakeNext()->call, 30);
  EXPECT_EQ(queue.TakeNext()->call, 20);
  EXPECT_FALSE(queue.TakeNext());
}

TEST(CallQueueTest, WithdrawnCallsAreNotTaken) {
  CallQueue<int> queue(9);
  for (uint32_t i = 0; i < 4; ++i) queue.Push(RunOf(i), 0, kNow);
  EXPECT_TRUE(queue.Withdraw(RunOf(1)));
  EXPECT_FALSE(queue.Withdraw(RunOf(1)));
  const auto odd = queue.WithdrawIf(
      [](const auto& entry) { return entry.run.task.index % 2 == 1; });
  ASSERT_EQ(odd.size(), 1);
  EXPECT_EQ(odd[0].run, RunOf(3));
  EXPECT_EQ(queue.TakeNext()->run, RunOf(0));
  EXPECT_EQ(queue.TakeNext()->run, RunOf(2));
}

// Calls that were sent may still take effect, so they count towards the limit.
TEST(CallQueueTest, ClearedQueueStillCountsCallsInFlight) {
  CallQueue<int> queue(1);
  queue.Push(RunOf(0), 0, kNow);
  queue.Push(RunOf(1), 0, kNow);
  EXPECT_TRUE(queue.TakeNext());
  queue.Clear();
  EXPECT_EQ(queue.waiting(), 0);
  queue.Push(RunOf(2), 0, kNow);
  EXPECT_FALSE(queue.TakeNext());
  queue.OnDone();
  EXPECT_EQ(queue.TakeNext()->run, RunOf(2));
}

}  // namespace
}  // namespace beamhill
