// The part of Dispatcher that shows its state, for the log and for operators.
#include <sstream>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {

DispatchSummary Dispatcher::Summary() const {
  DispatchSummary summary;
  for (const auto& [name, vm] : vms_) {
    if (!vm.answered) continue;
    ++summary.vms;
    summary.capacity += vm.status.capacity;
    summary.used += vm.used;
    summary.serving_cpu += vm.serving_cpu;
    summary.filling_cpu += vm.filling_cpu;
    summary.filling_cpu_in_use += vm.filling_cpu_in_use;
    summary.held_runs += vm.held.size();
  }
  for (const auto& [id, job] : jobs_) {
    if (!job->progress.over()) ++summary.open_workflows;
  }
  for (const auto& weight : interference_.Weights()) {
    const auto millis = static_cast<int64_t>(ToMillis(weight.per_vm));
    summary.pressure += weight.filler + ">" + weight.serving + ":" +
                        std::to_string(millis) + " ";
  }
  return summary;
}

std::string Dispatcher::Dump(TimePoint now) const {
  std::ostringstream out;
  out << "epoch " << options_.epoch << " workflows " << jobs_.size()
      << " unaccounted " << unaccounted_.size() << "\n";
  for (const auto& [name, vm] : vms_) {
    out << "vm " << name << " life " << vm.status.life << " answered "
        << vm.answered << " held " << vm.held.size() << " used "
        << vm.used.cpu_millis << "/" << vm.status.capacity.cpu_millis
        << " filling " << vm.filling_cpu << " lease_ms "
        << ToMillis(vm.lease_bound - now) << "\n";
  }
  for (const auto& weight : interference_.Weights()) {
    out << "pressure " << weight.filler << " on " << weight.serving << " ms "
        << ToMillis(weight.per_vm) << "\n";
  }
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    out << "workflow " << id << " " << WorkflowStateName(job->progress.state())
        << " opened " << job->opened << " inherited " << job->inherited
        << " due_ms " << ToMillis(job->due - now) << "\n";
  }
  return out.str();
}

}  // namespace beamhill
