// Plays drawn work on a few VMs against a real Dispatcher and real Executors in
// virtual time, while the table is away for longer than the owner's authority,
// links break, executors start again, owners change and callers cancel, and
// tells which promises broke.
//
//   OutageLoad load;
//   load.seed = 7;
//   EXPECT_THAT(PlayOutages(load).broken, IsEmpty());
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
  Duration trouble = std::chrono::seconds(90);
  // Played on without trouble or arrivals.
  Duration calm = std::chrono::seconds(30);
  // Mean times between troubles; zero: none of the kind.
  Duration between_outages = std::chrono::seconds(8);
  Duration longest_outage = std::chrono::seconds(13);
  Duration between_broken_links = std::chrono::seconds(6);  // Of any VM.
  Duration between_restarts = std::chrono::seconds(20);     // Of executors.
  Duration between_owners = std::chrono::seconds(40);
};

struct OutageOutcome {
  std::vector<std::string> broken;
  size_t cancelled = 0;
  // Cancelled while the owner had no authority.
  size_t cancelled_without_authority = 0;
  size_t runs = 0;
};

OutageOutcome PlayOutages(const OutageLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_OUTAGE_REPLAY_H_
