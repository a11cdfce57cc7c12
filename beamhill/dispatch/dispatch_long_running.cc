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
// Downtime after which a task may go to a VM in quarantine. Users count it as
// lost after 6 s.
constexpr Duration kMaxDowntime = std::chrono::milliseconds(2500);
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

bool IsReservedFor(const dispatch_internal::CapacityReservation& reservation,
                   const Workflow& workflow, const WorkflowStep& step) {
  return reservation.task.workflow == workflow.id &&
         &workflow.steps[reservation.task.step] == &step;
}

}  // namespace

void Dispatcher::RefreshLongRunning(TimePoint now) {
  if (now - long_running_refreshed_at_ < kLongRunningInterval) return;
  long_running_refreshed_at_ = now;
  PassLongRunningProbes(now);
  ReserveForLongRunning(now);
}

bool Dispatcher::MayStartInQuarantine(const Job& job, const WorkflowStep& step,
                                      TimePoint now) {
  return step.long_running && job.down_since &&
         now - *job.down_since >= kMaxDowntime;
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
  return probes == 0 && MayStartInQuarantine(job, step, now);
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
  std::map<TaskRef, std::pair<std::string, CapacityReservation>> before;
  for (auto& [name, reservation] : std::exchange(reserved_capacity_, {})) {
    before[reservation.task] = {name, reservation};
  }
  std::vector<LongRunningWait> waits;
  for (const auto& [id, job] : jobs_) CollectLongRunningWaits(*job, now, waits);
  std::sort(waits.begin(), waits.end());
  const size_t most = 1 + vms_.size() / kReservedVmsDivisor;
  const bool seek_room = now - room_sought_at_ >= kRoomMakingInterval;
  int searches = seek_room ? kMaxRoomSearches : 0;
  for (const LongRunningWait& wait : waits) {
    if (reserved_capacity_.size() >= most) break;
    const auto earlier = before.find(wait.task);
    std::string passed_over;
    if (earlier != before.end()) {
      const auto& [name, reservation] = earlier->second;
      if (KeepReservation(name, reservation, wait, now)) continue;
      passed_over = name;
    }
    if (ReserveVmFor(wait, passed_over, now)) continue;
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
  if (!RoomBesideLongRunning(vm).Holds(reservation.amount) ||
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
  reserved_capacity_[name] = reservation;
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
  if (reserved_capacity_.count(name) > 0 || health_.IsQuarantined(name) ||
      stalls_.Avoids(name)) {
    return false;
  }
  const Job& job = *wait.job;
  if (AdmissionObstacle(vm, name, job, *wait.step, now) != Obstacle::kNone) {
    return false;
  }
  const WorkflowProgress::OpenStep open{wait.task.round, wait.task.step};
  return StepObstacle(vm, job, *wait.step, open, now) != Obstacle::kPerVmLimit;
}

// What a VM has beside its long-running tasks. Those that are being stopped
// don't count.
Resources Dispatcher::RoomBesideLongRunning(const Vm& vm) {
  Resources room = vm.status.capacity - vm.long_running;
  for (const RunRef& run : vm.stops.Runs()) {
    const auto it = vm.held.find(run);
    if (it != vm.held.end() && it->second.long_running) {
      room += it->second.amount;
    }
  }
  return room;
}

// Chooses the VM with most processor time beside its long-running tasks: this
// choice is the most stable over time.
bool Dispatcher::ReserveVmFor(const LongRunningWait& wait,
                              const std::string& passed_over, TimePoint now) {
  const Resources need = dispatch_internal::RoomNeededBy(*wait.step);
  const std::string* best = nullptr;
  int64_t most = 0;
  for (const auto& [name, vm] : vms_) {
    const Resources room = RoomBesideLongRunning(vm);
    if (!room.Holds(need)) continue;
    if (best != nullptr && room.cpu_millis <= most) continue;
    if (name == passed_over || !MayBeReserved(name, vm, wait, now)) continue;
    best = &name;
    most = room.cpu_millis;
  }
  if (best != nullptr) reserved_capacity_[*best] = {wait.task, need, now, {}};
  return best != nullptr;
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
    room.room = RoomBesideLongRunning(vm);
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

bool Dispatcher::HasReservation(const Job& job,
                                const WorkflowStep& step) const {
  const Workflow& workflow = job.progress.workflow();
  return std::any_of(reserved_capacity_.begin(), reserved_capacity_.end(),
                     [&](const auto& entry) {
                       return IsReservedFor(entry.second, workflow, step);
                     });
}

bool Dispatcher::FitsBesideReservation(const std::string& name, const Vm& vm,
                                       const Job& job,
                                       const WorkflowStep& step) const {
  const auto reservation = reserved_capacity_.find(name);
  if (reservation == reserved_capacity_.end() ||
      IsReservedFor(reservation->second, job.progress.workflow(), step)) {
    return true;
  }
  const Resources left =
      vm.status.capacity - vm.used - reservation->second.amount;
  const Resources need = dispatch_internal::RoomNeededBy(step);
  // A task that needs none of a resource takes nothing from the reservation.
  const auto fits = [](int64_t asked, int64_t free) {
    return asked == 0 || asked <= free;
  };
  return fits(need.cpu_millis, left.cpu_millis) &&
         fits(need.memory_mib, left.memory_mib) &&
         fits(need.accelerators, left.accelerators);
}

}  // namespace beamhill
