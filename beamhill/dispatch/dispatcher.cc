#include "beamhill/dispatch/dispatcher.h"

#include <algorithm>
#include <sstream>

namespace beamhill {
namespace {

// Workflows in one transaction: each takes two of the store's 100 entries,
// and the owner's row takes one.
constexpr size_t kMaxCommit = 45;
// How often an inventory with unknown workflows is asked for again before
// its unknown runs are stopped.
constexpr int kUnknownTries = 4;
// A refused or failed task waits so long before it is tried again.
constexpr Duration kRetryPause = std::chrono::milliseconds(60);
// A VM that refused a start for want of room gets none for so long.
constexpr Duration kNoRoomPause = std::chrono::milliseconds(250);
// A VM whose runner nobody answers for; its lease ends meanwhile, or its next
// life registers.
constexpr Duration kUnreachablePause = std::chrono::milliseconds(1500);

}  // namespace

std::unique_ptr<Dispatcher> Dispatcher::Create(const DispatcherOptions& options,
                                               DecisionHook on_decision,
                                               TimePoint now) {
  return std::unique_ptr<Dispatcher>(
      new Dispatcher(options, std::move(on_decision), now));
}

Dispatcher::Dispatcher(const DispatcherOptions& options,
                       DecisionHook on_decision, TimePoint now)
    : options_(options),
      on_decision_(std::move(on_decision)),
      taken_at_(now),
      confirmed_at_(now),
      unaccounted_(options.inherited_vms.begin(), options.inherited_vms.end()) {
}

Dispatcher::Job* Dispatcher::Find(const std::string& workflow) {
  const auto it = jobs_.find(workflow);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void Dispatcher::MarkDirty(Job& job) {
  job.dirty = true;
  dirty_.insert(job.progress.workflow().id);
}

void Dispatcher::Send(const std::string& vm, DispatchMessage message) {
  outbox_.push_back({vm, std::move(message)});
}

void Dispatcher::Decide(const std::string& workflow, const char* event,
                        const std::string& detail) {
  if (on_decision_) on_decision_(workflow, event, detail);
}

void Dispatcher::Account(const std::string& vm) { unaccounted_.erase(vm); }

bool Dispatcher::Knows(const std::string& workflow) const {
  return jobs_.count(workflow) > 0;
}

void Dispatcher::AddWorkflow(const Workflow& workflow,
                             const std::optional<ProgressRecord>& record,
                             TimePoint now) {
  if (Knows(workflow.id)) return;
  auto job = std::make_unique<Job>(workflow);
  const uint64_t last_opener =
      record ? std::max(record->opened_by, workflow.offered_to)
             : workflow.offered_to;
  job->opened = last_opener == options_.epoch;
  job->inherited = !job->opened && last_opener != 0;
  job->allowed = std::chrono::duration_cast<Duration>(DeclaredChain(workflow) *
                                                      workflow.policy.stretch) +
                 workflow.policy.target_latency;
  job->due = now + job->allowed;
  if (record) {
    job->progress.Restore(*record);
    job->stored_state = record->state;
    if (job->progress.over()) job->over_at = now;
  }
  Job& added = *job;
  jobs_.emplace(workflow.id, std::move(job));
  if (!added.progress.over() && !added.opened) MarkDirty(added);
  Decide(workflow.id, "workflow_added",
         added.inherited ? "inherited" : "new here");
}

void Dispatcher::Cancel(const std::string& workflow, TimePoint now) {
  Job* job = Find(workflow);
  if (job == nullptr || job->progress.over()) return;
  job->progress.Cancel();
  Decide(workflow, "workflow_cancelled", "on request");
  OnOver(*job, now);
}

std::optional<WorkflowState> Dispatcher::StateOf(
    const std::string& workflow) const {
  const auto it = jobs_.find(workflow);
  if (it == jobs_.end()) return std::nullopt;
  const Job& job = *it->second;
  if (!job.progress.over() || job.stored_state == job.progress.state()) {
    return job.progress.state();
  }
  return job.progress.begun() ? WorkflowState::kRunning
                              : WorkflowState::kQueued;
}

uint64_t Dispatcher::WaitingIn(const std::string& queue) const {
  uint64_t waiting = 0;
  for (const auto& [id, job] : jobs_) {
    if (job->progress.workflow().queue == queue &&
        job->progress.state() == WorkflowState::kQueued) {
      ++waiting;
    }
  }
  return waiting;
}

void Dispatcher::OnLinkUp(const std::string& vm) {
  Vm& state = vms_[vm];
  state.linked = true;
  state.answered = false;
  state.leased = false;
  Send(vm, Attach{"", options_.epoch});
}

void Dispatcher::OnLinkDown(const std::string& vm) {
  vms_[vm].linked = false;
  vms_[vm].answered = false;
  vms_[vm].leased = false;
}

void Dispatcher::OnHeartbeat(const std::string& vm, const VmHeartbeat& beat,
                             TimePoint now) {
  Vm& state = vms_[vm];
  if (beat.epoch != options_.epoch || !state.answered || !may_act_) return;
  state.leased = true;
  state.lease_bound =
      now + options_.lease_term +
      options_.lease_term * options_.clock_error_permille / 1000;
  Send(vm, RenewLease{options_.epoch, beat.stamp, options_.lease_term});
}

void Dispatcher::OnStatus(const std::string& vm, const VmStatus& status) {
  Vm& state = vms_[vm];
  if (status.life != state.status.life) {
    // Its work is gone, or will be found by the next inventory.
    state.answered = false;
    return;
  }
  const bool begins_to_drain = status.draining && !state.status.draining;
  state.status = status;
  if (begins_to_drain) Evacuate(vm, state);
}

// Moves off a draining VM what can't end there: its runs are stopped, and
// start again elsewhere from their checkpoints.
void Dispatcher::Evacuate(const std::string& name, Vm& vm) {
  const auto left = static_cast<int64_t>(ToMillis(vm.status.remaining));
  Decide("", "vm_draining", name + ", " + std::to_string(left) + " ms left");
  for (const auto& [run, held] : std::map<RunRef, HeldRun>(vm.held)) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    if (step.long_running || step.declared_run > vm.status.remaining) {
      Stop(name, vm, run);
    }
  }
}

void Dispatcher::Hold(Vm& vm, const RunRef& run, const WorkflowStep& step) {
  HeldRun held;
  held.amount = step.each;
  held.image = step.image;
  held.tail_target = step.tail_target;
  if (step.fills) {
    std::swap(held.filling_cpu, held.amount.cpu_millis);
    vm.filling[step.image] += held.filling_cpu;
  }
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu += held.amount.cpu_millis;
    ServingImage& image = vm.serving[step.image];
    ++image.runs;
    image.tail_target = step.tail_target;
  }
  vm.filling_cpu += held.filling_cpu;
  vm.used += held.amount;
  vm.held[run] = held;
}

