// Dispatcher: keeps long-running tasks running. Reserves capacity for those
// that wait, and lets them probe VMs in quarantine.
#include <algorithm>
#include <functional>
#include <tuple>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/placement/room_making.h"

namespace beamhill {
namespace {

constexpr Duration kLongRunningInterval = std::chrono::milliseconds(100);
// Wait of a task that has never run before capacity is reserved for it. Most
// find room within a second, as short tasks end.
constexpr Duration kFirstRunWait = std::chrono::milliseconds(1500);
// A long-running task that has run this long shows that its VM is healthy: on a
// faulty VM, tasks fail sooner.
constexpr Duration kProbeTime = std::chrono::milliseconds(5000);
// At most 1/8 of the VMs, plus one, is reserved for tasks that have never run:
// under overload more tasks wait than fit, and short tasks must still find
// room.
constexpr size_t kNewTasksDivisor = 8;
// At most half of the VMs, plus one, is reserved for tasks that have run
// before.
constexpr size_t kReservedVmsDivisor = 2;

// Downtime after which short tasks on the reserved VM are stopped for the task.
// Users count it as lost after 6 s, and a stop takes up to 1 s.
constexpr Duration kStopShortTasksAfter = std::chrono::milliseconds(3000);
// Another VM is reserved if the stops are not confirmed within this time.
constexpr Duration kMaxStopTime = std::chrono::milliseconds(1200);
// Another VM is reserved if the first one has had the room for this time.
constexpr Duration kMaxUnusedRoom = std::chrono::milliseconds(1500);
// How often a task is stopped for long-running ones at most.
constexpr uint32_t kMaxPreemptions = 2;

// A task that has run before and for which no VM can be reserved waits this
// long until another one is moved for it.
constexpr Duration kSeekRoomAfter = std::chrono::milliseconds(1000);
// Time for the moved task to end and for the waiting one to start. More moves
// at once take each other's room.
constexpr Duration kRoomMakingInterval = std::chrono::milliseconds(1000);
// Each search compares all VMs for each task that might move.
constexpr int kMaxRoomSearches = 4;

}  // namespace

void Dispatcher::RefreshLongRunning(TimePoint now) {
  if (now - long_running_refreshed_at_ < kLongRunningInterval) return;
  long_running_refreshed_at_ = now;
  PassLongRunningProbes(now);
  ReserveForLongRunning(now);
}

// A long-running task that has been down for too long need not wait for the
// next probe.
bool Dispatcher::IsHealthyFor(const std::string& name, const Vm& vm,
                              const Job& job, const WorkflowStep& step,
                              TimePoint now) const {
  const auto quarantined = health_.QuarantinedSince(name);
  if (!quarantined) return true;
  const auto probes = static_cast<size_t>(std::count_if(
      vm.held.begin(), vm.held.end(),
      [&](const auto& entry) { return entry.second.since >= *quarantined; }));
  if (health_.MayPlace(name, probes, now)) return true;
  return probes == 0 && dispatch_internal::MayStartInQuarantine(job, step, now);
}

void Dispatcher::PassLongRunningProbes(TimePoint now) {
  for (const std::string& name : health_.Quarantined()) {
    const auto vm = vms_.find(name);
    if (vm == vms_.end()) continue;
    const auto since = health_.QuarantinedSince(name);
    for (const auto& [run, held] : vm->second.held) {
      if (held.since < *since || now - held.since < kProbeTime) continue;
      Job* job = Find(run.task.workflow);
      if (job == nullptr) continue;
      const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
      if (!step.long_running || vm->second.stops.Has(run)) continue;
      health_.OnEnded(name, run.task.workflow, /*failed=*/false, now);
      LogDecision("", "vm_sound_again", name);
      break;
    }
  }
}

void Dispatcher::CollectLongRunningWaits(Job& job, TimePoint now,
                                         std::vector<LongRunningWait>& waits) {
  job.down_since.reset();
  job.reservations = 0;
  if (!MayStart(job)) return;
  const Workflow& workflow = job.progress.workflow();
  for (uint32_t number = 0; number < workflow.steps.size(); ++number) {
    const WorkflowStep& step = workflow.steps[number];
    if (!step.long_running || step.gang ||
        !dispatch_internal::IsOpen(job, step)) {
      continue;
    }
    const auto& tasks = job.progress.TasksOf(0, number);
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      const WorkflowProgress::Task& task = tasks[i];
      const TaskRef ref{workflow.id, 0, number, i};
      if (task.phase != WorkflowProgress::Phase::kWaiting) continue;
      LongRunningWait wait;
      wait.first_run = !dispatch_internal::HasRunBefore(job, task);
      wait.since = task.last_run_ended_at.value_or(job.added_at);
      wait.job = &job;
      wait.step = &step;
      wait.task = ref;
      if (wait.first_run && now - wait.since < kFirstRunWait) continue;
      if (!wait.first_run) {
        job.down_since =
            std::min(job.down_since.value_or(wait.since), wait.since);
      }
      // Best-effort tasks wait for pace, which can't be reserved.
      if (!step.best_effort) waits.push_back(std::move(wait));
    }
  }
}

