#include "beamhill/placement/worker_health.h"

#include <algorithm>

namespace beamhill {
namespace {

constexpr uint32_t kFailuresToSuspect = 3;
// Workers on which a job must have failed before it is the job's fault.
constexpr size_t kWorkersToBlameJob = 3;
constexpr Duration kFirstWait = std::chrono::seconds(10);
constexpr Duration kMaxWait = std::chrono::minutes(10);

Duration NextWait(Duration wait) {
  return wait == Duration(0) ? kFirstWait : std::min(wait * 2, kMaxWait);
}

}  // namespace

bool WorkerHealth::FailsEverywhere(const std::string& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return false;
  return it->second.succeeded == 0 &&
         it->second.failed_on.size() >= kWorkersToBlameJob;
}

// Suspect when the failures can't be the jobs' own: a failed job that has
// succeeded on others, or failures of several jobs that have no success yet.
bool WorkerHealth::IsSuspect(const Worker& worker) const {
  if (worker.failures_in_a_row < kFailuresToSuspect) return false;
  size_t unexplained = 0;
  for (const std::string& name : worker.failed_jobs) {
    const auto it = jobs_.find(name);
    if (it == jobs_.end()) continue;
    if (it->second.succeeded > 0) return true;
    if (!FailsEverywhere(name)) ++unexplained;
  }
  return unexplained >= 2;
}

void WorkerHealth::OnEnded(const std::string& vm, const std::string& job,
                           bool failed, TimePoint now) {
  Worker& worker = workers_[vm];
  Job& record = jobs_[job];
  if (!failed) {
    ++record.succeeded;
    record.failed_on.clear();
    record.wait = Duration(0);
    worker = Worker{};
    return;
  }
  ++record.failed;
  ++worker.failures_in_a_row;
  worker.failed_jobs.insert(job);
  if (worker.quarantined) {
    worker.wait = NextWait(worker.wait);
    worker.probe_at = now + worker.wait;
    return;
  }
  record.failed_on.insert(vm);
  if (FailsEverywhere(job)) {
    record.wait = NextWait(record.wait);
    record.try_at = now + record.wait;
  }
  if (!IsSuspect(worker)) return;
  worker.quarantined = true;
  worker.quarantined_at = now;
  worker.wait = kFirstWait;
  worker.probe_at = now + worker.wait;
}

bool WorkerHealth::MayPlace(const std::string& vm, size_t running,
                            TimePoint now) const {
  const auto it = workers_.find(vm);
  if (it == workers_.end() || !it->second.quarantined) return true;
  return now >= it->second.probe_at && running == 0;
}

bool WorkerHealth::MayStart(const std::string& job, size_t running,
                            TimePoint now) const {
  if (!FailsEverywhere(job)) return true;
  return running == 0 && now >= jobs_.at(job).try_at;
}

bool WorkerHealth::IsQuarantined(const std::string& vm) const {
  const auto it = workers_.find(vm);
  return it != workers_.end() && it->second.quarantined;
}

std::optional<TimePoint> WorkerHealth::QuarantinedSince(
    const std::string& vm) const {
  if (!IsQuarantined(vm)) return std::nullopt;
  return workers_.at(vm).quarantined_at;
}

std::vector<std::string> WorkerHealth::Quarantined() const {
  std::vector<std::string> vms;
  for (const auto& [vm, worker] : workers_) {
    if (worker.quarantined) vms.push_back(vm);
  }
  return vms;
}

}  // namespace beamhill
