// Dispatcher: keeps long-running tasks running. Reserves capacity for those
// that wait, and lets them probe VMs in quarantine.
#include <algorithm>
#include <functional>
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
// At most 1/8 of the VMs, plus one, is reserved: under overload more tasks wait
// than fit, and short tasks must still find room.
constexpr size_t kReservedVmsDivisor = 8;

// Downtime after which short tasks on the reserved VM are stopped for the task.
// Users count it as lost after 6 s, and a stop takes up to 1 s.
constexpr Duration kMaxRoomWait = std::chrono::milliseconds(3000);
// Time after which another VM is reserved if the first one has had the room.
constexpr Duration kMaxUnusedRoom = std::chrono::milliseconds(1500);

// A task that has run before and for which no VM can be reserved waits this
// long until another one is moved for it.
constexpr Duration kRoomMakingWait = std::chrono::milliseconds(1000);
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
    if (!step.long_running || step.gang) continue;
    const auto& tasks = job.progress.TasksOf(0, number);
    for (uint32_t i = 0; i < tasks.size(); ++i) {
      const WorkflowProgress::Task& task = tasks[i];
      const TaskRef ref{workflow.id, 0, number, i};
      if (task.phase != WorkflowProgress::Phase::kWaiting) continue;
      if (!task.last_run_ended_at) {
        if (now - job.added_at < kFirstRunWait) continue;
        waits.push_back({/*first_run=*/true, job.added_at, &job, &step, ref});
        continue;
      }
      waits.push_back(
          {/*first_run=*/false, *task.last_run_ended_at, &job, &step, ref});
      job.down_since =
          std::min(job.down_since.value_or(*task.last_run_ended_at),
                   *task.last_run_ended_at);
    }
  }
}

// Tasks that have run before come first: their users notice the outage.
void Dispatcher::ReserveForLongRunning(TimePoint now) {
  // By workflow and step, whose tasks may use each other's reservations.
  std::multimap<std::pair<std::string, uint32_t>,
                CapacityReservations::ByVm::value_type>
      before;
  for (const auto& entry : reservations_.TakeAll()) {
    const TaskRef& task = entry.second.task;
    before.insert({{task.workflow, task.step}, entry});
  }
  std::vector<LongRunningWait> waits;
  for (const auto& [id, job] : jobs_) CollectLongRunningWaits(*job, now, waits);
  std::sort(waits.begin(), waits.end());
  const size_t most = 1 + vms_.size() / kReservedVmsDivisor;
  const bool seek_room = now - room_sought_at_ >= kRoomMakingInterval;
  int searches = seek_room ? kMaxRoomSearches : 0;
  for (const LongRunningWait& wait : waits) {
    if (reservations_.size() >= most) break;
    const std::pair step(wait.task.workflow, wait.task.step);
    std::string passed_over;
    bool kept = false;
    for (auto it = before.find(step); !kept && it != before.end();
         it = before.find(step)) {
      passed_over = it->second.first;
      kept = KeepReservation(passed_over, it->second.second, wait, now);
      before.erase(it);
    }
    if (kept || ReserveVmFor(wait, passed_over, now)) continue;
    if (!passed_over.empty() && ReserveVmFor(wait, "", now)) continue;
    if (wait.first_run || now - wait.since < kRoomMakingWait) continue;
    if (searches <= 0) continue;
    room_sought_at_ = now;
    searches = MakeRoomFor(wait, now) ? 0 : searches - 1;
  }
}

// A task waits neither for short tasks that run on and on, nor for a VM that
// has its room and does not get it started for reasons that are not known here.
bool Dispatcher::KeepReservation(const std::string& name,
                                 CapacityReservation reservation,
                                 const LongRunningWait& wait, TimePoint now) {
  Vm& vm = vms_[name];
  if (!dispatch_internal::RoomBesideLongRunning(vm).Holds(reservation.amount) ||
      !MayBeReserved(name, vm, wait, now)) {
    return false;
  }
  if ((vm.status.capacity - vm.used).Holds(reservation.amount)) {
    if (!reservation.room_since) reservation.room_since = now;
    if (now - *reservation.room_since >= kMaxUnusedRoom) return false;
  } else {
    reservation.room_since.reset();
    const bool overdue = now - wait.since >= kMaxRoomWait;
    if (!wait.first_run && overdue) StopShortTasks(name, vm, wait, now);
  }
  reservation.task = wait.task;
  reservations_.Set(name, reservation);
  ++wait.job->reservations;
  return true;
}

