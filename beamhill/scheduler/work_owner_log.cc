// WorkOwner's reporting for the log, for metrics and for operators.
#include <algorithm>
#include <string>

#include "beamhill/log/log.h"
#include "beamhill/scheduler/work_owner.h"

namespace beamhill {
namespace {

// Image pairs per log line; stays below 4 KiB with the users' names.
constexpr size_t kPairsPerLine = 60;
// Per summary.
constexpr size_t kMaxOrphanLines = 10;
// Names of VMs per line; stays below 4 KiB with the users' names.
constexpr size_t kMaxWaitedForVms = 100;
// Per summary: each compares all VMs.
constexpr size_t kMaxWaitingTasks = 100;
constexpr size_t kMaxWaitLinesPerReason = 10;

}  // namespace

void WorkOwner::LogSummary() {
  const DispatchSummary summary = dispatcher_->Summary(BootClock::now());
  Log(LogLevel::kInfo, "owner_summary",
      {{"epoch", options_.epoch},
       {"vms", summary.vms},
       {"cpu", summary.capacity.cpu_millis},
       {"cpu_used", summary.used.cpu_millis},
       {"cpu_serving", summary.serving_cpu},
       {"cpu_filling", summary.best_effort_cpu},
       {"cpu_filling_in_use", summary.best_effort_cpu_in_use},
       {"runs", summary.held_runs},
       {"stops", summary.stops},
       {"oldest_stop_ms", ToMillis(summary.oldest_stop)},
       {"open_workflows", summary.open_workflows},
       {"work_bytes", WorkBytes()},
       {"suspects", summary.suspects},
       {"given_up", summary.given_up},
       {"stalled_vms", summary.stalled_vms}});
  if (summary.unreconciled_vms.empty()) keeper_.OnEarlierLeasesOver();
  LogInheritedWaiting(summary);
  LogWaitingTasks();
  LogInterferenceChanges();
  LogOrphans();
}

void WorkOwner::LogInheritedWaiting(const DispatchSummary& summary) {
  if (summary.inherited_waiting == 0) return;
  const std::vector<std::string>& vms = summary.unreconciled_vms;
  std::string names;
  for (size_t i = 0; i < std::min(vms.size(), kMaxWaitedForVms); ++i) {
    if (!names.empty()) names += " ";
    names += vms[i];
  }
  Log(LogLevel::kWarning, "inherited_waiting",
      {{"epoch", options_.epoch},
       {"workflows", summary.inherited_waiting},
       {"count", vms.size()},
       {"vms", names},
       {"left_ms", ToMillis(summary.inherited_wait_left)}});
}

void WorkOwner::LogWaitingTasks() {
  waiting_by_reason_.clear();
  longest_wait_ = Duration(0);
  for (const WaitingTask& waiting :
       dispatcher_->WaitingTasks(kMaxWaitingTasks, BootClock::now())) {
    longest_wait_ = std::max(longest_wait_, waiting.waited);
    const size_t lines = ++waiting_by_reason_[waiting.reason];
    if (lines > kMaxWaitLinesPerReason) continue;
    Log(LogLevel::kWarning, "task_waits",
        {{"request", waiting.task.workflow},
         {"epoch", options_.epoch},
         {"task", waiting.task.ToString()},
         {"first_run", waiting.first_run},
         {"waited_ms", ToMillis(waiting.waited)},
         {"reason", std::string(WaitReasonName(waiting.reason))},
         {"vms_with_room", waiting.vms_with_room},
         {"reserved_vm", waiting.reserved_vm},
         {"reserved_ms", ToMillis(waiting.reserved_for)},
         {"obstacle", std::string(ObstacleName(waiting.obstacle))}});
  }
}

size_t WorkOwner::WaitingTasks(WaitReason reason) const {
  const auto it = waiting_by_reason_.find(reason);
  return it == waiting_by_reason_.end() ? 0 : it->second;
}

void WorkOwner::LogOrphans() {
  size_t lines = 0;
  for (const OrphanedWork& work : dispatcher_->Orphans(BootClock::now())) {
    if (work.age < kCancelLimit || ++lines > kMaxOrphanLines) return;
    Log(LogLevel::kWarning, "work_orphaned",
        {{"request", work.workflow},
         {"epoch", options_.epoch},
         {"runs", work.runs},
         {"vm", dispatcher_->VmThatHolds(work.workflow)},
         {"age_ms", ToMillis(work.age)}});
  }
}

void WorkOwner::LogInterferenceChanges() {
  std::string pairs;
  for (const InterferenceWeight& weight :
       dispatcher_->TakeChangedWeights(kPairsPerLine)) {
    const auto millis = static_cast<int64_t>(ToMillis(weight.per_vm));
    if (!pairs.empty()) pairs += " ";
    pairs += weight.best_effort_image + ">" + weight.serving + ":" +
             std::to_string(millis);
  }
  if (pairs.empty()) return;
  Log(LogLevel::kInfo, "pressure_learned",
      {{"epoch", options_.epoch}, {"pressure_ms", pairs}});
}

Duration WorkOwner::OldestOrphan() const {
  if (!dispatcher_) return Duration(0);
  const auto orphans = dispatcher_->Orphans(BootClock::now());
  return orphans.empty() ? Duration(0) : orphans.front().age;
}

Duration WorkOwner::OldestStop() const {
  if (!dispatcher_) return Duration(0);
  return dispatcher_->Summary(BootClock::now()).oldest_stop;
}

size_t WorkOwner::StalledVmCount() const {
  if (!dispatcher_) return 0;
  return dispatcher_->Summary(BootClock::now()).stalled_vms;
}

size_t WorkOwner::InheritedWaiting() const {
  if (!dispatcher_) return 0;
  return dispatcher_->Summary(BootClock::now()).inherited_waiting;
}

std::string WorkOwner::Dump() const {
  if (!dispatcher_) return "loading\n";
  return dispatcher_->Dump(BootClock::now());
}

}  // namespace beamhill
