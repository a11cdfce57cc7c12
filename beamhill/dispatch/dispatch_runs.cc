// Dispatcher: which VM holds which run, and what inventories and reports change
// about it.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/incarnation_name.h"

namespace beamhill {
namespace {

using dispatch_internal::HeldRun;

// After so many inventories with unknown workflows, their runs are stopped.
constexpr int kMaxUnknownInventories = 4;
// Delay before a refused or failed task is tried again.
constexpr Duration kTaskRetryDelay = std::chrono::milliseconds(60);
// Back-off of a VM that refused a start for lack of room.
constexpr Duration kNoRoomBackOff = std::chrono::milliseconds(250);
// Back-off of a VM whose runner is unreachable. Meanwhile its lease expires or
// a new runner incarnation registers.
constexpr Duration kUnreachableBackOff = std::chrono::milliseconds(1500);

// Stops held runs that the inventory doesn't list, and makes all earlier stops
// due again.
void StopMissing(dispatch_internal::Vm& vm, const VmInventory& inventory,
                 TimePoint now) {
  std::set<RunRef> listed(inventory.running.begin(), inventory.running.end());
  listed.insert(inventory.pending.begin(), inventory.pending.end());
  for (const RunRef& run : vm.stops.Runs()) {
    if (listed.count(run) == 0 && vm.held.count(run) == 0) vm.stops.Remove(run);
  }
  for (const auto& [run, held] : vm.held) {
    // A start may still be on its way. A stop makes sure that it ends or never
    // begins.
    if (listed.count(run) == 0) vm.stops.Add(run, now);
  }
  // Earlier stops may be lost with their link or their executor.
  vm.stops.MakeAllDue();
}

}  // namespace

void Dispatcher::MigrateRun(const std::string& name, Vm& vm, Job& job,
                            const RunRef& run, const std::string& reason,
                            TimePoint now) {
  job.progress.At(run.task).avoid_vm = name;
  vm.stops.Add(run, now);
  ++counts_.moved;
  run_log_.Note("run_moved", run, name, reason);
}

void Dispatcher::MigrateOffDraining(const std::string& name, Vm& vm,
                                    TimePoint now) {
  const auto left = static_cast<int64_t>(ToMillis(vm.status.remaining));
  LogDecision("", "vm_draining",
              name + ", " + std::to_string(left) + " ms left");
  for (const auto& [run, held] : vm.held) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    if (step.long_running || step.declared_run > vm.status.remaining) {
      vm.stops.Add(run, now);
    }
  }
  SendStops(name, vm, now);
}

void Dispatcher::Hold(Vm& vm, const RunRef& run, Job& job,
                      const WorkflowStep& step) {
  if (++job.held_runs > 1) job.run_guaranteed = false;
  InvalidateCaches(vm);
  HeldRun held;
  held.best_effort_rank = job.best_effort_rank;
  held.amount = step.each;
  held.image = step.image;
  held.tail_target = step.tail_target;
  held.long_running = step.long_running;
  held.gang = step.gang;
  held.stays_on_stalled = job.progress.At(run.task).stall_moves >=
                          dispatch_internal::kMaxStallMoves;
  if (step.best_effort) {
    std::swap(held.best_effort_cpu, held.amount.cpu_millis);
    const bool added = vm.best_effort.count(step.image) == 0;
    vm.has_new_image = vm.has_new_image || added;
    vm.best_effort[step.image] += held.best_effort_cpu;
  }
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu += held.amount.cpu_millis;
    tail_targets_[step.image] = step.tail_target;
    dispatch_internal::ServingImage& image = vm.serving[step.image];
    vm.has_new_image = vm.has_new_image || image.runs == 0;
    ++image.runs;
    image.tail_target = step.tail_target;
  }
  if (held.long_running) vm.long_running += held.amount;
  if (held.gang && !held.long_running) vm.gangs += held.amount;
  vm.best_effort_cpu += held.best_effort_cpu;
  vm.used += held.amount;
  vm.held[run] = held;
}