// Tasks that have run before come first: their users notice the outage. All
// reservations are renewed before new ones are made, and new ones are made
// before room is sought, so that none takes what is promised to another.
void Dispatcher::ReserveForLongRunning(TimePoint now) {
  ReservationsByStep before;
  for (const auto& entry : reservations_.TakeAll()) {
    const TaskRef& task = entry.second.task;
    before.insert({{task.workflow, task.step}, entry});
  }
  std::vector<LongRunningWait> waits;
  for (const auto& [id, job] : jobs_) CollectLongRunningWaits(*job, now, waits);
  std::sort(waits.begin(), waits.end());
  const auto first_runs =
      std::find_if(waits.begin(), waits.end(),
                   [](const LongRunningWait& wait) { return wait.first_run; });
  const auto reserve = [&](auto begin, auto end, size_t most) {
    for (auto wait = begin; wait != end && reservations_.size() < most;
         ++wait) {
      wait->reserved = Renew(*wait, before, now);
    }
    for (auto wait = begin; wait != end && reservations_.size() < most;
         ++wait) {
      wait->reserved = wait->reserved || ReserveVmFor(*wait, now);
    }
  };
  reserve(waits.begin(), first_runs, 1 + vms_.size() / kReservedVmsDivisor);
  reserve(first_runs, waits.end(), 1 + vms_.size() / kNewTasksDivisor);
  if (now - room_sought_at_ < kRoomMakingInterval) return;
  int searches = kMaxRoomSearches;
  for (auto wait = waits.begin(); wait != first_runs && searches > 0; ++wait) {
    if (wait->reserved || now - wait->since < kSeekRoomAfter) continue;
    if (MakeRoomFor(*wait, now, searches)) return;
  }
}

bool Dispatcher::Renew(LongRunningWait& wait, ReservationsByStep& before,
                       TimePoint now) {
  const std::pair step(wait.task.workflow, wait.task.step);
  for (auto it = before.find(step); it != before.end();
       it = before.find(step)) {
    const auto [name, reservation] = it->second;
    before.erase(it);
    if (KeepReservation(name, reservation, wait, now)) return true;
    wait.tried = reservation.tried;
    wait.tried.insert(name);
  }
  return false;
}

