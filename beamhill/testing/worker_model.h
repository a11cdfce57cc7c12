// Model of the platform's workers, and the record of what ran on them. Only the
// workers write the record, so it is the ground truth for checks of the
// product's invariants.
//
//   WorkRecord record;
//   WorkerModel worker("vm-1", capacity, &record);
//   worker.Attach(agent);
//   worker.Start(agent, command, lease_end, now, &reason);
//   worker.Advance(later);
//   std::vector<std::string> violations = record.Violations();
#ifndef BEAMHILL_TESTING_WORKER_MODEL_H_
#define BEAMHILL_TESTING_WORKER_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "beamhill/agent/agent_core.h"
#include "beamhill/base/time.h"
#include "beamhill/work/work.h"

namespace beamhill {

enum class WorkEventKind : uint8_t {
  kStarted,
  kDone,
  kFailed,
  kCheckpointed,  // Stopped with a checkpoint.
  kStopped,       // Stopped without one: cancelled, or its lease lapsed.
  kLost,          // Lost with its VM.
};

struct WorkEvent {
  TimePoint at{};
  WorkEventKind kind = WorkEventKind::kStarted;
  std::string vm;
  TaskId task;
  Attempt attempt;
  std::string checkpoint;  // Resumed from, or created.
};

// Events of all workers. An end may be recorded later than it happened.
class WorkRecord {
 public:
  void Add(WorkEvent event) { events_.push_back(std::move(event)); }
  // Records a period in which no owner could learn what ended on the VM: its
  // agent was down, paused or disconnected, or the VM was lost for good.
  void AddUnreachable(const std::string& vm, TimePoint from, TimePoint to) {
    unreachable_[vm].push_back({from, to});
  }
  const std::vector<WorkEvent>& events() const { return events_; }

  // Returns a line for each violation of these invariants: a task never runs
  // in two places at once; a completed task is not run again; an evicted task
  // resumes once, from its last checkpoint. A task that ended on a VM while the
  // VM was unreachable may be run again.
  std::vector<std::string> Violations() const;

 private:
  std::vector<WorkEvent> events_;
  struct Span {
    TimePoint from{};
    TimePoint to{};
  };
  bool WasUnreachable(const std::string& vm, TimePoint from,
                      TimePoint to) const;

  std::map<std::string, std::vector<Span>> unreachable_;
};

// The worker of one VM, driven by the caller's clock.
class WorkerModel {
 public:
  WorkerModel(std::string vm, Resources capacity, WorkRecord* record)
      : vm_(std::move(vm)), capacity_(capacity), record_(record) {}

  // Returns the true run time of a task, which may differ from the declared
  // one. Negative: the task fails after that long.
  std::function<Duration(const TaskId& task, const JobSpec& job)> run_time;

  // Makes the worker refuse calls of any other agent, so that a call in flight
  // from an earlier agent incarnation can't take effect.
  void Attach(uint64_t agent) { attached_ = agent; }
  bool IsAttached(uint64_t agent) const { return attached_ == agent; }
  // Starts a new attempt at once; answers kStarted again for the attempt that
  // it has. Sets `reason` when it refuses.
  WorkerStartAnswer Start(uint64_t agent, const WorkerCommand& command,
                          TimePoint lease_end, TimePoint now,
                          std::string* reason);
  void Renew(uint64_t agent, TimePoint lease_end, TimePoint now);
  void Stop(uint64_t agent, const TaskId& task, Attempt attempt,
            bool checkpoint, TimePoint now);
  void Forget(uint64_t agent, const TaskId& task, Attempt attempt);
  // Runs batch tasks at `percent` of full speed from now on.
  void Throttle(uint64_t agent, int percent, TimePoint now);
  std::vector<WorkerTask> List() const;

  // Ends tasks whose run time is over or whose lease has lapsed.
  void Advance(TimePoint now);
  // Fails the VM: ends every task as lost.
  void Kill(TimePoint now);

  void set_fails_every_task(bool fails) { fails_every_task_ = fails; }
  size_t running() const;
  int percent() const { return percent_; }
  Resources granted() const { return granted_; }
  // Whether granted resources ever exceeded the capacity in any dimension.
  bool overcommitted() const { return overcommitted_; }

 private:
  struct Entry {
    WorkerTask listed;
    JobSpec job;
    std::string resumed_from;  // Checkpoint, if any.
    TimePoint ends_at{};       // Time of its natural end.
    bool ends_failed = false;
    TimePoint lease_end{};
  };

  void EndEntry(Entry& entry, WorkerTaskState state, WorkEventKind kind,
                TimePoint now);

  std::string vm_;
  Resources capacity_;
  WorkRecord* record_;
  uint64_t attached_ = 0;
  bool dead_ = false;
  bool fails_every_task_ = false;
  bool overcommitted_ = false;
  int percent_ = 100;
  Resources granted_;
  std::map<TaskId, Entry> tasks_;
  std::map<TaskId, Attempt> latest_attempts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_WORKER_MODEL_H_
