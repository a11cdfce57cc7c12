// What the Dispatcher keeps of each workflow and each VM. Its parts
// (dispatch_*.cc) read and change these; nobody else does.
#ifndef BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_
#define BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/dispatch/pending_stops.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill::dispatch_internal {

// A filler that is expected to bring a serving image above this part of its
// target is harmful to it: it is kept away, or paced once there; so such a
// place comes last.
inline constexpr double kHarmfulRatio = 0.85;
// Share of what serving tasks ask for that they use on average; what they leave
// is taken by tasks that fill. From the workloads' sheets.
inline constexpr double kServingUse = 0.55;

// Of the placement advisor, for one runner.
struct Ticket {
  std::string text;
  TimePoint until{};
};

// What the advisor has said of one step.
struct StepAdvice {
  bool asked = false;  // A question is open.
  TimePoint ask_after{};
  std::map<std::string, Ticket> tickets;  // By incarnation.
};

// A workflow and what its owner has decided about it.
struct Job {
  explicit Job(const Workflow& workflow) : progress(workflow) {}

  WorkflowProgress progress;
  WorkflowState stored_state = WorkflowState::kQueued;
  TimePoint added_at{};
  Duration allowed{};      // The objective, from its beginning.
  bool opened = false;     // Stored under this epoch: tasks may start.
  bool inherited = false;  // An earlier owner may have started tasks.
  bool dirty = false;
  // Which workflow's fillers yield first: the highest. By lateness, then by
  // the work that is left.
  double best_effort_rank = 0;
  std::optional<TimePoint> over_at;
  uint32_t held_runs = 0;               // On all VMs.
  std::optional<TimePoint> idle_since;  // While none of its tasks is held.
  // It was idle for too long: until it gets on by itself, with two runs at a
  // time, one run of it is always at work.
  bool kept_going = false;
  // Since when its lasting task that has been away longest is; nothing while
  // none is.
  std::optional<TimePoint> away_since;
  // By round and step; for queues whose placement an advisor restricts.
  std::map<std::pair<uint32_t, uint32_t>, StepAdvice> advice;
};

// A lasting task that waits for room. Those that ran before come first, then
// those that have waited longest.
struct LastingWait {
  bool first_run = false;
  TimePoint since{};
  const Job* job = nullptr;
  const WorkflowStep* step = nullptr;

  bool operator<(const LastingWait& other) const {
    return std::tie(first_run, since) < std::tie(other.first_run, other.since);
  }
};

// A serving image leaves a VM: its tasks there, and what fillers win by it.
struct Relocation {
  double gain = 0;  // In cores, less what the moves must win.
  std::string vm;
  std::vector<RunRef> runs;
};

// A run that a VM holds: ordered, and not known to be over.
struct HeldRun {
  Resources amount;             // Without the processor time of a filler.
  int64_t best_effort_cpu = 0;  // What a filler would like of it.
  std::string image;
  Duration tail_target{};       // Above zero: it serves.
  double best_effort_rank = 0;  // Of a filler, as its executor knows it.
  std::optional<TimePoint> starved_since;
  TimePoint since{};  // When it was ordered; the epoch for an adopted one.
};

// One image's serving tasks on a VM.
struct ServingImage {
  int runs = 0;
  Duration tail_target{};
};

// What the fillers of a VM may use, by their order: behind each order, the
// sum up to and with it, in thousandths of a core.
struct FillerQueue {
  bool known = false;
  std::vector<std::pair<double, double>> sums;
};

// What was predicted of a filler that came to a VM: the worst tail over its
// target.
struct KnownRatio {
  int64_t cpu_millis = 0;
  std::string image;
  double ratio = 0;
};

// A time in which only one workflow may start tasks on a VM: it is under
// suspicion of taking runners down, and is to be told from its neighbours.
struct Trial {
  std::string workflow;
  TimePoint begins{};  // Nothing else has just begun there from then on.
  TimePoint ends{};
};

// A VM as its executor has told of it, with what it holds.
struct Vm {
  VmStatus status;
  bool linked = false;
  bool answered = false;  // Its inventory of this epoch is in.
  bool leased = false;    // It has had a lease since.
  // Until when its runner is slow after its start, and whether it is.
  TimePoint warm_at{};
  bool cold = false;
  int unknown_tries = 0;
  TimePoint lease_bound{};
  // The stamp of its last heartbeat, by its clock, and when that came.
  TimePoint stamp{};
  TimePoint stamped_at{};
  TimePoint not_before{};  // Back-off after it refused a start.
  std::optional<Trial> trial;
  TimePoint last_start{};  // When something was last ordered there.
  // When its runner was last lost, as far as is known.
  std::optional<TimePoint> lost_at;
  std::string lost_life;
  std::map<RunRef, HeldRun> held;
  PendingStops stops;           // Of held runs, and of others that it showed.
  Resources used;               // By what doesn't fill.
  int64_t best_effort_cpu = 0;  // Asked for by what is best-effort.
  int64_t serving_cpu = 0;      // Part of `used` that serves.
  std::map<std::string, ServingImage> serving;
  std::map<std::string, int64_t> filling;  // By image, as asked for.
  std::map<std::string, int32_t> paces;    // By filling image.
  int64_t best_effort_cpu_in_use = 0;
  uint64_t processed = 0;  // Highest end taken in, of this incarnation.
  uint64_t settled = 0;    // Highest end reported as durable.
  // Worked out when first asked for, and forgotten when what they rest on
  // changes: hundreds of VMs are asked for each start.
  mutable FillerQueue filler_queue;
  mutable std::vector<KnownRatio> ratios;
  mutable uint64_t ratios_version = 0;  // Of what was learned.
  // What its executor was told of pressure, and whether an image has come
  // since of which it may know nothing.
  std::vector<InterferenceWeight> told;
  bool new_image = false;
};

}  // namespace beamhill::dispatch_internal

#endif  // BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_
