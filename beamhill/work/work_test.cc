#include "beamhill/work/work.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace beamhill {
namespace {

RC_GTEST_PROP(IndexSet, BehavesLikeASetOfIntegers,
              (const std::vector<uint8_t>& indexes)) {
  IndexSet set;
  std::set<uint32_t> model;
  for (const uint8_t index : indexes) {
    RC_ASSERT(set.Add(index) == model.insert(index).second);
  }
  RC_ASSERT(set.size() == model.size());
  for (uint32_t i = 0; i < 257; ++i) {
    RC_ASSERT(set.Contains(i) == (model.count(i) > 0));
  }
  for (size_t i = 1; i < set.ranges().size(); ++i) {
    RC_ASSERT(set.ranges()[i - 1].end < set.ranges()[i].begin);
  }
}

TEST(Attempt, LaterEpochComparesGreaterThanAllOfEarlierEpochs) {
  EXPECT_LT(Attempt::Make(1, (uint64_t{1} << 40) - 1).value,
            Attempt::Make(2, 0).value);
}

TEST(Resources, HoldsComparesEveryDimension) {
  const Resources vm{1000, 100, 1};
  EXPECT_TRUE(vm.Holds({1000, 100, 1}));
  EXPECT_FALSE(vm.Holds({1001, 1, 0}));
  EXPECT_FALSE(vm.Holds({1, 101, 0}));
  EXPECT_FALSE(vm.Holds({1, 1, 2}));
}

}  // namespace
}  // namespace beamhill
