#include "beamhill/workflow/workflow_progress.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beamhill {
namespace {

// Measured runs of a step before its expected run time is based on them.
constexpr int kMinMeasuredRuns = 2;
// Run time of a typical task over the shortest of its step: tasks of one step
// differ by some 15 %.
constexpr double kTypicalOverShortest = 1.15;
// Runners that a task may crash at its start before its workflow fails. Users
// allow two starts after the third crash. A limit of 4 rarely fails a healthy
// workflow whose runners are lost for other reasons: none of 126,000 at 0.5
// losses a second on 11 VMs or with three VMs that lose their runner every 4 s,
// and 4 of 42,000 with both kinds of loss together (replays of 100 s, 150
// seeds each). A limit of 3, two of them with no other workflow's task on the
// runner, fails 5 of 42,000 at 0.5 losses a second.
constexpr size_t kMaxCrashes = 4;

}  // namespace

std::string_view WorkflowStateName(WorkflowState state) {
  switch (state) {
    case WorkflowState::kQueued:
      return "queued";
    case WorkflowState::kRunning:
      return "running";
    case WorkflowState::kCompleted:
      return "completed";
    case WorkflowState::kFailed:
      return "failed";
    case WorkflowState::kCancelled:
      return "cancelled";
  }
  return "queued";
}

std::string_view RunEndKindName(RunEndKind kind) {
  switch (kind) {
    case RunEndKind::kDone:
      return "done";
    case RunEndKind::kFailed:
      return "failed";
    case RunEndKind::kStopped:
      return "stopped";
    case RunEndKind::kLapsed:
      return "lapsed";
    case RunEndKind::kBroken:
      return "broken";
    case RunEndKind::kAlone:
      return "alone";
    case RunEndKind::kNotBegun:
      return "not_begun";
  }
  return "not_begun";
}

WorkflowProgress::WorkflowProgress(Workflow workflow)
    : workflow_(std::move(workflow)), measured_(workflow_.steps.size()) {
  for (const WorkflowStep& step : workflow_.steps) {
    expected_.push_back(step.declared_run);
  }
  for (uint32_t round = 0; round < workflow_.rounds(); ++round) {
    for (const WorkflowStep& step : workflow_.steps) {
      tasks_.emplace_back(step.tasks);
      remaining_tasks_.push_back(step.tasks);
    }
  }
}

std::vector<WorkflowProgress::OpenStep> WorkflowProgress::OpenSteps(
    UnixMillis now) const {
  std::vector<OpenStep> open;
  if (over()) return open;
  for (uint32_t round = 0; round < workflow_.rounds(); ++round) {
    if (workflow_.repetitions > 0 &&
        workflow_.first_due + round * workflow_.interval > now) {
      break;
    }
    for (uint32_t step = 0; step < workflow_.steps.size(); ++step) {
      if (remaining_tasks_[StepIndex(round, step)] == 0) continue;
      const std::vector<uint32_t>& after = workflow_.steps[step].after;
      const bool ready = std::all_of(
          after.begin(), after.end(),
          [&](uint32_t earlier) { return StepDone(round, earlier); });
      if (ready) open.push_back({round, step});
    }
  }
  return open;
}

std::optional<Duration> WorkflowProgress::MeasuredRun(uint32_t step) const {
  const DurationStats& measured = measured_[step];
  if (measured.runs < kMinMeasuredRuns) return std::nullopt;
  return std::chrono::duration_cast<Duration>(kTypicalOverShortest *
                                              measured.shortest);
}

std::optional<Duration> WorkflowProgress::LongestMeasuredRun(
    uint32_t step) const {
  const DurationStats& measured = measured_[step];
  if (measured.runs < kMinMeasuredRuns) return std::nullopt;
  return measured.longest;
}

Duration WorkflowProgress::ExpectedRun(uint32_t step) const {
  return MeasuredRun(step).value_or(expected_[step]);
}

void WorkflowProgress::RecordDuration(const TaskRef& ref, const Task& task,
                                      TimePoint now) {
  if (task.phase != Phase::kHeld || !task.measurable) return;
  const Duration ran = now - task.held_since;
  DurationStats& measured = measured_[ref.step];
  measured.shortest =
      measured.runs == 0 ? ran : std::min(measured.shortest, ran);
  measured.longest = std::max(measured.longest, ran);
  ++measured.runs;
}

Duration WorkflowProgress::RemainingOf(uint32_t round, uint32_t step,
                                       TimePoint now) const {
  if (StepDone(round, step)) return {};
  const Duration expected = ExpectedRun(step);
  Duration longest{};
  for (const Task& task : TasksOf(round, step)) {
    if (task.phase == Phase::kDone) continue;
    const Duration ran =
        task.phase == Phase::kHeld ? now - task.held_since : Duration(0);
    longest = std::max(longest, expected - ran);
  }
  return longest;
}