void Dispatcher::Release(Vm& vm, const RunRef& run) {
  const auto it = vm.held.find(run);
  if (it == vm.held.end()) return;
  const HeldRun& held = it->second;
  if (held.tail_target > Duration(0)) {
    vm.serving_cpu -= held.amount.cpu_millis;
    if (--vm.serving[held.image].runs == 0) vm.serving.erase(held.image);
  }
  if (held.filling_cpu > 0) {
    vm.filling[held.image] -= held.filling_cpu;
    if (vm.filling[held.image] <= 0) vm.filling.erase(held.image);
  }
  vm.filling_cpu -= held.filling_cpu;
  vm.used -= held.amount;
  vm.held.erase(it);
}

void Dispatcher::Stop(const std::string& name, Vm& vm, const RunRef& run) {
  const auto it = vm.held.find(run);
  if (it != vm.held.end()) {
    if (it->second.stopping) return;
    it->second.stopping = true;
  }
  Send(name, StopRuns{options_.epoch, vm.status.life, {run}});
}

void Dispatcher::StopAllOf(Job& job) {
  const std::string& id = job.progress.workflow().id;
  for (auto& [name, vm] : vms_) {
    for (const auto& [run, held] : std::map<RunRef, HeldRun>(vm.held)) {
      if (run.task.workflow == id) Stop(name, vm, run);
    }
  }
}

