// The part of Dispatcher that finds the tasks which take down each runner that
// starts them.
//
// Of a runner that was lost, whatever had just begun there is under suspicion.
// A suspect starts only on trial: on a VM where nothing of another workflow has
// just begun or begins meanwhile. A runner that is lost during a trial speaks
// against that workflow alone; one that outlives it clears the task.
#include <algorithm>
#include <string>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

using dispatch_internal::Vm;

// How long an order and the report of its start may be on their way, so that
// windows counted here and at the executor agree.
constexpr Duration kTrialMargin = std::chrono::milliseconds(200);
// An executor sends heartbeats for so long after its runner's last answer.
constexpr Duration kHeartbeatsOutlive = std::chrono::milliseconds(1500);
// At most this part of the VMs is on trial at once, as a divisor: they start
// nothing else meanwhile.
constexpr size_t kTrialVmsDivisor = 4;
// A task that was there when one runner was lost, as some ten are each time, is
// started like any other when no trial was free for so long. Users count a
// lasting task as lost after 6 s.
constexpr Duration kTrialPatience = std::chrono::milliseconds(2000);
// A run that has lasted for so long has not taken its runner down as it began:
// the loss would be known by now, as the lease would be over.
constexpr Duration kOutlived = std::chrono::seconds(10);
// One that was there more often waits so long for a VM that has not lost its
// runner of late.
constexpr Duration kStablePatience = std::chrono::milliseconds(3000);
constexpr Duration kClearInterval = std::chrono::milliseconds(500);
// A runner that was lost within this time may be lost again for its own
// reasons, and is the last choice for a trial.
constexpr Duration kUnstableFor = std::chrono::seconds(10);
// Costs of a trial, in cores at work that would be lost with the runner.
constexpr double kUnstableCost = 10000;
constexpr double kFarFromDataCost = 100;
constexpr double kAvoidedCost = 1000;  // Where it failed or starved last.

// Since when a task under suspicion waits. Its owner need not have seen the run
// that is suspected: then it waits since the workflow came here.
TimePoint AwaySince(const dispatch_internal::Job& job,
                    const WorkflowProgress::Task& task) {
  return task.away_since.value_or(job.added_at);
}

// Whether its runner was lost of late: it may be again, for reasons of its
// own.
bool IsUnstable(const Vm& vm, TimePoint now) {
  return vm.lost_at && now - *vm.lost_at < kUnstableFor;
}

// What a trial there might cost; lower is better.
double TrialCost(const Vm& vm, const WorkflowStep& step, TimePoint now) {
  double cost =
      static_cast<double>(vm.used.cpu_millis + vm.filling_cpu) / kMillicoresPerCore;
  if (IsUnstable(vm, now)) cost += kUnstableCost;
  if (!step.near_rack.empty() && vm.status.rack != step.near_rack) {
    cost += kFarFromDataCost;
  }
  return cost;
}

}  // namespace

void Dispatcher::NoteLostRunner(const std::string& name, Vm& vm,
                                const PastLife& lost, TimePoint now) {
  if (vm.lost_life != lost.life) {
    vm.lost_life = lost.life;
    vm.lost_at = now;
  }
  for (const RunRef& run : lost.others) {
    Job* job = Find(run.task.workflow);
    if (job == nullptr || !job->progress.Has(run.task)) continue;
    if (job->progress.OnOutlived(run.task, run.run)) MarkDirty(*job);
  }
  for (const RunRef& run : lost.just_begun) Suspect(name, run, now);
}

void Dispatcher::SuspectUnansweredFor(const std::string& name, const Vm& vm,
                                      TimePoint now) {
  const TimePoint since = vm.stamped_at - kHeartbeatsOutlive - kCrashWindow;
  std::vector<RunRef> runs;
  for (const auto& [run, held] : vm.held) {
    if (held.since >= since) runs.push_back(run);
  }
  for (const RunRef& run : runs) Suspect(name, run, now);
}

void Dispatcher::Suspect(const std::string& name, const RunRef& run,
                         TimePoint now) {
  Job* job = Find(run.task.workflow);
  if (job == nullptr || !job->progress.Has(run.task)) return;
  if (!job->progress.OnRunnerCrash(run.task, run.run)) return;
  MarkDirty(*job);
  suspects_.insert(run.task);
  run_log_.Note("run_suspected", run, name, "began on a runner that was lost");
  if (!job->progress.over()) return;
  ++counts_.given_up;
  Decide(run.task.workflow, "workflow_over",
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
    // A VM that is silent may have lost its runner.
    if (held && now - task.held_since >= kOutlived &&
        vms_[task.vm].lease_bound > now) {
      if (job->progress.OnOutlived(*it, task.run)) MarkDirty(*job);
    }
    ++it;
  }
}

void Dispatcher::BeginTrial(Vm& vm, const std::string& workflow,
                            TimePoint begins) {
  vm.trial = dispatch_internal::Trial{workflow, begins,
                                      begins + kCrashWindow + kTrialMargin};
}

bool Dispatcher::IsOnTrial(const Vm& vm, TimePoint now) {
  return vm.trial && now < vm.trial->ends;
}

void Dispatcher::OpenTrial(const Job& job, const WorkflowStep& step,
                           const WorkflowProgress::OpenStep& open,
                           const WorkflowProgress::Task& task, TimePoint now) {
  const auto trials = static_cast<size_t>(std::count_if(
      vms_.begin(), vms_.end(),
      [&](const auto& entry) { return IsOnTrial(entry.second, now); }));
  if (trials > vms_.size() / kTrialVmsDivisor) return;
  const bool waits = now - AwaySince(job, task) < kStablePatience;
  const bool only_stable = waits && task.crashed_runs.size() > 1;
  Vm* best = nullptr;
  double least = 0;
  for (auto& [name, vm] : vms_) {
    if (IsOnTrial(vm, now)) continue;
    if (only_stable && IsUnstable(vm, now)) continue;
    if (!MayHost(vm, name, job, step, open, now)) continue;
    const double cost =
        TrialCost(vm, step, now) + (name == task.avoid_vm ? kAvoidedCost : 0);
    if (best != nullptr && cost >= least) continue;
    best = &vm;
    least = cost;
  }
  if (best == nullptr) return;
  BeginTrial(*best, job.progress.workflow().id,
             std::max(now, best->last_start + kCrashWindow + kTrialMargin));
}

Dispatcher::Vm* Dispatcher::ChooseForTrial(
    const Job& job, const WorkflowStep& step,
    const WorkflowProgress::OpenStep& open, const WorkflowProgress::Task& task,
    TimePoint now, std::string* name) {
  const auto of_this_workflow = [&](const auto& entry) {
    return IsOnTrial(entry.second, now) &&
           entry.second.trial->workflow == job.progress.workflow().id;
  };
  auto it = std::find_if(vms_.begin(), vms_.end(), of_this_workflow);
  if (it == vms_.end()) {
    OpenTrial(job, step, open, task, now);
    it = std::find_if(vms_.begin(), vms_.end(), of_this_workflow);
  }
  if (it != vms_.end()) {
    Vm& vm = it->second;
    if (now < vm.trial->begins ||
        !MayHost(vm, it->first, job, step, open, now)) {
      return nullptr;
    }
    BeginTrial(vm, job.progress.workflow().id, now);
    *name = it->first;
    return &vm;
  }
  const bool waited = now - AwaySince(job, task) > kTrialPatience;
  if (task.crashed_runs.size() > 1 || !waited) return nullptr;
  return Choose(job, step, open, task.avoid_vm, now, name);
}

}  // namespace beamhill