Duration WorkflowProgress::RemainingCriticalPath(uint32_t round,
                                                 TimePoint now) const {
  return CriticalPath(workflow_, [&](size_t step) {
    return RemainingOf(round, static_cast<uint32_t>(step), now);
  });
}

size_t WorkflowProgress::MaxFailures(uint32_t round, uint32_t step) const {
  if (workflow_.steps[step].gang) return GangAttemptsFailed(round, step);
  size_t most = 0;
  for (const Task& task : TasksOf(round, step)) {
    most = std::max(most, task.failed_runs.size());
  }
  return most;
}

double WorkflowProgress::RemainingCoreSeconds(uint32_t round) const {
  double work = 0;
  for (uint32_t step = 0; step < workflow_.steps.size(); ++step) {
    const WorkflowStep& spec = workflow_.steps[step];
    const std::chrono::duration<double> each = ExpectedRun(step);
    work += remaining_tasks_[StepIndex(round, step)] * each.count() *
            static_cast<double>(spec.each.cpu_millis) / kMillicoresPerCore;
  }
  return work;
}

bool WorkflowProgress::HasLaterRound(UnixMillis now) const {
  if (workflow_.repetitions == 0 || over()) return false;
  return workflow_.first_due + (workflow_.rounds() - 1) * workflow_.interval >
         now;
}

WorkflowProgress::Task& WorkflowProgress::At(const TaskRef& task) {
  if (tasks_.empty()) return released_task_;
  return TasksOf(task.round, task.step)[task.index];
}

const WorkflowProgress::Task& WorkflowProgress::At(const TaskRef& task) const {
  if (tasks_.empty()) return released_task_;
  return TasksOf(task.round, task.step)[task.index];
}

bool WorkflowProgress::Has(const TaskRef& task) const {
  return task.round < workflow_.rounds() &&
         task.step < workflow_.steps.size() &&
         task.index < workflow_.steps[task.step].tasks;
}

std::vector<WorkflowProgress::Task>& WorkflowProgress::TasksOf(uint32_t round,
                                                               uint32_t step) {
  if (tasks_.empty()) return no_tasks_;
  return tasks_[StepIndex(round, step)];
}

const std::vector<WorkflowProgress::Task>& WorkflowProgress::TasksOf(
    uint32_t round, uint32_t step) const {
  if (tasks_.empty()) return no_tasks_;
  return tasks_[StepIndex(round, step)];
}

bool WorkflowProgress::StepDone(uint32_t round, uint32_t step) const {
  return remaining_tasks_[StepIndex(round, step)] == 0;
}

void WorkflowProgress::OnStarted(const TaskRef& ref, uint64_t run,
                                 const std::string& vm, TimePoint now) {
  Task& task = At(ref);
  task.phase = Phase::kHeld;
  task.run = std::max(task.run, run);
  task.vm = vm;
  task.held_since = now;
  task.measurable = task.checkpoint.empty();
}

void WorkflowProgress::OnBegun() {
  begun_ = true;
  if (state_ == WorkflowState::kQueued) state_ = WorkflowState::kRunning;
}

void WorkflowProgress::MarkDone(const TaskRef& ref, Task& task) {
  if (task.phase == Phase::kDone) return;
  kept_runs_ -= task.failed_runs.size() + task.crashed_runs.size();
  task.phase = Phase::kDone;
  task.vm.clear();
  --remaining_tasks_[StepIndex(ref.round, ref.step)];
}

void WorkflowProgress::ReleaseRun(Task& task, uint64_t run, TimePoint now) {
  if (task.phase != Phase::kHeld || run < task.run) return;
  task.last_run_ended_at = now;
  task.phase = Phase::kWaiting;
  task.vm.clear();
}

bool WorkflowProgress::CountFailure(const TaskRef& ref, uint64_t run) {
  const WorkflowStep& step = workflow_.steps[ref.step];
  std::vector<uint64_t>& failed = At(ref).failed_runs;
  const bool counted =
      std::find(failed.begin(), failed.end(), run) != failed.end();
  if (step.long_running || counted) return false;
  // The failures of its members in one run are one attempt.
  if (step.gang && HasGangFailed(ref.round, ref.step, run)) return false;
  KeepRun(failed, run);
  const size_t attempts =
      step.gang ? GangAttemptsFailed(ref.round, ref.step) : failed.size();
  if (attempts >= workflow_.policy.max_attempts) {
    state_ = WorkflowState::kFailed;
  }
  return true;
}

void WorkflowProgress::KeepRun(std::vector<uint64_t>& runs, uint64_t run) {
  runs.push_back(run);
  if (++kept_runs_ > kMaxKeptRuns) state_ = WorkflowState::kFailed;
}

