// Waiting replay: simulates a site in virtual time, with the real Dispatcher
// and Executors, whose VMs are cut off in series, to find long-running tasks
// that wait although there is room for them.
//
// Long-running workflows reserve most processors, and short tasks, many of them
// late, take all that is left. Some VMs refuse starts or drain for a while, and
// new long-running workflows arrive. Whether there is room is told by a model
// of capacity, labels, links and limits per VM that doesn't ask the Dispatcher.
//
//   const WaitingOutcome outcome = RunWaitingReplay(/*seed=*/7);
//   EXPECT_LT(outcome.waits.at(Room::kUnused), std::chrono::seconds(6));
#ifndef BEAMHILL_REPLAY_WAITING_REPLAY_H_
#define BEAMHILL_REPLAY_WAITING_REPLAY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// What the VMs had for a long-running task while it waited.
enum class Room : uint8_t {
  kUnused,            // A VM could have taken it.
  kBesideShortTasks,  // A VM could have taken it once short tasks had ended.
  kNone,              // No VM had room beside its long-running tasks.
};

struct WaitingOutcome {
  // The longest time since a long-running task last ran, by what the VMs had
  // for it throughout the 3 s before. Only calm times count, which begin 7 s
  // after the last VM came back. Tasks that have never run don't count.
  std::map<Room, Duration> waits;
  // Tasks of which both rooms together say that users count them as lost.
  size_t tasks_lost = 0;
  size_t lapsed = 0;  // Runs of long-running tasks.
  uint32_t vms = 0;
  double reserved = 0;    // Share of the processors.
  std::string diagnosis;  // Of the first tasks that were lost.

  std::string ToString() const;
};

WaitingOutcome RunWaitingReplay(uint64_t seed);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_WAITING_REPLAY_H_
