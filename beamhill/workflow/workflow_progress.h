// How far one workflow has come: which tasks are done, waiting or running,
// how often each has failed, and whether the whole is over.
//
// Pure. The record that outlives the process (`ProgressRecord`) holds only
// what can't be rebuilt from the VMs' inventories: ends that were settled.
//
//   WorkflowProgress progress(workflow);
//   for (TaskRef task : progress.Ready(now_unix)) ...
//   progress.OnStarted(task, run, vm, now);
//   progress.OnEnded(task, run, RunEndKind::kDone, "");
#ifndef BEAMHILL_WORKFLOW_WORKFLOW_PROGRESS_H_
#define BEAMHILL_WORKFLOW_WORKFLOW_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

enum class WorkflowState : uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};
std::string_view WorkflowStateName(WorkflowState state);

// How one run of a task ended.
enum class RunEndKind : uint8_t {
  kDone,
  kFailed,
  kStopped,   // On our order.
  kLapsed,    // Its lease ran out.
  kBroken,    // Another member of its gang ended.
  kAlone,     // Its gang was never complete.
  kNotBegun,  // Refused, or proven never to begin.
};
std::string_view RunEndKindName(RunEndKind kind);

// The done tasks, the failures and the runner crashes of one step in one round.
struct StepRecord {
  uint32_t round = 0;
  uint32_t step = 0;
  std::vector<uint32_t> done_ranges;  // begin, end, begin, end, ...
  // Ends and losses are heard of in any order and more than once, so it takes
  // the runs themselves to count them.
  struct RunsOfTask {
    uint32_t index = 0;
    std::vector<uint64_t> runs;

    template <typename S>
    static auto Fields(S& s) {
      return std::tie(s.index, s.runs);
    }
  };
  std::vector<RunsOfTask> failures;
  std::vector<RunsOfTask> crashes;

  static constexpr size_t kFieldsAtFirst = 4;
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.round, s.step, s.done_ranges, s.failures, s.crashes);
  }
};

// What is stored of a workflow's progress.
struct ProgressRecord {
  uint64_t opened_by_epoch =
      0;  // Epoch of the owner that may have started tasks.
  WorkflowState state = WorkflowState::kQueued;
  std::vector<StepRecord> steps;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.opened_by_epoch, s.state, s.steps);
  }
};

class WorkflowProgress {
 public:
  enum class Phase : uint8_t { kWaiting, kHeld, kDone };
  struct Task {
    Phase phase = Phase::kWaiting;
    uint64_t run = 0;  // The highest run that is known of.
    std::vector<uint64_t> failed_runs;
    // Runs that had only just begun when their runner went down, since the last
    // one that outlived its start.
    std::vector<uint64_t> crashed_runs;
    uint64_t outlived = 0;  // The highest run that is known to have.
    std::string vm;         // Where the task is held.
    std::string avoid_vm;   // Where it failed or starved last.
    std::string checkpoint;
    TimePoint held_since{};
    // When its last run ended; nothing before its first one.
    std::optional<TimePoint> away_since;
    bool measurable =
        false;  // The held run began then, with the task's beginning.
    TimePoint not_before{};  // Back-off after a refusal or a failure.
  };

  explicit WorkflowProgress(Workflow workflow);

  const Workflow& workflow() const { return workflow_; }
  WorkflowState state() const { return state_; }
  bool over() const { return state_ >= WorkflowState::kCompleted; }
  // Whether some task has begun, now or earlier.
  bool begun() const { return begun_; }

  // Takes over what was stored.
  void Restore(const ProgressRecord& record);
  ProgressRecord Record(uint64_t epoch) const;

  // Steps of rounds whose time has come and whose earlier steps are done, and
  // which still have a waiting task. `now` is on the wall clock.
  struct OpenStep {
    uint32_t round = 0;
    uint32_t step = 0;
  };
  std::vector<OpenStep> OpenSteps(UnixMillis now) const;
  // What a task of the step is expected to take; as declared at first. Tasks of
  // the step that are done say it best.
  Duration ExpectedRun(uint32_t step) const;
  // What others of its kind make one expect, until some of its own are done.
  void set_expected_run(uint32_t step, Duration run) { expected_[step] = run; }
  // By the shortest run of a task of the step that was done in one go, since
  // others may have been held back; nothing before there are a few.
  std::optional<Duration> MeasuredRun(uint32_t step) const;
  // The time that the longest chain of what is not done is expected to take; a
  // task that runs counts for what is left of its own.
  Duration RemainingCriticalPath(uint32_t round, TimePoint now) const;
  // How often a task of the step has failed, of the one that did so most.
  size_t MaxFailures(uint32_t round, uint32_t step) const;
  // The expected processor time of a round's tasks that are not done, in
  // core-seconds.
  double RemainingCoreSeconds(uint32_t round) const;
  // Whether a round that is not yet due remains.
  bool HasLaterRound(UnixMillis now) const;

  Task& At(const TaskRef& task);
  const Task& At(const TaskRef& task) const;
  bool Has(const TaskRef& task) const;
  std::vector<Task>& TasksOf(uint32_t round, uint32_t step);
  const std::vector<Task>& TasksOf(uint32_t round, uint32_t step) const;
  bool StepDone(uint32_t round, uint32_t step) const;

  // A start is ordered; a runner may never begin it.
  void OnStarted(const TaskRef& ref, uint64_t run, const std::string& vm,
                 TimePoint now);
  // A runner is known to have begun some task. Until then the workflow waits:
  // with runners that leave orders unanswered, what counted from the order on
  // told callers of 3 waiting workflows where 9 had waited for 5 s.
  void OnBegun();
  // The run is over. Returns whether the stored record has changed. An end of
  // a run other than the held one changes nothing but a `kDone`.
  bool OnEnded(const TaskRef& ref, uint64_t run, RunEndKind kind,
               const std::string& checkpoint, TimePoint now);
  // A runner went down while the run had only just begun there. Fails the
  // workflow once that has happened to the task too often. Returns whether the
  // stored record has changed; the end of the run is told by OnEnded.
  bool OnRunnerCrash(const TaskRef& ref, uint64_t run);
  // The run has shown that its task does not always take runners down at its
  // start: crashes before it count no more. Returns whether the stored record
  // has changed.
  bool OnStartSurvived(const TaskRef& ref, uint64_t run);
  void Cancel();

 private:
  size_t Slot(uint32_t round, uint32_t step) const {
    return round * workflow_.steps.size() + step;
  }
  Duration RemainingOf(uint32_t round, uint32_t step, TimePoint now) const;
  void Measure(const TaskRef& ref, const Task& task, TimePoint now);
  void Settle();
  void MarkDone(const TaskRef& ref, Task& task);
  bool CountFailure(const TaskRef& ref, uint64_t run);
  void StopHolding(Task& task, uint64_t run, TimePoint now);

  Workflow workflow_;
  WorkflowState state_ = WorkflowState::kQueued;
  bool begun_ = false;
  std::vector<std::vector<Task>> tasks_;  // By round and step.
  std::vector<uint32_t> undone_;          // Tasks not done, by round and step.
  // By step, over all rounds.
  struct Measured {
    int runs = 0;
    Duration shortest{};
  };
  std::vector<Duration> expected_;
  std::vector<Measured> measured_;
};

}  // namespace beamhill

#endif  // BEAMHILL_WORKFLOW_WORKFLOW_PROGRESS_H_