bool WorkflowProgress::HasGangFailed(uint32_t round, uint32_t step,
                                     uint64_t run) const {
  const std::vector<Task>& members = TasksOf(round, step);
  return std::any_of(members.begin(), members.end(), [run](const Task& member) {
    const std::vector<uint64_t>& failed = member.failed_runs;
    return std::find(failed.begin(), failed.end(), run) != failed.end();
  });
}

size_t WorkflowProgress::GangAttemptsFailed(uint32_t round,
                                            uint32_t step) const {
  std::set<uint64_t> runs;
  for (const Task& member : TasksOf(round, step)) {
    runs.insert(member.failed_runs.begin(), member.failed_runs.end());
  }
  return runs.size();
}

bool WorkflowProgress::OnEnded(const TaskRef& ref, uint64_t run,
                               RunEndKind kind, const std::string& checkpoint,
                               TimePoint now) {
  Task& task = At(ref);
  const WorkflowStep& step = workflow_.steps[ref.step];
  if (task.phase == Phase::kDone || over()) {
    ReleaseRun(task, run, now);
    return false;
  }
  // Whether a run with an expired lease had begun is unknown.
  const bool had_begun =
      kind != RunEndKind::kNotBegun && kind != RunEndKind::kLapsed;
  if (had_begun) OnBegun();
  if (kind == RunEndKind::kDone && !step.long_running) {
    if (run == task.run) RecordDuration(ref, task, now);
    if (step.gang) {
      // A gang is done when one of its members is.
      std::vector<Task>& all = TasksOf(ref.round, ref.step);
      for (uint32_t i = 0; i < all.size(); ++i) {
        MarkDone({ref.workflow, ref.round, ref.step, i}, all[i]);
      }
    } else {
      MarkDone(ref, task);
    }
    CompleteIfAllDone();
    return true;
  }
  const auto last_end = task.last_run_ended_at;
  ReleaseRun(task, run, now);
  if (kind == RunEndKind::kNotBegun) task.last_run_ended_at = last_end;
  if (!checkpoint.empty()) task.checkpoint = checkpoint;
  return kind == RunEndKind::kFailed && CountFailure(ref, run);
}

bool WorkflowProgress::OnRunnerCrash(const TaskRef& ref, uint64_t run) {
  Task& task = At(ref);
  if (over() || task.phase == Phase::kDone ||
      run <= task.highest_survived_run) {
    return false;
  }
  std::vector<uint64_t>& crashed = task.crashed_runs;
  if (std::find(crashed.begin(), crashed.end(), run) != crashed.end()) {
    return false;
  }
  KeepRun(crashed, run);
  // Any of the workflows that shared the trial may have been the cause.
  const auto shared = static_cast<size_t>(
      std::count(crashed.begin(), crashed.end(), task.shared_trial_run));
  if (crashed.size() >= kMaxCrashes + shared) state_ = WorkflowState::kFailed;
  return true;
}

bool WorkflowProgress::OnStartSurvived(const TaskRef& ref, uint64_t run) {
  Task& task = At(ref);
  task.highest_survived_run = std::max(task.highest_survived_run, run);
  std::vector<uint64_t>& crashed = task.crashed_runs;
  const auto cleared =
      std::remove_if(crashed.begin(), crashed.end(),
                     [&](uint64_t earlier) { return earlier <= run; });
  const bool changed = cleared != crashed.end();
  if (task.phase != Phase::kDone) {
    kept_runs_ -= static_cast<size_t>(crashed.end() - cleared);
  }
  crashed.erase(cleared, crashed.end());
  return changed;
}

void WorkflowProgress::CompleteIfAllDone() {
  const bool all_done =
      std::all_of(remaining_tasks_.begin(), remaining_tasks_.end(),
                  [](uint32_t n) { return n == 0; });
  if (all_done) state_ = WorkflowState::kCompleted;
}

void WorkflowProgress::Cancel() {
  if (!over()) state_ = WorkflowState::kCancelled;
}

void WorkflowProgress::ReleaseTasks() {
  tasks_ = {};
  released_task_.phase = Phase::kDone;
}

size_t WorkflowProgress::MemoryBytes() const {
  size_t bytes = sizeof(*this) + MemoryOf(workflow_) +
                 remaining_tasks_.size() * sizeof(remaining_tasks_[0]);
  bytes += tasks_.size() * sizeof(std::vector<Task>);
  for (const std::vector<Task>& tasks : tasks_) {
    bytes += tasks.size() * sizeof(Task);
  }
  return bytes;
}

uint64_t ProgressMemoryOf(const Workflow& workflow) {
  uint64_t per_round = 0;
  for (const WorkflowStep& step : workflow.steps) {
    per_round += sizeof(std::vector<WorkflowProgress::Task>) +
                 sizeof(uint32_t) +
                 step.tasks * uint64_t{sizeof(WorkflowProgress::Task)};
  }
  return sizeof(WorkflowProgress) + MemoryOf(workflow) +
         workflow.rounds() * per_round;
}

}  // namespace beamhill
