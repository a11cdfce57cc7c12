// Defines a workflow: a job of several steps, each a set of identical tasks,
// with dependencies between the steps.
//
//   Workflow w;
//   w.id = "5c0e7a21d94b36f8";
//   w.steps.resize(2);
//   w.steps[1].after = {0};      // The second step waits for the first.
//   if (auto error = CheckWorkflow(w)) Refuse(*error);
#ifndef BEAMHILL_WORKFLOW_WORKFLOW_H_
#define BEAMHILL_WORKFLOW_WORKFLOW_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"
#include "beamhill/work/work.h"

namespace beamhill {

// Milliseconds since the Unix epoch (1970) on the wall clock; used for due
// times.
using UnixMillis = std::chrono::milliseconds;

// A step: `tasks` tasks that run the same image and request the same resources.
struct WorkflowStep {
  uint32_t tasks = 0;
  Resources each;               // Requested by each task.
  Duration declared_run{};      // The submitter's estimate for one task.
  std::vector<uint32_t> after;  // Steps that must be done first.
  bool saves_progress = false;  // Tasks can resume from a checkpoint.
  bool gang = false;            // All tasks start together and end together.
  bool same_rack = false;       // A gang that is slower when spread.
  bool redundant = false;       // Copies of a task may run side by side.
  bool long_running = false;    // Runs until the workflow is cancelled.
  bool best_effort = false;     // Uses only CPU time that others leave over.
  uint32_t max_per_vm = 0;      // Tasks of the step on one VM; 0: unlimited.
  // Long-running tasks of the step that may be stopped at once to be moved.
  uint32_t max_unavailable = 0;
  std::string required_label;  // A label the VM must have; empty: any VM.
  std::string preferred_rack;  // The rack of the step's data; empty: none.
  std::string image;           // Tasks of one image behave alike.
  Duration tail_target{};  // Tail latency target of a serving task; 0: none.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.tasks, s.each, s.declared_run, s.after, s.saves_progress,
                    s.gang, s.same_rack, s.redundant, s.long_running,
                    s.best_effort, s.max_per_vm, s.max_unavailable,
                    s.required_label, s.preferred_rack, s.image, s.tail_target);
  }
};

// The settings of the workflow's queue when the workflow was accepted.
struct QueuePolicy {
  int32_t priority = 0;        // The lowest goes first.
  uint32_t max_attempts = 1;   // Runs of a task, all failed.
  double stretch = 1;          // Allowed time over the critical path.
  Duration target_latency{};   // Added to the allowed time.
  bool needs_advice = false;   // The placement advisor restricts the VMs.
  Duration ticket_lifetime{};  // Validity of the placement advisor's tickets.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.priority, s.max_attempts, s.stretch, s.target_latency,
                    s.needs_advice, s.ticket_lifetime);
  }
};

// A workflow as it is submitted and stored.
struct Workflow {
  std::string id;
  std::string queue;
  std::string service;  // The service whose VMs run the tasks.
  std::string payload;  // Passed to every task, uninterpreted.
  std::vector<WorkflowStep> steps;
  // Rounds at `first_due` and each `interval` after it; 0: one round, at once.
  uint32_t repetitions = 0;
  UnixMillis first_due{};
  UnixMillis interval{};
  QueuePolicy policy;
  // The epoch of the owner that the workflow was offered to when it was stored.
  // Any other owner stores a ProgressRecord before it starts a task.
  uint64_t offered_to_epoch = 0;

  // The number of times that all steps run.
  uint32_t rounds() const { return repetitions == 0 ? 1 : repetitions; }

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.queue, s.service, s.payload, s.steps, s.repetitions,
                    s.first_due, s.interval, s.policy, s.offered_to_epoch);
  }
};

// Identifies a task of a workflow.
struct TaskRef {
  std::string workflow;
  uint32_t round = 0;
  uint32_t step = 0;
  uint32_t index = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow, s.round, s.step, s.index);
  }
  bool operator<(const TaskRef& o) const { return Fields(*this) < Fields(o); }
  bool operator==(const TaskRef& o) const { return Fields(*this) == Fields(o); }
  std::string ToString() const;
};

// Identifies a run, which is one start of a task. Run numbers of a task
// increase.
struct RunRef {
  TaskRef task;
  uint64_t run = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.task, s.run);
  }
  bool operator<(const RunRef& o) const { return Fields(*this) < Fields(o); }
  bool operator==(const RunRef& o) const { return Fields(*this) == Fields(o); }
};

// Returns kInvalidArgument if the workflow has no steps or too many steps,
// rounds or tasks, if a step waits for itself or a later one, or if it requests
// a negative amount of a resource.
std::optional<Error> CheckWorkflow(const Workflow& workflow);

// Returns approximately how much memory the workflow takes, in bytes.
size_t MemoryOf(const Workflow& workflow);

// Returns the duration of the longest chain of dependent steps, each of which
// takes `step_time` of its number.
Duration CriticalPath(const Workflow& workflow,
                      const std::function<Duration(size_t step)>& step_time);

}  // namespace beamhill

#endif  // BEAMHILL_WORKFLOW_WORKFLOW_H_
