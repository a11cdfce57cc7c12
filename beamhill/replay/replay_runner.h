// ReplayRunner: a simulated runner whose tasks progress at their pace on the
// free processors, and whose best-effort tasks lengthen the tail latencies of
// the serving tasks on the same VM.
//
// It keeps the guarantees that an Executor relies on: it lists an end until the
// end is acknowledged, starts a run once, and a poll can wait for an end. It
// simulates no faults of its own: it never crashes and answers every call.
//
//   ReplayRunner runner(time, workload_model, {32000, 128000, 0});
//   Executor executor(options, runner.Hooks(), hooks);
//   runner.Advance(std::chrono::milliseconds(50));
#ifndef BEAMHILL_REPLAY_REPLAY_RUNNER_H_
#define BEAMHILL_REPLAY_REPLAY_RUNNER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/task_runner.h"
#include "beamhill/replay/virtual_time.h"
#include "beamhill/work/work.h"

namespace beamhill {

// How a task behaves. The scheduler sees only the effects.
struct SimulatedTask {
  std::string image;
  bool best_effort = false;
  int64_t cpu_millis = 0;
  int64_t memory_mib = 0;
  Duration work{};  // At full pace; zero for long-running tasks.
  bool long_running = false;
  Duration tail_target{};         // Of a serving task.
  bool saves_checkpoint = false;  // And resumes from it.
  bool fails = false;             // This run ends as failed.
};

// How the images behave, identically on every VM.
struct WorkloadModel {
  // Returns the task of a run.
  std::function<SimulatedTask(const RunRef& run)> task_of;
  // Returns the tail latency of a serving image without interference.
  std::function<Duration(const std::string& serving_image, TimePoint now)>
      base_tail;
  // Returns the latency that a best-effort image would add to that tail if it
  // used the whole VM.
  std::function<Duration(const std::string& serving_image,
                         const std::string& best_effort_image, TimePoint now)>
      added_tail;
  // Fraction of its requested CPU that a serving task uses.
  double serving_utilization = 0.5;
};

class ReplayRunner {
 public:
  ReplayRunner(VirtualTime& time, const WorkloadModel& workload_model,
               Resources capacity);

  // Returns hooks that refer to this object, which must outlive them.
  TaskRunner Hooks();
  // Advances all runs by `step` at their current paces.
  void Advance(Duration step);

  int64_t memory_in_use_mib() const;

  // Seconds that serving tasks spent over their target while best-effort tasks
  // ran, and the longest such stretch of one task.
  double violation_seconds() const { return violation_seconds_; }
  Duration max_violation() const { return max_violation_; }
  // Core-seconds used by best-effort tasks.
  double best_effort_core_seconds() const { return best_effort_core_seconds_; }

 private:
  struct Run {
    SimulatedTask task;
    int percent = 100;
    double done_seconds = 0;
    double used_cpu = 0;  // Smoothed; in milli-CPUs.
    double tail_ms = 0;   // Smoothed; of a serving task.
    Duration violated_for{};
  };

  RunnerReply Done() const;
  RunnerReply Start(const RunnerStart& call);
  RunnerReply Stop(const RunRef& run);
  void Pace(const RunnerPace& call);
  static int PercentDone(const Run& run);
  RunnerView View(uint64_t acknowledged_through);
  void AnswerPoll(uint64_t acknowledged_through,
                  const std::function<void(RunnerView)>& done);
  void RecordEnd(const RunRef& ref, const Run& run, RunEndKind kind);
  // Returns the fraction, at most 1, of the CPU that best-effort tasks would
  // use at their paces which the VM has left for them.
  double BestEffortScale() const;
  void AdvanceTails(double tail_decay,
                    const std::map<std::string, double>& shares, Duration step);

  VirtualTime& time_;
  const WorkloadModel& workload_model_;
  Resources capacity_;
  std::map<RunRef, Run> runs_;
  std::vector<RunEnd> unacknowledged_ends_;
  uint64_t next_end_ = 1;
  // A poll that waits for an end; answered early when one is listed.
  struct PendingPoll {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };
  std::optional<PendingPoll> pending_poll_;
  uint64_t next_poll_ = 1;
  double violation_seconds_ = 0;
  Duration max_violation_{};
  double best_effort_core_seconds_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_REPLAY_RUNNER_H_
