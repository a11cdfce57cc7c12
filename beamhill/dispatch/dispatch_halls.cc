// Dispatcher: moves work out of data halls that are being evacuated.
#include <algorithm>
#include <string>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

constexpr Duration kHallCheckInterval = std::chrono::milliseconds(500);

}  // namespace

void Dispatcher::SetEvacuations(const Evacuations& evacuations) {
  if (evacuations.halls != evacuations_.halls) {
    std::string halls;
    for (const std::string& hall : evacuations.halls) halls += " " + hall;
    LogDecision("", "evacuations",
                (halls.empty() ? " none" : halls) + ", table version " +
                    std::to_string(evacuations.version));
  }
  evacuations_ = evacuations;
}

bool Dispatcher::IsEvacuated(const Vm& vm) const {
  return evacuations_.Holds(vm.status.hall);
}

void Dispatcher::EvacuateHalls(TimePoint now) {
  if (evacuations_.halls.empty()) return;
  if (now - halls_evacuated_at_ < kHallCheckInterval) return;
  halls_evacuated_at_ = now;
  failed_searches_.Clear();
  // So that no two tasks are promised the same room.
  std::vector<Reservation> reserved;
  ReserveForAway(now, reserved);
  for (auto& [name, vm] : vms_) {
    if (!vm.has_inventory || !IsEvacuated(vm)) continue;
    for (const auto& [run, held] :
         std::map<RunRef, dispatch_internal::HeldRun>(vm.held)) {
      Job* job = Find(run.task.workflow);
      if (job == nullptr || !MayStart(*job) || vm.stops.Has(run)) continue;
      const Workflow& workflow = job->progress.workflow();
      const WorkflowStep& step = workflow.steps[run.task.step];
      if (!step.long_running || step.gang || workflow.policy.needs_advice) {
        continue;
      }
      if (!AllTasksRunning(*job, run, now)) continue;
      if (!ReserveMove(*job, run.task, now, reserved)) continue;
      MigrateRun(name, vm, *job, run, "its data hall is being evacuated", now);
    }
  }
  for (const auto& [name, run] : reserved) Release(vms_[name], run);
}

}  // namespace beamhill