// The last ones to start lose least. The members of a gang would all be lost.
void Dispatcher::StopShortTasks(const std::string& name, Vm& vm,
                                const LongRunningWait& wait, TimePoint now) {
  Resources free = vm.status.capacity - vm.used;
  std::vector<std::pair<TimePoint, RunRef>> runs;
  for (const auto& [run, held] : vm.held) {
    if (vm.stops.Has(run)) {
      free += held.amount;
      continue;
    }
    const Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job) || held.long_running) continue;
    if (job->progress.workflow().steps[run.task.step].gang) continue;
    runs.emplace_back(held.since, run);
  }
  std::sort(runs.begin(), runs.end(), std::greater<>());
  std::vector<Resources> amounts;
  amounts.reserve(runs.size());
  for (const auto& entry : runs) {
    amounts.push_back(vm.held.at(entry.second).amount);
  }
  for (const size_t chosen : ChooseTasksToStop(
           free, amounts, dispatch_internal::RoomNeededBy(*wait.step))) {
    const RunRef& run = runs[chosen].second;
    MigrateRun(name, vm, *Find(run.task.workflow), run,
               "makes room for a long-running task", now);
  }
}

// The same predicates decide about the start, so that what is reserved can be
// used once short tasks have left. VMs in quarantine and stalled ones are left
// to their probes. The advisor may be asked only once there is room.
bool Dispatcher::MayBeReserved(const std::string& name, const Vm& vm,
                               const LongRunningWait& wait,
                               TimePoint now) const {
  if (reservations_.On(name) != nullptr || health_.IsQuarantined(name) ||
      stalls_.Avoids(name)) {
    return false;
  }
  const Job& job = *wait.job;
  if (VmObstacle(vm, name, job, *wait.step, now) != Obstacle::kNone) {
    return false;
  }
  const WorkflowProgress::OpenStep open{wait.task.round, wait.task.step};
  return dispatch_internal::StepObstacle(vm, job, open, now) !=
         Obstacle::kPerVmLimit;
}

// Chooses the VM with most processor time beside its long-running tasks: this
// choice is the most stable over time.
bool Dispatcher::ReserveVmFor(const LongRunningWait& wait,
                              const std::string& passed_over, TimePoint now) {
  const Resources need = dispatch_internal::RoomNeededBy(*wait.step);
  const std::string* best = nullptr;
  int64_t most = 0;
  for (const auto& [name, vm] : vms_) {
    const Resources room = dispatch_internal::RoomBesideLongRunning(vm);
    if (!room.Holds(need)) continue;
    if (best != nullptr && room.cpu_millis <= most) continue;
    if (name == passed_over || !MayBeReserved(name, vm, wait, now)) continue;
    best = &name;
    most = room.cpu_millis;
  }
  if (best == nullptr) return false;
  reservations_.Set(*best, {wait.task, need, now, std::nullopt});
  ++wait.job->reservations;
  return true;
}

bool Dispatcher::MakeRoomFor(const LongRunningWait& wait, TimePoint now) {
  std::vector<RoomOnVm> rooms;
  std::vector<std::pair<std::string, std::vector<RunRef>>> runs;  // By VM.
  const auto is_movable = [&](const Vm& vm, const RunRef& run) {
    const Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job) || vm.stops.Has(run)) return false;
    const Workflow& workflow = job->progress.workflow();
    return !workflow.steps[run.task.step].gang && !workflow.policy.needs_advice;
  };
  for (const auto& [name, vm] : vms_) {
    if (!MayBeReserved(name, vm, wait, now)) continue;
    RoomOnVm& room = rooms.emplace_back();
    room.room = dispatch_internal::RoomBesideLongRunning(vm);
    auto& movable = runs.emplace_back(name, std::vector<RunRef>()).second;
    for (const auto& [run, held] : vm.held) {
      if (!held.long_running || !is_movable(vm, run)) continue;
      room.tasks.push_back(held.amount);
      movable.push_back(run);
    }
  }
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
  const auto move = ChooseRoomMaker(
      rooms, dispatch_internal::RoomNeededBy(*wait.step), may_move);
  if (!move) return false;
  const auto& [name, movable] = runs[move->vm];
  const RunRef& run = movable[move->task];
  MigrateRun(name, vms_[name], *Find(run.task.workflow), run,
             "makes room for a long-running task", now);
  return true;
}

}  // namespace beamhill
