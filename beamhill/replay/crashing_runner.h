// A runner in virtual time that goes down, by itself or by a task that it
// starts, and comes back as another incarnation.
//
// It keeps to what an Executor relies on: an end is listed until it is settled,
// a run is started once, a look waits for an end. While it is down nobody takes
// calls; what was on its way gets no answer. Tasks don't disturb each other.
//
//   CrashingRunner runner(time, options, hooks);
//   Executor executor(options, runner.Hooks(), executor_hooks);
//   runner.ComeUp();
//   runner.GoDown(std::chrono::seconds(3));
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

// What a task is in truth.
struct CrashingTask {
  Duration run{};  // Lasting tasks have none.
  int64_t cpu_millis = 0;
  // How long after its start it takes the runner down; most tasks never do.
  std::optional<Duration> crashes_after;
};

struct CrashingRunnerOptions {
  std::string name;
  Resources size;
  Duration down_for{};  // After a task has taken it down.
};

struct CrashingRunnerHooks {
  std::function<CrashingTask(const TaskRef& task)> task_of;
  // A new incarnation registers.
  std::function<void(const VmStatus& status)> on_up;
  std::function<void(const RunRef& run)> on_start;
  // The task has taken the runner down.
  std::function<void(const RunRef& run)> on_crash;
};

class CrashingRunner {
 public:
  CrashingRunner(VirtualTime& time, CrashingRunnerOptions options,
                 CrashingRunnerHooks hooks);

  TaskRunner Hooks();
  void ComeUp();
  // Loses all that runs; another incarnation comes up after so long.
  void GoDown(Duration down_for);
  bool is_up() const { return up_; }
  size_t running() const { return runs_.size(); }

 private:
  struct WaitingLook {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };

  std::string IncarnationName() const;
  RunnerReply Reply(RunnerVerdict verdict) const;
  // Carries out a call of that incarnation a moment later, if the runner still
  // lives then.
  void Call(const std::string& incarnation,
            std::function<void(RunnerReply)> done,
            std::function<RunnerVerdict()> act);
  RunnerVerdict Start(const RunRef& run);
  RunnerVerdict Stop(const RunRef& run);
  void End(const RunRef& run, RunEndKind kind);
  void Look(const RunnerPoll& call,
            const std::function<void(RunnerView)>& done);
  void AnswerLook(uint64_t acknowledged_through,
                  const std::function<void(RunnerView)>& done);

  VirtualTime& time_;
  CrashingRunnerOptions options_;
  CrashingRunnerHooks hooks_;
  bool up_ = false;
  int life_ = 0;
  std::map<RunRef, CrashingTask> runs_;
  std::vector<RunEnd> ended_;
  uint64_t next_end_ = 1;
  std::optional<WaitingLook> waiting_;
  uint64_t next_look_ = 1;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_CRASHING_RUNNER_H_
