// State that the Dispatcher keeps for each workflow and each VM. Only the
// Dispatcher's own sources (dispatcher.cc and dispatch_*.cc) use it.
//
//   Job& job = *jobs_[workflow];
//   vms_["vm-3"].held[{task, run}].since = now;
#ifndef BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_
#define BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/dispatch/pending_stops.h"
#include "beamhill/dispatch/wait_reason.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill::dispatch_internal {

// A predicted tail above this share of a serving image's target counts as
// harmful. Best-effort tasks are kept off such VMs where possible, and
// executors slow them down there.
inline constexpr double kHarmfulTailRatio = 0.85;
// Mean share of their requested processor time that serving tasks use, from the
// workload specifications. Best-effort tasks use the rest.
inline constexpr double kServingUtilization = 0.55;
// Long-running tasks count as not running for this long after their start, as
// they may still be warming up.
inline constexpr Duration kStartUpTime = std::chrono::milliseconds(2500);
// Downtime after which a task may go to a VM in quarantine. Users count it as
// lost after 6 s.
inline constexpr Duration kMaxDowntime = std::chrono::milliseconds(2500);
// Time for a start order and its report to arrive, so that the owner and the
// executor count the same window.
inline constexpr Duration kTrialMargin = std::chrono::milliseconds(200);
// Minimum validity left of a ticket that is used. A start order reaches its
// runner within a few milliseconds.
inline constexpr Duration kMinTicketTime = std::chrono::milliseconds(150);

// The placement advisor's permission to start a step on one runner.
struct Ticket {
  std::string text;
  TimePoint expires_at{};
};

// What the placement advisor has answered for one step.
struct StepAdvice {
  bool request_pending = false;  // A request awaits its answer.
  TimePoint retry_at{};
  std::vector<std::string> asked;         // Incarnations in the last request.
  std::map<std::string, Ticket> tickets;  // By runner incarnation.
  std::set<std::string> refused;  // Incarnations that were asked about in vain.
};

// A workflow with the scheduling state that its owner keeps for it.
struct Job {
  explicit Job(const Workflow& workflow) : progress(workflow) {}

  WorkflowProgress progress;
  WorkflowState stored_state = WorkflowState::kQueued;
  TimePoint added_at{};
  Duration objective{};    // Time allowed for a round, from its beginning.
  bool opened = false;     // Stored under this epoch: tasks may start.
  bool inherited = false;  // An earlier owner may have started tasks.
  bool dirty = false;
  // Rank of its best-effort tasks: the highest is slowed down first. Orders by
  // lateness, then by remaining work.
  double best_effort_rank = 0;
  std::optional<TimePoint> over_at;
  TimePoint cancelled_at{};  // The last time, also if it was over by then.
  uint32_t held_runs = 0;    // On all VMs.
  std::optional<TimePoint> idle_since;  // Set while no VM holds a run of it.
  // Set after it was idle for too long: it then always gets one run, until two
  // of its runs are held at once.
  bool run_guaranteed = false;
  // When the long-running task that has been down longest last ran; unset while
  // none is down.
  std::optional<TimePoint> down_since;
  uint32_t reservations = 0;  // VMs that have capacity reserved for it.
  // By round and step; only for queues whose placement an advisor restricts.
  std::map<std::pair<uint32_t, uint32_t>, StepAdvice> advice;
};

// A long-running task that waits for room. Tasks that have run before are
// ordered first, then those that have waited longest.
struct LongRunningWait {
  bool first_run = false;
  TimePoint since{};
  Job* job = nullptr;
  const WorkflowStep* step = nullptr;
  TaskRef task;
  bool reserved = false;        // Whether a VM is reserved for it.
  std::set<std::string> tried;  // VMs that were reserved for it in vain.

  bool operator<(const LongRunningWait& other) const {
    return std::tie(first_run, since, task) <
           std::tie(other.first_run, other.since, other.task);
  }
};

