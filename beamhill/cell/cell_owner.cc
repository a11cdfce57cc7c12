#include "beamhill/cell/cell_owner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// An agent that was heard this recently is alive, whatever the list says.
constexpr Duration kHeardRecently = std::chrono::seconds(5);

}  // namespace

std::unique_ptr<CellOwner> CellOwner::Create(
    const CellOwnerOptions& options, const Ownership& ownership,
    const CellSnapshot& snapshot, const std::vector<RangeRow>& ranges) {
  std::unique_ptr<CellOwner> owner(new CellOwner(options, ownership));
  if (ownership.inherited) {
    owner->unaccounted_.insert(snapshot.roster.begin(), snapshot.roster.end());
  }
  const bool inherited = !owner->unaccounted_.empty();
  for (const RangeRow& row : ranges) {
    const auto progress = std::find_if(
        snapshot.ranges.begin(), snapshot.ranges.end(),
        [&row](const RangeProgress& p) { return p.job == row.job.id; });
    const RangeProgress* found =
        progress == snapshot.ranges.end() ? nullptr : &*progress;
    // Without a VM to wait for, what was started is over; the ledger still
    // treats it as inherited and settles it at once.
    RangeLedger ledger(row, ownership.inherited, found);
    if (!inherited) ledger.SettleUnknown();
    owner->ranges_.emplace(row.job.id, std::move(ledger));
  }
  owner->dirty_ = true;
  return owner;
}

CellOwner::CellOwner(const CellOwnerOptions& options,
                     const Ownership& ownership)
    : options_(options), ownership_(ownership) {}

Duration CellOwner::Lengthened(Duration d) const {
  return d + d * options_.clock_rate_error_permille / 1000;
}

// No lease that an earlier owner granted can last beyond this.
TimePoint CellOwner::InheritedBound() const {
  if (!ownership_.inherited) return TimePoint{};
  if (ownership_.released) {
    return ownership_.taken_at + Lengthened(options_.agent_term);
  }
  return ownership_.taken_at + Lengthened(options_.ownership_term);
}

void CellOwner::OnOwnershipConfirmed(TimePoint sent_at) {
  ownership_.confirmed_at = std::max(ownership_.confirmed_at, sent_at);
  RequestPendingInventories();
}

void CellOwner::OnOwnershipLost() {
  lost_ = true;
  outbox_.clear();
}

bool CellOwner::MayAct(TimePoint now) const {
  return !lost_ && now < ownership_.confirmed_at + options_.ownership_term;
}

bool CellOwner::WantsConfirmation(TimePoint now) const {
  if (lost_) return false;
  if (now >= ownership_.confirmed_at + options_.ownership_term / 4) return true;
  if (WaitsToExpire(now)) return true;
  return std::any_of(agents_.begin(), agents_.end(), [](const auto& entry) {
    return entry.second.linked && !entry.second.confirmed;
  });
}

Fence CellOwner::FenceFor(const Agent& agent) const {
  return Fence{ownership_.epoch, agent.session};
}

CellOwner::Agent* CellOwner::Current(const std::string& vm,
                                     const Fence& fence) {
  const auto it = agents_.find(vm);
  const bool current = it != agents_.end() && it->second.linked &&
                       fence.epoch == ownership_.epoch &&
                       fence.session == it->second.session;
  if (current) return &it->second;
  ++counts_.stale_messages;
  return nullptr;
}

void CellOwner::Send(const Agent& agent, Message message) {
  if (lost_) return;
  outbox_.push_back({agent.view.vm, std::move(message)});
}

std::vector<AgentMessage> CellOwner::TakeMessages() {
  return std::exchange(outbox_, {});
}

std::vector<std::string> CellOwner::TakeDroppedVms() {
  return std::exchange(dropped_, {});
}

