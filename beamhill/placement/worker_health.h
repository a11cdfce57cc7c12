// Which workers fail what they are given, and which jobs fail wherever they
// run, told apart by comparing.
//
// Pure. A failure counts against a worker only while its job does well on
// other workers; a failure counts against a job only when it comes from
// several workers and no run of the job has succeeded. A suspected worker is
// left out, then probed with one task at a time.
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

class WorkerHealth {
 public:
  // One run of a task of the job came to its own end on the VM.
  void OnEnded(const std::string& vm, const std::string& job, bool failed,
               TimePoint now);
  void ForgetVm(const std::string& vm) { workers_.erase(vm); }
  void ForgetJob(const std::string& job) { jobs_.erase(job); }

  // Whether a task may be placed on the VM, on which `running` tasks run.
  bool MayPlace(const std::string& vm, size_t running, TimePoint now) const;
  // Whether a task of the job may be started now. A job that fails everywhere
  // waits longer each time and then tries one task.
  bool MayStart(const std::string& job, size_t running, TimePoint now) const;

  bool IsQuarantined(const std::string& vm) const;
  // Since when it is; nothing when it isn't.
  std::optional<TimePoint> QuarantinedSince(const std::string& vm) const;
  bool FailsEverywhere(const std::string& job) const;
  std::vector<std::string> Quarantined() const;

 private:
  struct Worker {
    uint32_t failures_in_a_row = 0;
    std::set<std::string> failed_jobs;  // Of those failures.
    bool quarantined = false;
    TimePoint quarantined_at{};
    TimePoint probe_at{};
    Duration wait{};
  };
  struct Job {
    uint64_t succeeded = 0;
    uint64_t failed = 0;
    std::set<std::string> failed_on;
    TimePoint try_at{};
    Duration wait{};
  };

  bool IsSuspect(const Worker& worker) const;

  std::map<std::string, Worker> workers_;
  std::map<std::string, Job> jobs_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_WORKER_HEALTH_H_
