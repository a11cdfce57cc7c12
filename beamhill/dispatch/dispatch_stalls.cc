// Dispatcher: keeps work off VMs whose runners answer calls while their tasks
// make no progress, and finds out with single runs when they progress again.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/progress_bound.h"

namespace beamhill {
namespace {

using dispatch_internal::Vm;

// How often long-running tasks are considered for a move, which compares all
// VMs for each of them.
constexpr Duration kMoveInterval = std::chrono::milliseconds(100);

constexpr Duration kProgressBoundInterval = std::chrono::milliseconds(250);
// An executor may have missed a bound: its link was lost, or it restarted.
constexpr Duration kProgressBoundRepeat = std::chrono::seconds(5);

// Whether the VM holds the run and has not been told to stop it.
bool Keeps(const Vm& vm, const RunRef& run) {
  return vm.held.count(run) > 0 && !vm.stops.Has(run);
}

}  // namespace

void Dispatcher::UpdateStall(const std::string& name, const Vm& vm,
                             TimePoint now) {
  const std::string& incarnation = vm.status.incarnation;
  const bool stalled = vm.status.stalled && !incarnation.empty();
  const auto age = static_cast<int64_t>(ToMillis(stalls_.Age(name, now)));
  if (!stalls_.Report(name, incarnation, stalled, now, vm.status.service)) {
    return;
  }
  if (stalled) {
    LogDecision("", "vm_stalled",
                name + ", runs " + std::to_string(vm.held.size()));
  } else {
    LogDecision("", "vm_progresses",
                name + ", stalled for " + std::to_string(age) + " ms");
  }
}

// Executors that detect no stalls ignore the bounds.
void Dispatcher::SendProgressBounds(TimePoint now) {
  if (now - progress_bounds_sent_at_ < kProgressBoundInterval) return;
  progress_bounds_sent_at_ = now;
  std::map<std::string, ProgressBounds> bounds;  // By VM.
  for (const auto& [id, job] : jobs_) {
    if (job->held_runs == 0 || job->progress.over()) continue;
    const bool reliable = run_times_.IsReliable(job->progress.workflow().queue);
    for (const OverdueRun& overdue :
         FindOverdueRuns(job->progress, reliable, now)) {
      const auto vm = vms_.find(overdue.vm);
      if (vm == vms_.end() || !vm->second.has_inventory) continue;
      const auto held = vm->second.held.find(overdue.run);
      if (held == vm->second.held.end()) continue;
      TimePoint& sent_at = held->second.progress_bound_sent_at;
      if (now - sent_at < kProgressBoundRepeat) continue;
      sent_at = now;
      bounds[overdue.vm].runs.push_back({overdue.run, overdue.cpu_per_percent});
    }
  }
  for (auto& [name, message] : bounds) {
    message.epoch = options_.epoch;
    message.incarnation = vms_[name].status.incarnation;
    LogDecision("", "runs_overdue",
                name + ", runs " + std::to_string(message.runs.size()) +
                    " of " + std::to_string(vms_[name].held.size()));
    Send(name, std::move(message));
  }
}

void Dispatcher::CompareStalls() {
  struct Numbers {
    size_t stalled = 0;
    size_t answering = 0;
  };
  std::map<std::string, Numbers> services;
  for (const std::string& service : stalls_.too_many()) services[service];
  for (const auto& [name, vm] : vms_) {
    if (!vm.has_inventory) continue;
    Numbers& numbers = services[vm.status.service];
    ++numbers.answering;
    if (stalls_.Has(name)) ++numbers.stalled;
  }
  for (const auto& [service, numbers] : services) {
    const auto [stalled, answering] = numbers;
    if (!stalls_.Compare(stalled, answering, service)) continue;
    const bool too_many = stalls_.too_many().count(service) > 0;
    LogDecision("", "vms_stalled",
                std::to_string(stalled) + " of " + std::to_string(answering) +
                    " VMs of " + service + ", work " +
                    (too_many ? "stays" : "moves"));
  }
}

void Dispatcher::RefreshStalls(TimePoint now) {
  SendProgressBounds(now);
  if (stalls_.empty() && stalls_.too_many().empty()) return;
  CompareStalls();
  for (auto& [name, vm] : vms_) {
    if (!vm.has_inventory || !stalls_.Avoids(name)) continue;
    CheckStallProbe(name, vm, now);
    MigrateOffStalled(name, vm, now);
  }
  if (now - stalled_moved_at_ < kMoveInterval) return;
  stalled_moved_at_ = now;
  MoveLongRunningOffStalled(now);
}

void Dispatcher::CheckStallProbe(const std::string& name, const Vm& vm,
                                 TimePoint now) {
  const auto probe = stalls_.ProbeOn(name);
  if (!probe) return;
  const bool failed = stalls_.ProbeHasFailed(name, now);
  if (Keeps(vm, *probe) && !failed) return;
  stalls_.EndProbe(name, now);
  if (failed) {
    LogDecision(probe->task.workflow, "vm_probed", name + ", no progress");
  }
}

bool Dispatcher::MayProbeStall(const std::string& name, const Vm& vm,
                               const WorkflowStep& step, TimePoint now) const {
  // A long-running task can't be moved away at once if the probe fails, and is
  // the probe only if there is no other work.
  const bool long_running = step.long_running && !step.gang;
  const bool due = dispatch_internal::MayProbe(step)
                       ? stalls_.ProbeIsDue(name, now)
                       : long_running && stalls_.ProbeIsOverdue(name, now);
  return due &&
         std::all_of(vm.held.begin(), vm.held.end(), [&](const auto& entry) {
           return entry.second.long_running || entry.second.stays_on_stalled;
         });
}

// One member of a gang holds up all others; when it is stopped, the runners end
// these too.
void Dispatcher::MigrateOffStalled(const std::string& name, Vm& vm,
                                   TimePoint now) {
  const auto probe = stalls_.ProbeOn(name);
  for (const auto& [run, held] : vm.held) {
    if (vm.stops.Has(run) || held.long_running) continue;
    if (probe && run == *probe) continue;
    Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job)) continue;
    if (!held.probes_stall) {
      if (held.stays_on_stalled) continue;
      ++job->progress.At(run.task).stall_moves;
    }
    MigrateRun(name, vm, *job, run, "no progress there", now);
  }
}

