#include "beamhill/dispatch/dispatcher.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Collects log lines about runs of one step. At 240 VMs, bursts of 700 ends per
// second in some 100 steps become some 300 lines per second.
constexpr Duration kRunLogInterval = std::chrono::milliseconds(250);

// Describes the tasks of a workflow for the log, such as "8x2000m+gang".
std::string Summarize(const Workflow& workflow) {
  std::string shape = workflow.repetitions > 0
                          ? std::to_string(workflow.repetitions) + " rounds of"
                          : "";
  for (const WorkflowStep& step : workflow.steps) {
    if (!shape.empty()) shape += " ";
    shape += std::to_string(step.tasks) + "x" +
             std::to_string(step.each.cpu_millis) + "m";
    if (step.gang) shape += step.same_rack ? "+rackgang" : "+gang";
    if (step.best_effort) shape += "+fills";
    if (step.long_running) shape += "+lasting";
    if (!step.required_label.empty()) shape += "+" + step.required_label;
    if (step.max_per_vm > 0) {
      shape += "+apart" + std::to_string(step.max_per_vm);
    }
  }
  return shape;
}

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
      run_log_(on_decision_),
      ownership_taken_at_(now),
      ownership_confirmed_at_(now),
      unreconciled_(options.inherited_vms.begin(),
                    options.inherited_vms.end()) {}

Dispatcher::~Dispatcher() { run_log_.Flush(); }

Dispatcher::Job* Dispatcher::Find(const std::string& workflow) {
  const auto it = jobs_.find(workflow);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void Dispatcher::MarkDirty(Job& job) {
  if (!job.dirty) dirty_.push_back(job.progress.workflow().id);
  job.dirty = true;
}

void Dispatcher::Send(const std::string& vm, DispatchMessage message) {
  outbox_.push_back({vm, std::move(message)});
}

bool Dispatcher::MayStart(const Job& job) const {
  if (!job.opened || job.progress.over()) return false;
  return !job.inherited || unreconciled_.empty();
}

void Dispatcher::LogDecision(const std::string& workflow, const char* event,
                             const std::string& detail) {
  if (on_decision_) on_decision_(workflow, event, detail);
}

bool Dispatcher::Knows(const std::string& workflow) const {
  return jobs_.count(workflow) > 0;
}

void Dispatcher::AddWorkflow(const Workflow& workflow,
                             const std::optional<ProgressRecord>& record,
                             TimePoint now) {
  if (Knows(workflow.id)) return;
  auto job = std::make_unique<Job>(workflow);
  const uint64_t last_opener =
      record ? std::max(record->opened_by_epoch, workflow.offered_to_epoch)
             : workflow.offered_to_epoch;
  job->opened = last_opener == options_.epoch;
  job->inherited = !job->opened && last_opener != 0;
  job->added_at = now;
  UpdateExpectedRunTimes(*job);
  job->objective = LatencyObjectiveOf(*job, 0);
  if (record) {
    job->progress.Restore(*record);
    job->stored_state = record->state;
    if (job->progress.over()) {
      job->over_at = now;
      job->progress.ReleaseTasks();
    }
    for (const StepRecord& step : record->steps) {
      for (const StepRecord::RunsOfTask& crashed : step.crashes) {
        suspects_.insert({workflow.id, step.round, step.step, crashed.index});
      }
    }
  }
  Job& added = *job;
  counts_.workflow_bytes += added.progress.MemoryBytes();
  jobs_.emplace(workflow.id, std::move(job));
  if (!added.progress.over() && !added.opened) MarkDirty(added);
  // Until the first refresh; it is not late yet.
  added.best_effort_rank = added.progress.RemainingCoreSeconds(0);
  LogDecision(workflow.id, "workflow_added",
              std::string(added.inherited ? "inherited" : "new here") + ", " +
                  Summarize(workflow));
}

void Dispatcher::Cancel(const std::string& workflow, TimePoint now) {
  Job* job = Find(workflow);
  if (job == nullptr) return;
  job->cancelled_at = now;
  if (job->progress.over()) return;
  job->progress.Cancel();
  LogDecision(workflow, "workflow_cancelled", "on request");
  OnOver(*job, now);
}

std::optional<WorkflowState> Dispatcher::StateOf(
    const std::string& workflow) const {
  const auto it = jobs_.find(workflow);
  if (it == jobs_.end()) return std::nullopt;
  const Job& job = *it->second;
  const WorkflowState state = job.progress.state();
  // A cancellation is stored before the dispatcher is notified.
  const bool stored =
      job.stored_state == state || state == WorkflowState::kCancelled;
  if (!job.progress.over() || stored) return state;
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

size_t Dispatcher::HeldRunsOf(const std::string& workflow) const {
  const auto it = jobs_.find(workflow);
  return it == jobs_.end() ? 0 : it->second->held_runs;
}

void Dispatcher::OnLinkUp(const std::string& vm) {
  Vm& state = vms_[vm];
  state.linked = true;
  state.has_inventory = false;
  state.leased = false;
  SendAttach(vm);
}

void Dispatcher::OnLinkDown(const std::string& vm) {
  vms_[vm].linked = false;
  vms_[vm].has_inventory = false;
  vms_[vm].leased = false;
}

void Dispatcher::OnVmSilent(const std::string& vm) {
  Vm& state = vms_[vm];
  if (!state.linked || !state.has_inventory) return;
  state.has_inventory = false;
  state.leased = false;
  SendAttach(vm);
}

// Without authority requests would queue up; SetAuthority() repeats them once
// it is back.
void Dispatcher::SendAttach(const std::string& vm) {
  if (authority_ == Authority::kNone) return;
  Send(vm, Attach{"", options_.epoch});
}

void Dispatcher::RetryAttach() {
  for (const auto& [name, vm] : vms_) {
    const bool complete = vm.has_inventory && !vm.more_ends;
    if (vm.linked && !complete) SendAttach(name);
  }
}

void Dispatcher::SetAuthority(Authority authority, TimePoint now) {
  const bool had_none = authority_ == Authority::kNone;
  authority_ = authority;
  if (authority == Authority::kNone) {
    WithdrawStarts(now);
  } else if (had_none) {
    RetryAttach();
  }
}

void Dispatcher::WithdrawStarts(TimePoint now) {
  const auto is_start = [](const VmMessage& out) {
    return std::holds_alternative<StartRuns>(out.message);
  };
  const auto first =
      std::stable_partition(outbox_.begin(), outbox_.end(),
                            [&](const auto& out) { return !is_start(out); });
  for (auto it = first; it != outbox_.end(); ++it) {
    const auto& starts = std::get<StartRuns>(it->message);
    for (const StartRun& start : starts.runs) {
      const RunRef run{
          {starts.workflow, starts.round, starts.step, start.index}, start.run};
      ApplyNotBegun(it->vm, vms_[it->vm], {run, NotBegunReason::kStopped}, now);
    }
  }
  outbox_.erase(first, outbox_.end());
}

void Dispatcher::OnHeartbeat(const std::string& vm,
                             const VmHeartbeat& heartbeat, TimePoint now) {
  Vm& state = vms_[vm];
  if (heartbeat.epoch != options_.epoch || !state.has_inventory) return;
  if (authority_ != Authority::kFull) return;
  state.leased = true;
  state.stamp = heartbeat.stamp;
  state.stamped_at = now;
  state.lease_bound =
      now + options_.lease_term +
      options_.lease_term * options_.clock_error_permille / 1000;
  Send(vm, RenewLease{options_.epoch, heartbeat.stamp, options_.lease_term});
}

void Dispatcher::OnStatus(const std::string& vm, const VmStatus& status,
                          TimePoint now) {
  Vm& state = vms_[vm];
  if (status.incarnation != state.status.incarnation) {
    // The runs of the earlier incarnation are gone or will be in the next
    // inventory.
    state.has_inventory = false;
    return;
  }
  const bool begins_to_drain = status.draining && !state.status.draining;
  state.status = status;
  UpdateWarmUp(state, now);
  UpdateStall(vm, state, now);
  if (begins_to_drain) MigrateOffDraining(vm, state, now);
}

void Dispatcher::OnOver(Job& job, TimePoint now) {
  MarkDirty(job);
  job.over_at = now;
  StopAllOf(job, now);
  health_.ForgetJob(job.progress.workflow().id);
}

void Dispatcher::OnConfirmed(TimePoint sent_at) {
  ownership_confirmed_at_ = std::max(ownership_confirmed_at_, sent_at);
}

bool Dispatcher::IsPastAndConfirmed(TimePoint bound, TimePoint now) const {
  return now >= bound && ownership_confirmed_at_ >= bound;
}

bool Dispatcher::NeedsConfirmation(TimePoint now) const {
  const auto waits = [&](TimePoint bound) {
    return now >= bound && ownership_confirmed_at_ < bound;
  };
  if (!unreconciled_.empty() &&
      waits(ownership_taken_at_ + options_.inherited_bound)) {
    return true;
  }
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    return !entry.second.held.empty() && waits(entry.second.lease_bound);
  });
}

