#include "beamhill/dispatch/pace_policy_selector.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

TEST(FillerLoadTest, HoldsBackWhileAllFits) {
  PacePolicySelector load;
  for (int i = 0; i < 20; ++i) load.Observe(90, 100);
  EXPECT_EQ(load.policy(), PacePolicy::kCautious);
}

TEST(FillerLoadTest, TurnsWithinTwoSecondsOfABacklog) {
  PacePolicySelector load;
  for (int i = 0; i < 4; ++i) load.Observe(200, 100);
  EXPECT_EQ(load.policy(), PacePolicy::kGuarded);
}

TEST(FillerLoadTest, OneWideStepThatStartsAtOnceChangesNothing) {
  PacePolicySelector load;
  for (int i = 0; i < 20; ++i) load.Observe(50, 100);
  load.Observe(200, 100);
  EXPECT_EQ(load.policy(), PacePolicy::kCautious);
}

TEST(FillerLoadTest, HoldsBackAgainOnceTheBacklogIsWorkedOff) {
  PacePolicySelector load;
  for (int i = 0; i < 10; ++i) load.Observe(200, 100);
  for (int i = 0; i < 10; ++i) load.Observe(100, 100);
  EXPECT_EQ(load.policy(), PacePolicy::kGuarded);
  for (int i = 0; i < 10; ++i) load.Observe(40, 100);
  EXPECT_EQ(load.policy(), PacePolicy::kCautious);
}

TEST(FillerLoadTest, NoRoomAtAllIsABacklog) {
  PacePolicySelector load;
  for (int i = 0; i < 4; ++i) load.Observe(20, -5);
  EXPECT_EQ(load.policy(), PacePolicy::kGuarded);
}

}  // namespace
}  // namespace beamhill
