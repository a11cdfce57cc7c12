// Options, inputs and outputs of the Dispatcher, apart from the messages that
// it exchanges with executors.
//
//   DispatcherOptions options;
//   options.epoch = 3;
//   auto dispatcher = Dispatcher::Create(options, on_decision, now);
#ifndef BEAMHILL_DISPATCH_DISPATCH_TYPES_H_
#define BEAMHILL_DISPATCH_DISPATCH_TYPES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/dispatch/wait_reason.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {

// A start order that its executor has not sent to the runner this long after
// the owner made it is dropped and reported as not begun. An owner reads missed
// cancellations from the table every 0.8 s. If the table answers within 0.3 s,
// no task starts later than 3 s after the cancellation of its workflow, which
// users rely on.
inline constexpr Duration kStartOrderTtl = std::chrono::milliseconds(1900);

// What an owner is allowed to do at present.
enum class Authority : uint8_t {
  kNone,     // Another process may be the owner: nothing is sent.
  kClosing,  // It is giving up ownership: no new starts or leases.
  kFull,
};

struct DispatcherOptions {
  uint64_t epoch = 1;
  // How long a VM may keep running its tasks after a heartbeat of its executor
  // that the owner answered.
  Duration lease_term = std::chrono::seconds(5);
  // Allowance for clock drift in lease bounds: runners' clocks may be 2 % slow,
  // the schedulers' clocks are taken to be exact to 0.5 %.
  int64_t clock_error_permille = 25;
  // How long after this owner has taken ownership leases of earlier owners may
  // still be valid.
  Duration inherited_bound = std::chrono::seconds(14);
  // VMs on which earlier owners may have started tasks.
  std::vector<std::string> inherited_vms;
  // How long the outcome of a finished workflow can be queried.
  Duration retention = std::chrono::seconds(130);
};

// Snapshot of the whole deployment, for the log and for metrics. Processor
// time is in thousandths of a core.
struct DispatchSummary {
  size_t vms = 0;  // VMs that answer.
  Resources capacity;
  Resources used;           // Requested by tasks that are not best-effort.
  int64_t serving_cpu = 0;  // The part of `used` that serving tasks request.
  int64_t best_effort_cpu = 0;         // Requested by best-effort tasks.
  int64_t best_effort_cpu_in_use = 0;  // Used by them, as last reported.
  size_t open_workflows = 0;
  size_t held_runs = 0;
  size_t stops = 0;        // Stops that are not confirmed yet.
  Duration oldest_stop{};  // Age of the oldest of these.
  size_t suspects = 0;     // Tasks suspected of crashing their runners.
  // Workflows that failed under this owner because a task crashed its runners.
  uint64_t given_up = 0;
  size_t stalled_vms = 0;  // VMs that answer, but whose tasks don't progress.
  // Workflows that wait for the VMs below, since an earlier owner may have
  // started tasks of them there.
  size_t inherited_waiting = 0;
  // VMs of earlier owners that have not reported yet, by name.
  std::vector<std::string> unreconciled_vms;
  // Until leases of earlier owners are over on these VMs, if the ownership is
  // confirmed then. Zero if none is unreconciled.
  Duration inherited_wait_left{};
};

// A finished workflow of which VMs still hold runs.
struct OrphanedWork {
  std::string workflow;
  size_t runs = 0;
  Duration age{};  // Time since the workflow finished.
};

// A long-running task that has been waiting for a while.
struct WaitingTask {
  TaskRef task;
  bool first_run = false;
  Duration waited{};
  WaitReason reason = WaitReason::kNoVm;
  size_t vms_with_room = 0;  // VMs that could take it now.
  std::string reserved_vm;   // Empty if none is reserved for it.
  Duration reserved_for{};
  Obstacle obstacle = Obstacle::kNone;  // Of the reserved VM.
};

// A message for the executor of a VM.
struct VmMessage {
  std::string vm;
  DispatchMessage message;
};

// Changes to be stored in one transaction.
struct DispatchCommit {
  std::vector<std::pair<std::string, ProgressRecord>> progress;
  // Workflows past their retention, whose records are deleted.
  std::vector<std::string> forgotten;
};

// Question to the placement advisor: which of these runners may run a step.
struct AdviceRequest {
  TaskRef step;  // Its `index` is ignored.
  std::vector<std::string> incarnations;
};

// The advisor's answer: the runners that may run the step, each with a ticket
// that its starts must carry.
struct Advice {
  std::map<std::string, std::string> tickets;  // By incarnation.
};

// Counters of a Dispatcher since its creation, of runs where nothing else is
// said.
struct DispatchCounts {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t not_begun = 0;
  uint64_t lapsed = 0;          // Given up without a report of their end.
  uint64_t adopted = 0;         // Taken over from an earlier owner.
  uint64_t stray_stops = 0;     // Stopped since no task waits for them.
  uint64_t stops_repeated = 0;  // Stops that were sent again.
  uint64_t moved = 0;           // Stopped to start again on another VM.
  // Workflows that failed because a task crashed its runners.
  uint64_t given_up = 0;
  size_t workflow_bytes = 0;  // Approximate memory of all known workflows.
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCH_TYPES_H_
