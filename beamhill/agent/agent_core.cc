#include "beamhill/agent/agent_core.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beamhill {
namespace {

// Speed of batch tasks while the latency of their VM's service is above target.
constexpr int kThrottledPercent = 35;
constexpr int kFullPercent = 100;
// Interval at which the worker is sent the speed of its batch tasks again.
constexpr Duration kThrottleRepeatInterval = std::chrono::seconds(5);

}  // namespace

std::unique_ptr<AgentCore> AgentCore::Create(const AgentCoreOptions& options) {
  return std::unique_ptr<AgentCore>(new AgentCore(options));
}

AgentCore::AgentCore(const AgentCoreOptions& options) : options_(options) {}

Session AgentCore::OnLinkUp(const std::string& entry) {
  const uint32_t link = next_link_++;
  links_[entry] = link;
  return Session{options_.incarnation, link};
}

void AgentCore::OnLinkDown(const std::string& entry) { links_.erase(entry); }

Fence AgentCore::CurrentFence() const {
  const auto it = links_.find(owner_);
  const uint32_t link = it == links_.end() ? 0 : it->second;
  return Fence{epoch_, Session{options_.incarnation, link}};
}

void AgentCore::SendToOwner(Message message) {
  if (links_.count(owner_) == 0) return;
  outbox_.push_back({owner_, std::move(message)});
}

std::vector<EntryMessage> AgentCore::TakeMessages() {
  SendOutcomes();
  return std::exchange(outbox_, {});
}

std::vector<WorkerCommand> AgentCore::TakeCommands() {
  return std::exchange(commands_, {});
}

std::optional<std::string> AgentCore::TakeLinkToReset() {
  return std::exchange(link_to_reset_, std::nullopt);
}

bool AgentCore::IsCurrent(const std::string& entry, const Fence& fence) {
  const auto it = links_.find(entry);
  const bool current =
      it != links_.end() && entry == owner_ && fence.epoch == epoch_ &&
      fence.session == Session{options_.incarnation, it->second};
  if (!current) ++counts_.stale_messages;
  return current;
}

void AgentCore::OnMessage(const std::string& entry, const Message& message,
                          TimePoint now) {
  if (const auto* request = std::get_if<InventoryRequest>(&message)) {
    OnInventoryRequest(entry, *request);
  } else if (const auto* grant = std::get_if<Grant>(&message)) {
    OnGrant(entry, *grant, now);
  } else if (const auto* starts = std::get_if<StartTasks>(&message)) {
    OnStartTasks(entry, *starts, now);
  } else if (const auto* stops = std::get_if<StopTasks>(&message)) {
    OnStopTasks(entry, *stops);
  } else if (const auto* ack = std::get_if<AcknowledgeOutcomes>(&message)) {
    OnAcknowledgeOutcomes(entry, *ack);
  }
}

void AgentCore::OnInventoryRequest(const std::string& entry,
                                   const InventoryRequest& request) {
  const auto it = links_.find(entry);
  const Session session{options_.incarnation,
                        it == links_.end() ? 0 : it->second};
  const bool stale = it == links_.end() ||
                     !(request.fence.session == session) ||
                     request.fence.epoch < epoch_;
  if (stale) {
    ++counts_.stale_messages;
    return;
  }
  if (request.fence.epoch > epoch_) {
    epoch_ = request.fence.epoch;
    epoch_confirmed_ = false;
  }
  epoch_confirmed_ = epoch_confirmed_ || request.confirmed;
  owner_ = entry;
  inventory_pending_ = true;
  inventory_number_ = request.number;
  AnswerInventory();
}

void AgentCore::AnswerInventory() {
  if (!worker_list_received_ || !inventory_pending_) return;
  inventory_pending_ = false;
  Inventory inventory;
  inventory.fence = CurrentFence();
  inventory.number = inventory_number_;
  for (const auto& [task, local] : tasks_) {
    inventory.running.push_back({task, local.attempt, local.granted});
  }
  for (const auto& [task, outcome] : outcomes_) {
    inventory.outcomes.push_back(outcome);
  }
  new_outcomes_.clear();
  SendToOwner(std::move(inventory));
}

