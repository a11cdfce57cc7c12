// A runner in virtual time that kills what it runs once its lease is over.
//
// It keeps to what an Executor relies on: it does nothing for a lower epoch, an
// end is listed until it is settled, a run that was stopped or has ended is not
// started any more. Its calls are always answered.
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
  // How long the task works; zero: until it is stopped.
  std::function<Duration(const TaskRef& task)> work_of;
  std::function<void(const RunRef& run)> on_start;
  std::function<void(const RunRef& run, RunEndKind kind)> on_end;
  // The lease is over, with this end listed that nobody has settled.
  std::function<void(const RunEnd& end)> on_end_lost;
};

class LeasedRunner {
 public:
  LeasedRunner(VirtualTime& time, LeasedRunnerHooks hooks);

  TaskRunner Hooks();
  // Ends what is done, and everything once the lease is over.
  void Tick();

  // What runs, and since when.
  const std::map<RunRef, TimePoint>& runs() const { return runs_; }
  // Ends that nobody has settled.
  size_t listed_ends() const { return ended_.size(); }

 private:
  struct WaitingLook {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };

  RunnerReply Reply(RunnerVerdict verdict) const;
  // Whether the epoch is not below one that it has seen.
  bool Accepts(uint64_t epoch);
  void Extend(RunnerClock lease_end);
  RunnerVerdict Start(const RunnerStart& call);
  RunnerVerdict Stop(const RunnerStop& call);
  void Look(const RunnerPoll& call,
            const std::function<void(RunnerView)>& done);
  RunnerView View(uint64_t acknowledged_through);
  void End(const RunRef& run, RunEndKind kind);

  VirtualTime& time_;
  LeasedRunnerHooks hooks_;
  uint64_t epoch_ = 0;
  RunnerClock lease_end_{};
  std::map<RunRef, TimePoint> runs_;
  std::map<TaskRef, uint64_t> highest_over_;
  std::vector<RunEnd> ended_;
  uint64_t next_end_ = 1;
  std::optional<WaitingLook> waiting_;
  uint64_t next_look_ = 1;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_LEASED_RUNNER_H_
