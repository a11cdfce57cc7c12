// Tracks the progress of one workflow: which tasks are waiting, held by a VM or
// done, how often each has failed, and whether the workflow is over.
//
// Reads no clock and does no I/O. The stored `ProgressRecord` holds only what
// can't be rebuilt from the VMs' inventories: the outcome of runs whose ends
// were acknowledged, so that the VMs no longer list them.
//
//   WorkflowProgress progress(workflow);
//   for (const auto& [round, step] : progress.OpenSteps(unix_now)) ...
//   progress.OnStarted(task, run, vm, now);
//   progress.OnBegun();
//   progress.OnEnded(task, run, RunEndKind::kDone, /*checkpoint=*/"", now);
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
// The state's name in the callers' API.
std::string_view WorkflowStateName(WorkflowState state);

// How one run of a task ended.
enum class RunEndKind : uint8_t {
  kDone,
  kFailed,
  kStopped,   // As ordered by the owner.
  kLapsed,    // Its lease expired.
  kBroken,    // Another member of its gang ended.
  kAlone,     // Its gang was never complete.
  kNotBegun,  // Rejected by the runner, or known never to begin.
};
std::string_view RunEndKindName(RunEndKind kind);

// The done tasks, the failures and the runner crashes of one step in one round.
struct StepRecord {
  uint32_t round = 0;
  uint32_t step = 0;
  std::vector<uint32_t> done_ranges;  // begin, end, begin, end, ...
  // The runs of one task. Ends and losses are reported in any order and more
  // than once, so runs are listed instead of counted.
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

  static constexpr size_t kFieldsAtFirst = 4;  // Old records lack `crashes`.
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.round, s.step, s.done_ranges, s.failures, s.crashes);
  }
};

// The stored part of a workflow's progress.
struct ProgressRecord {
  // Epoch of the latest owner that may have started tasks.
  uint64_t opened_by_epoch = 0;
  WorkflowState state = WorkflowState::kQueued;
  std::vector<StepRecord> steps;
  // A bit for each task, by round, step and index, the lowest bit of each byte
  // first: whether the task is done. Empty while the `done_ranges` of `steps`
  // take little space; these are empty otherwise.
  std::string done_bitmap;

  static constexpr size_t kFieldsAtFirst = 3;  // Old records lack the last.
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.opened_by_epoch, s.state, s.steps, s.done_bitmap);
  }
};

// Upper bound of an encoded record, in bytes.
inline constexpr size_t kMaxProgressRecordBytes = 60'000;
// A workflow fails with more failed and crashed runs of tasks that are not
// done.
inline constexpr size_t kMaxKeptRuns = 800;
// Returns an upper bound of the size of this encoded record, in bytes.
size_t EncodedSizeBound(const ProgressRecord& record);

class WorkflowProgress {
 public:
  // kHeld: a VM holds the task's latest run, or was ordered to start it.
  enum class Phase : uint8_t { kWaiting, kHeld, kDone };
  struct Task {
    Phase phase = Phase::kWaiting;
    uint64_t run = 0;  // The highest known run.
    std::vector<uint64_t> failed_runs;
    // Runs that had only just started when their runner was lost, above
    // `highest_survived_run`.
    std::vector<uint64_t> crashed_runs;
    uint64_t highest_survived_run = 0;  // See OnStartSurvived.
    // The run that shared its trial with other workflows; 0 if none did.
    uint64_t shared_trial_run = 0;
    std::string vm;        // The VM that holds the task.
    std::string avoid_vm;  // The VM on which it failed or starved last.
    std::string checkpoint;
    // Number of runs that were stopped because their VM was stalled.
    uint32_t stall_moves = 0;
    // Number of runs that were stopped for long-running tasks.
    uint32_t preemptions = 0;
    TimePoint held_since{};
    // The end of the last run; nullopt before the first one.
    std::optional<TimePoint> last_run_ended_at;
    // Whether the held run executes the whole task, from its beginning and not
    // on a cold VM, so that its duration counts as a measurement.
    bool measurable = false;
    TimePoint not_before{};  // Backoff after a rejection or a failure.
  };

  explicit WorkflowProgress(Workflow workflow);

  const Workflow& workflow() const { return workflow_; }
  WorkflowState state() const { return state_; }
  bool over() const { return state_ >= WorkflowState::kCompleted; }
  // Whether a runner has ever begun a task.
  bool begun() const { return begun_; }

  // Applies a stored record. Call it before any other change.
  void Restore(const ProgressRecord& record);
  // Returns the record to store, opened by the owner under `epoch`. Encoded, it
  // takes at most kMaxProgressRecordBytes.
  ProgressRecord Record(uint64_t epoch) const;