void AgentCore::OnGrant(const std::string& entry, const Grant& grant,
                        TimePoint now) {
  if (!IsCurrent(entry, grant.fence)) return;
  last_grant_at_ = now;
  // The term starts at the agent's own time stamp, so that neither a delayed
  // message nor a paused owner can extend the lease.
  const Duration term =
      grant.term - grant.term * options_.clock_rate_error_permille / 1000;
  const TimePoint end = grant.echoed_stamp + term;
  if (end <= lease_end_) return;
  lease_end_ = end;
  effective_checkpoint_lead_ =
      std::min(options_.checkpoint_lead, grant.term / 4);
  expiry_handled_ = false;
  if (tasks_.empty()) return;
  WorkerCommand renew;
  renew.kind = WorkerCommandKind::kRenew;
  renew.lease_end = lease_end_;
  commands_.push_back(std::move(renew));
}

void AgentCore::OnStartTasks(const std::string& entry, const StartTasks& starts,
                             TimePoint now) {
  if (!IsCurrent(entry, starts.fence)) return;
  for (const StartTask& start : starts.tasks) StartOne(starts.job, start, now);
}

void AgentCore::StartOne(const JobSpec& job, const StartTask& start,
                         TimePoint now) {
  const TaskId task{job.id, start.index};
  if (!epoch_confirmed_ || !worker_list_received_) {
    Refuse(task, start.attempt, "ownership not confirmed");
    return;
  }
  if (now >= lease_end_) {
    ++counts_.refused_lease;
    Refuse(task, start.attempt, "lease over");
    return;
  }
  if (tasks_.count(task) > 0 || outcomes_.count(task) > 0) {
    Refuse(task, start.attempt, "an earlier attempt is not settled");
    return;
  }
  if (!options_.capacity.Holds(granted_ + job.each)) {
    ++counts_.refused_capacity;
    Refuse(task, start.attempt, "capacity in use");
    return;
  }
  LocalTask local;
  local.attempt = start.attempt;
  local.job = job;
  local.checkpoint = start.checkpoint;
  local.granted = job.each;
  local.start_lease_end = lease_end_;
  granted_ += job.each;
  ++counts_.starts;
  EnqueueStart(task, tasks_.emplace(task, std::move(local)).first->second);
}

void AgentCore::Refuse(const TaskId& task, Attempt attempt,
                       const std::string& reason) {
  new_outcomes_.push_back({task, attempt, OutcomeKind::kRefused, "", reason});
}

void AgentCore::EnqueueStart(const TaskId& task, LocalTask& local) {
  local.start_call_pending = true;
  WorkerCommand command;
  command.kind = WorkerCommandKind::kStart;
  command.task = task;
  command.attempt = local.attempt;
  command.job = local.job;
  command.checkpoint = local.checkpoint;
  command.lease_end = local.start_lease_end;
  commands_.push_back(std::move(command));
}

void AgentCore::EnqueueStop(const TaskId& task, const LocalTask& local) {
  WorkerCommand command;
  command.kind = local.stop_mode == StopMode::kEvict
                     ? WorkerCommandKind::kEvict
                     : WorkerCommandKind::kCancel;
  command.task = task;
  command.attempt = local.attempt;
  commands_.push_back(std::move(command));
}

void AgentCore::OnStopTasks(const std::string& entry, const StopTasks& stops) {
  if (!IsCurrent(entry, stops.fence) || !epoch_confirmed_) return;
  for (const StopTask& stop : stops.tasks) {
    const auto it = tasks_.find(stop.task);
    if (it == tasks_.end() || !(it->second.attempt == stop.attempt)) continue;
    it->second.stop_requested = true;
    it->second.stop_mode = stops.mode;
    EnqueueStop(stop.task, it->second);
  }
}

