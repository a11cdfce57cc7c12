// Dispatcher: finds tasks that crash every runner they start on.
//
// When a runner is lost, the tasks that had just begun there become suspects. A
// suspect starts only on trial: on a VM where no other workflow has just
// started or may start anything. If the runner is lost during the trial, only
// that workflow can be the cause; if it survives, the task is cleared. Suspects
// that have waited for too long share trials.
#include <algorithm>
#include <string>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

using dispatch_internal::Trial;
using dispatch_internal::Vm;

// An executor sends heartbeats for this long after its runner's last answer.
constexpr Duration kHeartbeatLag = std::chrono::milliseconds(1500);
// At most 1/4 of the VMs, plus one, is on trial at once, as nothing else starts
// there meanwhile.
constexpr size_t kTrialVmsDivisor = 4;
// A task that was suspected once starts without a trial if none was possible
// for this long. Some ten tasks are suspected with each lost runner, and users
// count a long-running task as lost after 6 s.
constexpr Duration kTrialWait = std::chrono::milliseconds(2000);
// A task that was suspected twice shares a trial with others if it got none of
// its own for this long: a hundred others may be ahead of it. If the runner is
// lost, none of them shares another one.
constexpr Duration kSharedTrialWait = std::chrono::milliseconds(4000);
constexpr size_t kMaxSharedTrial = 24;  // Workflows.
constexpr size_t kMaxCrashesToShare = 2;
constexpr size_t kSharedTrialVmsDivisor = 8;
// A run that has lasted this long did not crash its runner at the start: the
// lease would have expired and the loss be known by now.
constexpr Duration kProvenAfter = std::chrono::seconds(10);
// A task that was suspected more than once waits this long for a VM whose
// runner has not been lost recently.
constexpr Duration kStableVmWait = std::chrono::milliseconds(3000);
constexpr Duration kClearInterval = std::chrono::milliseconds(500);
// A runner lost within this time is likely to fail for reasons of its own, and
// is the last choice for a trial.
constexpr Duration kUnstableTime = std::chrono::seconds(10);
// Costs of a trial, in cores of running tasks that a crash would lose.
constexpr double kUnstableCost = 10000;
constexpr double kOtherRackTrialCost = 100;
constexpr double kAvoidedVmTrialCost =
    1000;  // Where it last failed or starved.

// Returns when a suspect task began to wait: at the end of its last run or, if
// this owner has not seen that, when the workflow was added.
TimePoint SuspectWaitingSince(const dispatch_internal::Job& job,
                              const WorkflowProgress::Task& task) {
  return task.last_run_ended_at.value_or(job.added_at);
}

// Whether its runner was lost recently and may fail again for its own reasons.
bool IsUnstable(const Vm& vm, TimePoint now) {
  return vm.runner_lost_at && now - *vm.runner_lost_at < kUnstableTime;
}

// Lower is better.
double TrialCost(const Vm& vm, const WorkflowStep& step, TimePoint now) {
  double cost = static_cast<double>(vm.used.cpu_millis + vm.best_effort_cpu) /
                kMillicoresPerCore;
  if (IsUnstable(vm, now)) cost += kUnstableCost;
  if (!step.preferred_rack.empty() && vm.status.rack != step.preferred_rack) {
    cost += kOtherRackTrialCost;
  }
  return cost;
}

// Whether the VM, whose trial has not begun, can take a task of the step beside
// those that wait for it.
bool HasRoomForAnother(const Vm& vm, const std::string& workflow,
                       const WorkflowStep& step,
                       const WorkflowProgress::OpenStep& open) {
  const size_t waiting = vm.trial->awaited_by.size();
  if (step.max_per_vm > 0 &&
      dispatch_internal::HeldRunsOfStep(vm, workflow, open) + waiting >=
          step.max_per_vm) {
    return false;
  }
  const Resources need = dispatch_internal::RoomNeededBy(step);
  Resources room = vm.status.capacity - vm.used;
  for (size_t i = 0; i < waiting; ++i) room -= need;
  return room.Holds(need);
}

}  // namespace

