#include "beamhill/executor/latency_guard.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTarget = milliseconds(20);

class LatencyGuardTest : public testing::Test {
 protected:
  // Feeds the same tails, in milliseconds, for `time`, with a poll every 250
  // ms.
  void Observe(Duration time, const std::vector<int>& tails) {
    std::vector<ServingSample> serving;
    serving.reserve(tails.size());
    for (const int tail : tails) {
      serving.push_back({"web", milliseconds(tail), kTarget});
    }
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(250);
      guard_.Observe(serving, /*best_effort_active=*/!guard_.paused(), now_);
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  LatencyGuard guard_;
};

TEST_F(LatencyGuardTest, ShortOverrunsDoNotCauseAPause) {
  for (int i = 0; i < 10; ++i) {
    Observe(milliseconds(1500), {60});
    EXPECT_FALSE(guard_.paused());
    Observe(milliseconds(750), {10});
  }
}

TEST_F(LatencyGuardTest, PausesWithinTwoAndAQuarterSeconds) {
  Observe(milliseconds(2250), {25});
  EXPECT_TRUE(guard_.paused());
}

TEST_F(LatencyGuardTest, PausesSoonerWhereHarmCountsSooner) {
  guard_ = LatencyGuard(seconds(2));
  Observe(milliseconds(1250), {25});
  EXPECT_TRUE(guard_.paused());
}

// Two tasks of one image peak alternately, so the image is never below target.
TEST_F(LatencyGuardTest, AlternatingOverrunsOfTwoTasksCountAsOne) {
  for (int i = 0; i < 5; ++i) {
    Observe(milliseconds(250), {30, 10});
    Observe(milliseconds(250), {10, 30});
  }
  EXPECT_TRUE(guard_.paused());
}

TEST_F(LatencyGuardTest, PauseEndsOnceTheTailIsLow) {
  Observe(milliseconds(2250), {60});
  ASSERT_TRUE(guard_.paused());
  Observe(milliseconds(500), {30});
  EXPECT_TRUE(guard_.paused());
  Observe(milliseconds(250), {15});
  EXPECT_FALSE(guard_.paused());
  EXPECT_FALSE(guard_.last_pause_ineffective());
}

TEST_F(LatencyGuardTest, IneffectivePauseEnds) {
  Observe(milliseconds(2250), {60});
  Observe(milliseconds(1500), {60});
  EXPECT_FALSE(guard_.paused());
  EXPECT_TRUE(guard_.last_pause_ineffective());
  // Another pause follows: best-effort runs may have become the cause.
  Observe(milliseconds(2250), {60});
  EXPECT_TRUE(guard_.paused());
}

// An order to pause may be lost.
TEST_F(LatencyGuardTest, PauseIsTimedFromWhenNoBestEffortRunIsActive) {
  Observe(milliseconds(2250), {60});
  for (int i = 0; i < 8; ++i) {
    now_ += milliseconds(250);
    guard_.Observe({{"web", milliseconds(60), kTarget}}, true, now_);
    EXPECT_TRUE(guard_.paused());
  }
  Observe(milliseconds(1500), {60});
  EXPECT_FALSE(guard_.paused());
}

TEST_F(LatencyGuardTest, TaskWithoutATargetIsIgnored) {
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(250);
    guard_.Observe({{"web", milliseconds(500), Duration(0)}}, true, now_);
  }
  EXPECT_FALSE(guard_.paused());
}

}  // namespace
}  // namespace beamhill
