// LeasedRunner: a simulated runner that ends all of its runs when its lease
// expires.
//
// It keeps the guarantees that an Executor relies on: it rejects calls with a
// lower epoch than it has seen, lists an end until the end is acknowledged, and
// never starts a run that was stopped or has ended. It answers every call.
//
//   LeasedRunner runner(time, hooks);
//   Executor executor(options, runner.Hooks(), executor_hooks);
#ifndef BEAMHILL_REPLAY_LEASED_RUNNER_H_
#define BEAMHILL_REPLAY_LEASED_RUNNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "beamhill/executor/task_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {

struct LeasedRunnerHooks {
  // Returns the run time of the task; zero: until it is stopped.
  std::function<Duration(const TaskRef& task)> run_time_of;
  std::function<void(const RunRef& run)> on_start;
  std::function<void(const RunRef& run, RunEndKind kind)> on_end;
  // Called in each tick after the lease has expired, for each end that is not
  // acknowledged.
  std::function<void(const RunEnd& end)> on_end_lost;
};

class LeasedRunner {
 public:
  LeasedRunner(VirtualTime& time, LeasedRunnerHooks hooks);

  // Returns hooks that refer to this object, which must outlive them.
  TaskRunner Hooks();
  // Ends the runs whose run time has passed, and all runs once the lease has
  // expired.
  void Tick();

  // The active runs and their start times.
  const std::map<RunRef, TimePoint>& runs() const { return runs_; }
  size_t unacknowledged_ends() const { return unacknowledged_ends_.size(); }

 private:
  struct PendingPoll {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };

  RunnerReply Reply(RunnerVerdict verdict) const;
  // Returns false if `epoch` is lower than one seen before, and records it
  // otherwise.
  bool Accepts(uint64_t epoch);
  void ExtendLease(RunnerClock lease_end);
  RunnerVerdict Start(const RunnerStart& call);
  RunnerVerdict Stop(const RunnerStop& call);
  void Poll(const RunnerPoll& call,
            const std::function<void(RunnerView)>& done);
  RunnerView View(uint64_t acknowledged_through);
  void End(const RunRef& run, RunEndKind kind);

  VirtualTime& time_;
  LeasedRunnerHooks hooks_;
  uint64_t epoch_ = 0;
  RunnerClock lease_end_{};
  std::map<RunRef, TimePoint> runs_;
  std::map<TaskRef, uint64_t> highest_ended_run_;
  std::vector<RunEnd> unacknowledged_ends_;
  uint64_t next_end_ = 1;
  std::optional<PendingPoll> pending_poll_;
  uint64_t next_poll_ = 1;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_LEASED_RUNNER_H_