void Dispatcher::OnOver(Job& job, TimePoint now) {
  MarkDirty(job);
  job.over_at = now;
  StopAllOf(job);
  health_.ForgetJob(job.progress.workflow().id);
}

void Dispatcher::LetGo(const std::string& name, Vm& vm, RunRef run,
                       RunEndKind kind) {
  Release(vm, run);
  ++counts_.lapsed;
  Job* job = Find(run.task.workflow);
  if (job == nullptr) return;
  job->progress.OnEnded(run.task, run.run, kind, "");
  Decide(run.task.workflow, "run_let_go",
         run.task.ToString() + " run " + std::to_string(run.run) + " on " +
             name + ": " + std::string(RunEndKindName(kind)));
}

void Dispatcher::LetGoAll(const std::string& name, Vm& vm) {
  while (!vm.held.empty()) {
    LetGo(name, vm, vm.held.begin()->first, RunEndKind::kLapsed);
  }
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
    Hold(vm, run, job->progress.workflow().steps[run.task.step]);
    if (!job->progress.over() &&
        task.phase == WorkflowProgress::Phase::kWaiting &&
        run.run >= task.run) {
      job->progress.OnStarted(run.task, run.run, name, now);
      ++counts_.adopted;
      Decide(run.task.workflow, "run_adopted",
             run.task.ToString() + " run " + std::to_string(run.run) + " on " +
                 name);
      return;
    }
  }
  ++counts_.stray_stops;
  Stop(name, vm, run);
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
  if (inventory.status.life != state.status.life) {
    // Another life of the runner: all that the earlier one ran is gone.
    LetGoAll(vm, state);
    state.processed = 0;
    state.settled = 0;
  }
  state.status = inventory.status;
  state.answered = true;
  // Good until the first lease: what is reported here runs under leases that
  // are not longer than ours.
  state.lease_bound = std::max(state.lease_bound, now + options_.lease_term);
  for (const RunEnd& end : inventory.ended) ApplyEnd(vm, state, end, now);
  std::set<RunRef> there(inventory.running.begin(), inventory.running.end());
  there.insert(inventory.pending.begin(), inventory.pending.end());
  for (const auto& [run, held] : std::map<RunRef, HeldRun>(state.held)) {
    if (there.count(run) == 0) {
      // The start may still be on its way; a stop settles that.
      state.held[run].stopping = false;
      Stop(vm, state, run);
    }
  }
  for (const RunRef& run : inventory.running) {
    if (state.held.count(run) == 0) Adopt(vm, state, run, now);
  }
  SendTraits(vm, state);
  Account(vm);
  return true;
}

void Dispatcher::SendTraits(const std::string& name, const Vm& vm) {
  RunTraitsList list{options_.epoch, vm.status.life, {}};
  for (const auto& [run, held] : vm.held) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    if (step.fills || step.tail_target > Duration(0)) {
      list.runs.push_back({run, step.image, step.fills, step.tail_target});
    }
  }
  if (!list.runs.empty()) Send(name, std::move(list));
}

void Dispatcher::ApplyEnd(const std::string& name, Vm& vm, const RunEnd& end,
                          TimePoint now) {
  if (end.number <= vm.processed) return;
  vm.processed = end.number;
  const RunRef& run = end.run;
  Release(vm, run);
  Job* job = Find(run.task.workflow);
  if (job == nullptr || !job->progress.Has(run.task)) return;
  Decide(run.task.workflow, "run_ended",
         run.task.ToString() + " run " + std::to_string(run.run) + " on " +
             name + ": " + std::string(RunEndKindName(end.kind)));
  WorkflowProgress::Task& task = job->progress.At(run.task);
  const bool held_elsewhere =
      task.phase == WorkflowProgress::Phase::kHeld && task.run != run.run;
  const RunRef other{run.task, task.run};
  const std::string other_vm = task.vm;
  const bool was_over = job->progress.over();
  if (end.kind == RunEndKind::kDone || end.kind == RunEndKind::kFailed) {
    const bool failed = end.kind == RunEndKind::kFailed;
    ++(failed ? counts_.failed : counts_.done);
    health_.OnEnded(name, run.task.workflow, failed, now);
    if (failed) {
      task.avoid_vm = name;
      if (!job->progress.workflow().steps[run.task.step].long_running) {
        task.not_before = now + kRetryPause;
      }
    }
  }
  if (job->progress.OnEnded(run.task, run.run, end.kind, end.checkpoint)) {
    MarkDirty(*job);
  }
  if (end.kind == RunEndKind::kDone && held_elsewhere &&
      task.phase == WorkflowProgress::Phase::kDone) {
    Stop(other_vm, vms_[other_vm], other);
  }
  if (!was_over && job->progress.over()) {
    Decide(run.task.workflow, "workflow_over",
           std::string(WorkflowStateName(job->progress.state())));
    OnOver(*job, now);
  }
}