// A plan to move all tasks of one serving image off a VM.
struct Relocation {
  // Gain for best-effort tasks in cores, less the minimum gain per move.
  double gain = 0;
  std::string vm;
  std::vector<RunRef> runs;
};

// A run that was ordered on a VM and is not known to be over.
struct HeldRun {
  Resources amount;  // Without the processor time of a best-effort task.
  // Requested by a best-effort task, in millicores.
  int64_t best_effort_cpu = 0;
  std::string image;
  Duration tail_target{};  // Positive for serving tasks.
  bool long_running = false;
  bool gang = false;  // A member of one.
  // Whether it was started to find out whether the stalled VM progresses, and
  // whether its task was moved off stalled VMs so often that it stays.
  bool probes_stall = false;
  bool stays_on_stalled = false;
  double best_effort_rank = 0;  // As last sent to the executor.
  std::optional<TimePoint> starved_since;
  TimePoint since{};  // When it was ordered; zero for an adopted run.
  // When the executor was last told how long a percent of it takes at most.
  TimePoint progress_bound_sent_at{};
};

// The tasks of one serving image on a VM.
struct ServingImage {
  int runs = 0;
  Duration tail_target{};
};

// Cached sums of the processor time that the best-effort tasks of a VM may use.
// Each entry holds a rank and the sum up to and including it, in millicores.
struct BestEffortCpuSums {
  bool valid = false;
  std::vector<std::pair<double, double>> sums;
};

// Predicted worst ratio of tail to target on a VM if a best-effort task of this
// size and image started there.
struct CachedTailRatio {
  int64_t cpu_millis = 0;
  std::string image;
  double ratio = 0;
};

// A period in which only these workflows may start tasks on a VM, to find out
// whether their suspect tasks crash runners.
struct Trial {
  std::set<std::string> workflows;
  // From here on, no start of another workflow can be the cause of a crash.
  TimePoint begins{};
  TimePoint ends{};
  bool shared = false;           // Other workflows may join.
  std::set<TaskRef> awaited_by;  // Suspects that start here once it begins.
};

// A VM as reported by its executor, with the runs that it holds.
struct Vm {
  VmStatus status;
  bool linked = false;
  bool has_inventory = false;  // Received in this epoch.
  // The inventory may lack ends, and another one is asked for.
  bool more_ends = false;
  bool leased = false;  // A lease was granted since then.
  // End of the runner's slow warm-up after its start, and whether it is still
  // warming up.
  TimePoint warm_at{};
  bool cold = false;
  int unknown_inventories = 0;
  TimePoint lease_bound{};
  // Timestamp of the last heartbeat by the VM's clock, and its time of arrival.
  TimePoint stamp{};
  TimePoint stamped_at{};
  TimePoint not_before{};  // End of the back-off after a refused start.
  std::optional<Trial> trial;
  TimePoint last_start{};  // Time of the latest start order.
  // When its runner was last known to be lost.
  std::optional<TimePoint> runner_lost_at;
  std::string lost_incarnation;
  std::map<RunRef, HeldRun> held;
  // Of held runs, and of runs that only an inventory listed.
  PendingStops stops;
  Resources used;  // Requested, without best-effort processor time.
  int64_t best_effort_cpu = 0;  // Requested, in millicores.
  int64_t serving_cpu = 0;      // The part of `used` of serving tasks.
  Resources long_running;       // The part of long-running tasks.
  Resources gangs;              // The part of other tasks that are in gangs.
  std::map<std::string, ServingImage> serving;
  // Requested millicores, by image.
  std::map<std::string, int64_t> best_effort;
  std::map<std::string, int32_t> paces;  // Percent, by best-effort image.
  int64_t best_effort_cpu_in_use = 0;
  uint64_t last_end = 0;          // Highest end applied, of this incarnation.
  uint64_t acknowledged_end = 0;  // Highest end acknowledged as durable.
  // Caches, filled on demand and cleared when their inputs change: each start
  // evaluates hundreds of VMs.
  mutable BestEffortCpuSums best_effort_sums;
  mutable std::vector<CachedTailRatio> tail_ratios;
  // Version of the interference model used.
  mutable uint64_t tail_ratios_version = 0;
  // Interference weights last sent to the executor, and whether an image has
  // arrived since for which it may have none.
  std::vector<InterferenceWeight> sent_weights;
  bool has_new_image = false;
};

