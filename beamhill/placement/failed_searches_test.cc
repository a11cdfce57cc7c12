#include "beamhill/placement/failed_searches.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

VmSearch Search(int64_t cpu, uint32_t rights = 0) {
  VmSearch search;
  search.service = "web";
  search.need = {cpu, 100, 0};
  search.rights = rights;
  return search;
}

TEST(FailedSearchesTest, RuleOutOnlyWhatAsksForAsMuch) {
  FailedSearches failed;
  failed.Add(Search(2000));
  EXPECT_TRUE(failed.RuleOut(Search(2000)));
  EXPECT_TRUE(failed.RuleOut(Search(3000)));
  EXPECT_FALSE(failed.RuleOut(Search(1000)));
  VmSearch less_memory = Search(3000);
  less_memory.need.memory_mib = 50;
  EXPECT_FALSE(failed.RuleOut(less_memory));
  VmSearch other = Search(2000);
  other.service = "other";
  EXPECT_FALSE(failed.RuleOut(other));
}

TEST(FailedSearchesTest, RuleOutNothingWithARightThatTheyLacked) {
  FailedSearches failed;
  failed.Add(Search(1000, kProbeStalledVm));
  EXPECT_TRUE(failed.RuleOut(Search(1000)));
  EXPECT_TRUE(failed.RuleOut(Search(1000, kProbeStalledVm)));
  EXPECT_FALSE(failed.RuleOut(Search(1000, kUseReservedCapacity)));
  failed.Add(Search(1000, kOwnVm));
  EXPECT_FALSE(failed.RuleOut(Search(1000, kOwnVm)));
}

TEST(FailedSearchesTest, BestEffortTasksDependOnImageAndRank) {
  FailedSearches failed;
  VmSearch search = Search(1000);
  search.best_effort = true;
  search.image = "f";
  search.best_effort_rank = 5;
  failed.Add(search);
  EXPECT_TRUE(failed.RuleOut(search));
  EXPECT_FALSE(failed.RuleOut(Search(1000)));
  VmSearch earlier = search;
  earlier.best_effort_rank = 4;
  EXPECT_FALSE(failed.RuleOut(earlier));
  VmSearch other = search;
  other.image = "g";
  EXPECT_FALSE(failed.RuleOut(other));
  failed.Truncate(0);
  EXPECT_FALSE(failed.RuleOut(search));
}

}  // namespace
}  // namespace beamhill