void Dispatcher::RecordLostRunner(const std::string& name, Vm& vm,
                                  const PastIncarnation& lost, TimePoint now) {
  if (vm.lost_incarnation != lost.incarnation) {
    vm.lost_incarnation = lost.incarnation;
    vm.runner_lost_at = now;
  }
  for (const RunRef& run : lost.others) {
    Job* job = Find(run.task.workflow);
    if (job == nullptr || !job->progress.Has(run.task)) continue;
    if (job->progress.OnStartSurvived(run.task, run.run)) MarkDirty(*job);
  }
  for (const RunRef& run : lost.just_begun) MarkSuspect(name, run, now);
}

void Dispatcher::SuspectSilentRunner(const std::string& name, const Vm& vm,
                                     TimePoint now) {
  const TimePoint since = vm.stamped_at - kHeartbeatLag - kCrashWindow;
  std::vector<RunRef> runs;
  for (const auto& [run, held] : vm.held) {
    if (held.since >= since) runs.push_back(run);
  }
  for (const RunRef& run : runs) MarkSuspect(name, run, now);
}

void Dispatcher::MarkSuspect(const std::string& name, const RunRef& run,
                             TimePoint now) {
  Job* job = Find(run.task.workflow);
  if (job == nullptr || !job->progress.Has(run.task)) return;
  if (!job->progress.OnRunnerCrash(run.task, run.run)) return;
  MarkDirty(*job);
  suspects_.insert(run.task);
  run_log_.Note("run_suspected", run, name,
                "its runner was lost just after the start");
  if (!job->progress.over()) return;
  ++counts_.given_up;
  LogDecision(run.task.workflow, "workflow_over",
              "failed: " + run.task.ToString() + " takes its runners down");
  OnOver(*job, now);
}

void Dispatcher::ClearSuspects(TimePoint now) {
  if (now - suspects_cleared_at_ < kClearInterval) return;
  suspects_cleared_at_ = now;
  for (auto it = suspects_.begin(); it != suspects_.end();) {
    Job* job = Find(it->workflow);
    if (job == nullptr || job->progress.over() ||
        job->progress.At(*it).crashed_runs.empty()) {
      it = suspects_.erase(it);
      continue;
    }
    const WorkflowProgress::Task& task = job->progress.At(*it);
    const bool held = task.phase == WorkflowProgress::Phase::kHeld;
    // A silent VM may have lost its runner already.
    if (held && now - task.held_since >= kProvenAfter &&
        vms_[task.vm].lease_bound > now) {
      if (job->progress.OnStartSurvived(*it, task.run)) MarkDirty(*job);
    }
    ++it;
  }
}

Dispatcher::Vm* Dispatcher::ChooseForSharedTrial(const OpenStepRef& at,
                                                 TimePoint now,
                                                 std::string* name) {
  const Job& job = *at.job;
  const WorkflowStep& step = job.progress.workflow().steps[at.open.step];
  const std::string& id = job.progress.workflow().id;
  Vm* best = nullptr;
  double least = 0;
  size_t shared = 0;
  for (auto& [vm_name, vm] : vms_) {
    if (stalls_.Avoids(vm_name)) continue;
    const bool on_trial = IsOnTrial(vm, now);
    if (on_trial && vm.trial->shared) {
      ++shared;
      if (now < vm.trial->begins ||
          vm.trial->workflows.size() >= kMaxSharedTrial) {
        continue;
      }
      const Trial before = *vm.trial;
      JoinTrial(vm, id, now);
      if (MayHost(vm, vm_name, job, step, at.open, now)) {
        *name = vm_name;
        return &vm;
      }
      vm.trial = before;
    }
    if (on_trial || !MayHost(vm, vm_name, job, step, at.open, now)) continue;
    const double cost = TrialCost(vm, step, now);
    if (best != nullptr && cost >= least) continue;
    best = &vm;
    least = cost;
  }
  if (best == nullptr || shared > vms_.size() / kSharedTrialVmsDivisor) {
    return nullptr;
  }
  // Open to others, and to this workflow, once nothing else has just begun.
  BeginTrial(*best, id,
             std::max(now, best->last_start + kCrashWindow +
                               dispatch_internal::kTrialMargin));
  best->trial->shared = true;
  return nullptr;
}