// A task that seems to stall on a third VM may be slow for reasons of its own.
inline constexpr uint32_t kMaxStallMoves = 2;

// Whether a run of the step may be the probe of a stalled VM. Gangs and
// long-running tasks can't be moved away at once if the probe fails.
inline bool MayProbe(const WorkflowStep& step) {
  return !step.gang && !step.long_running;
}

// The number of the step, which must be one of the workflow's own.
inline uint32_t StepNumber(const Job& job, const WorkflowStep& step) {
  const auto& steps = job.progress.workflow().steps;
  return static_cast<uint32_t>(&step - steps.data());
}

// Whether all steps that it waits for are done in the first round.
inline bool IsOpen(const Job& job, const WorkflowStep& step) {
  return std::all_of(
      step.after.begin(), step.after.end(),
      [&](uint32_t earlier) { return job.progress.StepDone(0, earlier); });
}

// Whether the task has run. When it last ran under an earlier owner is not
// stored: it counts as down since this one took over.
inline bool HasRunBefore(const Job& job, const WorkflowProgress::Task& task) {
  return task.last_run_ended_at || (job.inherited && job.progress.begun());
}

// What a task of the step takes from others. Best-effort tasks share the
// processor time that others leave.
inline Resources RoomNeededBy(const WorkflowStep& step) {
  Resources need = step.each;
  if (step.best_effort) need.cpu_millis = 0;
  return need;
}

// Whether the workflow is due its guaranteed run, which it gets even on a full
// VM or one where it is harmful.
inline bool NeedsGuaranteedRun(const Job& job) {
  return job.run_guaranteed && job.held_runs == 0;
}

inline TaskTraits TraitsOf(const Job& job, const WorkflowStep& step) {
  return {step.image, step.best_effort, step.tail_target, step.each.cpu_millis,
          job.best_effort_rank};
}

// The advisor's valid ticket for the step on that runner; null without one.
inline const Ticket* TicketFor(const Job& job,
                               const WorkflowProgress::OpenStep& open,
                               const std::string& incarnation, TimePoint now) {
  const auto advice = job.advice.find({open.round, open.step});
  if (advice == job.advice.end()) return nullptr;
  const auto it = advice->second.tickets.find(incarnation);
  if (it == advice->second.tickets.end()) return nullptr;
  return it->second.expires_at - now >= kMinTicketTime ? &it->second : nullptr;
}

// What the advisor said of a runner when it was last asked; that does not
// change, although tickets expire.
enum class AdvisorVerdict : uint8_t { kUnknown, kAllowed, kRefused };
inline AdvisorVerdict VerdictOn(const Job& job,
                                const WorkflowProgress::OpenStep& open,
                                const std::string& incarnation) {
  const auto advice = job.advice.find({open.round, open.step});
  if (advice == job.advice.end()) return AdvisorVerdict::kUnknown;
  if (advice->second.refused.count(incarnation) > 0) {
    return AdvisorVerdict::kRefused;
  }
  return advice->second.tickets.count(incarnation) > 0
             ? AdvisorVerdict::kAllowed
             : AdvisorVerdict::kUnknown;
}

// Number of runs of the step on the VM.
inline uint32_t HeldRunsOfStep(const Vm& vm, const std::string& workflow,
                               const WorkflowProgress::OpenStep& open) {
  const auto held =
      std::count_if(vm.held.begin(), vm.held.end(), [&](const auto& entry) {
        const TaskRef& task = entry.first.task;
        return task.workflow == workflow && task.round == open.round &&
               task.step == open.step;
      });
  return static_cast<uint32_t>(held);
}

