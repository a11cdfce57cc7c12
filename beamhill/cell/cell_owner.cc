#include "beamhill/cell/cell_owner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// An agent heard from within this time is alive, even if its VM is not listed.
constexpr Duration kRecentlyHeard = std::chrono::seconds(5);

}  // namespace

std::unique_ptr<CellOwner> CellOwner::Create(
    const CellOwnerOptions& options, const Ownership& ownership,
    const CellSnapshot& snapshot, const std::vector<RangeRow>& ranges) {
  std::unique_ptr<CellOwner> owner(new CellOwner(options, ownership));
  if (ownership.inherited) {
    owner->unreconciled_.insert(snapshot.roster.begin(), snapshot.roster.end());
  }
  const bool inherited = !owner->unreconciled_.empty();
  for (const RangeRow& row : ranges) {
    const auto progress = std::find_if(
        snapshot.ranges.begin(), snapshot.ranges.end(),
        [&row](const RangeProgress& p) { return p.job == row.job.id; });
    const RangeProgress* found =
        progress == snapshot.ranges.end() ? nullptr : &*progress;
    // With no VM to reconcile, no inherited task can still be running, so that
    // the unknown tasks are requeued at once.
    RangeLedger ledger(row, ownership.inherited, found);
    if (!inherited) ledger.RequeueUnknown();
    owner->ranges_.emplace(row.job.id, std::move(ledger));
  }
  owner->dirty_ = true;
  return owner;
}

CellOwner::CellOwner(const CellOwnerOptions& options,
                     const Ownership& ownership)
    : options_(options), ownership_(ownership) {}

Duration CellOwner::WithClockMargin(Duration d) const {
  return d + d * options_.clock_rate_error_permille / 1000;
}

// An owner grants nothing after its release, so that leases granted before it
// are the last ones. A lost owner may grant leases until its own term ends.
TimePoint CellOwner::InheritedLeaseEnd() const {
  if (!ownership_.inherited) return TimePoint{};
  if (ownership_.released) {
    return ownership_.claimed_at + WithClockMargin(options_.agent_term);
  }
  return ownership_.claimed_at + WithClockMargin(options_.ownership_term);
}

void CellOwner::OnOwnershipConfirmed(TimePoint sent_at) {
  ownership_.confirmed_at = std::max(ownership_.confirmed_at, sent_at);
  RequestPendingInventories();
}

void CellOwner::OnOwnershipLost() {
  ownership_lost_ = true;
  outbox_.clear();
}

bool CellOwner::MayAct(TimePoint now) const {
  return !ownership_lost_ &&
         now < ownership_.confirmed_at + options_.ownership_term;
}

bool CellOwner::NeedsConfirmation(TimePoint now) const {
  if (ownership_lost_) return false;
  if (now >= ownership_.confirmed_at + options_.ownership_term / 4) return true;
  if (ExpiryNeedsConfirmation(now)) return true;
  return std::any_of(agents_.begin(), agents_.end(), [](const auto& entry) {
    return entry.second.linked && !entry.second.confirmed;
  });
}

Fence CellOwner::FenceFor(const AgentState& agent) const {
  return Fence{ownership_.epoch, agent.session};
}

CellOwner::AgentState* CellOwner::FindCurrentAgent(const std::string& vm,
                                                   const Fence& fence) {
  const auto it = agents_.find(vm);
  const bool current = it != agents_.end() && it->second.linked &&
                       fence.epoch == ownership_.epoch &&
                       fence.session == it->second.session;
  if (current) return &it->second;
  ++counts_.stale_messages;
  return nullptr;
}

void CellOwner::Send(const AgentState& agent, Message message) {
  if (ownership_lost_) return;
  outbox_.push_back({agent.view.vm, std::move(message)});
}

std::vector<AgentMessage> CellOwner::TakeMessages() {
  return std::exchange(outbox_, {});
}

std::vector<std::string> CellOwner::TakeDroppedVms() {
  return std::exchange(dropped_vms_, {});
}

