// Outage replay: simulates a random load on a few VMs in virtual time, with the
// real Dispatcher and Executors, under faults.
//
// Table outages outlast the owner's authority, links fail, executors restart,
// owners change and callers cancel. The outcome lists the violated guarantees:
// a task never runs twice at once or again after it has completed, cancelled
// work stops in time, and after the faults all other work completes or, if
// long-running, runs.
//
//   OutageLoad load;
//   load.seed = 7;
//   EXPECT_THAT(RunOutageReplay(load).violations, IsEmpty());
#ifndef BEAMHILL_REPLAY_OUTAGE_REPLAY_H_
#define BEAMHILL_REPLAY_OUTAGE_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

struct OutageLoad {
  uint64_t seed = 1;
  uint32_t vms = 4;
  Duration fault_duration = std::chrono::seconds(90);
  // Simulated after that without faults, arrivals and cancellations.
  Duration recovery_duration = std::chrono::seconds(30);
  // Mean times between faults in the whole deployment; zero: no faults of the
  // kind.
  Duration mean_time_between_outages = std::chrono::seconds(8);
  Duration max_outage = std::chrono::seconds(13);
  Duration mean_time_between_link_failures = std::chrono::seconds(6);
  Duration mean_time_between_executor_restarts = std::chrono::seconds(20);
  Duration mean_time_between_takeovers = std::chrono::seconds(40);
};

struct OutageOutcome {
  std::vector<std::string> violations;  // Without duplicates.
  size_t cancelled = 0;
  // Cancelled while the owner had no authority.
  size_t cancelled_without_authority = 0;
  size_t runs = 0;
};

OutageOutcome RunOutageReplay(const OutageLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_OUTAGE_REPLAY_H_