void Dispatcher::ApplyNotBegun(const std::string& name, Vm& vm,
                               const RunNotBegun& refused, TimePoint now) {
  const RunRef& run = refused.run;
  if (vm.held.count(run) == 0) return;
  Release(vm, run);
  ++counts_.not_begun;
  Job* job = Find(run.task.workflow);
  if (job == nullptr) return;
  job->progress.OnEnded(run.task, run.run, RunEndKind::kNotBegun, "");
  job->progress.At(run.task).not_before = now + kRetryPause;
  if (refused.reason == NotBegunReason::kUnreachable) {
    vm.not_before = now + kUnreachablePause;
  } else if (refused.reason != NotBegunReason::kStopped) {
    vm.not_before = now + kNoRoomPause;
  }
  Decide(run.task.workflow, "run_not_begun",
         run.task.ToString() + " run " + std::to_string(run.run) + " on " +
             name + ": " + std::string(NotBegunReasonName(refused.reason)));
}

void Dispatcher::OnReports(const std::string& vm, const RunReports& reports,
                           TimePoint now) {
  Vm& state = vms_[vm];
  if (reports.epoch != options_.epoch || !state.answered ||
      reports.life != state.status.life) {
    return;
  }
  for (const RunEnd& end : reports.ended) ApplyEnd(vm, state, end, now);
  for (const RunNotBegun& refused : reports.not_begun) {
    ApplyNotBegun(vm, state, refused, now);
  }
}

void Dispatcher::OnConfirmed(TimePoint sent_at) {
  confirmed_at_ = std::max(confirmed_at_, sent_at);
}

bool Dispatcher::IsPast(TimePoint bound, TimePoint now) const {
  return now >= bound && confirmed_at_ >= bound;
}

bool Dispatcher::WantsConfirmation(TimePoint now) const {
  const auto waits = [&](TimePoint bound) {
    return now >= bound && confirmed_at_ < bound;
  };
  if (!unaccounted_.empty() && waits(taken_at_ + options_.inherited_bound)) {
    return true;
  }
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    return !entry.second.held.empty() && waits(entry.second.lease_bound);
  });
}

void Dispatcher::ExpireLeases(TimePoint now) {
  for (auto& [name, vm] : vms_) {
    if (vm.held.empty() || !IsPast(vm.lease_bound, now)) continue;
    Decide("", "vm_lapsed", name);
    LetGoAll(name, vm);
    if (vm.answered) {
      vm.answered = false;
      vm.leased = false;
      if (vm.linked) Send(name, Attach{"", options_.epoch});
    }
  }
  if (IsPast(taken_at_ + options_.inherited_bound, now)) {
    unaccounted_.clear();
  }
}

void Dispatcher::Tick(TimePoint now, UnixMillis unix_now) {
  ExpireLeases(now);
  if (!may_act_) return;
  MoveStarved(now);
  StartWaiting(now, unix_now);
}

std::vector<VmMessage> Dispatcher::TakeMessages() {
  return std::exchange(outbox_, {});
}

void Dispatcher::Settle(
    const std::map<std::string, std::pair<std::string, uint64_t>>& ends) {
  for (const auto& [name, end] : ends) {
    Vm& vm = vms_[name];
    if (vm.status.life != end.first || vm.settled >= end.second) continue;
    vm.settled = end.second;
    Send(name, EndsSettled{options_.epoch, end.first, end.second});
  }
}

