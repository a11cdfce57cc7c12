// Plays drawn load against the real Dispatcher and Executors in virtual time:
// arrivals of filling, quick and serving work, images that disturb each other
// by amounts that swing within seconds. No processes, no store, no faults: it
// is for the decisions under load, and says what callers would have got.
//
//   ReplayLoad load;
//   load.filling_per_s = 5;
//   ReplayOutcome outcome = PlayLoad(load);
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

// Work of one kind, drawn by its means. Sizes spread as on the users' sheets:
// width by a lognormal with sigma 0.6, processors 0.3, run times 0.5.
struct ReplayKind {
  double per_s = 0;  // Arrivals a second.
  double steps = 1;
  double tasks = 10;  // Of a step.
  uint32_t most_tasks = 160;
  Resources each;
  Duration run{};
  double stretch = 2;
  Duration target_latency{};
  int32_t priority = 0;
};

struct ReplayLoad {
  uint64_t seed = 1;
  uint32_t vms = 15;
  Resources vm{37000, 128000, 0};
  Duration traffic = std::chrono::seconds(30);
  Duration drain = std::chrono::seconds(14);  // Played on without arrivals.

  ReplayKind filling{1.7,
                     2,
                     40,
                     160,
                     {3500, 6400, 0},
                     std::chrono::milliseconds(1700),
                     2,
                     std::chrono::seconds(1),
                     2};
  ReplayKind quick{3.9,
                   1.6,
                   13,
                   80,
                   {1400, 2800, 0},
                   std::chrono::milliseconds(1000),
                   1.5,
                   std::chrono::milliseconds(250),
                   0};
  // Arrivals of filling work are so many times as frequent from `burst_at` on.
  double burst = 1;
  Duration burst_at = std::chrono::seconds(8);
  Duration burst_for = std::chrono::seconds(6);

  // Serving steps, all there from the start.
  uint32_t serving_steps = 1;
  uint32_t serving_tasks = 24;
  Resources serving_each{6400, 13000, 0};
  Duration tail_target = std::chrono::milliseconds(18);
  Duration tail_alone = std::chrono::milliseconds(7);

  uint32_t filling_images = 30;
  uint32_t serving_images = 16;
  // Part of all pairs that harm, and what a filler that had the whole VM adds
  // to the tail there; other pairs add a twentieth of it.
  double harmful_part = 0.3;
  Duration added_tail = std::chrono::milliseconds(120);
  // Part of filling tasks that save their progress; of their runs that fail.
  double saving_part = 0.85;
  double failing_part = 0.04;
  // Executors don't hear that the owner wants them to be less cautious: as if
  // fillers were held back whatever the load.
  bool always_cautious = false;
  // Estimates are off by up to this factor either way, as e to its power.
  double estimates_off = 0.5;
};

// What became of one filling or quick workflow.
struct ReplayedWorkflow {
  std::string id;
  bool best_effort = false;
  Duration arrived{};  // Since the start.
  Duration objective{};
  double core_seconds = 0;  // Its true work.
  std::optional<Duration> took;
  // The longest time in which a task of it waited and none was at work, though
  // half of the memory was free.
  Duration longest_idle{};

  // What it earns, 0 to 1: all in time, 0.15 up to three times the objective.
  double credit() const;
};

struct ReplayOutcome {
  std::vector<ReplayedWorkflow> workflows;
  double harm_seconds = 0;  // Of serving tasks over their targets.
  Duration longest_harm{};
  double filled_core_seconds = 0;
  double serving_seconds = 0;  // That serving tasks were owed.
  DispatchCounts counts;
  // Real processor time that the owner's decisions took, by what they were on;
  // for profiles, not for tests.
  std::map<std::string, double> owner_seconds;

  // Earned over owed worth of the filling or the quick workflows. A workflow
  // is worth 0.3 and 0.7 times its work relative to the mean, at most 4.
  double Earned(bool best_effort) const;
  Duration LongestIdle() const;
  size_t Unfinished() const;
};

ReplayOutcome PlayLoad(const ReplayLoad& load);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_LOAD_REPLAY_H_