void AgentCore::OnAcknowledgeOutcomes(const std::string& entry,
                                      const AcknowledgeOutcomes& ack) {
  if (!IsCurrent(entry, ack.fence) || !epoch_confirmed_) return;
  for (const StopTask& key : ack.tasks) {
    const auto it = outcomes_.find(key.task);
    if (it == outcomes_.end() || !(it->second.attempt == key.attempt)) continue;
    WorkerCommand forget;
    forget.kind = WorkerCommandKind::kForget;
    forget.task = key.task;
    forget.attempt = key.attempt;
    commands_.push_back(std::move(forget));
    outcomes_.erase(it);
  }
}

void AgentCore::RecordOutcome(const TaskId& task, TaskOutcome outcome) {
  const auto it = tasks_.find(task);
  if (it != tasks_.end()) {
    granted_ -= it->second.granted;
    tasks_.erase(it);
  }
  new_outcomes_.push_back(outcome);
  if (outcome.kind == OutcomeKind::kRefused) return;
  outcomes_[task] = std::move(outcome);
}

void AgentCore::OnStartAnswer(const TaskId& task, Attempt attempt,
                              WorkerStartAnswer answer,
                              const std::string& reason, TimePoint now) {
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || !(it->second.attempt == attempt)) return;
  LocalTask& local = it->second;
  local.start_call_pending = false;
  switch (answer) {
    case WorkerStartAnswer::kStarted:
      local.phase = Phase::kRunning;
      local.confirmed_at = now;
      return;
    case WorkerStartAnswer::kUnknown:
      local.start_reply_lost = true;
      return;
    case WorkerStartAnswer::kRefused:
      local.start_refused = true;
      // An earlier call whose reply was lost may still take effect.
      if (local.start_reply_lost) return;
      RecordOutcome(task, {task, attempt, OutcomeKind::kRefused, "", reason});
      return;
  }
}

void AgentCore::OnWorkerList(const std::vector<WorkerTask>& list,
                             TimePoint sent_at) {
  // A previous incarnation of this agent may have left the worker throttled,
  // and throttle commands are not confirmed.
  const bool repeat = sent_at >= last_throttle_at_ + kThrottleRepeatInterval;
  if (!worker_list_received_ || (repeat && !tasks_.empty())) {
    last_throttle_at_ = sent_at;
    EnqueueThrottle();
  }
  std::set<TaskId> listed_ids;
  for (const WorkerTask& listed : list) {
    listed_ids.insert(listed.task);
    ReconcileListed(listed);
  }
  std::vector<TaskOutcome> ended;
  for (auto& [task, local] : tasks_) {
    if (listed_ids.count(task) > 0) continue;
    ReconcileUnlisted(task, local, sent_at, &ended);
  }
  for (TaskOutcome& outcome : ended) {
    const TaskId task = outcome.task;
    RecordOutcome(task, std::move(outcome));
  }
  worker_list_received_ = true;
  AnswerInventory();
}

void AgentCore::ReconcileUnlisted(const TaskId& task, LocalTask& local,
                                  TimePoint sent_at,
                                  std::vector<TaskOutcome>* ended) {
  if (local.phase == Phase::kRunning) {
    if (local.confirmed_at >= sent_at) return;
    const OutcomeKind kind =
        local.stop_requested ? OutcomeKind::kEvicted : OutcomeKind::kLost;
    ended->push_back(
        {task, local.attempt, kind, "", "the worker no longer has it"});
    return;
  }
  if (sent_at >= local.start_lease_end) {
    // No start call can take effect any more, and none had when the worker made
    // the list.
    ended->push_back({task, local.attempt, OutcomeKind::kRefused, "",
                      "the worker did not start it in time"});
    return;
  }
  // The worker starts each attempt at most once, so repeating the call is safe.
  // A task that is to be stopped must not be started by a repetition.
  const bool wanted = !local.start_refused && !local.stop_requested;
  if (!local.start_call_pending && wanted) EnqueueStart(task, local);
}

