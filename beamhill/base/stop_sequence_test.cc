#include "beamhill/base/stop_sequence.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegan{std::chrono::hours(1)};
constexpr bool kWorkReleased = true;

StopSequence SequenceOf(Duration grace) {
  StopSequenceOptions options;
  options.grace = grace;
  return {options, kBegan};
}

TEST(StopSequenceTest, StaysUntilTheLoadBalancerHasDeregisteredIt) {
  const StopSequence stop = SequenceOf(seconds(6));
  EXPECT_FALSE(stop.MayRefuseConnections(kBegan + milliseconds(3000)));
  EXPECT_TRUE(stop.MayRefuseConnections(kBegan + milliseconds(3100)));
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(3000), 0, kWorkReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(3100), 0, kWorkReleased));
}

// Guards against a lost answer: the process exited after the answer had been
// handed to the event loop and before its bytes were sent.
TEST(StopSequenceTest, SendsTheLastAnswerBeforeExit) {
  StopSequence stop = SequenceOf(seconds(6));
  const TimePoint answered = kBegan + milliseconds(3400);
  stop.OnActivity(answered);
  EXPECT_FALSE(stop.MayExit(answered, 0, kWorkReleased));
  EXPECT_FALSE(stop.MayExit(answered + milliseconds(299), 0, kWorkReleased));
  EXPECT_TRUE(stop.MayExit(answered + milliseconds(300), 0, kWorkReleased));
}

// Guards against a lost request: an idle agent exited at its next tick, while a
// request was on its way to it. A planned stop lost a request that way in one
// of five runs.
TEST(StopSequenceTest, IdleProcessStaysForRequestsInFlight) {
  StopSequenceOptions options;
  options.grace = std::chrono::hours(1);
  options.deregistration_delay = milliseconds(500);
  const StopSequence stop(options, kBegan);
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(50), 0, kWorkReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(500), 0, kWorkReleased));
}

TEST(StopSequenceTest, WaitsForOpenRequestsAndReleaseOfWork) {
  const StopSequence stop = SequenceOf(seconds(6));
  const TimePoint late = kBegan + milliseconds(4000);
  EXPECT_FALSE(stop.MayExit(late, 1, kWorkReleased));
  EXPECT_FALSE(stop.MayExit(late, 0, !kWorkReleased));
  EXPECT_TRUE(stop.MayExit(late, 0, kWorkReleased));
}

TEST(StopSequenceTest, ExitsBeforeThePlatformKillsIt) {
  const StopSequence stop = SequenceOf(seconds(6));
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(5200), 3, !kWorkReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(5300), 3, !kWorkReleased));
}

}  // namespace
}  // namespace beamhill
