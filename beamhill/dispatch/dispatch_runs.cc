// The part of Dispatcher that accounts for runs: which VM holds which, what
// becomes of each, and what an executor's inventory and reports say of them.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/incarnation_name.h"

namespace beamhill {
namespace {

// How often an inventory with unknown workflows is asked for again before
// its unknown runs are stopped.
constexpr int kUnknownTries = 4;
// A refused or failed task waits so long before it is tried again.
constexpr Duration kRetryPause = std::chrono::milliseconds(60);
// A VM that refused a start for want of room gets none for so long.
constexpr Duration kNoRoomPause = std::chrono::milliseconds(250);
// A VM whose runner nobody answers for; its lease ends meanwhile, or its next
// incarnation registers.
constexpr Duration kUnreachablePause = std::chrono::milliseconds(1500);

}  // namespace

void Dispatcher::MoveOff(const std::string& name, Vm& vm, Job& job,
                         const RunRef& run, const std::string& reason,
                         TimePoint now) {
  job.progress.At(run.task).avoid_vm = name;
  vm.stops.Add(run, now);
  ++counts_.moved;
  run_log_.Note("run_moved", run, name, reason);
}

void Dispatcher::MoveOffDraining(const std::string& name, Vm& vm,
                                 TimePoint now) {
  const auto left = static_cast<int64_t>(ToMillis(vm.status.remaining));
  Decide("", "vm_draining", name + ", " + std::to_string(left) + " ms left");
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
  if (++job.held_runs > 1) job.kept_going = false;
  ForgetDerived(vm);
  HeldRun held;
  held.best_effort_rank = job.best_effort_rank;
  held.amount = step.each;
  held.image = step.image;
  held.tail_target = step.tail_target;
  if (step.best_effort) {
    std::swap(held.best_effort_cpu, held.amount.cpu_millis);
    const bool added = vm.filling.count(step.image) == 0;
    vm.new_image = vm.new_image || added;
    vm.filling[step.image] += held.best_effort_cpu;
  }
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu += held.amount.cpu_millis;
    tail_targets_[step.image] = step.tail_target;
    dispatch_internal::ServingImage& image = vm.serving[step.image];
    vm.new_image = vm.new_image || image.runs == 0;
    ++image.runs;
    image.tail_target = step.tail_target;
  }
  vm.best_effort_cpu += held.best_effort_cpu;
  vm.used += held.amount;
  vm.held[run] = held;
}

void Dispatcher::Release(Vm& vm, const RunRef& run) {
  vm.stops.Remove(run);
  const auto it = vm.held.find(run);
  if (it == vm.held.end()) return;
  ForgetDerived(vm);
  Job* job = Find(run.task.workflow);
  if (job != nullptr && job->held_runs > 0) --job->held_runs;
  const HeldRun& held = it->second;
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu -= held.amount.cpu_millis;
    if (--vm.serving[held.image].runs == 0) vm.serving.erase(held.image);
  }
  if (held.best_effort_cpu > 0) {
    vm.filling[held.image] -= held.best_effort_cpu;
    if (vm.filling[held.image] <= 0) vm.filling.erase(held.image);
  }
  vm.best_effort_cpu -= held.best_effort_cpu;
  vm.used -= held.amount;
  vm.held.erase(it);
}

void Dispatcher::SendStops(const std::string& name, Vm& vm, TimePoint now) {
  // One that has not answered may obey all the same; if not, they are due again
  // once it has.
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

void Dispatcher::LetGo(const std::string& name, Vm& vm, RunRef run,
                       const char* why, TimePoint now) {
  Release(vm, run);
  ++counts_.lapsed;
  Job* job = Find(run.task.workflow);
  if (job == nullptr) return;
  job->progress.OnEnded(run.task, run.run, RunEndKind::kLapsed, "", now);
  run_log_.Note("run_let_go", run, name, why);
}

void Dispatcher::LetGoAll(const std::string& name, Vm& vm, const char* why,
                          TimePoint now) {
  while (!vm.held.empty()) {
    LetGo(name, vm, vm.held.begin()->first, why, now);
  }
  vm.stops.Clear();
}

bool Dispatcher::AllKnown(const VmInventory& inventory) {
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
      job->progress.At(run.task).whole = false;  // It began before.
      ++counts_.adopted;
      run_log_.Note("run_adopted", run, name, "");
      return;
    }
  }
  ++counts_.stray_stops;
  vm.stops.Add(run, now);
}

