// CrashingRunner: a simulated runner that crashes, by itself or because of a
// task, and returns as another incarnation.
//
// It keeps the guarantees that an Executor relies on: it lists an end until the
// end is acknowledged, starts a run once, and a poll can wait for an end. While
// it is down, new calls fail as unreachable, and calls in flight get no answer.
// Tasks don't interfere with each other.
//
//   CrashingRunner runner(time, options, hooks);
//   Executor executor(options, runner.Hooks(), executor_hooks);
//   runner.StartIncarnation();
//   runner.Crash(std::chrono::seconds(3));
#ifndef BEAMHILL_REPLAY_CRASHING_RUNNER_H_
#define BEAMHILL_REPLAY_CRASHING_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/executor/task_runner.h"
#include "beamhill/replay/virtual_time.h"
#include "beamhill/work/work.h"

namespace beamhill {

// How a task behaves, as opposed to what it declares.
struct CrashingTaskBehavior {
  Duration run_time{};  // Zero for long-running tasks.
  int64_t cpu_millis = 0;
  // Time from its start until it crashes the runner; unset: never.
  std::optional<Duration> crashes_after;
};

struct CrashingRunnerOptions {
  std::string name;
  Resources capacity;
  Duration downtime{};  // After a crash caused by a task.
};

struct CrashingRunnerHooks {
  std::function<CrashingTaskBehavior(const TaskRef& task)> task_of;
  // Called when a new incarnation registers.
  std::function<void(const VmStatus& status)> on_registered;
  std::function<void(const RunRef& run)> on_start;
  // Called when a task crashes the runner.
  std::function<void(const RunRef& run)> on_crash;
};

class CrashingRunner {
 public:
  CrashingRunner(VirtualTime& time, CrashingRunnerOptions options,
                 CrashingRunnerHooks hooks);

  // Returns hooks that refer to this object, which must outlive them.
  TaskRunner Hooks();
  // Registers as a new incarnation and accepts calls.
  void StartIncarnation();
  // Drops all runs and listed ends, and starts another incarnation after
  // `downtime`. Does nothing while down.
  void Crash(Duration downtime);
  bool is_up() const { return up_; }
  size_t running() const { return runs_.size(); }

 private:
  struct PendingPoll {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };

  std::string IncarnationName() const;
  RunnerReply Reply(RunnerVerdict verdict) const;
  // Calls `act` after the call latency if the runner is then still the
  // incarnation that was called and `incarnation` names it, and passes its
  // result to `done`.
  void Call(const std::string& incarnation,
            std::function<void(RunnerReply)> done,
            std::function<RunnerVerdict()> act);
  RunnerVerdict Start(const RunRef& run);
  RunnerVerdict Stop(const RunRef& run);
  void End(const RunRef& run, RunEndKind kind);
  void Poll(const RunnerPoll& call,
            const std::function<void(RunnerView)>& done);
  void AnswerPoll(uint64_t acknowledged_through,
                  const std::function<void(RunnerView)>& done);

  VirtualTime& time_;
  CrashingRunnerOptions options_;
  CrashingRunnerHooks hooks_;
  bool up_ = false;
  int incarnation_ = 0;
  std::map<RunRef, CrashingTaskBehavior> runs_;
  std::vector<RunEnd> unacknowledged_ends_;
  uint64_t next_end_ = 1;
  std::optional<PendingPoll> pending_poll_;
  uint64_t next_poll_ = 1;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_CRASHING_RUNNER_H_