void Dispatcher::OpenTrial(const OpenStepRef& at,
                           const WorkflowProgress::Task& task, TimePoint now) {
  const Job& job = *at.job;
  const WorkflowStep& step = job.progress.workflow().steps[at.open.step];
  const auto trials = static_cast<size_t>(std::count_if(
      vms_.begin(), vms_.end(),
      [&](const auto& entry) { return IsOnTrial(entry.second, now); }));
  if (trials > vms_.size() / kTrialVmsDivisor) return;
  const bool waits = now - SuspectWaitingSince(job, task) < kStableVmWait;
  const bool only_stable = waits && task.crashed_runs.size() > 1;
  Vm* best = nullptr;
  double least = 0;
  for (auto& [name, vm] : vms_) {
    if (IsOnTrial(vm, now) || stalls_.Avoids(name)) continue;
    if (only_stable && IsUnstable(vm, now)) continue;
    if (!MayHost(vm, name, job, step, at.open, now)) continue;
    const double cost = TrialCost(vm, step, now) +
                        (name == task.avoid_vm ? kAvoidedVmTrialCost : 0);
    if (best != nullptr && cost >= least) continue;
    best = &vm;
    least = cost;
  }
  if (best == nullptr) return;
  BeginTrial(*best, job.progress.workflow().id,
             std::max(now, best->last_start + kCrashWindow +
                               dispatch_internal::kTrialMargin));
}

// A trial that can't take the task does not hold it up: other trials of the
// workflow may go on at the same time, on a VM each.
Dispatcher::Vm* Dispatcher::ChooseForTrial(const OpenStepRef& at,
                                           uint32_t index, TimePoint now,
                                           std::string* name) {
  Job& job = *at.job;
  const WorkflowStep& step = job.progress.workflow().steps[at.open.step];
  const std::string& id = job.progress.workflow().id;
  const TaskRef ref{id, at.open.round, at.open.step, index};
  WorkflowProgress::Task& task = job.progress.At(ref);
  Vm* awaited = nullptr;
  const auto find = [&]() -> Vm* {
    for (auto& [vm_name, vm] : vms_) {
      if (!IsOnTrial(vm, now) || vm.trial->shared ||
          vm.trial->workflows.count(id) == 0 || stalls_.Avoids(vm_name) ||
          !MayHost(vm, vm_name, job, step, at.open, now)) {
        continue;
      }
      if (now >= vm.trial->begins) {
        *name = vm_name;
        return &vm;
      }
      const bool waits = vm.trial->awaited_by.count(ref) > 0;
      const bool may_wait =
          awaited == nullptr && HasRoomForAnother(vm, id, step, at.open);
      if (waits || may_wait) awaited = &vm;
    }
    return nullptr;
  };
  Vm* vm = find();
  if (vm == nullptr && awaited == nullptr) {
    OpenTrial(at, task, now);
    vm = find();
  }
  if (vm != nullptr) {
    JoinTrial(*vm, id, now);
    return vm;
  }
  if (awaited != nullptr) {
    awaited->trial->awaited_by.insert(ref);
    return nullptr;
  }
  const Duration waited = now - SuspectWaitingSince(job, task);
  const size_t crashes = task.crashed_runs.size();
  if (crashes > 1) {
    if (crashes > kMaxCrashesToShare || waited <= kSharedTrialWait) {
      return nullptr;
    }
    vm = ChooseForSharedTrial(at, now, name);
    if (vm != nullptr) task.shared_trial_run = NextRun(task);
    return vm;
  }
  if (waited <= kTrialWait) return nullptr;
  return ChooseVm(job, step, at.open, task.avoid_vm, now, name);
}

}  // namespace beamhill
