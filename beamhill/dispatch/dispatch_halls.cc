// The part of Dispatcher that heeds data halls which are to be emptied.
#include <algorithm>
#include <string>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

constexpr Duration kMoveOutInterval = std::chrono::milliseconds(500);

}  // namespace

void Dispatcher::SetEvacuations(const Evacuations& evacuations) {
  if (evacuations.halls != evacuations_.halls) {
    std::string halls;
    for (const std::string& hall : evacuations.halls) halls += " " + hall;
    Decide("", "evacuations",
           (halls.empty() ? " none" : halls) + ", table version " +
               std::to_string(evacuations.version));
  }
  evacuations_ = evacuations;
}

bool Dispatcher::IsEvacuated(const Vm& vm) const {
  return evacuations_.Holds(vm.status.hall);
}

TimePoint Dispatcher::LatestStart(const Vm& vm, TimePoint now) {
  // The stamp was taken before it came, so that the executor's clock is at
  // least this far.
  return vm.stamp + (now - vm.stamped_at) + kStartOrderTtl;
}

void Dispatcher::MoveOutOfHalls(TimePoint now) {
  // While lasting tasks wait for room, one that is moved may find none.
  if (evacuations_.halls.empty() || !kept_room_.empty()) return;
  if (now - moved_out_at_ < kMoveOutInterval) return;
  moved_out_at_ = now;
  for (auto& [name, vm] : vms_) {
    if (!vm.answered || !IsEvacuated(vm)) continue;
    for (const auto& [run, held] : std::map<RunRef, HeldRun>(vm.held)) {
      Job* job = Find(run.task.workflow);
      if (job == nullptr || !MayStart(*job) || vm.stops.Has(run)) continue;
      const Workflow& workflow = job->progress.workflow();
      const WorkflowStep& step = workflow.steps[run.task.step];
      if (!step.long_running || step.gang || workflow.policy.needs_advice) {
        continue;
      }
      if (!AllAtWork(*job, run, now)) continue;
      const auto loss =
          LeastLoss(name, *job, {run.task.round, run.task.step}, now);
      if (loss) {
        MoveOff(name, vm, *job, run, "its data hall is to be emptied", now);
      }
    }
  }
}

}  // namespace beamhill
