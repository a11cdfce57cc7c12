#include "beamhill/placement/worker_health.h"

#include <algorithm>

namespace beamhill {
namespace {

constexpr uint32_t kMinFailuresToSuspect = 3;
// Workers on which a job has to fail before the job is at fault.
constexpr size_t kMinWorkersToBlameJob = 3;
constexpr Duration kInitialBackoff = std::chrono::seconds(10);
constexpr Duration kMaxBackoff = std::chrono::minutes(10);

Duration NextBackoff(Duration backoff) {
  return backoff == Duration(0) ? kInitialBackoff
                                : std::min(backoff * 2, kMaxBackoff);
}

}  // namespace

bool WorkerHealth::FailsEverywhere(const std::string& job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) return false;
  return it->second.succeeded == 0 &&
         it->second.failed_on.size() >= kMinWorkersToBlameJob;
}

// The worker is at fault if a job that failed on it has succeeded elsewhere, or
// if several jobs failed on it that have neither succeeded nor failed
// everywhere.
bool WorkerHealth::ShouldQuarantine(const Worker& worker) const {
  if (worker.consecutive_failures < kMinFailuresToSuspect) return false;
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
  JobHealth& record = jobs_[job];
  if (!failed) {
    ++record.succeeded;
    record.failed_on.clear();
    record.backoff = Duration(0);
    worker = Worker{};
    return;
  }
  ++record.failed;
  ++worker.consecutive_failures;
  worker.failed_jobs.insert(job);
  if (worker.quarantined) {
    worker.backoff = NextBackoff(worker.backoff);
    worker.probe_at = now + worker.backoff;
    return;
  }
  record.failed_on.insert(vm);
  if (FailsEverywhere(job)) {
    record.backoff = NextBackoff(record.backoff);
    record.next_try_at = now + record.backoff;
  }
  if (!ShouldQuarantine(worker)) return;
  worker.quarantined = true;
  worker.quarantined_at = now;
  worker.backoff = kInitialBackoff;
  worker.probe_at = now + worker.backoff;
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
  return running == 0 && now >= jobs_.at(job).next_try_at;
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