void Dispatcher::ExpireLeases(TimePoint now) {
  for (auto& [name, vm] : vms_) {
    const bool idle = vm.held.empty() && vm.stops.empty();
    if (idle || !IsPastAndConfirmed(vm.lease_bound, now)) continue;
    LogDecision("", "vm_lapsed", name);
    if (vm.linked) SuspectSilentRunner(name, vm, now);
    MarkAllLapsed(name, vm, "lease over", now);
    if (vm.has_inventory) {
      vm.has_inventory = false;
      vm.leased = false;
      if (vm.linked) SendAttach(name);
    }
  }
  if (IsPastAndConfirmed(ownership_taken_at_ + options_.inherited_bound, now)) {
    unreconciled_.clear();
  }
}

void Dispatcher::Tick(TimePoint now, UnixMillis unix_now) {
  ExpireLeases(now);
  if (authority_ == Authority::kFull) {
    RefreshIdle(now);
    RefreshStalls(now);
    RefreshBestEffortRanks(now, unix_now);
    MigrateStarved(now);
    RefreshLayout(now);
    RefreshLongRunning(now);
    ClearSuspects(now);
    EvacuateHalls(now);
  }
  SendDueStops(now);
  if (authority_ == Authority::kFull) StartWaitingTasks(now, unix_now);
  if (now - runs_logged_at_ < kRunLogInterval) return;
  runs_logged_at_ = now;
  run_log_.Flush();
}

std::vector<VmMessage> Dispatcher::TakeMessages() {
  if (authority_ == Authority::kNone) return {};
  return std::exchange(outbox_, {});
}

}  // namespace beamhill
