// Starts every process of a deployment at once, in virtual time: the real
// ownership keepers and VM registrations over a table that takes its time.
//
// Answers what a first start, or the return of power for all, costs by the
// deployment's size and by how its rows share partitions.
//
//   FleetStartOptions options;
//   options.vms = 800;
//   const FleetStartOutcome outcome = PlayFleetStart(options);
#ifndef BEAMHILL_REPLAY_FLEET_START_H_
#define BEAMHILL_REPLAY_FLEET_START_H_

#include <cstddef>
#include <cstdint>

#include "beamhill/base/time.h"
#include "beamhill/replay/timed_table.h"

namespace beamhill {

// What the table holds of the VMs before the start.
enum class RowsBefore : uint8_t {
  kNone,        // A first start.
  kAsTheyWere,  // Power returns; VMs have kept their addresses.
  kOtherAddresses,
};

struct FleetStartOptions {
  uint64_t seed = 1;
  size_t schedulers = 184;
  size_t vms = 800;
  RowsBefore rows_before = RowsBefore::kAsTheyWere;
  // Processes start at times drawn from this.
  Duration spread = std::chrono::milliseconds(300);
  // How long is played.
  Duration limit = std::chrono::seconds(60);
  TimedTableOptions table;
};

// Times count from the start of the first scheduler.
struct FleetStartOutcome {
  // The ownership is held, and what is stored has been read.
  Duration owner_loaded{};
  // How many VMs that read showed.
  size_t vms_loaded = 0;
  size_t claims = 0;
  // Processes that took the ownership: one, if all goes well.
  size_t owners = 0;
  // Every VM's row is as it should be; `limit` if that took longer.
  Duration all_registered{};
  TimedTableCounts table;
};

FleetStartOutcome PlayFleetStart(const FleetStartOptions& options);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_FLEET_START_H_