void Dispatcher::NoteWarmth(Vm& vm, TimePoint now) {
  vm.warm_at = now + vm.status.cold;
  vm.cold = vm.status.cold > Duration(0);
}

void Dispatcher::TakeInventoryStatus(const std::string& name, Vm& vm,
                                     const VmStatus& status, TimePoint now) {
  if (status.incarnation != vm.status.incarnation) {
    // Another incarnation of the runner: all that the earlier one ran is gone.
    // Where it can't be told whether it is another, stops settle what is not
    // there.
    if (!MayBeSameIncarnation(status.incarnation, vm.status.incarnation)) {
      LetGoAll(name, vm,
               status.incarnation.empty() ? "runner gone" : "runner replaced",
               now);
    }
    vm.trial.reset();
    vm.not_before = TimePoint{};
    vm.processed = 0;
    vm.settled = 0;
  }
  vm.status = status;
  NoteWarmth(vm, now);
}

void Dispatcher::StopMissing(Vm& vm, const VmInventory& inventory,
                             TimePoint now) {
  std::set<RunRef> there(inventory.running.begin(), inventory.running.end());
  there.insert(inventory.pending.begin(), inventory.pending.end());
  for (const RunRef& run : vm.stops.Runs()) {
    if (there.count(run) == 0 && vm.held.count(run) == 0) vm.stops.Remove(run);
  }
  for (const auto& [run, held] : vm.held) {
    // A start that is not there may still be on its way; a stop settles that.
    if (there.count(run) == 0) vm.stops.Add(run, now);
  }
  // Those that were sent may be lost with their link or their executor.
  vm.stops.MakeAllDue();
}

bool Dispatcher::OnInventory(const std::string& vm,
                             const VmInventory& inventory, TimePoint now) {
  Vm& state = vms_[vm];
  if (inventory.epoch != options_.epoch) return true;
  if (!AllKnown(inventory) && state.unknown_tries < kUnknownTries) {
    ++state.unknown_tries;
    return false;
  }
  state.unknown_tries = 0;
  state.told.clear();  // Its executor may be another.
  for (const PastIncarnation& past : inventory.past_incarnations) {
    ApplyPastEnds(vm, state, past, now);
  }
  TakeInventoryStatus(vm, state, inventory.status, now);
  for (const PastIncarnation& past : inventory.past_incarnations) {
    if (!past.announced) NoteLostRunner(vm, state, past, now);
  }
  state.answered = true;
  // Good until the first lease: what is reported here runs under leases that
  // are not longer than ours.
  state.lease_bound = std::max(state.lease_bound, now + options_.lease_term);
  for (const RunEnd& end : inventory.ended) {
    ApplyListedEnd(vm, state, end, now);
  }
  StopMissing(state, inventory, now);
  for (const RunRef& run : inventory.running) {
    if (state.held.count(run) == 0) {
      Adopt(vm, state, run, now);
    } else if (Job* job = Find(run.task.workflow); job != nullptr) {
      job->progress.OnBegun();  // The report of it may be lost.
    }
  }
  if (state.status.draining) MoveOffDraining(vm, state, now);
  SendStops(vm, state, now);
  SendTraits(vm, state);
  // An earlier owner may have told it otherwise.
  Send(vm, PacePolicyNotice{options_.epoch, filler_load_.policy()});
  Account(vm);
  return true;
}

void Dispatcher::SendTraits(const std::string& name, const Vm& vm) {
  RunTraitsList list{options_.epoch, vm.status.incarnation, {}};
  for (const auto& [run, held] : vm.held) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    const TaskTraits traits = TraitsOf(*job, step);
    if (traits.paced()) list.runs.push_back({run, traits});
  }
  if (!list.runs.empty()) Send(name, std::move(list));
}