void Dispatcher::Release(Vm& vm, const RunRef& run) {
  vm.stops.Remove(run);
  const auto it = vm.held.find(run);
  if (it == vm.held.end()) return;
  InvalidateCaches(vm);
  Job* job = Find(run.task.workflow);
  if (job != nullptr && job->held_runs > 0) --job->held_runs;
  const HeldRun& held = it->second;
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu -= held.amount.cpu_millis;
    if (--vm.serving[held.image].runs == 0) vm.serving.erase(held.image);
  }
  if (held.best_effort_cpu > 0) {
    vm.best_effort[held.image] -= held.best_effort_cpu;
    if (vm.best_effort[held.image] <= 0) vm.best_effort.erase(held.image);
  }
  if (held.long_running) vm.long_running -= held.amount;
  if (held.gang && !held.long_running) vm.gangs -= held.amount;
  vm.best_effort_cpu -= held.best_effort_cpu;
  vm.used -= held.amount;
  vm.held.erase(it);
}

void Dispatcher::SendStops(const std::string& name, Vm& vm, TimePoint now) {
  // A VM without an inventory may still obey. Otherwise its inventory makes the
  // stops due again.
  if (!vm.linked || authority_ == Authority::kNone) return;
  StopRuns stops{options_.epoch, vm.status.incarnation, {}};
  for (const DueStop& stop : vm.stops.TakeDue(now)) {
    stops.runs.push_back(stop.run);
    if (!stop.repeated) continue;
    ++counts_.stops_repeated;
    run_log_.Note("stop_repeated", stop.run, name, "");
  }
  if (!stops.runs.empty()) Send(name, std::move(stops));
}

void Dispatcher::SendDueStops(TimePoint now) {
  for (auto& [name, vm] : vms_) {
    if (!vm.stops.empty()) SendStops(name, vm, now);
  }
}

void Dispatcher::StopAllOf(Job& job, TimePoint now) {
  if (job.held_runs == 0) return;
  const std::string& id = job.progress.workflow().id;
  for (auto& [name, vm] : vms_) {
    auto it = vm.held.lower_bound({{id, 0, 0, 0}, 0});
    if (it == vm.held.end() || it->first.task.workflow != id) continue;
    for (; it != vm.held.end() && it->first.task.workflow == id; ++it) {
      vm.stops.Add(it->first, now);
    }
    SendStops(name, vm, now);
  }
}

void Dispatcher::MarkLapsed(const std::string& name, Vm& vm, RunRef run,
                            const char* reason, TimePoint now) {
  Release(vm, run);
  ++counts_.lapsed;
  Job* job = Find(run.task.workflow);
  if (job == nullptr) return;
  job->progress.OnEnded(run.task, run.run, RunEndKind::kLapsed, "", now);
  run_log_.Note("run_let_go", run, name, reason);
}

void Dispatcher::MarkAllLapsed(const std::string& name, Vm& vm,
                               const char* reason, TimePoint now) {
  while (!vm.held.empty()) {
    MarkLapsed(name, vm, vm.held.begin()->first, reason, now);
  }
  vm.stops.Clear();
}

bool Dispatcher::AllWorkflowsKnown(const VmInventory& inventory) {
  const auto known = [this](const RunRef& run) {
    return Knows(run.task.workflow);
  };
  return std::all_of(inventory.running.begin(), inventory.running.end(),
                     known) &&
         std::all_of(inventory.ended.begin(), inventory.ended.end(),
                     [&](const RunEnd& end) { return known(end.run); });
}

void Dispatcher::Adopt(const std::string& name, Vm& vm, const RunRef& run,
                       TimePoint now) {
  Job* job = Find(run.task.workflow);
  if (job != nullptr && job->progress.Has(run.task)) {
    const WorkflowProgress::Task& task = job->progress.At(run.task);
    Hold(vm, run, *job, job->progress.workflow().steps[run.task.step]);
    if (!job->progress.over() &&
        task.phase == WorkflowProgress::Phase::kWaiting &&
        run.run >= task.run) {
      job->progress.OnStarted(run.task, run.run, name, now);
      job->progress.OnBegun();
      // It began under an earlier owner.
      job->progress.At(run.task).measurable = false;
      ++counts_.adopted;
      run_log_.Note("run_adopted", run, name, "");
      return;
    }
  }
  ++counts_.stray_stops;
  vm.stops.Add(run, now);
}

void Dispatcher::ApplyInventoryStatus(const std::string& name, Vm& vm,
                                      const VmStatus& status, TimePoint now) {
  if (status.incarnation != vm.status.incarnation) {
    // The runs of an earlier incarnation are gone. If it can't be told whether
    // the incarnation is new, StopMissing() stops what the inventory doesn't
    // list.
    if (!MayBeSameIncarnation(status.incarnation, vm.status.incarnation)) {
      MarkAllLapsed(
          name, vm,
          status.incarnation.empty() ? "runner gone" : "runner replaced", now);
    }
    vm.trial.reset();
    vm.not_before = TimePoint{};
    vm.last_end = 0;
    vm.acknowledged_end = 0;
  }
  vm.status = status;
  UpdateWarmUp(vm, now);
  UpdateStall(name, vm, now);
}

