// The runner that stands beside an executor and runs tasks, as a set of hooks
// that an adaptor fills in.
//
// Each hook calls `done` exactly once, from the loop and never from inside the
// call. Times on the runner's own clock are `RunnerClock` values; only their
// differences mean anything here.
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

enum class RunnerVerdict : uint8_t {
  kDone,
  kFenced,    // It has seen a later epoch.
  kOutdated,  // The run or the lease end is too old.
  kNoRoom,
  kNotAllowed,        // The VM may not run this step.
  kUnhealthy,         // It turned the call away and has done nothing.
  kUnreachable,       // Nobody took the call; nothing is done.
  kOtherIncarnation,  // Another life of the runner answers now.
  kNoAnswer,          // It may have been done, or may yet be done.
};

struct RunnerReply {
  RunnerVerdict verdict = RunnerVerdict::kNoAnswer;
  std::optional<RunnerClock> clock;
};

struct RunnerStart {
  std::string incarnation;
  uint64_t epoch = 0;
  RunRef run;
  std::string payload;
  std::string checkpoint;
  std::string ticket;  // Empty: the step needs none.
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
  int percent = 100;  // Share of its time that the task may work.
};

struct RunnerPoll {
  std::string incarnation;
  uint64_t epoch = 0;
  uint64_t acknowledged_through = 0;  // Ends up to here may be forgotten.
  std::optional<RunnerClock> lease_end;
  std::chrono::milliseconds wait{};  // For an end, when none is listed.
};

struct RunningRun {
  RunRef run;
  int percent = 100;  // Of its work that is done; 100: a lasting task serves.
  // Of the last half second: a serving task's tail latency in milliseconds,
  // or another's processor time in thousandths of a core.
  int64_t measurement = 0;
};

struct RunnerView {
  RunnerReply reply;
  std::vector<RunningRun> running;
  std::vector<RunEnd> ended;
};

// How many calls of each kind may be open at a time. An executor keeps the
// others back, where they can still be withdrawn; so no kind holds up another.
// Paces get most, since a rest is ordered of all fillers of a VM at once.
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