size_t Dispatcher::TasksAway(const Job& job, const TaskRef& ref,
                             TimePoint now) const {
  const auto& tasks = job.progress.TasksOf(ref.round, ref.step);
  size_t away = 0;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const WorkflowProgress::Task& task = tasks[i];
    const auto vm = vms_.find(task.vm);
    const RunRef run{{ref.workflow, ref.round, ref.step, i}, task.run};
    const bool runs = task.phase == WorkflowProgress::Phase::kHeld &&
                      vm != vms_.end() && Keeps(vm->second, run);
    // The task that is to move may start up itself.
    const bool starts_up =
        task.last_run_ended_at && i != ref.index &&
        now - task.held_since < dispatch_internal::kStartUpTime;
    if (!runs || starts_up) ++away;
  }
  return away;
}

bool Dispatcher::ReserveMove(Job& job, const TaskRef& ref, TimePoint now,
                             std::vector<Reservation>& reserved) {
  const WorkflowStep& step = job.progress.workflow().steps[ref.step];
  std::string name;
  Vm* vm = ChooseVm(job, step, {ref.round, ref.step}, "", now, &name);
  if (vm == nullptr || stalls_.Avoids(name)) return false;
  const RunRef run{ref, NextRun(job.progress.At(ref))};
  Hold(*vm, run, job, step);
  reserved.emplace_back(name, run);
  return true;
}

void Dispatcher::ReserveForAway(TimePoint now,
                                std::vector<Reservation>& reserved) {
  for (const auto& [id, job] : jobs_) {
    if (!MayStart(*job)) continue;
    const Workflow& workflow = job->progress.workflow();
    for (uint32_t number = 0; number < workflow.steps.size(); ++number) {
      const WorkflowStep& step = workflow.steps[number];
      if (!step.long_running || step.gang) continue;
      const auto& tasks = job->progress.TasksOf(0, number);
      for (uint32_t i = 0; i < tasks.size(); ++i) {
        const TaskRef ref{id, 0, number, i};
        const auto vm = vms_.find(tasks[i].vm);
        const bool stopped =
            vm != vms_.end() && vm->second.stops.Has(RunRef{ref, tasks[i].run});
        const bool waits = tasks[i].phase == WorkflowProgress::Phase::kWaiting;
        if (!stopped && !waits) continue;
        if (!ReserveMove(*job, ref, now, reserved)) break;
      }
    }
  }
}

// Room on other VMs is given to the tasks that are away before any other task
// is stopped, so that no two tasks are promised the same room.
void Dispatcher::MoveLongRunningOffStalled(TimePoint now) {
  std::vector<Reservation> stalled;
  for (const auto& [name, vm] : vms_) {
    if (!vm.has_inventory || !stalls_.Avoids(name)) continue;
    for (const auto& [run, held] : vm.held) {
      const Job* job = Find(run.task.workflow);
      if (job == nullptr || !MayStart(*job) || vm.stops.Has(run)) continue;
      // A gang that lasts would lose all its members at once.
      const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
      if (step.long_running && !step.gang) stalled.emplace_back(name, run);
    }
  }
  if (stalled.empty()) return;
  failed_searches_.Clear();
  std::vector<Reservation> reserved;
  ReserveForAway(now, reserved);
  for (const auto& [name, run] : stalled) {
    Job& job = *Find(run.task.workflow);
    const WorkflowStep& step = job.progress.workflow().steps[run.task.step];
    const size_t limit = std::max<size_t>(1, step.max_unavailable);
    if (TasksAway(job, run.task, now) >= limit) continue;
    if (!ReserveMove(job, run.task, now, reserved)) continue;
    MigrateRun(name, vms_[name], job, run, "no progress there", now);
  }
  for (const auto& [name, run] : reserved) Release(vms_[name], run);
}

}  // namespace beamhill
