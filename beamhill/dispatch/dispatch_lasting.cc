// The part of Dispatcher that keeps tasks which last at work: room for one that
// waits, and probes of VMs that have failed what they started.
#include <algorithm>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

constexpr Duration kLastingInterval = std::chrono::milliseconds(100);
// A lasting task that has never run waits so long before room is kept for it:
// most find some within a second, as quick tasks end.
constexpr Duration kFirstRunPatience = std::chrono::milliseconds(1500);
// One that ran before may go to a VM in quarantine after so long: users count
// it as lost after 6 s.
constexpr Duration kAwayLimit = std::chrono::milliseconds(2500);
// A lasting task that has been at work for so long on a VM in quarantine has
// shown that the VM is sound: those that fail all do so within this.
constexpr Duration kProbePassed = std::chrono::milliseconds(5000);
// At most this part of the VMs is kept free, as a divisor: under overload more
// tasks wait than there is room for, and quick work has to go on.
constexpr size_t kKeptVmsDivisor = 8;

}  // namespace

void Dispatcher::RefreshLasting(TimePoint now) {
  if (now - lasting_refreshed_at_ < kLastingInterval) return;
  lasting_refreshed_at_ = now;
  PassLastingProbes(now);
  KeepRoomForLasting(now);
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
  return step.long_running && probes == 0 && job.away_since &&
         now - *job.away_since >= kAwayLimit;
}

void Dispatcher::PassLastingProbes(TimePoint now) {
  for (const std::string& name : health_.Quarantined()) {
    const auto vm = vms_.find(name);
    if (vm == vms_.end()) continue;
    const auto since = health_.QuarantinedSince(name);
    for (const auto& [run, held] : vm->second.held) {
      if (held.since < *since || now - held.since < kProbePassed) continue;
      Job* job = Find(run.task.workflow);
      if (job == nullptr) continue;
      const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
      if (!step.long_running || vm->second.stops.Has(run)) continue;
      health_.OnEnded(name, run.task.workflow, /*failed=*/false, now);
      Decide("", "vm_sound_again", name);
      break;
    }
  }
}

void Dispatcher::NoteLastingWaits(Job& job, TimePoint now,
                                  std::vector<LastingWait>& waits) {
  job.away_since.reset();
  if (!MayStart(job)) return;
  const Workflow& workflow = job.progress.workflow();
  for (uint32_t number = 0; number < workflow.steps.size(); ++number) {
    const WorkflowStep& step = workflow.steps[number];
    if (!step.long_running || step.gang) continue;
    for (const auto& task : job.progress.TasksOf(0, number)) {
      if (task.phase != WorkflowProgress::Phase::kWaiting) continue;
      if (!task.away_since) {
        if (now - job.added_at < kFirstRunPatience) continue;
        waits.push_back({/*first_run=*/true, job.added_at, &job, &step});
        continue;
      }
      waits.push_back({/*first_run=*/false, *task.away_since, &job, &step});
      job.away_since =
          std::min(job.away_since.value_or(*task.away_since), *task.away_since);
    }
  }
}

// Those that have run before come first: their users are without them.
void Dispatcher::KeepRoomForLasting(TimePoint now) {
  kept_room_.clear();
  std::vector<LastingWait> waits;
  for (const auto& [id, job] : jobs_) NoteLastingWaits(*job, now, waits);
  std::sort(waits.begin(), waits.end());
  const size_t most = 1 + vms_.size() / kKeptVmsDivisor;
  for (const LastingWait& wait : waits) {
    if (kept_room_.size() >= most) break;
    KeepRoomFor(*wait.job, *wait.step);
  }
}

// The VM that has most left beside what lasts there: it changes least from one
// choice to the next.
void Dispatcher::KeepRoomFor(const Job& job, const WorkflowStep& step) {
  const std::string* best = nullptr;
  int64_t most = 0;
  for (const auto& [name, vm] : vms_) {
    const VmStatus& status = vm.status;
    if (!vm.linked || !vm.answered || status.draining ||
        status.incarnation.empty() || IsEvacuated(vm) ||
        status.service != job.progress.workflow().service ||
        health_.IsQuarantined(name) || kept_room_.count(name) > 0) {
      continue;
    }
    const bool labelled = step.required_label.empty() ||
                          std::find(status.labels.begin(), status.labels.end(),
                                    step.required_label) != status.labels.end();
    const int64_t left = status.capacity.cpu_millis - vm.serving_cpu;
    if (!labelled || left < step.each.cpu_millis) continue;
    if (best != nullptr && left <= most) continue;
    best = &name;
    most = left;
  }
  if (best != nullptr) kept_room_[*best] = step.each;
}

bool Dispatcher::LeavesKeptRoom(const std::string& name, const Vm& vm,
                                const WorkflowStep& step) const {
  if (step.long_running) return true;
  const auto kept = kept_room_.find(name);
  if (kept == kept_room_.end()) return true;
  const Resources left = vm.status.capacity - vm.used - kept->second;
  if (left.memory_mib < step.each.memory_mib) return false;
  return step.best_effort || left.cpu_millis >= step.each.cpu_millis;
}

}  // namespace beamhill
