#include "beamhill/executor/latency_guard.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(20);

class HarmGuardTest : public testing::Test {
 protected:
  // The same tails for a while, looked at every 250 ms.
  void Observe(Duration time, const std::vector<int>& tails) {
    std::vector<ServingSample> serving;
    serving.reserve(tails.size());
    for (const int tail : tails) {
      serving.push_back({"web", milliseconds(tail), kTarget});
    }
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(250);
      guard_.Observe(serving, /*fillers_work=*/!guard_.resting(), now_);
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  HarmGuard guard_;
};

TEST_F(HarmGuardTest, ShortOverrunsAreLeftAlone) {
  for (int i = 0; i < 10; ++i) {
    Observe(milliseconds(1500), {60});
    EXPECT_FALSE(guard_.resting());
    Observe(milliseconds(750), {10});
  }
}

TEST_F(HarmGuardTest, RestsWithinTwoAndAQuarterSeconds) {
  Observe(milliseconds(2250), {25});
  EXPECT_TRUE(guard_.resting());
}

TEST_F(HarmGuardTest, RestsSoonerWhereHarmCountsSooner) {
  guard_ = HarmGuard(seconds(2));
  Observe(milliseconds(1250), {25});
  EXPECT_TRUE(guard_.resting());
}

// Two tasks of an image whose loads peak in turn: the image is never clear.
TEST_F(HarmGuardTest, TurnsOfTwoTasksAreOneOverrun) {
  for (int i = 0; i < 5; ++i) {
    Observe(milliseconds(250), {30, 10});
    Observe(milliseconds(250), {10, 30});
  }
  EXPECT_TRUE(guard_.resting());
}

TEST_F(HarmGuardTest, RestEndsOnceTheTailIsDown) {
  Observe(milliseconds(2250), {60});
  ASSERT_TRUE(guard_.resting());
  Observe(milliseconds(500), {30});
  EXPECT_TRUE(guard_.resting());
  Observe(milliseconds(250), {15});
  EXPECT_FALSE(guard_.resting());
  EXPECT_FALSE(guard_.rest_was_in_vain());
}

TEST_F(HarmGuardTest, RestThatChangesNothingEnds) {
  Observe(milliseconds(2250), {60});
  Observe(milliseconds(1500), {60});
  EXPECT_FALSE(guard_.resting());
  EXPECT_TRUE(guard_.rest_was_in_vain());
  // It is tried again: the fillers may have come to matter.
  Observe(milliseconds(2250), {60});
  EXPECT_TRUE(guard_.resting());
}

// An order to rest may be lost.
TEST_F(HarmGuardTest, RestCountsFromWhenNoFillerWorks) {
  Observe(milliseconds(2250), {60});
  for (int i = 0; i < 8; ++i) {
    now_ += milliseconds(250);
    guard_.Observe({{"web", milliseconds(60), kTarget}}, true, now_);
    EXPECT_TRUE(guard_.resting());
  }
  Observe(milliseconds(1500), {60});
  EXPECT_FALSE(guard_.resting());
}

TEST_F(HarmGuardTest, TaskWithoutATargetCountsForNothing) {
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(250);
    guard_.Observe({{"web", milliseconds(500), Duration(0)}}, true, now_);
  }
  EXPECT_FALSE(guard_.resting());
}

}  // namespace
}  // namespace beamhill
