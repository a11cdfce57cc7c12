// What a start of everything at once costs, by counts and in virtual time.
#include "beamhill/replay/fleet_start.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

// From the first scheduler's start until an owner has read what is stored.
constexpr Duration kAimed = milliseconds(500);
// Schedulers that claim a free row at the same moment, in the mean.
constexpr double kAimedClaims = 2;

struct FleetSize {
  size_t schedulers;
  size_t vms;
};

class FleetStartTest : public testing::TestWithParam<FleetSize> {
 protected:
  FleetStartOptions Options(uint64_t seed, RowsBefore before) const {
    FleetStartOptions options;
    options.seed = seed;
    options.schedulers = GetParam().schedulers;
    options.vms = GetParam().vms;
    options.rows_before = before;
    return options;
  }
};

TEST_P(FleetStartTest, OwnershipDoesNotWaitForTheVmsRegistrations) {
  for (const RowsBefore before : {RowsBefore::kNone, RowsBefore::kAsTheyWere,
                                  RowsBefore::kOtherAddresses}) {
    const auto outcome = PlayFleetStart(Options(1, before));
    EXPECT_EQ(outcome.owners, 1);
    EXPECT_LE(outcome.owner_loaded, kAimed) << static_cast<int>(before);
  }
}

TEST_P(FleetStartTest, VmsThatHaveNotMovedAreAllKnownAtOnce) {
  const auto outcome = PlayFleetStart(Options(2, RowsBefore::kAsTheyWere));
  EXPECT_EQ(outcome.vms_loaded, GetParam().vms);
  EXPECT_LE(outcome.all_registered, kAimed);
  // None of their rows is written again.
  EXPECT_LE(outcome.table.transactions, GetParam().schedulers);
}

// After a start, or when a store that was away for all is back.
TEST_P(FleetStartTest, FewSchedulersThatKnowOfNoOthersClaim) {
  constexpr uint64_t kSeeds = 40;
  for (const Duration spread : {milliseconds(300), milliseconds(50)}) {
    size_t claims = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FleetStartOptions options = Options(seed, RowsBefore::kAsTheyWere);
      options.vms = 0;
      options.spread = spread;
      claims += PlayFleetStart(options).claims;
    }
    EXPECT_LE(static_cast<double>(claims) / kSeeds, kAimedClaims)
        << ToMillis(spread);
  }
}

INSTANTIATE_TEST_SUITE_P(Sizes, FleetStartTest,
                         testing::Values(FleetSize{3, 11}, FleetSize{14, 76},
                                         FleetSize{55, 240},
                                         FleetSize{184, 800},
                                         FleetSize{368, 1600}),
                         [](const auto& info) {
                           return std::to_string(info.param.schedulers) +
                                  "Schedulers" +
                                  std::to_string(info.param.vms) + "Vms";
                         });

}  // namespace
}  // namespace beamhill
