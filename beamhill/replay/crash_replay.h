// Plays work on VMs whose runners go down, under tasks that take down every
// runner which starts them and for other reasons, against the real Dispatcher
// and Executors in virtual time, and tells what became of both kinds.
//
//   CrashLoad load;
//   load.crashing = 2;
//   const CrashOutcome outcome = PlayCrashes(load);
//   EXPECT_LE(outcome.most_losses, 3);
#ifndef BEAMHILL_REPLAY_CRASH_REPLAY_H_
#define BEAMHILL_REPLAY_CRASH_REPLAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// As on the smallest of the users' sites, 11 VMs of some 18 cores: quick
// workflows by the second and services that last.
struct CrashLoad {
  uint64_t seed = 1;
  uint32_t vms = 11;
  int64_t vm_cpu_millis = 18000;
  Duration traffic = std::chrono::seconds(40);
  Duration drain = std::chrono::seconds(60);  // Played on without arrivals.
  double workflows_per_s = 7;
  uint32_t services = 8;  // Of six lasting tasks each.

  // Workflows with one task that takes its runners down; they arrive within the
  // first seconds.
  uint32_t crashing = 0;
  uint32_t tasks_of_crashing = 1;  // All others of its step are sound.
  Duration crashes_after = std::chrono::milliseconds(10);
  bool crashing_lasts = false;
  Duration down_for = std::chrono::seconds(3);
  // Runners lost for other reasons, in the whole deployment.
  double other_losses_per_s = 0;
  // Where so many of the first VMs lose their runner again and again.
  uint32_t unstable_vms = 0;
  // Another owner takes over after so long, each time, until work has had some
  // time to end; zero: never.
  Duration owner_for{};
};

struct CrashOutcome {
  // Of the one crashing task of which it is most.
  uint32_t most_losses = 0;              // Runners it took down.
  uint32_t most_starts_after_three = 0;  // Starts after the third of them.
  size_t crashing_not_given_up = 0;
  // Sound workflows.
  size_t given_up = 0;
  size_t unfinished = 0;
  size_t done = 0;
  double mean_seconds = 0;  // That those that are done took.
  uint32_t runners_lost = 0;

  std::string ToString() const;
};

CrashOutcome PlayCrashes(const CrashLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_CRASH_REPLAY_H_
