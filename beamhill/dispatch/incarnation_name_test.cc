#include "beamhill/dispatch/incarnation_name.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

TEST(IncarnationNameTest, DistinguishesIncarnationsOfOneRunner) {
  const std::string first = IncarnationName("i-1", UnixMillis(5));
  const std::string second = IncarnationName("i-1", UnixMillis(6));
  EXPECT_NE(first, second);
  EXPECT_FALSE(MayBeSameIncarnation(first, second));
  EXPECT_EQ(RunnerOf(first), "i-1");
  EXPECT_EQ(RunnerOf(second), "i-1");
}

TEST(IncarnationNameTest, NameWithoutStartTimeMatchesAnyIncarnation) {
  EXPECT_EQ(IncarnationName("i-1", std::nullopt), "i-1");
  EXPECT_EQ(RunnerOf("i-1"), "i-1");
  EXPECT_TRUE(
      MayBeSameIncarnation("i-1", IncarnationName("i-1", UnixMillis(5))));
  EXPECT_FALSE(
      MayBeSameIncarnation("i-1", IncarnationName("i-2", UnixMillis(5))));
  EXPECT_FALSE(MayBeSameIncarnation("", "i-1"));
}

}  // namespace
}  // namespace beamhill
