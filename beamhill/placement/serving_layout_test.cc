#include "beamhill/placement/serving_layout.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

// "f1" harms "a" and nothing else harms anything.
bool Harms(const std::string& filling, const std::string& serving) {
  return filling == "f1" && serving == "a";
}

ServingLayout Layout(const ServingLayout::Demands& demands) {
  return ServingLayout::Create(demands, Harms,
                               {{{"a"}, 8}, {{"b"}, 8}, {{"a", "b"}, 8}});
}

TEST(ServingLayoutTest, NothingIsWorthAnythingWithoutDemand) {
  EXPECT_EQ(Layout({}).EffectiveCores({"b"}, 8), 0);
}

TEST(ServingLayoutTest, PlaceThatAllowsMoreIsWorthMore) {
  const ServingLayout layout = Layout({{"f1", 4}, {"f2", 4}});
  EXPECT_GT(layout.EffectiveCores({"b"}, 8), layout.EffectiveCores({"a"}, 8));
  EXPECT_DOUBLE_EQ(layout.EffectiveCores({"a"}, 8),
                   layout.EffectiveCores({"a", "b"}, 8));
  EXPECT_GT(layout.EffectiveCores({"a"}, 8), 0);  // For the other filler.
}

TEST(ServingLayoutTest, ScarcePlacesCountMore) {
  // One VM allows f1, all three allow f2: the last place of f1 is dearer.
  const ServingLayout layout = Layout({{"f1", 4}, {"f2", 4}});
  const double for_f1 =
      layout.EffectiveCores({"b"}, 8) - layout.EffectiveCores({"a"}, 8);
  EXPECT_GT(for_f1, layout.EffectiveCores({"a"}, 8));
}

TEST(ServingLayoutTest, CoreThatAnyFillerMayUseIsWorthOne) {
  EXPECT_DOUBLE_EQ(Layout({{"f2", 6}}).EffectiveCores({"a"}, 8), 8);
  EXPECT_DOUBLE_EQ(Layout({{"f1", 90}, {"f2", 6}}).EffectiveCores({"b"}, 8), 8);
  EXPECT_EQ(Layout({{"f2", 6}}).EffectiveCores({"a"}, -1), 0);
}

// A scarce image must not make the cores of one VM worth all that it asks for,
// nor may several images count the same cores several times.
TEST(ServingLayoutTest, CoresCountOnceHoweverMuchIsAskedFor) {
  const ServingLayout::Demands demands = {{"f1", 1000}, {"f2", 1}, {"f3", 7}};
  const ServingLayout layout = ServingLayout::Create(
      demands, Harms, {{{"a"}, 8}, {{"a"}, 8}, {{"a", "b"}, 8}});
  EXPECT_LE(layout.EffectiveCores({}, 8), 8);
  EXPECT_LT(layout.EffectiveCores({"a"}, 8), layout.EffectiveCores({}, 8));
}

TEST(ServingLayoutTest, MoreImagesThanBitsKeepTheMostWanted) {
  ServingLayout::Demands demands = {{"f1", 1000}};
  for (int i = 0; i < 100; ++i) demands["g" + std::to_string(i)] = 1;
  const ServingLayout layout = Layout(demands);
  EXPECT_GT(layout.EffectiveCores({"b"}, 8),
            10 * layout.EffectiveCores({"a"}, 8));
}

}  // namespace
}  // namespace beamhill
