#include "beamhill/dispatch/pending_stops.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::Field;
using testing::IsEmpty;
using testing::SizeIs;

constexpr TimePoint kNow{std::chrono::hours(1)};

RunRef RunOf(uint32_t index) { return {{"w", 0, 0, index}, 1}; }

TEST(PendingStopsTest, StopIsDueAtOnceAndAgainUntilItIsRemoved) {
  PendingStops stops;
  stops.Add(RunOf(1), kNow);
  stops.Add(RunOf(1), kNow);
  EXPECT_THAT(stops.TakeDue(kNow),
              ElementsAre(Field(&DueStop::repeated, false)));
  EXPECT_THAT(stops.TakeDue(kNow + milliseconds(500)), IsEmpty());
  EXPECT_THAT(stops.TakeDue(kNow + seconds(2)),
              ElementsAre(Field(&DueStop::repeated, true)));
  EXPECT_THAT(stops.TakeDue(kNow + seconds(4)), SizeIs(1));
  stops.Remove(RunOf(1));
  EXPECT_THAT(stops.TakeDue(kNow + seconds(9)), IsEmpty());
}

TEST(PendingStopsTest, MakeAllDueRepeatsSentStopsAtOnce) {
  PendingStops stops;
  stops.Add(RunOf(1), kNow);
  stops.Add(RunOf(2), kNow);
  stops.TakeDue(kNow);
  stops.MakeAllDue();
  EXPECT_THAT(stops.TakeDue(kNow), SizeIs(2));
}

TEST(PendingStopsTest, OldestAgeCountsFromTheFirstAdd) {
  PendingStops stops;
  EXPECT_EQ(stops.OldestAge(kNow), Duration(0));
  stops.Add(RunOf(1), kNow);
  stops.Add(RunOf(2), kNow + seconds(1));
  stops.TakeDue(kNow + seconds(2));
  EXPECT_EQ(stops.OldestAge(kNow + seconds(3)), seconds(3));
  stops.Remove(RunOf(1));
  EXPECT_EQ(stops.OldestAge(kNow + seconds(3)), seconds(2));
}

}  // namespace
}  // namespace beamhill
