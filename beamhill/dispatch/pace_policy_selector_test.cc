#include "beamhill/dispatch/pace_policy_selector.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

TEST(PacePolicySelectorTest, CautiousWhileAllTasksFit) {
  PacePolicySelector selector;
  for (int i = 0; i < 20; ++i) selector.Observe(90, 100);
  EXPECT_EQ(selector.policy(), PacePolicy::kCautious);
}

TEST(PacePolicySelectorTest, GuardedWithinTwoSecondsOfABacklog) {
  PacePolicySelector selector;
  for (int i = 0; i < 4; ++i) selector.Observe(200, 100);
  EXPECT_EQ(selector.policy(), PacePolicy::kGuarded);
}

TEST(PacePolicySelectorTest, OneBriefPeakHasNoEffect) {
  PacePolicySelector selector;
  for (int i = 0; i < 20; ++i) selector.Observe(50, 100);
  selector.Observe(200, 100);
  EXPECT_EQ(selector.policy(), PacePolicy::kCautious);
}

TEST(PacePolicySelectorTest, CautiousAgainAfterTheBacklog) {
  PacePolicySelector selector;
  for (int i = 0; i < 10; ++i) selector.Observe(200, 100);
  for (int i = 0; i < 10; ++i) selector.Observe(100, 100);
  EXPECT_EQ(selector.policy(), PacePolicy::kGuarded);
  for (int i = 0; i < 10; ++i) selector.Observe(40, 100);
  EXPECT_EQ(selector.policy(), PacePolicy::kCautious);
}

TEST(PacePolicySelectorTest, NoFreeCoresCountAsABacklog) {
  PacePolicySelector selector;
  for (int i = 0; i < 4; ++i) selector.Observe(20, -5);
  EXPECT_EQ(selector.policy(), PacePolicy::kGuarded);
}

}  // namespace
}  // namespace beamhill
