#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "beamhill/replay/owner_fencing_replay.h"

namespace beamhill {
namespace {

using testing::IsEmpty;

constexpr uint64_t kSeeds = 10'000;

// Guards against tasks that run twice: an executor that restarted together with
// its runner obeyed an owner that had been replaced, since both had forgotten
// its successor's epoch.
TEST(OwnerFencingTest, EarlierOwnerStartsNothingOnceTheLaterOneTookStock) {
  OwnerFencingOutcome sum;
  uint64_t not_recovered = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const OwnerFencingOutcome outcome = ReplayOwnerFencing(seed);
    ASSERT_THAT(outcome.violations, IsEmpty())
        << "seed " << seed << testing::PrintToString(outcome.events);
    sum.earlier_runs += outcome.earlier_runs;
    sum.later_runs += outcome.later_runs;
    sum.runs_after_claim += outcome.runs_after_claim;
    sum.owners_refused += outcome.owners_refused;
    not_recovered += outcome.recovered ? 0 : 1;
  }
  EXPECT_EQ(not_recovered, 0);
  // The replays do contain what is at stake.
  EXPECT_GT(sum.earlier_runs, kSeeds);
  EXPECT_GT(sum.later_runs, kSeeds);
  EXPECT_GT(sum.runs_after_claim, kSeeds);
  EXPECT_GT(sum.owners_refused, kSeeds / 10);
}

}  // namespace
}  // namespace beamhill