// The obstacle that the step's own limit or the lack of a ticket makes.
inline Obstacle StepObstacle(const Vm& vm, const Job& job,
                             const WorkflowProgress::OpenStep& open,
                             TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  const WorkflowStep& step = workflow.steps[open.step];
  if (step.max_per_vm > 0 &&
      HeldRunsOfStep(vm, workflow.id, open) >= step.max_per_vm) {
    return Obstacle::kPerVmLimit;
  }
  const bool refused =
      workflow.policy.needs_advice &&
      TicketFor(job, open, vm.status.incarnation, now) == nullptr;
  return refused ? Obstacle::kAdvice : Obstacle::kNone;
}

// What the VM has beside its long-running tasks. Those that are being stopped
// don't count.
inline Resources RoomBesideLongRunning(const Vm& vm) {
  Resources room = vm.status.capacity - vm.long_running;
  if (vm.stops.empty()) return room;
  for (const auto& [run, held] : vm.held) {
    if (held.long_running && vm.stops.Has(run)) room += held.amount;
  }
  return room;
}

// As above, beside gangs, too: none of them is stopped for another task.
inline Resources RoomBesideGangs(const Vm& vm) {
  return RoomBesideLongRunning(vm) - vm.gangs;
}

// Whether the step is long-running and one of its workflow's tasks that have
// run before does not run.
inline bool IsDown(const Job& job, const WorkflowStep& step) {
  return step.long_running && job.down_since;
}

// Whether a task of the step has been down so long that it may go to a VM in
// quarantine.
inline bool MayStartInQuarantine(const Job& job, const WorkflowStep& step,
                                 TimePoint now) {
  return step.long_running && job.down_since &&
         now - *job.down_since >= kMaxDowntime;
}

// Whether the task, which has run before, would start on a VM that admits it
// and gets the room.
inline bool LacksOnlyRoom(const LongRunningWait& wait, const Vm& vm,
                          TimePoint now) {
  const WorkflowProgress::OpenStep open{wait.task.round, wait.task.step};
  const Obstacle obstacle = StepObstacle(vm, *wait.job, open, now);
  // An expired ticket is renewed once there is room.
  const bool allowed = obstacle == Obstacle::kAdvice &&
                       VerdictOn(*wait.job, open, vm.status.incarnation) ==
                           AdvisorVerdict::kAllowed;
  return !wait.first_run &&
         wait.job->progress.At(wait.task).crashed_runs.empty() &&
         (obstacle == Obstacle::kNone || allowed);
}

// Keeps other workflows off until a start at `begins` can no longer crash the
// runner.
inline void BeginTrial(Vm& vm, const std::string& workflow, TimePoint begins) {
  vm.trial = Trial{
      {workflow}, begins, begins + kCrashWindow + kTrialMargin, false, {}};
}

// Lets another workflow start tasks on a VM that is on trial.
inline void JoinTrial(Vm& vm, const std::string& workflow, TimePoint now) {
  vm.trial->workflows.insert(workflow);
  vm.trial->ends = now + kCrashWindow + kTrialMargin;
}

inline bool IsOnTrial(const Vm& vm, TimePoint now) {
  return vm.trial && now < vm.trial->ends;
}

inline void UpdateWarmUp(Vm& vm, TimePoint now) {
  vm.warm_at = now + vm.status.cold;
  vm.cold = vm.status.cold > Duration(0);
}

// To be called when the VM's runs or their paces change.
inline void InvalidateCaches(Vm& vm) {
  vm.best_effort_sums.valid = false;
  vm.tail_ratios.clear();
}

// Cores of the VM that are left for best-effort tasks.
inline double FreeCores(const Vm& vm) {
  const auto room = static_cast<double>(vm.status.capacity.cpu_millis -
                                        (vm.used.cpu_millis - vm.serving_cpu));
  const double serving =
      kServingUtilization * static_cast<double>(vm.serving_cpu);
  return (room - serving) / kMillicoresPerCore;
}

}  // namespace beamhill::dispatch_internal

#endif  // BEAMHILL_DISPATCH_INTERNAL_DISPATCH_STATE_H_
