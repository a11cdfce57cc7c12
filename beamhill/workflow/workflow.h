// A workflow: a job of several steps, each a set of like tasks, with an order
// between the steps.
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

// Milliseconds since 1970 by the wall clock; due times are given in these.
using UnixMillis = std::chrono::milliseconds;

// One step: `tasks` tasks that run the same image with the same needs.
struct WorkflowStep {
  uint32_t tasks = 0;
  Resources each;
  Duration declared_run{};      // The submitter's guess of one task's time.
  std::vector<uint32_t> after;  // Steps that must be done first.
  bool saves_progress = false;  // Tasks can resume from a checkpoint.
  bool gang = false;            // All tasks start together and end together.
  bool same_rack = false;       // A gang that is slower when spread.
  bool redundant = false;       // Copies of a task may run side by side.
  bool long_running = false;    // Runs until the workflow is cancelled.
  bool best_effort = false;     // Takes processor time that others leave.
  uint32_t max_per_vm = 0;      // Most tasks of the step on a VM; 0: any.
  uint32_t may_be_away = 0;     // Long-running tasks we may take away at once.
  std::string required_label;   // A label the VM must have; empty: any.
  std::string near_rack;        // The rack where the data lies; empty: any.
  std::string image;            // Tasks of an image behave alike.
  Duration tail_target{};       // Of a serving task's own users; 0: none.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.tasks, s.each, s.declared_run, s.after, s.saves_progress,
                    s.gang, s.same_rack, s.redundant, s.long_running,
                    s.best_effort, s.max_per_vm, s.may_be_away,
                    s.required_label, s.near_rack, s.image, s.tail_target);
  }
};

// What the queue's settings said when the workflow was accepted.
struct QueuePolicy {
  int32_t priority = 0;       // 0 goes first.
  uint32_t max_attempts = 1;  // Failed runs of a task before it is given up.
  double stretch = 1;         // Allowed time over the longest chain of work.
  Duration target_latency{};  // Added to it.
  bool needs_advice = false;  // An outside policy restricts the VMs.
  // How long a ticket of its advisor holds.
  Duration ticket_life{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.priority, s.max_attempts, s.stretch, s.target_latency,
                    s.needs_advice, s.ticket_life);
  }
};

struct Workflow {
  std::string id;
  std::string queue;
  std::string service;  // Whose VMs run the tasks.
  std::string payload;  // Handed to every task, unread.
  std::vector<WorkflowStep> steps;
  uint32_t repetitions = 0;  // 0: runs once, at once.
  UnixMillis first_due{};
  UnixMillis interval{};
  QueuePolicy policy;
  // The epoch of the owner that was told of the workflow when it was stored;
  // no other owner has started any of it without a record of its own.
  uint64_t offered_to = 0;

  // How many times all steps run.
  uint32_t rounds() const { return repetitions == 0 ? 1 : repetitions; }

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.queue, s.service, s.payload, s.steps, s.repetitions,
                    s.first_due, s.interval, s.policy, s.offered_to);
  }
};

// One task of a workflow.
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

// One start of a task. Numbers of one task only rise.
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

// What is wrong with the workflow, if anything: no steps, too many tasks, a
// step that waits for itself or a later one, a need below zero.
std::optional<Error> CheckWorkflow(const Workflow& workflow);

// The longest chain of steps that wait for each other, where each step takes
// what `step_time` says of its number.
Duration LongestChain(const Workflow& workflow,
                      const std::function<Duration(size_t step)>& step_time);

}  // namespace beamhill

#endif  // BEAMHILL_WORKFLOW_WORKFLOW_H_