void CellOwner::OnRange(const RangeRow& row) {
  const auto it = ranges_.find(row.job.id);
  if (it == ranges_.end()) {
    ranges_.emplace(row.job.id,
                    RangeLedger(row, !unaccounted_.empty(), nullptr));
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
  Agent& agent = agents_[hello.vm];
  agent.view.vm = hello.vm;
  agent.view.rack = hello.rack;
  agent.view.capacity = hello.capacity;
  agent.session = hello.session;
  agent.linked = true;
  agent.asked = false;
  agent.answered = false;
  // A run of the agent that has obeyed this epoch remembers it, so no new
  // confirmation is needed when only its link was lost.
  agent.confirmed = agent.known_incarnation == hello.session.incarnation;
  agent.hello_at = now;
  agent.last_heard = now;
  if (MayAct(now)) RequestInventory(agent);
}

void CellOwner::RequestInventory(Agent& agent) {
  ++agent.requested;
  agent.asked = true;
  Send(agent, InventoryRequest{options_.cell, agent.confirmed, agent.requested,
                               FenceFor(agent)});
}

void CellOwner::RequestPendingInventories() {
  for (auto& [vm, agent] : agents_) {
    // One that linked while nothing could be sent has not been asked at all.
    if (!agent.linked || (agent.confirmed && agent.asked)) continue;
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
  it->second.answered = false;
}

void CellOwner::OnHeartbeat(const std::string& vm, const Heartbeat& heartbeat,
                            TimePoint now) {
  Agent* agent = Current(vm, heartbeat.fence);
  if (agent == nullptr) return;
  agent->last_heard = now;
  if (!MayAct(now)) return;
  const TimePoint authority_end =
      ownership_.confirmed_at + options_.ownership_term;
  const Duration term = std::min(options_.agent_term, authority_end - now);
  agent->lease_bound = std::max(agent->lease_bound, now + Lengthened(term));
  Send(*agent, Grant{FenceFor(*agent), heartbeat.stamp, term});
}

void CellOwner::Account(const std::string& vm) {
  if (unaccounted_.erase(vm) == 0) return;
  if (!unaccounted_.empty()) return;
  for (auto& [job, ledger] : ranges_) ledger.SettleUnknown();
}

void CellOwner::OnInventory(const std::string& vm, const Inventory& inventory,
                            TimePoint now) {
  Agent* agent = Current(vm, inventory.fence);
  if (agent == nullptr || inventory.number != agent->requested) return;
  // An agent that may have obeyed a later owner before it started anew says
  // nothing to act on until this ownership is confirmed.
  if (!agent->confirmed) return;
  std::map<std::string, std::set<uint32_t>> reported;
  for (const auto& [task, held] : agent->held) making_room_.erase(task);
  agent->held.clear();
  agent->view.granted = Resources{};
  agent->view.loads.clear();
  for (const RunningTask& running : inventory.running) {
    Hold(*agent, running.task, running.granted, now);
    const auto it = ranges_.find(running.task.job);
    const bool wanted =
        it != ranges_.end() &&
        it->second.OnReportedRunning(vm, running.task.index, running.attempt);
    if (!wanted || it->second.cancelled()) {
      Stop(vm, running.task, running.attempt, StopMode::kCancel);
    }
    reported[running.task.job].insert(running.task.index);
  }
  std::vector<StopTask> settle_now;
  for (const TaskOutcome& outcome : inventory.outcomes) {
    ApplyOutcome(*agent, outcome, now, &settle_now);
  }
  for (auto& [job, ledger] : ranges_) {
    ledger.RequeueUnreported(vm, reported[job]);
  }
  SendSettled(*agent, std::move(settle_now));
  agent->answered = true;
  agent->known_incarnation = agent->session.incarnation;
  Account(vm);
}

void CellOwner::OnOutcomes(const std::string& vm, const Outcomes& outcomes,
                           TimePoint now) {
  Agent* agent = Current(vm, outcomes.fence);
  if (agent == nullptr) return;
  std::vector<StopTask> settle_now;
  for (const TaskOutcome& outcome : outcomes.outcomes) {
    ApplyOutcome(*agent, outcome, now, &settle_now);
  }
  SendSettled(*agent, std::move(settle_now));
}

void CellOwner::ApplyOutcome(Agent& agent, const TaskOutcome& outcome,
                             TimePoint now, std::vector<StopTask>* settle_now) {
  const StopTask key{outcome.task, outcome.attempt};
  Release(agent, outcome.task);
  making_room_.erase(outcome.task);
  NoteHealth(agent, outcome, now);
  const auto it = ranges_.find(outcome.task.job);
  if (it == ranges_.end()) {
    settle_now->push_back(key);
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
    settle_now->push_back(key);
    return;
  }
  // Also what changed nothing now may rest on a change that is not durable
  // yet, so it waits for the next snapshot as well.
  unsettled_[agent.view.vm].push_back(key);
  dirty_ = true;
}

void CellOwner::NoteHealth(const Agent& agent, const TaskOutcome& outcome,
                           TimePoint now) {
  const bool done = outcome.kind == OutcomeKind::kDone;
  const bool failed = outcome.kind == OutcomeKind::kFailed;
  if (!done && !failed) return;
  health_.OnEnded(agent.view.vm, outcome.task.job, failed, now);
}

void CellOwner::SendSettled(Agent& agent, std::vector<StopTask> tasks) {
  if (tasks.empty()) return;
  Send(agent, AcknowledgeOutcomes{FenceFor(agent), std::move(tasks)});
}

void CellOwner::Hold(Agent& agent, const TaskId& task, const Resources& amount,
                     TimePoint since) {
  if (!agent.held.emplace(task, HeldTask{amount, since, false}).second) return;
  agent.view.granted += amount;
  AddLoad(agent, task, amount, 1);
}

void CellOwner::Release(Agent& agent, const TaskId& task) {
  const auto it = agent.held.find(task);
  if (it == agent.held.end()) return;
  agent.view.granted -= it->second.amount;
  AddLoad(agent, task, it->second.amount, -1);
  agent.held.erase(it);
}

void CellOwner::ForgetVm(const std::string& vm) {
  const auto it = agents_.find(vm);
  if (it != agents_.end() && it->second.linked) dropped_.push_back(vm);
  for (auto& [job, ledger] : ranges_) ledger.RequeueUnreported(vm, {});
  if (it != agents_.end()) {
    for (const auto& [task, held] : it->second.held) making_room_.erase(task);
  }
  agents_.erase(vm);
  health_.ForgetVm(vm);
  unsettled_.erase(vm);
  settling_.erase(vm);
  Account(vm);
  ++counts_.requeued_vms;
  dirty_ = true;
}

void CellOwner::OnVmGone(const std::string& vm, TimePoint now) {
  const auto it = agents_.find(vm);
  if (it == agents_.end()) {
    if (unaccounted_.count(vm) > 0) ForgetVm(vm);
    return;
  }
  it->second.listed_gone = true;
  if (IsExpired(it->second, now)) ForgetVm(vm);
}

void CellOwner::OnVmLeaving(const std::string& vm, bool leaving) {
  const auto it = agents_.find(vm);
  if (it == agents_.end()) return;
  it->second.leaving = leaving;
  it->second.listed_gone = false;
}

bool CellOwner::IsExpired(const Agent& agent, TimePoint now) const {
  if (agent.listed_gone) {
    return !agent.linked || now >= agent.last_heard + kHeardRecently;
  }
  // A lease that this owner never granted may still be an earlier one's.
  const TimePoint bound = std::max(InheritedBound(), agent.lease_bound);
  if (!IsPast(bound, now)) return false;
  return !agent.linked || now >= agent.last_heard + options_.agent_term;
}

bool CellOwner::IsPast(TimePoint bound, TimePoint now) const {
  return now >= bound && ownership_.confirmed_at >= bound;
}

bool CellOwner::WaitsToExpire(TimePoint now) const {
  const auto waits = [&](TimePoint bound) {
    return now >= bound && ownership_.confirmed_at < bound;
  };
  if (!unaccounted_.empty() && waits(InheritedBound())) return true;
  return std::any_of(agents_.begin(), agents_.end(), [&](const auto& entry) {
    const Agent& agent = entry.second;
    const bool silent =
        !agent.linked || now >= agent.last_heard + options_.agent_term;
    return silent && waits(std::max(InheritedBound(), agent.lease_bound));
  });
}

void CellOwner::ExpireAgents(TimePoint now) {
  std::vector<std::string> expired;
  for (const auto& [vm, agent] : agents_) {
    if (IsExpired(agent, now)) expired.push_back(vm);
  }
  for (const std::string& vm : unaccounted_) {
    const bool silent = agents_.count(vm) == 0;
    if (silent && IsPast(InheritedBound(), now)) expired.push_back(vm);
  }
  for (const std::string& vm : expired) ForgetVm(vm);
}

void CellOwner::Tick(TimePoint now) {
  if (!MayAct(now)) return;
  ExpireAgents(now);
  StartTasksNow(now);
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
  if (lost_ || snapshot_out_) return std::nullopt;
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
  std::set<std::string> roster = unaccounted_;
  for (const auto& [vm, agent] : agents_) roster.insert(vm);
  snapshot.roster.assign(roster.begin(), roster.end());
  for (const auto& [job, ledger] : ranges_) {
    snapshot.ranges.push_back(ledger.Progress());
  }
  snapshot_in_flight_ = snapshot;
  for (auto& [vm, tasks] : unsettled_) {
    auto& settling = settling_[vm];
    settling.insert(settling.end(), tasks.begin(), tasks.end());
  }
  unsettled_.clear();
  dirty_ = false;
  snapshot_out_ = true;
  last_snapshot_ = now;
  return snapshot;
}

void CellOwner::OnSnapshotDurable(TimePoint sent_at) {
  snapshot_out_ = false;
  for (const std::string& vm : snapshot_in_flight_.roster) {
    const auto it = agents_.find(vm);
    if (it != agents_.end()) it->second.in_durable_roster = true;
  }
  for (const RangeProgress& progress : snapshot_in_flight_.ranges) {
    const auto it = ranges_.find(progress.job);
    if (it != ranges_.end()) it->second.OnWindowDurable(progress.window);
  }
  for (auto& [vm, tasks] : settling_) {
    const auto it = agents_.find(vm);
    if (it == agents_.end() || !it->second.linked) continue;
    SendSettled(it->second, std::move(tasks));
  }
  settling_.clear();
  OnOwnershipConfirmed(sent_at);
}

void CellOwner::OnSnapshotFailed() {
  snapshot_out_ = false;
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
