// Load replay: simulates a random load in virtual time with the real Dispatcher
// and Executors, to evaluate their decisions under load.
//
// The load consists of best-effort workflows, quick workflows (short, with a
// tight objective) and serving tasks, whose images interfere by amounts that
// oscillate within seconds. There are no processes, no table and no faults. The
// outcome is what the callers would observe.
//
//   ReplayLoad load;
//   load.best_effort_work.arrivals_per_s = 5;
//   ReplayOutcome outcome = RunLoadReplay(load);
//   EXPECT_LT(outcome.LongestIdle(), std::chrono::seconds(3));
#ifndef BEAMHILL_REPLAY_LOAD_REPLAY_H_
#define BEAMHILL_REPLAY_LOAD_REPLAY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/work/work.h"

namespace beamhill {

// Mean sizes of the workflows of one kind. Actual sizes are lognormal, with
// sigma 0.6 for the number of tasks, 0.3 for processors and steps, and 0.5 for
// run times.
struct WorkloadKind {
  double arrivals_per_s = 0;
  double steps = 1;
  double tasks = 10;  // Per step.
  uint32_t max_tasks = 160;
  Resources resources;  // Per task.
  Duration run_time{};  // Per task.
  // A workflow's objective is its critical path times `stretch` plus
  // `target_latency`.
  double stretch = 2;
  Duration target_latency{};
  int32_t priority = 0;
};

struct ReplayLoad {
  uint64_t seed = 1;
  uint32_t vms = 15;
  Resources vm{37000, 128000, 0};
  Duration arrival_phase = std::chrono::seconds(30);
  // Time after the arrival phase, in which work can end.
  Duration drain_phase = std::chrono::seconds(14);

  WorkloadKind best_effort_work{1.7,
                                2,
                                40,
                                160,
                                {3500, 6400, 0},
                                std::chrono::milliseconds(1700),
                                2,
                                std::chrono::seconds(1),
                                2};
  WorkloadKind quick_work{3.9,
                          1.6,
                          13,
                          80,
                          {1400, 2800, 0},
                          std::chrono::milliseconds(1000),
                          1.5,
                          std::chrono::milliseconds(250),
                          0};
  // Factor of the best-effort arrival rate during the burst.
  double burst_factor = 1;
  Duration burst_at = std::chrono::seconds(8);
  Duration burst_duration = std::chrono::seconds(6);

  // Serving steps, all submitted at the start.
  uint32_t serving_steps = 1;
  uint32_t serving_tasks = 24;
  Resources serving_resources{6400, 13000, 0};
  Duration tail_target = std::chrono::milliseconds(18);
  Duration base_tail = std::chrono::milliseconds(7);

  uint32_t best_effort_images = 30;
  uint32_t serving_images = 16;
  // Fraction of the pairs of images that interfere, and the mean latency that a
  // best-effort task would add to the tail there if it used a whole VM. Other
  // pairs add a twentieth of it.
  double interfering_fraction = 0.3;
  Duration added_tail = std::chrono::milliseconds(120);
  // Fractions of the best-effort workflows that save checkpoints, and of the
  // best-effort tasks whose first run fails.
  double checkpointing_fraction = 0.85;
  double failure_rate = 0.04;
  // Drops the owner's notices of a less cautious pace policy, so that executors
  // always throttle best-effort tasks cautiously.
  bool always_cautious = false;
  // Declared run times are off by a factor between exp(-estimate_error) and
  // exp(estimate_error).
  double estimate_error = 0.5;
};

// The outcome of one best-effort or quick workflow.
struct ReplayedWorkflow {
  std::string id;
  bool best_effort = false;
  Duration arrival_time{};  // Since the start of the replay.
  Duration objective{};
  double core_seconds = 0;  // Of all its tasks, each counted once.
  std::optional<Duration> completion_time;  // Unset if it did not complete.
  // Longest time without an active run while it was unfinished and more than
  // half of the memory was free.
  Duration longest_idle{};

  // Returns 1 if completed within the objective, 0.15 if within three times the
  // objective, and 0 otherwise.
  double score() const;
};

struct ReplayOutcome {
  std::vector<ReplayedWorkflow> workflows;
  // Task-seconds of serving tasks over their targets while best-effort tasks
  // ran, and the longest such stretch of one task.
  double violation_seconds = 0;
  Duration max_violation{};
  double best_effort_core_seconds = 0;
  double serving_seconds = 0;  // Task-seconds of all serving tasks.
  DispatchCounts counts;
  // Wall-clock time spent in the owner by operation; for profiles, not for
  // tests.
  std::map<std::string, double> owner_wall_seconds;

  // Returns the weighted mean score of the best-effort or the quick workflows.
  // A workflow's weight is 0.3 plus 0.7 times its core-seconds relative to the
  // mean, at most 4.
  double Score(bool best_effort) const;
  Duration LongestIdle() const;
  size_t Unfinished() const;
};

ReplayOutcome RunLoadReplay(const ReplayLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_LOAD_REPLAY_H_