bool Dispatcher::OnInventory(const std::string& vm,
                             const VmInventory& inventory, TimePoint now) {
  Vm& state = vms_[vm];
  if (inventory.epoch != options_.epoch) return true;
  if (!AllWorkflowsKnown(inventory) &&
      state.unknown_inventories < kMaxUnknownInventories) {
    ++state.unknown_inventories;
    return false;
  }
  state.unknown_inventories = 0;
  state.sent_weights.clear();  // The executor may be a new process.
  for (const PastIncarnation& past : inventory.past_incarnations) {
    ApplyPastIncarnationEnds(vm, state, past, now);
  }
  ApplyInventoryStatus(vm, state, inventory.status, now);
  for (const PastIncarnation& past : inventory.past_incarnations) {
    if (!past.announced) RecordLostRunner(vm, state, past, now);
  }
  state.has_inventory = true;
  // Until the first lease: the listed runs have leases of at most our term.
  state.lease_bound = std::max(state.lease_bound, now + options_.lease_term);
  for (const RunEnd& end : inventory.ended) {
    ApplyListedEnd(vm, state, end, now);
  }
  state.more_ends = inventory.more_ends;
  if (!state.more_ends) StopMissing(state, inventory, now);
  for (const RunRef& run : inventory.running) {
    if (state.held.count(run) == 0) {
      Adopt(vm, state, run, now);
    } else if (Job* job = Find(run.task.workflow); job != nullptr) {
      job->progress.OnBegun();  // The report of the begin may be lost.
    }
  }
  if (state.status.draining) MigrateOffDraining(vm, state, now);
  SendStops(vm, state, now);
  SendTraits(vm, state);
  // An earlier owner may have set another policy.
  Send(vm, PacePolicyNotice{options_.epoch, best_effort_load_.policy()});
  if (!state.more_ends) unreconciled_.erase(vm);
  return true;
}

void Dispatcher::SendTraits(const std::string& name, const Vm& vm) {
  RunTraitsList list{options_.epoch, vm.status.incarnation, {}};
  for (const auto& [run, held] : vm.held) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    const TaskTraits traits = dispatch_internal::TraitsOf(*job, step);
    if (traits.paced()) list.runs.push_back({run, traits});
  }
  if (!list.runs.empty()) Send(name, std::move(list));
}

void Dispatcher::RecordOutcome(const std::string& name, Job& job,
                               const RunEnd& end, TimePoint now) {
  const bool failed = end.kind == RunEndKind::kFailed;
  if (!failed && end.kind != RunEndKind::kDone) return;
  ++(failed ? counts_.failed : counts_.done);
  const TaskRef& ref = end.run.task;
  WorkflowProgress::Task& task = job.progress.At(ref);
  // Failures of runs from before the quarantine say nothing about the VM's
  // present health.
  const auto quarantined = health_.QuarantinedSince(name);
  const bool recent = !quarantined || task.held_since >= *quarantined;
  if (!failed || recent) health_.OnEnded(name, ref.workflow, failed, now);
  if (!failed) return;
  // The run ended by itself without crashing its runner.
  if (job.progress.OnStartSurvived(ref, end.run.run)) MarkDirty(job);
  task.avoid_vm = name;
  if (!job.progress.workflow().steps[ref.step].long_running) {
    task.not_before = now + kTaskRetryDelay;
  }
}

void Dispatcher::RecordRunTime(const Job& job, const TaskRef& ref) {
  if (!job.progress.StepDone(ref.round, ref.step)) return;
  const Workflow& workflow = job.progress.workflow();
  const auto measured = job.progress.MeasuredRun(ref.step);
  if (!measured) return;
  run_times_.Observe(workflow.queue, workflow.steps[ref.step].declared_run,
                     *measured);
}

void Dispatcher::ApplyEnd(const std::string& name, Vm& vm, const RunEnd& end,
                          TimePoint now) {
  // A held run's end is new whatever its number: a runner that keeps its
  // incarnation name across a restart numbers its ends from 1 again.
  if (end.number <= vm.last_end && vm.held.count(end.run) == 0) return;
  vm.last_end = end.number;
  Job* job = Find(end.run.task.workflow);
  if (job != nullptr && job->progress.Has(end.run.task)) {
    RecordOutcome(name, *job, end, now);
  }
  run_log_.Note("run_ended", end.run, name,
                std::string(RunEndKindName(end.kind)));
  RecordEnd(vm, end, now);
}

