// Dispatcher: reports its state for logs and operators.
#include <algorithm>
#include <sstream>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Minimum change of a weight, absolute and relative, that is logged.
constexpr Duration kMinWeightChange = std::chrono::milliseconds(10);
constexpr int kMinWeightChangeDivisor = 4;
// Most tasks that wait find a VM within a second.
constexpr Duration kLongWait = std::chrono::seconds(2);

}  // namespace

std::vector<InterferenceWeight> Dispatcher::TakeChangedWeights(size_t limit) {
  std::vector<std::pair<Duration, InterferenceWeight>> changed;
  for (const auto& weight : interference_.Weights()) {
    const auto logged =
        logged_weights_.find({weight.serving, weight.best_effort});
    const Duration before =
        logged == logged_weights_.end() ? Duration(0) : logged->second;
    const Duration moved = std::chrono::abs(weight.per_vm - before);
    if (moved < std::max(kMinWeightChange,
                         std::chrono::abs(before) / kMinWeightChangeDivisor)) {
      continue;
    }
    changed.push_back(
        {moved, {weight.serving, weight.best_effort, weight.per_vm}});
  }
  std::sort(changed.begin(), changed.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  if (changed.size() > limit) changed.resize(limit);
  std::vector<InterferenceWeight> taken;
  for (auto& entry : changed) {
    const InterferenceWeight& weight = entry.second;
    logged_weights_[{weight.serving, weight.best_effort_image}] = weight.per_vm;
    taken.push_back(weight);
  }
  return taken;
}

DispatchSummary Dispatcher::Summary(TimePoint now) const {
  DispatchSummary summary;
  for (const auto& [name, vm] : vms_) {
    summary.stops += vm.stops.size();
    summary.oldest_stop =
        std::max(summary.oldest_stop, vm.stops.OldestAge(now));
    if (!vm.has_inventory) continue;
    ++summary.vms;
    summary.capacity += vm.status.capacity;
    summary.used += vm.used;
    summary.serving_cpu += vm.serving_cpu;
    summary.best_effort_cpu += vm.best_effort_cpu;
    // The last report may still count tasks that are gone.
    summary.best_effort_cpu_in_use +=
        std::min(vm.best_effort_cpu_in_use, vm.best_effort_cpu);
    summary.held_runs += vm.held.size();
    if (stalls_.Has(name)) ++summary.stalled_vms;
  }
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    ++summary.open_workflows;
    if (job->inherited && !unreconciled_.empty()) ++summary.inherited_waiting;
  }
  summary.unreconciled_vms.assign(unreconciled_.begin(), unreconciled_.end());
  if (!unreconciled_.empty()) {
    const TimePoint bound = ownership_taken_at_ + options_.inherited_bound;
    summary.inherited_wait_left = std::max(Duration(0), bound - now);
  }
  summary.suspects = suspects_.size();
  summary.given_up = counts_.given_up;
  return summary;
}

std::vector<OrphanedWork> Dispatcher::Orphans(TimePoint now) const {
  std::vector<OrphanedWork> orphans;
  for (const auto& [id, job] : jobs_) {
    if (!job->over_at || job->held_runs == 0) continue;
    orphans.push_back({id, job->held_runs, now - *job->over_at});
  }
  std::sort(orphans.begin(), orphans.end(),
            [](const auto& a, const auto& b) { return a.age > b.age; });
  return orphans;
}

WaitingTask Dispatcher::Describe(const Job& job, const TaskRef& ref,
                                 TimePoint now) const {
  const WorkflowProgress::Task& task = job.progress.At(ref);
  const auto& last_end = task.last_run_ended_at;
  const WorkflowStep& step = job.progress.workflow().steps[ref.step];
  const WorkflowProgress::OpenStep open{ref.round, ref.step};
  WaitingTask waiting;
  waiting.task = ref;
  waiting.first_run = !dispatch_internal::HasRunBefore(job, task);
  waiting.waited = now - last_end.value_or(job.added_at);
  if (!job.opened) {
    waiting.reason = WaitReason::kNotStored;
  } else if (!MayStart(job)) {
    waiting.reason = WaitReason::kInherited;
  } else if (now < task.not_before) {
    waiting.reason = WaitReason::kBackOff;
  } else if (!task.crashed_runs.empty()) {
    waiting.reason = WaitReason::kSuspect;
  }
  for (const auto& [name, vm] : vms_) {
    if (MayHost(vm, name, job, step, open, now)) ++waiting.vms_with_room;
    const CapacityReservation* reservation = reservations_.On(name);
    if (reservation == nullptr || !(reservation->task == ref)) continue;
    if (waiting.reason == WaitReason::kNoVm) {
      waiting.reason = WaitReason::kReserved;
    }
    waiting.reserved_vm = name;
    waiting.reserved_for = now - reservation->since;
    waiting.obstacle = FitObstacle(vm, name, job, step, now);
    if (waiting.obstacle != Obstacle::kNone) continue;
    waiting.obstacle = dispatch_internal::StepObstacle(vm, job, open, now);
  }
  return waiting;
}