void CellOwner::OnRange(const RangeRow& row) {
  const auto it = ranges_.find(row.job.id);
  if (it == ranges_.end()) {
    ranges_.emplace(row.job.id,
                    RangeLedger(row, !unreconciled_.empty(), nullptr));
  } else if (row.cancelled && !it->second.cancelled()) {
    it->second.Cancel();
    CancelRunning(it->second);
    dirty_ = true;
  }
}

void CellOwner::CancelRunning(RangeLedger& ledger) {
  for (const RangeLedger::Running& task : ledger.RunningTasks()) {
    Stop(task.vm, {ledger.job().id, task.index}, task.attempt,
         StopMode::kCancel);
  }
}

void CellOwner::OnHello(const Hello& hello, TimePoint now) {
  AgentState& agent = agents_[hello.vm];
  agent.view.vm = hello.vm;
  agent.view.rack = hello.rack;
  agent.view.capacity = hello.capacity;
  agent.session = hello.session;
  agent.linked = true;
  agent.request_sent = false;
  agent.inventory_received = false;
  // An agent process that has obeyed this epoch remembers it, so that no new
  // confirmation is needed when only its link was lost.
  agent.confirmed = agent.obeying_incarnation == hello.session.incarnation;
  agent.hello_at = now;
  agent.last_heard_at = now;
  if (MayAct(now)) RequestInventory(agent);
}

void CellOwner::RequestInventory(AgentState& agent) {
  ++agent.last_request;
  agent.request_sent = true;
  Send(agent, InventoryRequest{options_.cell, agent.confirmed,
                               agent.last_request, FenceFor(agent)});
}

void CellOwner::RequestPendingInventories() {
  for (auto& [vm, agent] : agents_) {
    // None was requested if the agent linked while the owner could not act.
    if (!agent.linked || (agent.confirmed && agent.request_sent)) continue;
    const bool is_later = agent.hello_at > ownership_.confirmed_at;
    if (!agent.confirmed && is_later) continue;
    agent.confirmed = true;
    RequestInventory(agent);
  }
}

void CellOwner::OnLinkDown(const std::string& vm, const Session& session) {
  const auto it = agents_.find(vm);
  if (it == agents_.end() || !(it->second.session == session)) return;
  it->second.linked = false;
  it->second.inventory_received = false;
}

void CellOwner::OnHeartbeat(const std::string& vm, const Heartbeat& heartbeat,
                            TimePoint now) {
  AgentState* agent = FindCurrentAgent(vm, heartbeat.fence);
  if (agent == nullptr) return;
  agent->last_heard_at = now;
  if (!MayAct(now)) return;
  const TimePoint authority_end =
      ownership_.confirmed_at + options_.ownership_term;
  const Duration term = std::min(options_.agent_term, authority_end - now);
  agent->lease_bound =
      std::max(agent->lease_bound, now + WithClockMargin(term));
  Send(*agent, Grant{FenceFor(*agent), heartbeat.stamp, term});
}

void CellOwner::MarkReconciled(const std::string& vm) {
  if (unreconciled_.erase(vm) == 0) return;
  if (!unreconciled_.empty()) return;
  for (auto& [job, ledger] : ranges_) ledger.RequeueUnknown();
}

