#include "beamhill/replay/outage_replay.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using testing::IsEmpty;

constexpr uint64_t kSeeds = 60;

// Guards against work that is cancelled during a table outage and never stops:
// the owner decides on the stop while it has no authority to send it.
TEST(OutageReplayTest, CancelledWorkStopsDespiteOutages) {
  size_t without_authority = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OutageLoad load;
    load.seed = seed;
    const OutageOutcome outcome = RunOutageReplay(load);
    EXPECT_THAT(outcome.violations, IsEmpty()) << "seed " << seed;
    EXPECT_GT(outcome.runs, 0);
    without_authority += outcome.cancelled_without_authority;
  }
  // Ensures that the seeds cover cancellations without authority.
  EXPECT_GT(without_authority, kSeeds / 4);
}

}  // namespace
}  // namespace beamhill