std::vector<WaitingTask> Dispatcher::WaitingTasks(size_t limit,
                                                  TimePoint now) const {
  std::vector<LongRunningWait> waits;
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    const auto& steps = job->progress.workflow().steps;
    for (uint32_t number = 0; number < steps.size(); ++number) {
      const WorkflowStep& step = steps[number];
      if (!step.long_running || !dispatch_internal::IsOpen(*job, step)) {
        continue;
      }
      const auto& tasks = job->progress.TasksOf(0, number);
      for (uint32_t i = 0; i < tasks.size(); ++i) {
        LongRunningWait wait;
        wait.first_run = !dispatch_internal::HasRunBefore(*job, tasks[i]);
        wait.since = tasks[i].last_run_ended_at.value_or(job->added_at);
        wait.job = job.get();
        wait.task = {id, 0, number, i};
        const bool waits_now =
            tasks[i].phase == WorkflowProgress::Phase::kWaiting;
        if (waits_now && now - wait.since >= kLongWait) waits.push_back(wait);
      }
    }
  }
  std::sort(waits.begin(), waits.end());
  if (waits.size() > limit) waits.resize(limit);
  std::vector<WaitingTask> waiting;
  waiting.reserve(waits.size());
  for (const LongRunningWait& wait : waits) {
    waiting.push_back(Describe(*wait.job, wait.task, now));
  }
  return waiting;
}

std::string Dispatcher::VmThatHolds(const std::string& workflow) const {
  const auto it =
      std::find_if(vms_.begin(), vms_.end(), [&](const auto& entry) {
        const auto& held = entry.second.held;
        const auto run = held.lower_bound({{workflow, 0, 0, 0}, 0});
        return run != held.end() && run->first.task.workflow == workflow;
      });
  return it == vms_.end() ? "" : it->first;
}

std::string Dispatcher::Dump(TimePoint now) const {
  std::ostringstream out;
  out << "epoch " << options_.epoch << " workflows " << jobs_.size()
      << " unaccounted " << unreconciled_.size() << "\n";
  for (const std::string& hall : evacuations_.halls) {
    out << "evacuated hall " << hall << "\n";
  }
  for (const std::string& service : stalls_.too_many()) {
    out << "too many stalled vms of " << service << ", work stays there\n";
  }
  for (const auto& [name, vm] : vms_) {
    out << "vm " << name << " life " << vm.status.incarnation << " answered "
        << vm.has_inventory << " held " << vm.held.size() << " stops "
        << vm.stops.size() << " used " << vm.used.cpu_millis << "/"
        << vm.status.capacity.cpu_millis << " filling " << vm.best_effort_cpu
        << " lease_ms " << ToMillis(vm.lease_bound - now);
    if (stalls_.Has(name)) {
      out << " stalled_ms " << ToMillis(stalls_.Age(name, now)) << " probed "
          << stalls_.ProbeOn(name).has_value();
    }
    out << "\n";
  }
  for (const TaskRef& task : suspects_) {
    const auto job = jobs_.find(task.workflow);
    if (job == jobs_.end()) continue;
    out << "suspect " << task.ToString() << " runners lost "
        << job->second->progress.At(task).crashed_runs.size() << "\n";
  }
  for (const auto& weight : interference_.Weights()) {
    out << "pressure " << weight.best_effort << " on " << weight.serving
        << " ms " << ToMillis(weight.per_vm) << "\n";
  }
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    out << "workflow " << id << " " << WorkflowStateName(job->progress.state())
        << " opened " << job->opened << " inherited " << job->inherited
        << " due_ms " << ToMillis(job->added_at + job->objective - now) << "\n";
  }
  return out.str();
}

}  // namespace beamhill