void CellOwner::OnInventory(const std::string& vm, const Inventory& inventory,
                            TimePoint now) {
  AgentState* agent = FindCurrentAgent(vm, inventory.fence);
  if (agent == nullptr || inventory.number != agent->last_request) return;
  // The agent may have obeyed a later owner before a restart, so its inventory
  // can't be used until this ownership is confirmed after its Hello.
  if (!agent->confirmed) return;
  std::map<std::string, std::set<uint32_t>> reported;
  for (const auto& [task, held] : agent->held) preempting_.erase(task);
  agent->held.clear();
  agent->view.granted = Resources{};
  agent->view.loads.clear();
  for (const RunningTask& running : inventory.running) {
    AddHeldTask(*agent, running.task, running.granted, now);
    const auto it = ranges_.find(running.task.job);
    const bool wanted =
        it != ranges_.end() &&
        it->second.OnReportedRunning(vm, running.task.index, running.attempt);
    if (!wanted || it->second.cancelled()) {
      Stop(vm, running.task, running.attempt, StopMode::kCancel);
    }
    reported[running.task.job].insert(running.task.index);
  }
  std::vector<StopTask> acknowledge_now;
  for (const TaskOutcome& outcome : inventory.outcomes) {
    ApplyOutcome(*agent, outcome, now, &acknowledge_now);
  }
  for (auto& [job, ledger] : ranges_) {
    ledger.RequeueUnreported(vm, reported[job]);
  }
  SendAcknowledged(*agent, std::move(acknowledge_now));
  agent->inventory_received = true;
  agent->obeying_incarnation = agent->session.incarnation;
  MarkReconciled(vm);
}

void CellOwner::OnOutcomes(const std::string& vm, const Outcomes& outcomes,
                           TimePoint now) {
  AgentState* agent = FindCurrentAgent(vm, outcomes.fence);
  if (agent == nullptr) return;
  std::vector<StopTask> acknowledge_now;
  for (const TaskOutcome& outcome : outcomes.outcomes) {
    ApplyOutcome(*agent, outcome, now, &acknowledge_now);
  }
  SendAcknowledged(*agent, std::move(acknowledge_now));
}

void CellOwner::ApplyOutcome(AgentState& agent, const TaskOutcome& outcome,
                             TimePoint now,
                             std::vector<StopTask>* acknowledge_now) {
  const StopTask key{outcome.task, outcome.attempt};
  RemoveHeldTask(agent, outcome.task);
  preempting_.erase(outcome.task);
  RecordHealth(agent, outcome, now);
  const auto it = ranges_.find(outcome.task.job);
  if (it == ranges_.end()) {
    acknowledge_now->push_back(key);
    return;
  }
  const RangeLedger::OutcomeEffect effect =
      it->second.OnOutcome(agent.view.vm, outcome, now);
  if (effect.stop_on) {
    Stop(*effect.stop_on, outcome.task, effect.stop_attempt, StopMode::kCancel);
  }
  switch (outcome.kind) {
    case OutcomeKind::kDone:
      ++counts_.done;
      break;
    case OutcomeKind::kFailed:
      ++counts_.failed;
      break;
    case OutcomeKind::kEvicted:
      ++counts_.evicted;
      break;
    case OutcomeKind::kRefused:
      ++counts_.refused;
      break;
    case OutcomeKind::kLost:
      ++counts_.lost;
      break;
  }
  if (outcome.kind == OutcomeKind::kRefused) {
    acknowledge_now->push_back(key);
    return;
  }
  // Even an outcome without effect may repeat one whose effect is not durable
  // yet, so it is acknowledged only after the next snapshot as well.
  unacknowledged_[agent.view.vm].push_back(key);
  dirty_ = true;
}

void CellOwner::RecordHealth(const AgentState& agent,
                             const TaskOutcome& outcome, TimePoint now) {
  const bool done = outcome.kind == OutcomeKind::kDone;
  const bool failed = outcome.kind == OutcomeKind::kFailed;
  if (!done && !failed) return;
  health_.OnEnded(agent.view.vm, outcome.task.job, failed, now);
}

void CellOwner::SendAcknowledged(AgentState& agent,
                                 std::vector<StopTask> tasks) {
  if (tasks.empty()) return;
  Send(agent, AcknowledgeOutcomes{FenceFor(agent), std::move(tasks)});
}

void CellOwner::AddHeldTask(AgentState& agent, const TaskId& task,
                            const Resources& amount, TimePoint since) {
  if (!agent.held.emplace(task, HeldTask{amount, since, false}).second) return;
  agent.view.granted += amount;
  AddLoad(agent, task, amount, 1);
}

