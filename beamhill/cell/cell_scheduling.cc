// Scheduling in CellOwner: selects the tasks to start and to evict.
#include <algorithm>
#include <utility>

#include "beamhill/cell/cell_owner.h"

namespace beamhill {
namespace {

// Bounds the time that one tick takes.
constexpr int kMaxStartsPerTick = 512;
// Limits the tasks of one urgent job that room is made for at a time.
constexpr size_t kMaxPreemptionsPerJob = 64;

// Samples from which on the interference model decides on placements.
constexpr size_t kMinInterferenceSamples = 200;
// Weight of a new sample in the moving average.
constexpr double kLatencyRatioSmoothing = 0.1;

// Sum over all resources of the share that is left once `each` is placed.
double RemainingShare(const VmView& vm, const Resources& each) {
  const Resources left = vm.capacity - vm.granted - each;
  const auto share = [](int64_t part, int64_t whole) {
    return whole == 0 ? 0.0
                      : static_cast<double>(part) / static_cast<double>(whole);
  };
  return share(left.cpu_millis, vm.capacity.cpu_millis) +
         share(left.memory_mib, vm.capacity.memory_mib) +
         share(left.accelerators, vm.capacity.accelerators);
}

}  // namespace

std::optional<size_t> PlaceBestFit(const JobSpec& job,
                                   const std::vector<const VmView*>& vms) {
  if (vms.empty()) return std::nullopt;
  const auto best = std::min_element(
      vms.begin(), vms.end(), [&](const VmView* a, const VmView* b) {
        return RemainingShare(*a, job.each) < RemainingShare(*b, job.each);
      });
  return static_cast<size_t>(best - vms.begin());
}

// One team's jobs of one urgency that have a task to start.
struct CellOwner::TeamQueue {
  std::vector<RangeLedger*> jobs;
  size_t next = 0;
};

Resources CellOwner::Capacity() const {
  Resources sum;
  for (const auto& [vm, agent] : agents_) sum += agent.view.capacity;
  return sum;
}

std::vector<const VmView*> CellOwner::Candidates(const Resources& each,
                                                 TimePoint now) const {
  std::vector<const VmView*> vms;
  for (const auto& [vm, agent] : agents_) {
    const bool usable = agent.linked && agent.inventory_received &&
                        agent.in_durable_roster && !agent.leaving &&
                        now < agent.lease_bound;
    if (!usable || !health_.MayPlace(vm, agent.held.size(), now)) continue;
    const Resources left = agent.view.capacity - agent.view.granted;
    if (left.Holds(each)) vms.push_back(&agent.view);
  }
  return vms;
}

bool CellOwner::StartNextTask(RangeLedger& ledger, TimePoint now) {
  const Resources& each = ledger.job().each;
  const bool unplaceable =
      std::any_of(unplaceable_sizes_.begin(), unplaceable_sizes_.end(),
                  [&each](const Resources& size) { return each.Holds(size); });
  if (unplaceable) return false;
  const auto startable = ledger.NextStartable(now);
  if (!startable) return false;
  const auto vms = Candidates(each, now);
  if (vms.empty()) {
    unplaceable_sizes_.push_back(each);
    return false;
  }
  const auto choice = Place(ledger.job(), vms);
  if (!choice) return false;
  AgentState& agent = agents_.at(vms[*choice]->vm);
  const Attempt attempt = Attempt::Make(ownership_.epoch, next_sequence_++);
  AddHeldTask(agent, {ledger.job().id, startable->index}, each, now);
  ledger.OnStarted(startable->index, agent.view.vm, attempt);
  starts_[agent.view.vm][ledger.job().id].push_back(
      {startable->index, attempt, startable->checkpoint});
  ++counts_.starts;
  return true;
}

void CellOwner::ScheduleTasks(TimePoint now) {
  unplaceable_sizes_.clear();
  FairOrder order(Capacity(), options_.quota);
  for (auto& [job, ledger] : ranges_) {
    if (ledger.NeedsWiderWindow()) dirty_ = true;
    Resources used;
    const auto running = static_cast<int64_t>(ledger.running());
    used.cpu_millis = ledger.job().each.cpu_millis * running;
    used.memory_mib = ledger.job().each.memory_mib * running;
    used.accelerators = ledger.job().each.accelerators * running;
    order.AddUsage(ledger.job().team, used);
  }
  int budget = kMaxStartsPerTick;
  ScheduleTasksOf(Urgency::kUrgent, order, budget, now);
  ScheduleTasksOf(Urgency::kNormal, order, budget, now);
  FlushStarts();
}

// Repeatedly starts one task of the team with the smallest dominant share. The
// jobs of a team are served round robin.
void CellOwner::ScheduleTasksOf(Urgency urgency, FairOrder& order, int& budget,
                                TimePoint now) {
  std::map<std::string, TeamQueue> teams;
  for (auto& [job, ledger] : ranges_) {
    if (ledger.job().urgency != urgency || !ledger.NextStartable(now)) continue;
    if (!health_.MayStart(job, ledger.running(), now)) continue;
    teams[ledger.job().team].jobs.push_back(&ledger);
  }
  for (const auto& [team, waiting] : teams) order.AddWaiting(team);
  while (budget > 0) {
    const auto team = order.Next();
    if (!team) return;
    TeamQueue& waiting = teams.at(*team);
    waiting.next = (waiting.next + 1) % waiting.jobs.size();
    RangeLedger& ledger = *waiting.jobs[waiting.next];
    const JobSpec& job = ledger.job();
    const bool started = order.WithinQuota(*team, job.each) &&
                         health_.MayStart(job.id, ledger.running(), now) &&
                         StartNextTask(ledger, now);
    if (started) {
      --budget;
      order.AddUsage(*team, job.each);
      order.AddWaiting(*team);
      continue;
    }
    if (urgency == Urgency::kUrgent && ledger.NextStartable(now) &&
        order.WithinQuota(*team, job.each)) {
      PreemptFor(job, ledger.range().size() - ledger.done() - ledger.running(),
                 now);
    }
    waiting.jobs.erase(waiting.jobs.begin() +
                       static_cast<std::ptrdiff_t>(waiting.next));
    if (!waiting.jobs.empty()) order.AddWaiting(*team);
  }
}

void CellOwner::AddLoad(AgentState& agent, const TaskId& task,
                        const Resources& amount, int sign) {
  const auto it = ranges_.find(task.job);
  if (it == ranges_.end() || agent.view.capacity.cpu_millis == 0) return;
  const JobSpec& job = it->second.job();
  if (job.kind != WorkKind::kBatch) return;
  double& load = agent.view.loads[job.work_class];
  load += sign * static_cast<double>(amount.cpu_millis) /
          static_cast<double>(agent.view.capacity.cpu_millis);
  if (load < 1e-9) agent.view.loads.erase(job.work_class);
}

void CellOwner::OnRunnerReport(const std::string& vm,
                               const RunnerReport& report) {
  const auto it = agents_.find(vm);
  if (it == agents_.end() || report.ended == 0) return;
  VmView& view = it->second.view;
  if (interference_.samples() >= kMinInterferenceSamples) {
    const Duration expected = interference_.Predict(view.loads).mean;
    const double ratio = ToMillis(report.latency) / ToMillis(expected);
    view.latency_ratio += kLatencyRatioSmoothing *
                          (std::clamp(ratio, 0.5, 3.0) - view.latency_ratio);
  }
  interference_.Observe(view.loads, report.latency);
}

std::optional<size_t> CellOwner::Place(
    const JobSpec& job, const std::vector<const VmView*>& vms) const {
  const bool learned = options_.weights && options_.latency_target &&
                       interference_.samples() >= kMinInterferenceSamples;
  if (!learned || job.kind != WorkKind::kBatch) {
    return options_.place(job, vms);
  }
  const PlacementPolicy policy(
      [this](const ClassLoads& loads) { return interference_.Predict(loads); },
      options_.weights());
  std::vector<VmLoad> loads;
  loads.reserve(vms.size());
  for (const VmView* vm : vms) {
    const Resources left = vm->capacity - vm->granted;
    loads.push_back(
        {vm->loads, DominantShare(left, vm->capacity), vm->latency_ratio});
  }
  const double share = DominantShare(job.each, vms.front()->capacity);
  const auto choice =
      policy.Choose(job.work_class, share, loads, options_.latency_target());
  // Urgent tasks don't wait for the service's latency to improve.
  if (!choice && job.urgency == Urgency::kUrgent) {
    return options_.place(job, vms);
  }
  return choice;
}

// Evicts the batch task that adds most to the service's latency by its class's
// weight and its processor share. Urgent tasks are exempt.
void CellOwner::OnBatchEvictionRequest(const std::string& vm,
                                       const BatchEvictionRequest& request,
                                       TimePoint now) {
  AgentState* agent = FindCurrentAgent(vm, request.fence);
  if (agent == nullptr) return;
  const TaskId* victim = nullptr;
  double greatest_harm = 0;
  for (const auto& [task, held] : agent->held) {
    const auto it = ranges_.find(task.job);
    if (held.stopping || it == ranges_.end()) continue;
    const JobSpec& job = it->second.job();
    if (job.kind != WorkKind::kBatch || job.urgency == Urgency::kUrgent) {
      continue;
    }
    const double weight =
        std::max(1e-3, ToMillis(interference_.WeightOf(job.work_class)));
    const double harm = weight * static_cast<double>(held.amount.cpu_millis);
    if (harm <= greatest_harm) continue;
    greatest_harm = harm;
    victim = &task;
  }
  if (victim == nullptr || !TakeEvictionToken(now)) return;
  agent->held.at(*victim).stopping = true;
  ++counts_.evictions_ordered;
  Evict(*victim);
}

bool CellOwner::TakeEvictionToken(TimePoint now) {
  const auto per_hour = static_cast<double>(options_.evictions_per_hour());
  const double hours =
      std::chrono::duration<double, std::ratio<3600>>(now - eviction_tokens_at_)
          .count();
  const bool first = eviction_tokens_at_ == TimePoint{};
  eviction_tokens_ =
      first ? per_hour
            : std::min(per_hour, eviction_tokens_ + hours * per_hour);
  eviction_tokens_at_ = now;
  if (eviction_tokens_ < 1) return false;
  eviction_tokens_ -= 1;
  return true;
}

// Selects the latest started tasks first, since they lose the least work.
std::vector<TaskId> CellOwner::PreemptionVictims(const AgentState& agent,
                                                 const Resources& each) const {
  std::vector<std::pair<TimePoint, TaskId>> victims;
  Resources left = agent.view.capacity - agent.view.granted;
  for (const auto& [task, held] : agent.held) {
    if (held.stopping) return {};  // An eviction is in progress here already.
    const auto it = ranges_.find(task.job);
    if (it == ranges_.end()) continue;
    const JobSpec& job = it->second.job();
    const bool preemptible =
        job.urgency == Urgency::kNormal && job.kind == WorkKind::kBatch;
    if (preemptible) victims.emplace_back(held.since, task);
  }
  std::sort(victims.rbegin(), victims.rend());
  std::vector<TaskId> chosen;
  for (const auto& [since, task] : victims) {
    if (left.Holds(each)) break;
    left += agent.held.at(task).amount;
    chosen.push_back(task);
  }
  return left.Holds(each) ? chosen : std::vector<TaskId>{};
}

void CellOwner::PreemptFor(const JobSpec& job, size_t wanted, TimePoint now) {
  const auto evicting = static_cast<size_t>(std::count_if(
      preempting_.begin(), preempting_.end(),
      [&job](const auto& entry) { return entry.second == job.id; }));
  wanted = std::min(wanted, kMaxPreemptionsPerJob);
  for (size_t room = evicting; room < wanted; ++room) {
    std::vector<TaskId> best;
    AgentState* best_agent = nullptr;
    for (auto& [vm, agent] : agents_) {
      if (!agent.linked || !agent.inventory_received) continue;
      const std::vector<TaskId> victims = PreemptionVictims(agent, job.each);
      if (victims.empty()) continue;
      if (best_agent != nullptr && victims.size() >= best.size()) continue;
      best = victims;
      best_agent = &agent;
    }
    if (best_agent == nullptr) return;
    for (const TaskId& task : best) {
      if (!TakeEvictionToken(now)) return;
      best_agent->held.at(task).stopping = true;
      preempting_[task] = job.id;
      ++counts_.evictions_ordered;
      Evict(task);
    }
  }
}

void CellOwner::FlushStarts() {
  for (auto& [vm, by_job] : starts_) {
    const AgentState& agent = agents_.at(vm);
    for (auto& [job, tasks] : by_job) {
      Send(agent, StartTasks{FenceFor(agent), ranges_.at(job).job(),
                             std::move(tasks)});
    }
  }
  starts_.clear();
}

}  // namespace beamhill
