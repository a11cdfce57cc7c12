// A runner in virtual time: tasks work at their pace on the processors that
// are left, and filling tasks lengthen the tails of serving ones beside them.
//
// It keeps to what an Executor relies on: an end is listed until it is
// settled, a run is started once, a look waits for an end. It never fails by
// itself and its calls are always answered; replays of faults are not its job.
//
//   ReplayRunner runner(time, physics, {32000, 128000, 0});
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

// What a task is in truth, which the scheduler only sees by its effects.
struct ReplayTask {
  std::string image;
  bool best_effort = false;
  int64_t cpu_millis = 0;
  int64_t memory_mib = 0;
  Duration work{};  // At full pace; lasting tasks have none.
  bool lasts = false;
  Duration tail_target{};  // Of a serving task.
  bool saves = false;      // Resumes from its checkpoint.
  bool fails = false;      // This run ends as failed.
};

// How images behave, the same on every VM.
struct ReplayPhysics {
  // The task behind a run, by its payload and place.
  std::function<ReplayTask(const RunRef& run)> task_of;
  // Tail of a serving image with nothing beside it, at this moment.
  std::function<Duration(const std::string& serving, TimePoint now)> tail_alone;
  // What a filling image that had the whole VM would add to it.
  std::function<Duration(const std::string& serving, const std::string& filling,
                         TimePoint now)>
      added_tail;
  // Share of what a serving task asks for that it uses.
  double serving_use = 0.5;
};

class ReplayRunner {
 public:
  ReplayRunner(VirtualTime& time, const ReplayPhysics& physics, Resources size);

  TaskRunner Hooks();
  // Lets everything work on for so long, at the paces of now.
  void Advance(Duration step);

  int64_t memory_in_use_mib() const;

  // Seconds that serving tasks spent over their target while fillers worked,
  // and the longest such stretch of one task.
  double harm_seconds() const { return harm_seconds_; }
  Duration longest_harm() const { return longest_harm_; }
  // Core-seconds that fillers worked.
  double filled_core_seconds() const { return filled_core_seconds_; }

 private:
  struct Run {
    ReplayTask task;
    int percent = 100;
    double done_seconds = 0;
    double used_cpu = 0;  // Smoothed, as it is measured.
    double tail_ms = 0;   // Smoothed, of a serving task.
    Duration harmed_for{};
  };

  RunnerReply Done() const;
  RunnerReply Start(const RunnerStart& call);
  RunnerReply Stop(const RunRef& run);
  void Pace(const RunnerPace& call);
  static int PercentDone(const Run& run);
  RunnerView View(uint64_t acknowledged_through);
  void AnswerLook(uint64_t acknowledged_through,
                  const std::function<void(RunnerView)>& done);
  void List(const RunRef& ref, const Run& run, RunEndKind kind);
  // Share of what fillers would use at their pace that the VM has for them.
  double FillingScale() const;
  void AdvanceTails(double keep, const std::map<std::string, double>& shares,
                    Duration step);

  VirtualTime& time_;
  const ReplayPhysics& physics_;
  Resources size_;
  std::map<RunRef, Run> runs_;
  std::vector<RunEnd> ended_;
  uint64_t next_end_ = 1;
  // A look that waits for an end; answered early when one is listed.
  struct WaitingLook {
    uint64_t number = 0;
    uint64_t acknowledged_through = 0;
    std::function<void(RunnerView)> done;
  };
  std::optional<WaitingLook> waiting_;
  uint64_t next_look_ = 1;
  double harm_seconds_ = 0;
  Duration longest_harm_{};
  double filled_core_seconds_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_REPLAY_RUNNER_H_