  // A step of a due round that isn't done although all steps that it waits for
  // are.
  struct OpenStep {
    uint32_t round = 0;
    uint32_t step = 0;
  };
  // Returns the open steps, by round and step. `now` is on the wall clock.
  std::vector<OpenStep> OpenSteps(UnixMillis now) const;
  // Returns the expected run time of a task of the step: measured if possible,
  // otherwise as set by set_expected_run, initially as declared.
  Duration ExpectedRun(uint32_t step) const;
  // Sets the expectation from similar workflows, which holds until enough tasks
  // of the step itself are done.
  void set_expected_run(uint32_t step, Duration run) { expected_[step] = run; }
  // Returns the typical run time of the step's tasks, estimated from the
  // shortest measurable run since others may have been throttled; nullopt
  // before there are enough runs.
  std::optional<Duration> MeasuredRun(uint32_t step) const;
  // Returns the longest measurable run of the step's tasks; nullopt before
  // there are enough runs.
  std::optional<Duration> LongestMeasuredRun(uint32_t step) const;
  // Returns the expected duration of the round's critical path over steps that
  // aren't done. A running task counts with its remaining time.
  Duration RemainingCriticalPath(uint32_t round, TimePoint now) const;
  // Returns the number of failed runs of the step's task that has most of them,
  // or of the step's gang.
  size_t MaxFailures(uint32_t round, uint32_t step) const;
  // Returns the expected CPU time of the round's tasks that aren't done.
  double RemainingCoreSeconds(uint32_t round) const;
  // Whether a round remains that isn't due yet.
  bool HasLaterRound(UnixMillis now) const;

  // The task must exist; see Has.
  Task& At(const TaskRef& task);
  const Task& At(const TaskRef& task) const;
  bool Has(const TaskRef& task) const;
  std::vector<Task>& TasksOf(uint32_t round, uint32_t step);
  const std::vector<Task>& TasksOf(uint32_t round, uint32_t step) const;
  bool StepDone(uint32_t round, uint32_t step) const;

  // Records that a VM was ordered to start the run, which may never begin.
  void OnStarted(const TaskRef& ref, uint64_t run, const std::string& vm,
                 TimePoint now);
  // Records that a runner has begun some task; the workflow counts as queued
  // until then. If it counted as running once ordered, runners that leave
  // orders unanswered would hide waiting workflows: callers were told of 3
  // where 9 had waited for 5 s.
  void OnBegun();
  // Records the end of a run; returns whether the record to store has changed.
  // The end of a run other than the held one does not release the task, but
  // kDone finishes it and kFailed is counted.
  bool OnEnded(const TaskRef& ref, uint64_t run, RunEndKind kind,
               const std::string& checkpoint, TimePoint now);
  // Records that a runner was lost when the run had only just started there.
  // Fails the workflow if this has happened to the task too often. Returns
  // whether the record to store has changed. The end of the run is reported by
  // OnEnded.
  bool OnRunnerCrash(const TaskRef& ref, uint64_t run);
  // Records that the run outlasted the window in which it could crash its
  // runner: the task's crashes up to this run no longer count. Returns whether
  // the record to store has changed.
  bool OnStartSurvived(const TaskRef& ref, uint64_t run);
  // Has no effect if the workflow is over.
  void Cancel();
  // Frees the memory of the tasks of a workflow that is over and stored. At
  // then returns the same task for all of them, which is done.
  void ReleaseTasks();
  // Approximate memory of this object in bytes.
  size_t MemoryBytes() const;

 private:
  size_t StepIndex(uint32_t round, uint32_t step) const {
    return round * workflow_.steps.size() + step;
  }
  Duration RemainingOf(uint32_t round, uint32_t step, TimePoint now) const;
  void RecordDuration(const TaskRef& ref, const Task& task, TimePoint now);
  void CompleteIfAllDone();
  void MarkDone(const TaskRef& ref, Task& task);
  bool CountFailure(const TaskRef& ref, uint64_t run);
  // Keeps a failed or crashed run of a task; fails the workflow if there are
  // more of them than a record takes.
  void KeepRun(std::vector<uint64_t>& runs, uint64_t run);
  void RestoreDone(const std::string& bitmap);
  std::string DoneBitmap() const;
  // Returns the step's record. `ranges`: with the tasks that are done.
  StepRecord RecordStep(uint32_t round, uint32_t step, bool ranges) const;
  bool HasGangFailed(uint32_t round, uint32_t step, uint64_t run) const;
  // Returns how many runs of the gang have failed. All members of a run have
  // its number, and however many of them end as failed, it is one attempt.
  size_t GangAttemptsFailed(uint32_t round, uint32_t step) const;
  void ReleaseRun(Task& task, uint64_t run, TimePoint now);

  Workflow workflow_;
  WorkflowState state_ = WorkflowState::kQueued;
  bool begun_ = false;
  // By round and step; empty once released.
  std::vector<std::vector<Task>> tasks_;
  Task released_task_;  // In place of each released one.
  std::vector<Task> no_tasks_;
  // Failed and crashed runs of tasks that are not done.
  size_t kept_runs_ = 0;
  std::vector<uint32_t> remaining_tasks_;  // Tasks not done, by round and step.
  // Measured runs of a step's tasks.
  struct DurationStats {
    int runs = 0;
    Duration shortest{};
    Duration longest{};
  };
  std::vector<Duration> expected_;       // By step, over all rounds.
  std::vector<DurationStats> measured_;  // By step, over all rounds.
};

// Approximate memory of the progress of a workflow of which nothing has run, in
// bytes.
uint64_t ProgressMemoryOf(const Workflow& workflow);

}  // namespace beamhill

#endif  // BEAMHILL_WORKFLOW_WORKFLOW_PROGRESS_H_
