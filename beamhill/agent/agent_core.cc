#include "beamhill/agent/agent_core.h"

#include <algorithm>
#include <set>
#include <utility>

namespace beamhill {
namespace {

// Speed of batch tasks while their VM's service is above its target.
constexpr int kThrottledPercent = 35;
constexpr int kFullPercent = 100;
// How often a worker is told the speed that its batch tasks are to have.
constexpr Duration kThrottleRepeat = std::chrono::seconds(5);

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

// Whether a message of an owner is of this session and the current epoch.
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
  } else if (const auto* settled = std::get_if<AcknowledgeOutcomes>(&message)) {
    OnSettled(entry, *settled);
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
  inventory_wanted_ = true;
  inventory_number_ = request.number;
  AnswerInventory();
}

void AgentCore::AnswerInventory() {
  if (!listed_ || !inventory_wanted_) return;
  inventory_wanted_ = false;
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
  last_grant_ = now;
  // Counted from the agent's own stamp, so neither a slow message nor a
  // paused owner can lengthen it.
  const Duration term =
      grant.term - grant.term * options_.clock_rate_error_permille / 1000;
  const TimePoint end = grant.echoed_stamp + term;
  if (end <= lease_end_) return;
  lease_end_ = end;
  checkpoint_lead_ = std::min(options_.checkpoint_lead, grant.term / 4);
  lapse_handled_ = false;
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
  if (!epoch_confirmed_ || !listed_) {
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
  CommandStart(task, tasks_.emplace(task, std::move(local)).first->second);
}

// A refusal is reported once and not kept: nothing ran, and an owner that
// misses it finds the task missing from the next inventory.
void AgentCore::Refuse(const TaskId& task, Attempt attempt,
                       const std::string& reason) {
  new_outcomes_.push_back({task, attempt, OutcomeKind::kRefused, "", reason});
}

void AgentCore::CommandStart(const TaskId& task, LocalTask& local) {
  local.call_open = true;
  WorkerCommand command;
  command.kind = WorkerCommandKind::kStart;
  command.task = task;
  command.attempt = local.attempt;
  command.job = local.job;
  command.checkpoint = local.checkpoint;
  command.lease_end = local.start_lease_end;
  commands_.push_back(std::move(command));
}

void AgentCore::CommandStop(const TaskId& task, const LocalTask& local) {
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
    it->second.stop_wanted = true;
    it->second.stop_mode = stops.mode;
    CommandStop(stop.task, it->second);
  }
}

void AgentCore::OnSettled(const std::string& entry, const AcknowledgeOutcomes& settled) {
  if (!IsCurrent(entry, settled.fence) || !epoch_confirmed_) return;
  for (const StopTask& key : settled.tasks) {
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

void AgentCore::End(const TaskId& task, TaskOutcome outcome) {
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
  local.call_open = false;
  switch (answer) {
    case WorkerStartAnswer::kStarted:
      local.phase = Phase::kRunning;
      local.confirmed_at = now;
      return;
    case WorkerStartAnswer::kUnknown:
      local.call_lost = true;
      return;
    case WorkerStartAnswer::kRefused:
      local.refused = true;
      // A call whose answer was lost may yet take effect.
      if (local.call_lost) return;
      End(task, {task, attempt, OutcomeKind::kRefused, "", reason});
      return;
  }
}

void AgentCore::OnWorkerList(const std::vector<WorkerTask>& list,
                             TimePoint sent_at) {
  // An earlier run of this agent may have left the worker throttled, and nobody
  // hears whether it has taken the speed that was ordered.
  const bool repeat = sent_at >= last_throttle_ + kThrottleRepeat;
  if (!listed_ || (repeat && !tasks_.empty())) {
    last_throttle_ = sent_at;
    CommandThrottle();
  }
  std::set<TaskId> named;
  for (const WorkerTask& listed : list) {
    named.insert(listed.task);
    ReconcileListed(listed);
  }
  std::vector<TaskOutcome> ended;
  for (auto& [task, local] : tasks_) {
    if (named.count(task) > 0) continue;
    SettleUnlisted(task, local, sent_at, &ended);
  }
  for (TaskOutcome& outcome : ended) {
    const TaskId task = outcome.task;
    End(task, std::move(outcome));
  }
  listed_ = true;
  AnswerInventory();
}

// A task that the worker's list does not name.
void AgentCore::SettleUnlisted(const TaskId& task, LocalTask& local,
                               TimePoint sent_at,
                               std::vector<TaskOutcome>* ended) {
  if (local.phase == Phase::kRunning) {
    if (local.confirmed_at >= sent_at) return;
    const OutcomeKind kind =
        local.stop_wanted ? OutcomeKind::kEvicted : OutcomeKind::kLost;
    ended->push_back(
        {task, local.attempt, kind, "", "the worker no longer has it"});
    return;
  }
  if (sent_at >= local.start_lease_end) {
    // No call can take effect any more, and none had when the list was made.
    ended->push_back({task, local.attempt, OutcomeKind::kRefused, "",
                      "the worker did not start it in time"});
    return;
  }
  // The worker takes each attempt once, so asking again is safe; of a task that
  // is to stop it would begin what nobody wants any more.
  const bool wanted = !local.refused && !local.stop_wanted;
  if (!local.call_open && wanted) CommandStart(task, local);
}

void AgentCore::ReconcileListed(const WorkerTask& listed) {
  const auto ended = outcomes_.find(listed.task);
  if (ended != outcomes_.end()) return;
  auto it = tasks_.find(listed.task);
  if (it == tasks_.end()) {
    // Left from an earlier run of this agent.
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
      if (it->second.stop_wanted) CommandStop(listed.task, it->second);
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
  End(listed.task, std::move(outcome));
}

void AgentCore::OnServiceLatency(Duration latency, Duration target,
                                 TimePoint now) {
  switch (ladder_.Observe(latency, target, now)) {
    case YieldStep::kNone:
      return;
    case YieldStep::kThrottle:
    case YieldStep::kRelease:
      CommandThrottle();
      return;
    case YieldStep::kEvict:
      SendToOwner(BatchEvictionRequest{CurrentFence()});
      return;
  }
}

void AgentCore::OnServiceIdle(Duration target, TimePoint now) {
  // Samples of an idle service would only blur those of a busy one.
  if (ladder_.throttled()) OnServiceLatency(Duration(0), target, now);
}

void AgentCore::CommandThrottle() {
  WorkerCommand command;
  command.kind = WorkerCommandKind::kThrottle;
  command.percent = ladder_.throttled() ? kThrottledPercent : kFullPercent;
  commands_.push_back(std::move(command));
}

void AgentCore::SendOutcomes() {
  if (new_outcomes_.empty() || links_.count(owner_) == 0) return;
  SendToOwner(Outcomes{CurrentFence(), std::exchange(new_outcomes_, {})});
}

void AgentCore::CheckpointBeforeLapse(TimePoint now) {
  // A new run of the agent holds no lease yet; what it found on its worker
  // runs under the lease of the run before.
  if (lease_end_ == TimePoint{}) return;
  if (lapse_handled_ || tasks_.empty()) return;
  if (now + checkpoint_lead_ < lease_end_) return;
  lapse_handled_ = true;
  for (auto& [task, local] : tasks_) {
    if (local.stop_wanted) continue;
    local.stop_wanted = true;
    local.stop_mode = StopMode::kEvict;
    CommandStop(task, local);
    ++counts_.lapsed;
  }
}

void AgentCore::Tick(TimePoint now) {
  CheckpointBeforeLapse(now);
  if (now < last_heartbeat_ + options_.heartbeat_interval) return;
  last_heartbeat_ = now;
  if (epoch_ > 0) SendToOwner(Heartbeat{CurrentFence(), now});
  if (first_tick_ == TimePoint{}) first_tick_ = now;
  const bool link_down = epoch_ > 0 && links_.count(owner_) == 0;
  const TimePoint heard = std::max(last_grant_, first_tick_);
  if (!link_down && now < heard + options_.owner_lost_after) return;
  for (const auto& [entry, link] : links_) {
    if (entry == owner_) continue;
    outbox_.push_back({entry, OwnerLost{epoch_}});
  }
  if (!link_down && epoch_ > 0 && now >= lease_end_) {
    link_to_reset_ = owner_;
    last_grant_ = now;
  }
}

}  // namespace beamhill
