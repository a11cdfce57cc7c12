#include "beamhill/halls/evacuations.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

TEST(EvacuationTrackerTest, ListIsUnknownBeforeTheTableIsRead) {
  EvacuationTracker tracker;
  tracker.OnRequested("north");
  EXPECT_FALSE(tracker.newest().known);
  tracker.OnCurrent(0);
  EXPECT_TRUE(tracker.newest().known);
  EXPECT_TRUE(tracker.newest().Holds("north"));
  EXPECT_FALSE(tracker.newest().Holds("south"));
}

TEST(EvacuationTrackerTest, HallCanBeWithdrawnAndRequestedAgain) {
  EvacuationTracker tracker;
  tracker.OnRequested("north");
  tracker.OnRequested("east");
  tracker.OnCurrent(5);
  EXPECT_THAT(tracker.newest().halls, ElementsAre("east", "north"));
  tracker.OnWithdrawn("north");
  tracker.OnCurrent(6);
  EXPECT_THAT(tracker.newest().halls, ElementsAre("east"));
  tracker.OnWithdrawn("east");
  tracker.OnRequested("east");
  tracker.OnCurrent(8);
  EXPECT_THAT(tracker.newest().halls, ElementsAre("east"));
}

// Copies from peers arrive in any order, and mix with reads of the table.
TEST(EvacuationTrackerTest, NewestListIsInForce) {
  EvacuationTracker tracker;
  tracker.OnCopy({true, 7, {"north"}});
  tracker.OnCopy({true, 3, {}});
  tracker.OnCopy({false, 9, {}});
  EXPECT_TRUE(tracker.newest().Holds("north"));
  tracker.OnCurrent(6);  // The read is older than the copy.
  EXPECT_TRUE(tracker.newest().Holds("north"));
  tracker.OnCurrent(8);
  EXPECT_THAT(tracker.newest().halls, IsEmpty());
}

}  // namespace
}  // namespace beamhill