void CellOwner::RemoveHeldTask(AgentState& agent, const TaskId& task) {
  const auto it = agent.held.find(task);
  if (it == agent.held.end()) return;
  agent.view.granted -= it->second.amount;
  AddLoad(agent, task, it->second.amount, -1);
  agent.held.erase(it);
}

void CellOwner::ForgetVm(const std::string& vm) {
  const auto it = agents_.find(vm);
  if (it != agents_.end() && it->second.linked) dropped_vms_.push_back(vm);
  for (auto& [job, ledger] : ranges_) ledger.RequeueUnreported(vm, {});
  if (it != agents_.end()) {
    for (const auto& [task, held] : it->second.held) preempting_.erase(task);
  }
  agents_.erase(vm);
  health_.ForgetVm(vm);
  unacknowledged_.erase(vm);
  acknowledged_by_snapshot_.erase(vm);
  MarkReconciled(vm);
  ++counts_.requeued_vms;
  dirty_ = true;
}

void CellOwner::OnVmGone(const std::string& vm, TimePoint now) {
  const auto it = agents_.find(vm);
  if (it == agents_.end()) {
    if (unreconciled_.count(vm) > 0) ForgetVm(vm);
    return;
  }
  it->second.removed_from_list = true;
  if (IsExpired(it->second, now)) ForgetVm(vm);
}

void CellOwner::OnVmLeaving(const std::string& vm, bool leaving) {
  const auto it = agents_.find(vm);
  if (it == agents_.end()) return;
  it->second.leaving = leaving;
  it->second.removed_from_list = false;
}

bool CellOwner::IsExpired(const AgentState& agent, TimePoint now) const {
  if (agent.removed_from_list) {
    return !agent.linked || now >= agent.last_heard_at + kRecentlyHeard;
  }
  // The VM may still have a lease of an earlier owner.
  const TimePoint bound = std::max(InheritedLeaseEnd(), agent.lease_bound);
  if (!HasExpired(bound, now)) return false;
  return !agent.linked || now >= agent.last_heard_at + options_.agent_term;
}

bool CellOwner::HasExpired(TimePoint bound, TimePoint now) const {
  return now >= bound && ownership_.confirmed_at >= bound;
}

bool CellOwner::ExpiryNeedsConfirmation(TimePoint now) const {
  const auto waits = [&](TimePoint bound) {
    return now >= bound && ownership_.confirmed_at < bound;
  };
  if (!unreconciled_.empty() && waits(InheritedLeaseEnd())) return true;
  return std::any_of(agents_.begin(), agents_.end(), [&](const auto& entry) {
    const AgentState& agent = entry.second;
    const bool silent =
        !agent.linked || now >= agent.last_heard_at + options_.agent_term;
    return silent && waits(std::max(InheritedLeaseEnd(), agent.lease_bound));
  });
}

void CellOwner::ExpireAgents(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [vm, agent] : agents_) {
    if (IsExpired(agent, now)) expired.push_back(vm);
  }
  for (const std::string& vm : unreconciled_) {
    const bool silent = agents_.count(vm) == 0;
    if (silent && HasExpired(InheritedLeaseEnd(), now)) expired.push_back(vm);
  }
  for (const std::string& vm : expired) ForgetVm(vm);
}

void CellOwner::Tick(TimePoint now) {
  if (!MayAct(now)) return;
  ExpireAgents(now);
  ScheduleTasks(now);
}

void CellOwner::Stop(const std::string& vm, const TaskId& task, Attempt attempt,
                     StopMode mode) {
  const auto it = agents_.find(vm);
  if (it == agents_.end() || !it->second.linked) return;
  Send(it->second, StopTasks{FenceFor(it->second), mode, {{task, attempt}}});
}

void CellOwner::Evict(const TaskId& task) {
  const auto it = ranges_.find(task.job);
  if (it == ranges_.end()) return;
  for (const RangeLedger::Running& running : it->second.RunningTasks()) {
    if (running.index != task.index) continue;
    Stop(running.vm, task, running.attempt, StopMode::kEvict);
  }
}

