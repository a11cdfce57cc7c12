#include "beamhill/placement/serving_layout.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

// Only "f1" interferes, with "a".
bool Interferes(const std::string& best_effort, const std::string& serving) {
  return best_effort == "f1" && serving == "a";
}

ServingLayout Layout(const ServingLayout::Demands& demands) {
  return ServingLayout::Create(demands, Interferes,
                               {{{"a"}, 8}, {{"b"}, 8}, {{"a", "b"}, 8}});
}

TEST(ServingLayoutTest, CoresHaveNoValueWithoutDemand) {
  EXPECT_EQ(Layout({}).EffectiveCores({"b"}, 8), 0);
}

TEST(ServingLayoutTest, VmThatAllowsMoreImagesHasMoreValue) {
  const ServingLayout layout = Layout({{"f1", 4}, {"f2", 4}});
  EXPECT_GT(layout.EffectiveCores({"b"}, 8), layout.EffectiveCores({"a"}, 8));
  EXPECT_DOUBLE_EQ(layout.EffectiveCores({"a"}, 8),
                   layout.EffectiveCores({"a", "b"}, 8));
  EXPECT_GT(layout.EffectiveCores({"a"}, 8), 0);  // For f2.
}

TEST(ServingLayoutTest, ScarceCoresCountMore) {
  // One VM allows f1, all three allow f2: cores for f1 are scarcer.
  const ServingLayout layout = Layout({{"f1", 4}, {"f2", 4}});
  const double for_f1 =
      layout.EffectiveCores({"b"}, 8) - layout.EffectiveCores({"a"}, 8);
  EXPECT_GT(for_f1, layout.EffectiveCores({"a"}, 8));
}

TEST(ServingLayoutTest, CoreThatAnyImageMayUseCountsAsOne) {
  EXPECT_DOUBLE_EQ(Layout({{"f2", 6}}).EffectiveCores({"a"}, 8), 8);
  EXPECT_DOUBLE_EQ(Layout({{"f1", 90}, {"f2", 6}}).EffectiveCores({"b"}, 8), 8);
  EXPECT_EQ(Layout({{"f2", 6}}).EffectiveCores({"a"}, -1), 0);
}

// An image with few usable cores must not raise the value of one VM's cores to
// its whole demand, and several images must not count the same cores
// repeatedly.
TEST(ServingLayoutTest, CoresCountOnceWhateverTheDemand) {
  const ServingLayout::Demands demands = {{"f1", 1000}, {"f2", 1}, {"f3", 7}};
  const ServingLayout layout = ServingLayout::Create(
      demands, Interferes, {{{"a"}, 8}, {{"a"}, 8}, {{"a", "b"}, 8}});
  EXPECT_LE(layout.EffectiveCores({}, 8), 8);
  EXPECT_LT(layout.EffectiveCores({"a"}, 8), layout.EffectiveCores({}, 8));
}

TEST(ServingLayoutTest, ImagesBeyondTheMaskWithLeastDemandAreIgnored) {
  ServingLayout::Demands demands = {{"f1", 1000}};
  for (int i = 0; i < 100; ++i) demands["g" + std::to_string(i)] = 1;
  const ServingLayout layout = Layout(demands);
  EXPECT_GT(layout.EffectiveCores({"b"}, 8),
            10 * layout.EffectiveCores({"a"}, 8));
}

}  // namespace
}  // namespace beamhill
