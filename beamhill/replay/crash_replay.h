// Crash replay: simulates a load in virtual time, with the real Dispatcher and
// Executors, on VMs whose runners crash.
//
// Runners crash because of tasks that crash every runner which starts them
// ("crashing" workflows), and for unrelated reasons. The outcome tells how
// crashing and healthy workflows fared.
//
//   CrashLoad load;
//   load.crashing = 2;
//   const CrashOutcome outcome = RunCrashReplay(load);
//   EXPECT_LE(outcome.max_losses, 3);
#ifndef BEAMHILL_REPLAY_CRASH_REPLAY_H_
#define BEAMHILL_REPLAY_CRASH_REPLAY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// A load on a small deployment, 11 VMs of 18 cores: quick workflows (one or two
// steps of tasks that take 0.3 to 1.5 s) and long-running services.
struct CrashLoad {
  uint64_t seed = 1;
  uint32_t vms = 11;
  int64_t vm_cpu_millis = 18000;
  Duration arrival_phase = std::chrono::seconds(40);
  // Time after the arrival phase, in which work can end.
  Duration drain_phase = std::chrono::seconds(60);
  double workflows_per_s = 7;
  uint32_t services = 8;  // Of six long-running tasks each.

  // Workflows with one task that crashes its runner. They arrive every 400 ms,
  // the first after 2 s.
  uint32_t crashing = 0;
  uint32_t tasks_per_crashing = 1;  // All but the last are healthy.
  Duration crashes_after = std::chrono::milliseconds(10);
  bool crashing_long_running = false;
  Duration downtime = std::chrono::seconds(3);
  // Runner losses for unrelated reasons, in the whole deployment.
  double unrelated_losses_per_s = 0;
  // Number of VMs that lose their runner repeatedly.
  uint32_t unstable_vms = 0;
  // Interval at which another owner takes over, until half of the drain
  // duration has passed, so that work can end; zero: never.
  Duration owner_change_interval{};
};

struct CrashOutcome {
  // Maxima over the crashing tasks.
  uint32_t max_losses = 0;  // Runners crashed.
  uint32_t max_starts_after_third_loss = 0;
  size_t crashing_not_failed = 0;
  // Workflows without a crashing task; services are unfinished if not all of
  // their tasks run at the end.
  size_t healthy_failed = 0;
  size_t healthy_unfinished = 0;
  size_t healthy_completed = 0;
  double mean_completion_seconds = 0;  // Of the completed healthy workflows.
  uint32_t runners_lost = 0;

  std::string ToString() const;
};

CrashOutcome RunCrashReplay(const CrashLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_CRASH_REPLAY_H_