std::optional<CellSnapshot> CellOwner::TakeSnapshot(TimePoint now) {
  if (ownership_lost_ || has_snapshot_in_flight_) return std::nullopt;
  bool urgent = !last_snapshot_;
  for (const auto& [vm, agent] : agents_) {
    if (!agent.in_durable_roster) urgent = true;
  }
  for (const auto& [job, ledger] : ranges_) {
    if (ledger.NeedsWiderWindow()) urgent = true;
  }
  if (!urgent && !dirty_) return std::nullopt;
  const bool due =
      !last_snapshot_ || now >= *last_snapshot_ + options_.snapshot_interval;
  constexpr Duration kUrgentInterval = std::chrono::milliseconds(500);
  const bool urgent_due =
      urgent && (!last_snapshot_ || now >= *last_snapshot_ + kUrgentInterval);
  if (!due && !urgent_due) return std::nullopt;

  CellSnapshot snapshot;
  snapshot.epoch = ownership_.epoch;
  std::set<std::string> roster = unreconciled_;
  for (const auto& [vm, agent] : agents_) roster.insert(vm);
  snapshot.roster.assign(roster.begin(), roster.end());
  for (const auto& [job, ledger] : ranges_) {
    snapshot.ranges.push_back(ledger.Progress());
  }
  snapshot_in_flight_ = snapshot;
  for (auto& [vm, tasks] : unacknowledged_) {
    auto& to_acknowledge = acknowledged_by_snapshot_[vm];
    to_acknowledge.insert(to_acknowledge.end(), tasks.begin(), tasks.end());
  }
  unacknowledged_.clear();
  dirty_ = false;
  has_snapshot_in_flight_ = true;
  last_snapshot_ = now;
  return snapshot;
}

void CellOwner::OnSnapshotDurable(TimePoint sent_at) {
  has_snapshot_in_flight_ = false;
  for (const std::string& vm : snapshot_in_flight_.roster) {
    const auto it = agents_.find(vm);
    if (it != agents_.end()) it->second.in_durable_roster = true;
  }
  for (const RangeProgress& progress : snapshot_in_flight_.ranges) {
    const auto it = ranges_.find(progress.job);
    if (it != ranges_.end()) it->second.OnWindowDurable(progress.window);
  }
  for (auto& [vm, tasks] : acknowledged_by_snapshot_) {
    const auto it = agents_.find(vm);
    if (it == agents_.end() || !it->second.linked) continue;
    SendAcknowledged(it->second, std::move(tasks));
  }
  acknowledged_by_snapshot_.clear();
  OnOwnershipConfirmed(sent_at);
}

void CellOwner::OnSnapshotFailed() {
  has_snapshot_in_flight_ = false;
  dirty_ = true;
}

std::vector<std::string> CellOwner::FinishedJobs() const {
  std::vector<std::string> jobs;
  for (const auto& [job, ledger] : ranges_) {
    if (ledger.IsFinished()) jobs.push_back(job);
  }
  return jobs;
}

void CellOwner::ForgetRange(const std::string& job) {
  ranges_.erase(job);
  health_.ForgetJob(job);
  dirty_ = true;
}

std::vector<VmView> CellOwner::Vms() const {
  std::vector<VmView> vms;
  for (const auto& [vm, agent] : agents_) vms.push_back(agent.view);
  return vms;
}

std::vector<std::string> CellOwner::ImpossibleJobs() const {
  std::vector<std::string> jobs;
  if (agents_.empty()) return jobs;
  for (const auto& [job, ledger] : ranges_) {
    const Resources& each = ledger.job().each;
    const bool possible =
        std::any_of(agents_.begin(), agents_.end(), [&](const auto& entry) {
          return entry.second.view.capacity.Holds(each);
        });
    if (!possible) jobs.push_back(job);
  }
  return jobs;
}

}  // namespace beamhill
