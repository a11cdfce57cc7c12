#include "beamhill/executor/call_queue.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

RunRef RunOf(uint32_t index) { return {{"w", 0, 0, index}, 1}; }

TEST(CallLaneTest, CallsLeaveInTheirOrderAsFarAsThereIsRoom) {
  CallLane<int> lane(2);
  for (uint32_t i = 0; i < 4; ++i) lane.Push(RunOf(i), 0, kNow);
  EXPECT_EQ(lane.TakeNext()->run, RunOf(0));
  EXPECT_EQ(lane.TakeNext()->run, RunOf(1));
  EXPECT_FALSE(lane.TakeNext());
  lane.OnDone();
  EXPECT_EQ(lane.TakeNext()->run, RunOf(2));
  EXPECT_EQ(lane.waiting(), 1);
}

TEST(CallLaneTest, LaterCallForARunTakesTheTurnOfTheEarlier) {
  CallLane<int> lane(9);
  lane.Push(RunOf(0), 10, kNow);
  lane.Push(RunOf(1), 20, kNow);
  lane.Push(RunOf(0), 30, kNow + std::chrono::seconds(1));
  EXPECT_EQ(lane.OldestWait(kNow + std::chrono::seconds(2)),
            std::chrono::seconds(2));
  EXPECT_EQ(lane.TakeNext()->call, 30);
  EXPECT_EQ(lane.TakeNext()->call, 20);
  EXPECT_FALSE(lane.TakeNext());
}

TEST(CallLaneTest, WhatIsWithdrawnDoesNotLeave) {
  CallLane<int> lane(9);
  for (uint32_t i = 0; i < 4; ++i) lane.Push(RunOf(i), 0, kNow);
  EXPECT_TRUE(lane.Withdraw(RunOf(1)));
  EXPECT_FALSE(lane.Withdraw(RunOf(1)));
  const auto odd = lane.WithdrawIf(
      [](const auto& entry) { return entry.run.task.index % 2 == 1; });
  ASSERT_EQ(odd.size(), 1);
  EXPECT_EQ(odd[0].run, RunOf(3));
  EXPECT_EQ(lane.TakeNext()->run, RunOf(0));
  EXPECT_EQ(lane.TakeNext()->run, RunOf(2));
}

// What has left may still take effect, so that its place is not free.
TEST(CallLaneTest, ClearedLaneKeepsItsOpenCalls) {
  CallLane<int> lane(1);
  lane.Push(RunOf(0), 0, kNow);
  lane.Push(RunOf(1), 0, kNow);
  EXPECT_TRUE(lane.TakeNext());
  lane.Clear();
  EXPECT_EQ(lane.waiting(), 0);
  lane.Push(RunOf(2), 0, kNow);
  EXPECT_FALSE(lane.TakeNext());
  lane.OnDone();
  EXPECT_EQ(lane.TakeNext()->run, RunOf(2));
}

}  // namespace
}  // namespace beamhill