// A task waits neither for short tasks that run on and on or can't be stopped,
// nor for a VM that has its room and does not get it started for reasons that
// are not known here.
bool Dispatcher::KeepReservation(const std::string& name,
                                 CapacityReservation reservation,
                                 const LongRunningWait& wait, TimePoint now) {
  const Obstacle obstacle = ReservationObstacle(name, wait, now);
  // Back-off ends soon, and the room would be lost.
  if (obstacle != Obstacle::kNone && obstacle != Obstacle::kBackOff) {
    return false;
  }
  const Vm& vm = vms_[name];
  if (!dispatch_internal::RoomBesideLongRunning(vm).Holds(reservation.amount)) {
    return false;
  }
  // Another task of the step has started in the room that was made.
  if (!(reservation.task == wait.task)) reservation.stops_since.reset();
  if ((vm.status.capacity - vm.used).Holds(reservation.amount)) {
    if (!reservation.room_since) reservation.room_since = now;
    if (now - *reservation.room_since >= kMaxUnusedRoom) return false;
  } else {
    reservation.room_since.reset();
    if (reservation.stops_since) {
      if (now - *reservation.stops_since >= kMaxStopTime) return false;
    } else if (dispatch_internal::LacksOnlyRoom(wait, vm, now) &&
               now - wait.since >= kStopShortTasksAfter) {
      if (!StopShortTasks(name, reservation.amount, now)) return false;
      reservation.stops_since = now;
      reservation.firm = true;
    }
  }
  reservation.task = wait.task;
  reservations_.Set(name, reservation);
  ++wait.job->reservations;
  return true;
}

// Those that keep a checkpoint come first, then the last ones to start. The
// members of a gang would all be lost.
bool Dispatcher::StopShortTasks(const std::string& name, const Resources& need,
                                TimePoint now) {
  Vm& vm = vms_[name];
  Resources free = vm.status.capacity - vm.used;
  using Candidate = std::tuple<bool, TimePoint, RunRef>;
  std::vector<Candidate> runs;
  for (const auto& [run, held] : vm.held) {
    if (vm.stops.Has(run)) {
      free += held.amount;
      continue;
    }
    const Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job) || held.long_running || held.gang ||
        job->progress.At(run.task).preemptions >= kMaxPreemptions) {
      continue;
    }
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    runs.emplace_back(step.saves_progress, held.since, run);
  }
  std::sort(runs.begin(), runs.end(), std::greater<>());
  std::vector<Resources> amounts;
  amounts.reserve(runs.size());
  for (const Candidate& candidate : runs) {
    amounts.push_back(vm.held.at(std::get<RunRef>(candidate)).amount);
  }
  const auto chosen = ChooseTasksToStop(free, amounts, need);
  for (const size_t i : chosen) {
    const RunRef& run = std::get<RunRef>(runs[i]);
    Job& job = *Find(run.task.workflow);
    ++job.progress.At(run.task).preemptions;
    MigrateRun(name, vm, job, run, "makes room for a long-running task", now);
  }
  return !chosen.empty() || free.Holds(need);
}

// The predicates are those of the start. VMs in quarantine and stalled ones are
// left to their probes. VMs that the advisor was not asked about yet may be
// reserved.
Obstacle Dispatcher::ReservationObstacle(const std::string& name,
                                         const LongRunningWait& wait,
                                         TimePoint now) const {
  if (reservations_.On(name) != nullptr) return Obstacle::kReserved;
  if (health_.IsQuarantined(name)) return Obstacle::kQuarantine;
  if (stalls_.Avoids(name)) return Obstacle::kStalled;
  const Vm& vm = vms_.at(name);
  const WorkflowProgress::OpenStep open{wait.task.round, wait.task.step};
  const Obstacle obstacle =
      dispatch_internal::StepObstacle(vm, *wait.job, open, now);
  const bool refused =
      dispatch_internal::VerdictOn(*wait.job, open, vm.status.incarnation) ==
      dispatch_internal::AdvisorVerdict::kRefused;
  if (obstacle == Obstacle::kPerVmLimit || refused) return obstacle;
  return VmObstacle(vm, name, *wait.job, *wait.step, now);
}

