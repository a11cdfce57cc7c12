#include "beamhill/replay/outage_replay.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using testing::IsEmpty;

constexpr uint64_t kSeeds = 60;

// Work that was cancelled while the table was away ran on for good, since the
// owner decided the stop without the authority to send it.
TEST(OutageReplayTest, NothingOutlivesItsCancellation) {
  size_t without_authority = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OutageLoad load;
    load.seed = seed;
    const OutageOutcome outcome = PlayOutages(load);
    EXPECT_THAT(outcome.broken, IsEmpty()) << "seed " << seed;
    EXPECT_GT(outcome.runs, 0);
    without_authority += outcome.cancelled_without_authority;
  }
  // So that the case is among those that are played.
  EXPECT_GT(without_authority, kSeeds / 4);
}

}  // namespace
}  // namespace beamhill
