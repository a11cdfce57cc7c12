// Interface between an executor and the runner that runs tasks on the same VM:
// a set of hooks that a platform adaptor implements.
//
// Each hook calls `done` exactly once, from the event loop and never before the
// hook has returned. Times by the runner's own clock are `RunnerClock` values;
// only their differences are meaningful to the executor.
//
//   TaskRunner runner;
//   runner.start = [&client](RunnerStart call, auto done) {
//     client.Start(std::move(call), std::move(done));
//   };
#ifndef BEAMHILL_EXECUTOR_TASK_RUNNER_H_
#define BEAMHILL_EXECUTOR_TASK_RUNNER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"

namespace beamhill {

// A reading of the runner's steady clock.
using RunnerClock = std::chrono::milliseconds;

// Outcome of a call to the runner.
enum class RunnerVerdict : uint8_t {
  kDone,
  kFenced,            // The runner has seen a later epoch.
  kOutdated,          // The run or the lease end is too old.
  kNoRoom,            // The runner has no free capacity.
  kNotAllowed,        // The VM may not run this step.
  kUnhealthy,         // The runner rejected the call without any effect.
  kUnreachable,       // The call was not delivered and has no effect.
  kOtherIncarnation,  // Another incarnation of the runner answers.
  kNoAnswer,          // The call may have taken effect, or may do so later.
};

struct RunnerReply {
  RunnerVerdict verdict = RunnerVerdict::kNoAnswer;
  std::optional<RunnerClock> clock;  // If the answer came with a reading.
};

struct RunnerStart {
  std::string incarnation;
  uint64_t epoch = 0;
  RunRef run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;  // Of the placement advisor; empty if none is needed.
  RunnerClock lease_end{};
};

struct RunnerStop {
  std::string incarnation;
  uint64_t epoch = 0;
  RunRef run;
};

struct RunnerPace {
  std::string incarnation;
  uint64_t epoch = 0;
  RunRef run;
  int percent = 100;  // Share of the time that the run may use CPU; 0 pauses.
};

struct RunnerPoll {
  std::string incarnation;
  uint64_t epoch = 0;
  uint64_t acknowledged_through = 0;  // The runner may forget ends up to here.
  std::optional<RunnerClock> lease_end;  // Without it, no lease is extended.
  // How long the runner may delay its answer while it has no end to list.
  std::chrono::milliseconds wait{};
};

struct RunningRun {
  RunRef run;
  // Completed share of the work; 100 for a long-running task that is serving.
  int percent = 100;
  // Over the last half second: the tail latency of a serving task in
  // milliseconds, or the CPU use of any other task in thousandths of a core.
  int64_t measurement = 0;
};

// Answer to a poll: all runs in progress, and the ends that the runner keeps.
struct RunnerView {
  RunnerReply reply;
  std::vector<RunningRun> running;
  std::vector<RunEnd> ended;
  // The runner may keep further ends, which it lists once these are
  // acknowledged: a run that is not listed may have ended.
  bool more_ends = false;
};

// Maximum number of calls of each kind in flight. The executor queues further
// calls, which can then still be withdrawn. Separate limits keep one kind from
// delaying another. Paces have the highest one because all best-effort tasks of
// a VM are paused at once.
struct RunnerLimits {
  size_t starts = 3;
  size_t stops = 4;
  size_t paces = 8;
};

struct TaskRunner {
  RunnerLimits limits;
  std::function<void(RunnerStart, std::function<void(RunnerReply)>)> start;
  std::function<void(RunnerStop, std::function<void(RunnerReply)>)> stop;
  std::function<void(RunnerPace, std::function<void(RunnerReply)>)> pace;
  std::function<void(RunnerPoll, std::function<void(RunnerView)>)> poll;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_TASK_RUNNER_H_