// Chooses the VM with most processor time beside its long-running tasks: this
// choice is the most stable over time. VMs on which short tasks can be stopped
// come before others, and VMs that were reserved in vain after all others.
bool Dispatcher::ReserveVmFor(const LongRunningWait& wait, TimePoint now) {
  const Resources need = dispatch_internal::RoomNeededBy(*wait.step);
  const std::string* best = nullptr;
  const WorkflowProgress::OpenStep open{wait.task.round, wait.task.step};
  std::tuple<bool, bool, bool, int64_t> best_rank;
  for (const auto& [name, vm] : vms_) {
    const Resources room = dispatch_internal::RoomBesideLongRunning(vm);
    if (!room.Holds(need)) continue;
    const bool allowed =
        dispatch_internal::VerdictOn(*wait.job, open, vm.status.incarnation) ==
        dispatch_internal::AdvisorVerdict::kAllowed;
    const std::tuple rank(wait.tried.count(name) == 0, allowed,
                          dispatch_internal::RoomBesideGangs(vm).Holds(need),
                          room.cpu_millis);
    if (best != nullptr && rank <= best_rank) continue;
    if (ReservationObstacle(name, wait, now) != Obstacle::kNone) continue;
    best = &name;
    best_rank = rank;
  }
  if (best == nullptr) return false;
  CapacityReservation reservation;
  reservation.task = wait.task;
  reservation.amount = need;
  reservation.since = now;
  if (std::get<0>(best_rank)) reservation.tried = wait.tried;
  reservations_.Set(*best, reservation);
  ++wait.job->reservations;
  return true;
}

bool Dispatcher::MakeRoomFor(const LongRunningWait& wait, TimePoint now,
                             int& searches) {
  std::vector<RoomOnVm> rooms;
  std::vector<std::pair<std::string, std::vector<RunRef>>> runs;  // By VM.
  const auto is_movable = [&](const Vm& vm, const RunRef& run) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job) || vm.stops.Has(run)) return false;
    const Workflow& workflow = job->progress.workflow();
    return !workflow.steps[run.task.step].gang && !workflow.policy.needs_advice;
  };
  for (const auto& [name, vm] : vms_) {
    if (ReservationObstacle(name, wait, now) != Obstacle::kNone) continue;
    RoomOnVm& room = rooms.emplace_back();
    room.room = dispatch_internal::RoomBesideLongRunning(vm);
    auto& movable = runs.emplace_back(name, std::vector<RunRef>()).second;
    for (const auto& [run, held] : vm.held) {
      if (!held.long_running || !is_movable(vm, run)) continue;
      room.tasks.push_back(held.amount);
      movable.push_back(run);
    }
  }
  if (rooms.empty()) return false;
  --searches;
  room_sought_at_ = now;
  failed_searches_.Clear();
  const auto may_move = [&](const RoomMaker& move) {
    const auto& [name, movable] = runs[move.vm];
    const TaskRef& ref = movable[move.task].task;
    const Job& job = *Find(ref.workflow);
    const WorkflowStep& step = job.progress.workflow().steps[ref.step];
    const size_t limit = std::max<size_t>(1, step.max_unavailable);
    if (TasksAway(job, ref, now) >= limit) return false;
    std::string target;
    const Vm* vm =
        ChooseVm(job, step, {ref.round, ref.step}, name, now, &target);
    return vm != nullptr && target != name;
  };
  const Resources need = dispatch_internal::RoomNeededBy(*wait.step);
  const auto move = ChooseRoomMaker(rooms, need, may_move);
  if (!move) return false;
  const auto& [name, movable] = runs[move->vm];
  const RunRef& run = movable[move->task];
  MigrateRun(name, vms_[name], *Find(run.task.workflow), run,
             "makes room for a long-running task", now);
  CapacityReservation reservation;
  reservation.task = wait.task;
  reservation.amount = need;
  reservation.since = now;
  reservation.firm = true;
  reservations_.Set(name, reservation);
  ++wait.job->reservations;
  return true;
}

}  // namespace beamhill