std::optional<DispatchCommit> Dispatcher::TakeCommit(TimePoint now) {
  if (commit_out_) return std::nullopt;
  std::map<std::string, std::pair<std::string, uint64_t>> processed;
  for (const auto& [name, vm] : vms_) {
    if (vm.processed > vm.settled) {
      processed[name] = {vm.status.life, vm.processed};
    }
  }
  if (dirty_.empty()) {
    // Nothing that these ends changed waits to be stored.
    Settle(processed);
  }
  DispatchCommit commit;
  const bool all = dirty_.size() <= kMaxCommit;
  while (!dirty_.empty() && commit.progress.size() < kMaxCommit) {
    const std::string id = *dirty_.begin();
    dirty_.erase(dirty_.begin());
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->dirty = false;
    commit.progress.emplace_back(id, job->progress.Record(options_.epoch));
    in_commit_.push_back(id);
  }
  for (const auto& [id, job] : jobs_) {
    if (commit.progress.size() + commit.forgotten.size() >= kMaxCommit) break;
    const bool old = job->over_at && !job->dirty &&
                     job->stored_state == job->progress.state() &&
                     now - *job->over_at > options_.retention;
    if (old) commit.forgotten.push_back(id);
  }
  if (commit.progress.empty() && commit.forgotten.empty()) return std::nullopt;
  if (all) settling_ = processed;
  forgetting_ = commit.forgotten;
  commit_out_ = true;
  return commit;
}

void Dispatcher::OnCommitted(TimePoint now) {
  commit_out_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->opened = true;
    // A job that changed meanwhile is dirty again and shows its end later.
    if (!job->dirty) job->stored_state = job->progress.state();
  }
  for (const std::string& id : std::exchange(forgetting_, {})) jobs_.erase(id);
  Settle(std::exchange(settling_, {}));
  (void)now;
}

void Dispatcher::OnCommitFailed() {
  commit_out_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    if (Job* job = Find(id); job != nullptr) MarkDirty(*job);
  }
  forgetting_.clear();
  settling_.clear();
}

DispatchSummary Dispatcher::Summary() const {
  DispatchSummary summary;
  for (const auto& [name, vm] : vms_) {
    if (!vm.answered) continue;
    ++summary.vms;
    summary.capacity += vm.status.capacity;
    summary.used += vm.used;
    summary.serving_cpu += vm.serving_cpu;
    summary.filling_cpu += vm.filling_cpu;
    summary.filling_cpu_in_use += vm.filling_cpu_in_use;
    summary.held_runs += vm.held.size();
  }
  for (const auto& [id, job] : jobs_) {
    if (!job->progress.over()) ++summary.open_workflows;
  }
  for (const auto& weight : interference_.Weights()) {
    const auto millis = static_cast<int64_t>(ToMillis(weight.per_vm));
    summary.pressure += weight.filler + ">" + weight.serving + ":" +
                        std::to_string(millis) + " ";
  }
  return summary;
}

std::string Dispatcher::Dump(TimePoint now) const {
  std::ostringstream out;
  out << "epoch " << options_.epoch << " workflows " << jobs_.size()
      << " unaccounted " << unaccounted_.size() << "\n";
  for (const auto& [name, vm] : vms_) {
    out << "vm " << name << " life " << vm.status.life << " answered "
        << vm.answered << " held " << vm.held.size() << " used "
        << vm.used.cpu_millis << "/" << vm.status.capacity.cpu_millis
        << " filling " << vm.filling_cpu << " lease_ms "
        << ToMillis(vm.lease_bound - now) << "\n";
  }
  for (const auto& weight : interference_.Weights()) {
    out << "pressure " << weight.filler << " on " << weight.serving << " ms "
        << ToMillis(weight.per_vm) << "\n";
  }
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    out << "workflow " << id << " " << WorkflowStateName(job->progress.state())
        << " opened " << job->opened << " inherited " << job->inherited
        << " due_ms " << ToMillis(job->due - now) << "\n";
  }
  return out.str();
}

}  // namespace beamhill