void AgentCore::ReconcileListed(const WorkerTask& listed) {
  const auto ended = outcomes_.find(listed.task);
  if (ended != outcomes_.end()) return;
  auto it = tasks_.find(listed.task);
  if (it == tasks_.end()) {
    // Started by a previous incarnation of this agent.
    LocalTask local;
    local.attempt = listed.attempt;
    local.granted = listed.granted;
    granted_ += listed.granted;
    it = tasks_.emplace(listed.task, std::move(local)).first;
  }
  if (listed.attempt < it->second.attempt) return;
  it->second.phase = Phase::kRunning;
  TaskOutcome outcome{listed.task, listed.attempt, OutcomeKind::kDone,
                      listed.checkpoint, listed.reason};
  switch (listed.state) {
    case WorkerTaskState::kRunning:
      if (it->second.stop_requested) EnqueueStop(listed.task, it->second);
      return;
    case WorkerTaskState::kDone:
      break;
    case WorkerTaskState::kFailed:
      outcome.kind = OutcomeKind::kFailed;
      break;
    case WorkerTaskState::kEvicted:
      outcome.kind = OutcomeKind::kEvicted;
      break;
  }
  RecordOutcome(listed.task, std::move(outcome));
}

void AgentCore::OnServiceLatency(Duration latency, Duration target,
                                 TimePoint now) {
  switch (throttle_policy_.Observe(latency, target, now)) {
    case ThrottleAction::kNone:
      return;
    case ThrottleAction::kThrottle:
    case ThrottleAction::kRelease:
      EnqueueThrottle();
      return;
    case ThrottleAction::kEvict:
      SendToOwner(BatchEvictionRequest{CurrentFence()});
      return;
  }
}

void AgentCore::OnServiceIdle(Duration target, TimePoint now) {
  // Samples of an idle service would distort those of a busy one, so they only
  // serve to end throttling.
  if (throttle_policy_.throttled()) OnServiceLatency(Duration(0), target, now);
}

void AgentCore::EnqueueThrottle() {
  WorkerCommand command;
  command.kind = WorkerCommandKind::kThrottle;
  command.percent =
      throttle_policy_.throttled() ? kThrottledPercent : kFullPercent;
  commands_.push_back(std::move(command));
}

void AgentCore::SendOutcomes() {
  if (new_outcomes_.empty() || links_.count(owner_) == 0) return;
  SendToOwner(Outcomes{CurrentFence(), std::exchange(new_outcomes_, {})});
}

void AgentCore::EvictBeforeLeaseExpiry(TimePoint now) {
  // A new incarnation of the agent holds no lease yet; tasks that it found on
  // the worker run under the lease of the previous incarnation.
  if (lease_end_ == TimePoint{}) return;
  if (expiry_handled_ || tasks_.empty()) return;
  if (now + effective_checkpoint_lead_ < lease_end_) return;
  expiry_handled_ = true;
  for (auto& [task, local] : tasks_) {
    if (local.stop_requested) continue;
    local.stop_requested = true;
    local.stop_mode = StopMode::kEvict;
    EnqueueStop(task, local);
    ++counts_.evicted_before_expiry;
  }
}

void AgentCore::Tick(TimePoint now) {
  EvictBeforeLeaseExpiry(now);
  if (now < last_heartbeat_at_ + options_.heartbeat_interval) return;
  last_heartbeat_at_ = now;
  if (epoch_ > 0) SendToOwner(Heartbeat{CurrentFence(), now});
  if (first_tick_at_ == TimePoint{}) first_tick_at_ = now;
  const bool link_down = epoch_ > 0 && links_.count(owner_) == 0;
  const TimePoint last_heard = std::max(last_grant_at_, first_tick_at_);
  if (!link_down && now < last_heard + options_.owner_lost_after) return;
  for (const auto& [entry, link] : links_) {
    if (entry == owner_) continue;
    outbox_.push_back({entry, OwnerLost{epoch_}});
  }
  if (!link_down && epoch_ > 0 && now >= lease_end_) {
    link_to_reset_ = owner_;
    last_grant_at_ = now;
  }
}

}  // namespace beamhill