void Dispatcher::NoteOutcome(const std::string& name, Job& job,
                             const RunEnd& end, TimePoint now) {
  const bool failed = end.kind == RunEndKind::kFailed;
  if (!failed && end.kind != RunEndKind::kDone) return;
  ++(failed ? counts_.failed : counts_.done);
  const TaskRef& ref = end.run.task;
  WorkflowProgress::Task& task = job.progress.At(ref);
  // What failed of the runs from before a VM's quarantine is no news of it.
  const auto quarantined = health_.QuarantinedSince(name);
  const bool news = !quarantined || task.held_since >= *quarantined;
  if (!failed || news) health_.OnEnded(name, ref.workflow, failed, now);
  if (!failed) return;
  // It came to an end of its own, on a runner that lives.
  if (job.progress.OnOutlived(ref, end.run.run)) MarkDirty(job);
  task.avoid_vm = name;
  if (!job.progress.workflow().steps[ref.step].long_running) {
    task.not_before = now + kRetryPause;
  }
}

void Dispatcher::LearnRunTime(const Job& job, const TaskRef& ref) {
  if (!job.progress.StepDone(ref.round, ref.step)) return;
  const Workflow& workflow = job.progress.workflow();
  const auto measured = job.progress.MeasuredRun(ref.step);
  if (!measured) return;
  run_times_.Observe(workflow.queue, workflow.steps[ref.step].declared_run,
                     *measured);
}

void Dispatcher::ApplyEnd(const std::string& name, Vm& vm, const RunEnd& end,
                          TimePoint now) {
  if (end.number <= vm.processed) return;
  vm.processed = end.number;
  Job* job = Find(end.run.task.workflow);
  if (job != nullptr && job->progress.Has(end.run.task)) {
    NoteOutcome(name, *job, end, now);
  }
  run_log_.Note("run_ended", end.run, name,
                std::string(RunEndKindName(end.kind)));
  TakeEnd(vm, end, now);
}

void Dispatcher::ApplyListedEnd(const std::string& name, Vm& vm,
                                const RunEnd& end, TimePoint now) {
  ApplyEnd(name, vm, end, now);
  // What is still listed was not settled there, whatever was sent. An end that
  // was not taken in must not be settled at all.
  const bool taken_in = vm.held.count(end.run) == 0;
  if (taken_in) vm.settled = std::min(vm.settled, end.number - 1);
}

// Only ends that say something of the task: a checkpoint of an earlier
// incarnation may be older than what is known by now.
void Dispatcher::ApplyPastEnds(const std::string& name, Vm& vm,
                               const PastIncarnation& past, TimePoint now) {
  for (const RunEnd& end : past.ended) {
    if (end.kind != RunEndKind::kDone && end.kind != RunEndKind::kFailed) {
      continue;
    }
    if (!TakeEnd(vm, end, now)) continue;
    run_log_.Note("run_ended", end.run, name,
                  std::string(RunEndKindName(end.kind)) + " in a past life");
  }
}

bool Dispatcher::TakeEnd(Vm& vm, const RunEnd& end, TimePoint now) {
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
  if (changed && end.kind == RunEndKind::kDone) LearnRunTime(*job, run.task);
  if (end.kind == RunEndKind::kDone && held_elsewhere &&
      task.phase == WorkflowProgress::Phase::kDone) {
    vms_[other_vm].stops.Add(other, now);
    SendStops(other_vm, vms_[other_vm], now);
  }
  if (!was_over && job->progress.over()) {
    Decide(run.task.workflow, "workflow_over",
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
  job->progress.At(run.task).not_before = now + kRetryPause;
  if (refused.reason == NotBegunReason::kUnreachable) {
    vm.not_before = now + kUnreachablePause;
  } else if (refused.reason != NotBegunReason::kStopped) {
    vm.not_before = now + kNoRoomPause;
  }
  run_log_.Note("run_not_begun", run, name,
                std::string(NotBegunReasonName(refused.reason)));
}

void Dispatcher::OnReports(const std::string& vm, const RunReports& reports,
                           TimePoint now) {
  Vm& state = vms_[vm];
  if (reports.epoch != options_.epoch || !state.answered ||
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
