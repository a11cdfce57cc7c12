// What goes into the Dispatcher and comes out of it, besides the messages to
// and from executors.
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
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {

// A start that has not left for its runner so long after it was ordered, on the
// way to its executor or there, is given back: it comes at most so long after
// the owner last knew that it may. With the 0.8 s in which an owner reads from
// the table what it was not told, that is below the 3 s that users allow after
// a cancellation, if the table answers within 0.3 s. A shorter incarnation
// brought no gain: with 1.2 s worth was lower by 0.016 on one of three small
// sites (72 pairs of runs, which differ by as much between two runs of one
// program) and within noise on the others.
inline constexpr Duration kStartOrderTtl = std::chrono::milliseconds(1900);

// What an owner may do by now.
enum class Authority : uint8_t {
  kNone,     // Another process may own the work by now: nothing leaves.
  kClosing,  // It gives the work up: nothing new begins.
  kFull,
};

struct DispatcherOptions {
  uint64_t epoch = 1;
  // How long a VM's work may go on after its last heartbeat was answered.
  Duration lease_term = std::chrono::seconds(5);
  // The runners' clocks may be 2 % slow, ours are taken as exact to 0.5 %.
  int64_t clock_error_permille = 25;
  // How long from the taking of the ownership leases of earlier owners may
  // still be in force.
  Duration inherited_bound = std::chrono::seconds(14);
  // VMs that an earlier owner may have used.
  std::vector<std::string> inherited_vms;
  // How long the outcome of a workflow that is over can be asked for.
  Duration retention = std::chrono::seconds(130);
};

// The whole deployment at one moment, for the log and for figures.
struct DispatchSummary {
  size_t vms = 0;  // Answering.
  Resources capacity;
  Resources used;                      // By what doesn't fill.
  int64_t serving_cpu = 0;             // Part of it.
  int64_t best_effort_cpu = 0;         // What fillers ask for.
  int64_t best_effort_cpu_in_use = 0;  // What they used, as last reported.
  size_t open_workflows = 0;
  size_t held_runs = 0;
  size_t stops = 0;  // Decided, and not known to be carried out.
  Duration oldest_stop{};
  size_t suspects = 0;    // Tasks that may take runners down.
  uint64_t given_up = 0;  // Workflows with one that did, under this owner.
};

// A workflow that is over and of which VMs hold runs all the same.
struct OrphanedWork {
  std::string workflow;
  size_t runs = 0;
  Duration age{};  // Since the workflow was over.
};

struct VmMessage {
  std::string vm;
  DispatchMessage message;
};

// What one transaction stores.
struct DispatchCommit {
  std::vector<std::pair<std::string, ProgressRecord>> progress;
  std::vector<std::string> forgotten;  // Workflows past their retention.
};

// Asks the placement advisor which of these runners may run a step.
struct AdviceRequest {
  TaskRef step;  // The index means nothing.
  std::vector<std::string> incarnations;
};

// What it answered: the runners that may, each with a ticket for its starts.
struct Advice {
  std::map<std::string, std::string> tickets;  // By incarnation.
};

struct DispatchCounts {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t not_begun = 0;
  uint64_t lapsed = 0;
  uint64_t adopted = 0;
  uint64_t stray_stops = 0;
  uint64_t stops_repeated = 0;
  uint64_t moved = 0;
  uint64_t given_up = 0;  // Workflows with a task that takes runners down.
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCH_TYPES_H_
