#include "beamhill/base/stop_sequence.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kBegan{std::chrono::hours(1)};
constexpr bool kReleased = true;

StopSequence SequenceOf(Duration grace) {
  StopSequenceOptions options;
  options.grace = grace;
  return {options, kBegan};
}

TEST(StopSequenceTest, LingersUntilTheBalancerHasNoticed) {
  const StopSequence stop = SequenceOf(seconds(6));
  EXPECT_FALSE(stop.MayRefuseConnections(kBegan + milliseconds(3000)));
  EXPECT_TRUE(stop.MayRefuseConnections(kBegan + milliseconds(3100)));
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(3000), 0, kReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(3100), 0, kReleased));
}

// Found on tsagaan-tal-grown scale-1 (LOST): the process exited between an
// answer and its bytes.
TEST(StopSequenceTest, AnswerThatWasJustGivenIsSentFirst) {
  StopSequence stop = SequenceOf(seconds(6));
  const TimePoint answered = kBegan + milliseconds(3400);
  stop.OnActivity(answered);
  EXPECT_FALSE(stop.MayExit(answered, 0, kReleased));
  EXPECT_FALSE(stop.MayExit(answered + milliseconds(299), 0, kReleased));
  EXPECT_TRUE(stop.MayExit(answered + milliseconds(300), 0, kReleased));
}

// An agent that had nothing to do ended at its next tick, while a request was
// on its way to it (PlannedStop.OfAnAgentCutsNothingOff, once in five runs).
TEST(StopSequenceTest, IdleProcessStaysForRequestsThatAreOnTheirWay) {
  StopSequenceOptions options;
  options.grace = std::chrono::hours(1);
  options.deregistration_delay = milliseconds(500);
  const StopSequence stop(options, kBegan);
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(50), 0, kReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(500), 0, kReleased));
}

TEST(StopSequenceTest, WaitsForOpenRequestsAndItsOwnWork) {
  const StopSequence stop = SequenceOf(seconds(6));
  const TimePoint late = kBegan + milliseconds(4000);
  EXPECT_FALSE(stop.MayExit(late, 1, kReleased));
  EXPECT_FALSE(stop.MayExit(late, 0, !kReleased));
  EXPECT_TRUE(stop.MayExit(late, 0, kReleased));
}

TEST(StopSequenceTest, LeavesBeforeThePlatformKillsIt) {
  const StopSequence stop = SequenceOf(seconds(6));
  EXPECT_FALSE(stop.MayExit(kBegan + milliseconds(5200), 3, !kReleased));
  EXPECT_TRUE(stop.MayExit(kBegan + milliseconds(5300), 3, !kReleased));
}

}  // namespace
}  // namespace beamhill
