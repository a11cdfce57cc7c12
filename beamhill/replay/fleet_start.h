// Fleet start simulation: starts all processes of a deployment at once in
// virtual time, with real OwnershipKeeper and VmRegistration objects over a
// TimedTable.
//
// Shows how long a first start or a restart after a power failure takes, by the
// size of the deployment and by the layout of its rows over partitions.
//
//   FleetStartOptions options;
//   options.vms = 800;
//   const FleetStartOutcome outcome = SimulateFleetStart(options);
#ifndef BEAMHILL_REPLAY_FLEET_START_H_
#define BEAMHILL_REPLAY_FLEET_START_H_

#include <cstddef>
#include <cstdint>

#include "beamhill/base/time.h"
#include "beamhill/replay/timed_table.h"

namespace beamhill {

// VM rows in the table before the start.
enum class InitialVmRows : uint8_t {
  kNone,              // First start of the deployment.
  kUnchanged,         // Restart; VMs have kept their addresses.
  kChangedAddresses,  // Restart; every VM has another address.
};

struct FleetStartOptions {
  uint64_t seed = 1;
  size_t schedulers = 184;
  size_t vms = 800;
  InitialVmRows initial_vm_rows = InitialVmRows::kUnchanged;
  // Each process starts at a random time within this duration.
  Duration start_spread = std::chrono::milliseconds(300);
  // Simulated time after which the simulation stops.
  Duration time_limit = std::chrono::seconds(60);
  TimedTableOptions table;
};

// Times are measured from the start of the first scheduler.
struct FleetStartOutcome {
  // When the first owner has read the stored rows; `time_limit` if it has not.
  Duration owner_load_time{};
  // Number of VM rows that it read.
  size_t vms_loaded = 0;
  // Attempts to claim the ownership.
  size_t claims = 0;
  // Times that the ownership was taken; 1 is expected.
  size_t owners = 0;
  // When every VM was ready for starts: its row was up to date, and it had read
  // the owner's row. `time_limit` if that took longer.
  Duration registration_time{};
  TimedTableCounts table;
};

FleetStartOutcome SimulateFleetStart(const FleetStartOptions& options);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_FLEET_START_H_
