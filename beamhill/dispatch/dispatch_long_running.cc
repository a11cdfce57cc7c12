// Dispatcher: keeps long-running tasks running. Reserves capacity for those
// that wait, and lets them probe VMs in quarantine.
#include <algorithm>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

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

}  // namespace

void Dispatcher::RefreshLongRunning(TimePoint now) {
  if (now - long_running_refreshed_at_ < kLongRunningInterval) return;
  long_running_refreshed_at_ = now;
  PassLongRunningProbes(now);
  ReserveForLongRunning(now);
}

size_t Dispatcher::ProbesOn(const std::string& name, const Vm& vm) const {
  const auto since = health_.QuarantinedSince(name);
  if (!since) return 0;
  return static_cast<size_t>(std::count_if(
      vm.held.begin(), vm.held.end(),
      [&](const auto& entry) { return entry.second.since >= *since; }));
}

bool Dispatcher::IsHealthyFor(const std::string& name, const Vm& vm,
                              const Job& job, const WorkflowStep& step,
                              TimePoint now) const {
  if (!health_.IsQuarantined(name)) return true;
  const size_t probes = ProbesOn(name, vm);
  if (health_.MayPlace(name, probes, now)) return true;
  return step.long_running && probes == 0 && job.down_since &&
         now - *job.down_since >= kMaxDowntime;
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
    for (const auto& task : job.progress.TasksOf(0, number)) {
      if (task.phase != WorkflowProgress::Phase::kWaiting) continue;
      if (!task.last_run_ended_at) {
        if (now - job.added_at < kFirstRunWait) continue;
        waits.push_back({/*first_run=*/true, job.added_at, &job, &step});
        continue;
      }
      waits.push_back(
          {/*first_run=*/false, *task.last_run_ended_at, &job, &step});
      job.down_since =
          std::min(job.down_since.value_or(*task.last_run_ended_at),
                   *task.last_run_ended_at);
    }
  }
}

// Tasks that have run before come first: their users notice the outage.
void Dispatcher::ReserveForLongRunning(TimePoint now) {
  reserved_capacity_.clear();
  std::vector<LongRunningWait> waits;
  for (const auto& [id, job] : jobs_) CollectLongRunningWaits(*job, now, waits);
  std::sort(waits.begin(), waits.end());
  const size_t most = 1 + vms_.size() / kReservedVmsDivisor;
  for (const LongRunningWait& wait : waits) {
    if (reserved_capacity_.size() >= most) break;
    ReserveVmFor(*wait.job, *wait.step);
  }
}

// Chooses the VM with most processor time beside its serving tasks: this choice
// is the most stable over time.
void Dispatcher::ReserveVmFor(const Job& job, const WorkflowStep& step) {
  const std::string* best = nullptr;
  int64_t most = 0;
  for (const auto& [name, vm] : vms_) {
    const VmStatus& status = vm.status;
    if (!vm.linked || !vm.has_inventory || status.draining ||
        status.incarnation.empty() || IsEvacuated(vm) ||
        status.service != job.progress.workflow().service ||
        health_.IsQuarantined(name) || reserved_capacity_.count(name) > 0) {
      continue;
    }
    const bool labelled = step.required_label.empty() ||
                          std::find(status.labels.begin(), status.labels.end(),
                                    step.required_label) != status.labels.end();
    const int64_t left = status.capacity.cpu_millis - vm.serving_cpu;
    if (!labelled || left < step.each.cpu_millis) continue;
    if (best != nullptr && left <= most) continue;
    if (stalls_.Avoids(name)) continue;
    best = &name;
    most = left;
  }
  if (best != nullptr) reserved_capacity_[*best] = step.each;
}

bool Dispatcher::FitsBesideReservation(const std::string& name, const Vm& vm,
                                       const WorkflowStep& step) const {
  if (step.long_running) return true;
  const auto reservation = reserved_capacity_.find(name);
  if (reservation == reserved_capacity_.end()) return true;
  const Resources left = vm.status.capacity - vm.used - reservation->second;
  if (left.memory_mib < step.each.memory_mib) return false;
  return step.best_effort || left.cpu_millis >= step.each.cpu_millis;
}

}  // namespace beamhill
