// Distinguishes workers that fail all tasks from jobs that fail on all workers.
//
// Reads no clock and does no I/O. A job is at fault if it fails on several
// workers and none of its runs has succeeded. A worker is at fault if it fails
// several times in a row and a job that failed there succeeds elsewhere, or if
// several jobs failed there that are not at fault. It is then quarantined, and
// after a backoff probed with one task at a time.
//
//   WorkerHealth health;
//   health.OnEnded("vm-3", "job-1", /*failed=*/true, now);
//   if (health.MayPlace("vm-3", running, now)) ...
#ifndef BEAMHILL_PLACEMENT_WORKER_HEALTH_H_
#define BEAMHILL_PLACEMENT_WORKER_HEALTH_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// Tracks the outcomes of runs by worker, named by its VM, and by job.
class WorkerHealth {
 public:
  // Records that a run of the job succeeded or failed on the VM. Runs that were
  // stopped or lost don't count.
  void OnEnded(const std::string& vm, const std::string& job, bool failed,
               TimePoint now);
  void ForgetVm(const std::string& vm) { workers_.erase(vm); }
  void ForgetJob(const std::string& job) { jobs_.erase(job); }

  // Whether a task may be placed on the VM, where `running` tasks run now.
  bool MayPlace(const std::string& vm, size_t running, TimePoint now) const;
  // Whether a task of the job may be started while `running` of its tasks run.
  // A job that fails everywhere is retried with one task after each backoff,
  // which grows with further failures.
  bool MayStart(const std::string& job, size_t running, TimePoint now) const;

  bool IsQuarantined(const std::string& vm) const;
  // Returns the start of the VM's quarantine, nullopt if it isn't quarantined.
  std::optional<TimePoint> QuarantinedSince(const std::string& vm) const;
  // Whether the job has failed on several workers and never succeeded.
  bool FailsEverywhere(const std::string& job) const;
  std::vector<std::string> Quarantined() const;

 private:
  struct Worker {
    uint32_t consecutive_failures = 0;
    std::set<std::string> failed_jobs;  // Jobs of these failures.
    bool quarantined = false;
    TimePoint quarantined_at{};
    TimePoint probe_at{};
    Duration backoff{};
  };
  struct JobHealth {
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    std::set<std::string> failed_on;
    TimePoint next_try_at{};
    Duration backoff{};
  };

  bool ShouldQuarantine(const Worker& worker) const;

  std::map<std::string, Worker> workers_;
  std::map<std::string, JobHealth> jobs_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_WORKER_HEALTH_H_
