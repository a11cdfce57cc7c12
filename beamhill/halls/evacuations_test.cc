#include "beamhill/halls/evacuations.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;

TEST(EvacuationBoardTest, NothingIsKnownBeforeTheTableIsRead) {
  EvacuationTracker board;
  board.OnRequested("north");
  EXPECT_FALSE(board.newest().known);
  board.OnCurrent(0);
  EXPECT_TRUE(board.newest().known);
  EXPECT_TRUE(board.newest().Holds("north"));
  EXPECT_FALSE(board.newest().Holds("south"));
}

TEST(EvacuationBoardTest, WithdrawnAndRequestedAgain) {
  EvacuationTracker board;
  board.OnRequested("north");
  board.OnRequested("east");
  board.OnCurrent(5);
  EXPECT_THAT(board.newest().halls, ElementsAre("east", "north"));
  board.OnWithdrawn("north");
  board.OnCurrent(6);
  EXPECT_THAT(board.newest().halls, ElementsAre("east"));
  board.OnWithdrawn("east");
  board.OnRequested("east");
  board.OnCurrent(8);
  EXPECT_THAT(board.newest().halls, ElementsAre("east"));
}

// Copies from peers come in any order, beside what is read here.
TEST(EvacuationBoardTest, NewestCopyHolds) {
  EvacuationTracker board;
  board.OnCopy({true, 7, {"north"}});
  board.OnCopy({true, 3, {}});
  board.OnCopy({false, 9, {}});
  EXPECT_TRUE(board.newest().Holds("north"));
  board.OnCurrent(6);  // What is read here trails the copy.
  EXPECT_TRUE(board.newest().Holds("north"));
  board.OnCurrent(8);
  EXPECT_THAT(board.newest().halls, IsEmpty());
}

}  // namespace
}  // namespace beamhill
