#include "beamhill/placement/room_making.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

Resources Cpu(int64_t millis) { return {millis, 100, 0}; }

const auto kAny = [](const RoomMaker&) { return true; };

TEST(RoomMakingTest, SmallestTaskThatMakesEnoughRoom) {
  const std::vector<RoomOnVm> vms = {
      {Cpu(2000), {Cpu(3000), Cpu(1000)}},
      {Cpu(1000), {Cpu(2500)}},
      {Cpu(2000), {Cpu(2000), Cpu(4000)}},
  };
  const auto move = ChooseRoomMaker(vms, Cpu(4000), kAny);
  ASSERT_TRUE(move);
  EXPECT_EQ(move->vm, 2U);
  EXPECT_EQ(move->task, 0U);
}

TEST(RoomMakingTest, NextOneIfATaskMustStay) {
  const std::vector<RoomOnVm> vms = {{Cpu(2000), {Cpu(2000), Cpu(3000)}}};
  const auto move = ChooseRoomMaker(
      vms, Cpu(4000), [](const RoomMaker& m) { return m.task != 0; });
  ASSERT_TRUE(move);
  EXPECT_EQ(move->task, 1U);
  EXPECT_FALSE(
      ChooseRoomMaker(vms, Cpu(4000), [](const RoomMaker&) { return false; }));
}

// A move that leaves too little room would stop a task in vain.
TEST(RoomMakingTest, NoneIfNoSingleTaskSuffices) {
  const std::vector<RoomOnVm> vms = {{Cpu(1000), {Cpu(1000), Cpu(1000)}}};
  EXPECT_FALSE(ChooseRoomMaker(vms, Cpu(4000), kAny));
  const std::vector<RoomOnVm> small_memory = {{{9000, 50, 0}, {{1000, 10, 0}}}};
  EXPECT_FALSE(ChooseRoomMaker(small_memory, Cpu(4000), kAny));
}

TEST(RoomMakingTest, OnlyTasksThatMakeRoomAreStopped) {
  const Resources free{500, 1000, 0};
  const std::vector<Resources> tasks = {
      {200, 100, 0}, {1000, 100, 0}, {2000, 100, 0}};
  EXPECT_TRUE(ChooseTasksToStop(free, tasks, Cpu(500)).empty());
  EXPECT_EQ(ChooseTasksToStop(free, tasks, Cpu(1500)), std::vector<size_t>{1});
  EXPECT_EQ(ChooseTasksToStop(free, tasks, Cpu(1700)),
            (std::vector<size_t>{0, 1}));
  EXPECT_TRUE(ChooseTasksToStop(free, tasks, Cpu(5000)).empty());
}

}  // namespace
}  // namespace beamhill
