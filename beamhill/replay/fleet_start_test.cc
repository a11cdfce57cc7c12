// Bounds the time and the number of table calls of a simultaneous start of all
// processes, in virtual time.
#include "beamhill/replay/fleet_start.h"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

// Target from the first scheduler's start until an owner has read the stored
// rows, and until all unchanged VMs are registered.
constexpr Duration kMaxStartupTime = milliseconds(500);
// Target for the mean number of schedulers that claim a free ownership row.
constexpr double kMaxMeanClaims = 2;

struct FleetSize {
  size_t schedulers;
  size_t vms;
};

class FleetStartTest : public testing::TestWithParam<FleetSize> {
 protected:
  FleetStartOptions Options(uint64_t seed,
                            InitialVmRows initial_vm_rows) const {
    FleetStartOptions options;
    options.seed = seed;
    options.schedulers = GetParam().schedulers;
    options.vms = GetParam().vms;
    options.initial_vm_rows = initial_vm_rows;
    return options;
  }
};

TEST_P(FleetStartTest, OwnershipDoesNotWaitForVmRegistrations) {
  for (const InitialVmRows initial_vm_rows :
       {InitialVmRows::kNone, InitialVmRows::kUnchanged,
        InitialVmRows::kChangedAddresses}) {
    const auto outcome = SimulateFleetStart(Options(1, initial_vm_rows));
    EXPECT_EQ(outcome.owners, 1);
    EXPECT_LE(outcome.owner_load_time, kMaxStartupTime)
        << static_cast<int>(initial_vm_rows);
  }
}

TEST_P(FleetStartTest, OwnerLoadsAllUnchangedVmsAtStart) {
  const auto outcome =
      SimulateFleetStart(Options(2, InitialVmRows::kUnchanged));
  EXPECT_EQ(outcome.vms_loaded, GetParam().vms);
  EXPECT_LE(outcome.registration_time, kMaxStartupTime);
  // No VM writes its row again.
  EXPECT_LE(outcome.table.transactions, GetParam().schedulers);
}

// The case of a simultaneous start, and of the return of a table that was
// unavailable to all.
TEST_P(FleetStartTest, FewSchedulersWithoutKnownPeersClaim) {
  constexpr uint64_t kSeeds = 40;
  for (const Duration start_spread : {milliseconds(300), milliseconds(50)}) {
    size_t claims = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FleetStartOptions options = Options(seed, InitialVmRows::kUnchanged);
      options.vms = 0;
      options.start_spread = start_spread;
      claims += SimulateFleetStart(options).claims;
    }
    EXPECT_LE(static_cast<double>(claims) / kSeeds, kMaxMeanClaims)
        << ToMillis(start_spread);
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
