// Simulation of entries, agents, workers and the table in virtual time, with
// injected faults and defects. It runs the real CellHost, CellOwner and
// AgentCore, and checks the invariants against the workers' record.
//
//   SimOptions options;
//   options.seed = 7;
//   options.faults = {SimFault::kEntryKilled, SimFault::kTableDown};
//   SimReport report = RunCoordinationSim(options);
#ifndef BEAMHILL_TESTING_COORDINATION_SIM_H_
#define BEAMHILL_TESTING_COORDINATION_SIM_H_

#include <cstdint>
#include <string>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// Faults that the product must tolerate.
enum class SimFault : uint8_t {
  kLoadWave,       // Several jobs at once.
  kWrongRunTimes,  // Tasks run up to 7 times as long.
  kImpossibleJob,  // Its tasks fit on no VM.
  kCancelWave,
  kFailingWorker,
  kEvictionWave,
  kVmLost,
  kRackLost,
  kEntryKilled,
  kEntryPaused,
  kEntryReleased,
  kAgentKilled,
  kAgentPaused,
  kLinkCut,
  kLinkSlow,
  kEntryCutFromTable,
  kTableDown,
  kTableSlow,
  kAnswersLost,
};
inline constexpr int kSimFaults = 19;
const char* SimFaultName(SimFault fault);

// Defects injected into the product that the checks must detect.
enum class SimDefect : uint8_t {
  kNone,
  kEpochNotChecked,
  kSessionNotChecked,
  kLeaseCountedFromArrival,
  kLeaseNeverEnds,
  kInventoryPartial,
  kAcknowledgedBeforeDurable,
  kUnconfirmedAccepted,
  kRosterNotSaved,
  kWindowNotSaved,
  kUnconditionalWrites,
  kConfirmedByStaleRead,
  kEarlierAgentAccepted,
  kLiveVmReportedGone,
};
inline constexpr int kSimDefects = 14;
const char* SimDefectName(SimDefect defect);

struct SimOptions {
  uint64_t seed = 1;
  int entries = 3;
  int vms = 6;
  // Faults to draw from; none are injected when empty.
  std::vector<SimFault> faults;
  // Mean time between faults.
  Duration fault_interval = std::chrono::seconds(15);
  // Time during which faults are injected.
  Duration length = std::chrono::seconds(150);
  // Time limit, after the last fault, for all jobs to finish.
  Duration recovery = std::chrono::seconds(1500);
  SimDefect defect = SimDefect::kNone;
};

// Returns the time from the loss of a cell's owner until its successor first
// starts a task, with work waiting throughout; 2 minutes if none starts.
// `fault` must be one that affects an entry.
Duration MeasureTakeover(uint64_t seed, SimFault fault);

struct SimReport {
  std::vector<std::string> violations;
  uint64_t steps = 0;
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t evicted = 0;
  uint64_t row_writes = 0;
  uint64_t reads = 0;
  uint64_t takeovers = 0;
  // Longest time without an active owner.
  Duration longest_ownerless{};
};

// Runs one simulation; the same options give the same report.
SimReport RunCoordinationSim(const SimOptions& options);

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_COORDINATION_SIM_H_