void Dispatcher::ApplyListedEnd(const std::string& name, Vm& vm,
                                const RunEnd& end, TimePoint now) {
  const bool numbered_anew =
      end.number <= vm.last_end && vm.held.count(end.run) > 0;
  ApplyEnd(name, vm, end, now);
  // An end that is still listed has not been acknowledged, whatever was sent.
  // One of a new numbering is acknowledged once it is listed again.
  if (!numbered_anew) {
    vm.acknowledged_end = std::min(vm.acknowledged_end, end.number - 1);
  }
}

// Skips kinds of ends other than done and failed: their checkpoints may be
// older than the latest known one.
void Dispatcher::ApplyPastIncarnationEnds(const std::string& name, Vm& vm,
                                          const PastIncarnation& past,
                                          TimePoint now) {
  for (const RunEnd& end : past.ended) {
    if (end.kind != RunEndKind::kDone && end.kind != RunEndKind::kFailed) {
      continue;
    }
    if (!RecordEnd(vm, end, now)) continue;
    run_log_.Note(
        "run_ended", end.run, name,
        std::string(RunEndKindName(end.kind)) + " in an earlier incarnation");
  }
}

bool Dispatcher::RecordEnd(Vm& vm, const RunEnd& end, TimePoint now) {
  const RunRef& run = end.run;
  Release(vm, run);
  Job* job = Find(run.task.workflow);
  if (job == nullptr || !job->progress.Has(run.task)) return false;
  const WorkflowProgress::Task& task = job->progress.At(run.task);
  const bool held_elsewhere =
      task.phase == WorkflowProgress::Phase::kHeld && task.run != run.run;
  const RunRef other{run.task, task.run};
  const std::string other_vm = task.vm;
  const bool was_over = job->progress.over();
  const bool changed =
      job->progress.OnEnded(run.task, run.run, end.kind, end.checkpoint, now);
  if (changed) MarkDirty(*job);
  if (changed && end.kind == RunEndKind::kDone) RecordRunTime(*job, run.task);
  if (end.kind == RunEndKind::kDone && held_elsewhere &&
      task.phase == WorkflowProgress::Phase::kDone) {
    vms_[other_vm].stops.Add(other, now);
    SendStops(other_vm, vms_[other_vm], now);
  }
  if (!was_over && job->progress.over()) {
    LogDecision(run.task.workflow, "workflow_over",
                std::string(WorkflowStateName(job->progress.state())));
    OnOver(*job, now);
  }
  return changed;
}

void Dispatcher::ApplyNotBegun(const std::string& name, Vm& vm,
                               const RunNotBegun& refused, TimePoint now) {
  const RunRef& run = refused.run;
  vm.stops.Remove(run);
  if (vm.held.count(run) == 0) return;
  Release(vm, run);
  ++counts_.not_begun;
  Job* job = Find(run.task.workflow);
  if (job == nullptr) return;
  job->progress.OnEnded(run.task, run.run, RunEndKind::kNotBegun, "", now);
  job->progress.At(run.task).not_before = now + kTaskRetryDelay;
  if (refused.reason == NotBegunReason::kUnreachable) {
    vm.not_before = now + kUnreachableBackOff;
  } else if (refused.reason != NotBegunReason::kStopped) {
    vm.not_before = now + kNoRoomBackOff;
  }
  run_log_.Note("run_not_begun", run, name,
                std::string(NotBegunReasonName(refused.reason)));
}

void Dispatcher::OnReports(const std::string& vm, const RunReports& reports,
                           TimePoint now) {
  Vm& state = vms_[vm];
  if (reports.epoch != options_.epoch || !state.has_inventory ||
      reports.incarnation != state.status.incarnation) {
    return;
  }
  for (const RunEnd& end : reports.ended) ApplyListedEnd(vm, state, end, now);
  for (const RunNotBegun& refused : reports.not_begun) {
    ApplyNotBegun(vm, state, refused, now);
  }
  for (const RunRef& run : reports.begun) {
    Job* job = Find(run.task.workflow);
    if (job != nullptr) job->progress.OnBegun();
  }
}

}  // namespace beamhill
