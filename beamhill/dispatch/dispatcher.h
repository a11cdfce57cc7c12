// Dispatcher: assigns tasks to VMs for the process that owns the deployment's
// work.
//
// It reads no clock and does no I/O. Messages and times go in; messages for
// executors and records to store come out.
//
// What keeps a task from running in two places at once:
// - Runners and executors reject epochs below the highest that they have seen.
// - A held run is released only when its end is reported, when a stop has
//   proven that it never begins, when its runner has a new incarnation, or
//   when every lease that could cover it has expired and the ownership has
//   been confirmed since: a successor might have renewed the leases.
// - Workflows of which an earlier owner may have started tasks wait until all
//   VMs that it could have used have sent an inventory, or its leases have
//   expired. An owner stores its epoch with a workflow before it starts any
//   task of it, so its own workflows don't wait.
// - An end is acknowledged to the runner only after it is stored.
// - Starts that have not been sent when the authority ends are never sent.
//
//   auto dispatcher = Dispatcher::Create(options, on_decision, now);
//   dispatcher->AddWorkflow(workflow, record, now);
//   dispatcher->OnInventory("vm-3", inventory, now);
//   dispatcher->Tick(now, unix_now);
//   for (VmMessage& m : dispatcher->TakeMessages()) Send(m.vm, m.message);
//   if (auto commit = dispatcher->TakeCommit(now)) Store(*commit);
#ifndef BEAMHILL_DISPATCH_DISPATCHER_H_
#define BEAMHILL_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/best_effort_rank.h"
#include "beamhill/dispatch/capacity_reservations.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/dispatch/dispatch_types.h"
#include "beamhill/dispatch/internal/dispatch_state.h"
#include "beamhill/dispatch/pace_policy_selector.h"
#include "beamhill/dispatch/run_log.h"
#include "beamhill/dispatch/run_time_estimator.h"
#include "beamhill/dispatch/stalled_vms.h"
#include "beamhill/placement/failed_searches.h"
#include "beamhill/placement/pairwise_interference.h"
#include "beamhill/placement/serving_layout.h"
#include "beamhill/placement/worker_health.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {

class Dispatcher {
 public:
  static std::unique_ptr<Dispatcher> Create(const DispatcherOptions& options,
                                            DecisionHook on_decision,
                                            TimePoint now);

  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Adds a stored workflow with its progress, if any is stored. Does nothing
  // when the workflow is known already.
  void AddWorkflow(const Workflow& workflow,
                   const std::optional<ProgressRecord>& record, TimePoint now);
  void Cancel(const std::string& workflow, TimePoint now);
  bool Knows(const std::string& workflow) const;

  // The state that callers may see: an end counts only once it is stored. A
  // cancellation is stored before the dispatcher is notified.
  std::optional<WorkflowState> StateOf(const std::string& workflow) const;
  // Number of workflows of the queue that have not begun.
  uint64_t WaitingIn(const std::string& queue) const;
  // Number of runs of the workflow on all VMs.
  size_t HeldRunsOf(const std::string& workflow) const;

  // Attaches to the VM's executor over the new link.
  void OnLinkUp(const std::string& vm);
  void OnLinkDown(const std::string& vm);
  // Requests a new inventory from a VM that is linked but sends nothing.
  void OnVmSilent(const std::string& vm);
  // Attaches again to all linked VMs that have sent no inventory. Calls should
  // be some seconds apart.
  void RetryAttach();
  // Answers the executor's heartbeat with a lease if the VM may run tasks.
  void OnHeartbeat(const std::string& vm, const VmHeartbeat& heartbeat,
                   TimePoint now);
  void OnStatus(const std::string& vm, const VmStatus& status, TimePoint now);
  // Returns false when the inventory lists runs of unknown workflows: the
  // caller should load the stored workflows and attach again.
  bool OnInventory(const std::string& vm, const VmInventory& inventory,
                   TimePoint now);
  // Adds the VM's measurements to the interference model.
  void OnInterference(const std::string& vm, const VmInterference& report);
  void OnReports(const std::string& vm, const RunReports& reports,
                 TimePoint now);

  // Reports that a read or transaction sent at `sent_at` confirmed the
  // ownership.
  void OnConfirmed(TimePoint sent_at);
  // Whether only such a confirmation is missing for some runs to lapse now.
  bool NeedsConfirmation(TimePoint now) const;

  // Requests for the placement advisor. Each needs one call of OnAdvice, with
  // nullopt if the advisor did not answer.
  std::vector<AdviceRequest> TakeAdviceRequests();
  void OnAdvice(const TaskRef& step, const std::optional<Advice>& advice,
                TimePoint now);

  // Sets the data halls in which nothing more may start.
  void SetEvacuations(const Evacuations& evacuations);

  // Leases and starts need full authority. When it ends, starts not yet sent
  // are withdrawn; stops and acknowledgements are sent once it is back.
  void SetAuthority(Authority authority, TimePoint now);

  // Exports the learned interference for storage; imports an earlier owner's.
  InterferenceRecord LearnedInterference() const;
  void RestoreInterference(const InterferenceRecord& record);

  // Sends VMs the interference weights of the images they hold, where those
  // differ from what was sent before.
  void SendInterferenceWeights();

  // Takes up to `limit` image pairs whose weight has changed since the last
  // call, the largest changes first, for the log.
  std::vector<InterferenceWeight> TakeChangedWeights(size_t limit);

  // Expires leases, starts tasks and sends due stops. Log lines about runs
  // reach the hook a few times per second.
  void Tick(TimePoint now, UnixMillis unix_now);

  // Empty without authority; the messages then stay queued.
  std::vector<VmMessage> TakeMessages();
  // Returns nothing while a commit is in flight or nothing has changed.
  std::optional<DispatchCommit> TakeCommit(TimePoint now);
  void OnCommitted();
  void OnCommitFailed();

  uint64_t epoch() const { return options_.epoch; }
  const DispatchCounts& counts() const { return counts_; }
  size_t workflows() const { return jobs_.size(); }
  DispatchSummary Summary(TimePoint now) const;
  // Finished workflows of which VMs still hold runs, the oldest first.
  std::vector<OrphanedWork> Orphans(TimePoint now) const;
  // Long-running tasks that have waited for 2 s, those that have run first.
  std::vector<WaitingTask> WaitingTasks(size_t limit, TimePoint now) const;
  // Name of a VM that holds a run of the workflow; empty if none does.
  std::string VmThatHolds(const std::string& workflow) const;
  // Text for operators with a line for each VM and each open workflow.
  std::string Dump(TimePoint now) const;

 private:
  using Job = dispatch_internal::Job;
  using Vm = dispatch_internal::Vm;
  using LongRunningWait = dispatch_internal::LongRunningWait;
  using Relocation = dispatch_internal::Relocation;
  // By VM: the runner incarnation and the number of an end.
  using EndsByVm = std::map<std::string, std::pair<std::string, uint64_t>>;
  struct OpenStepRef {
    Job* job;
    WorkflowProgress::OpenStep open;
  };

  Dispatcher(const DispatcherOptions& options, DecisionHook on_decision,
             TimePoint now);

  // Returns null for unknown workflows.
  Job* Find(const std::string& workflow);
  // Schedules the workflow for the next commit.
  void MarkDirty(Job& job);
  void Send(const std::string& vm, DispatchMessage message);
  void SendAttach(const std::string& vm);
  // Withdraws unsent starts: they might be sent once their runs have lapsed and
  // their tasks have started elsewhere.
  void WithdrawStarts(TimePoint now);
  // Whether its tasks may start: it is stored under this epoch, and the runs
  // that an earlier owner may have started are known.
  bool MayStart(const Job& job) const;
  WaitingTask Describe(const Job& job, const TaskRef& ref, TimePoint now) const;
  void LogDecision(const std::string& workflow, const char* event,
                   const std::string& detail);
  void OnOver(Job& job, TimePoint now);
  void ExpireLeases(TimePoint now);
  // Whether the bound has passed and the ownership was confirmed since.
  bool IsPastAndConfirmed(TimePoint bound, TimePoint now) const;

  // In dispatch_runs.cc.
  // Hold reserves the run's resources on the VM, Release frees them.
  void Hold(Vm& vm, const RunRef& run, Job& job, const WorkflowStep& step);
  void Release(Vm& vm, const RunRef& run);
  void StopAllOf(Job& job, TimePoint now);
  // Sends the due stops if the VM is reachable.
  void SendStops(const std::string& name, Vm& vm, TimePoint now);
  void SendDueStops(TimePoint now);
  // Stops the run so that the task restarts on another VM.
  void MigrateRun(const std::string& name, Vm& vm, Job& job, const RunRef& run,
                  const std::string& reason, TimePoint now);
  // Stops runs that would outlast a draining VM's remaining time.
  void MigrateOffDraining(const std::string& name, Vm& vm, TimePoint now);
  // Releases a run whose end can't be reported any more, so that its task may
  // start again; `reason` is logged. Takes the run by value: a reference might
  // point into `held`, from which it is erased.
  void MarkLapsed(const std::string& name, Vm& vm, RunRef run,
                  const char* reason, TimePoint now);
  void MarkAllLapsed(const std::string& name, Vm& vm, const char* reason,
                     TimePoint now);
  // Whether all runs in the inventory belong to known workflows.
  bool AllWorkflowsKnown(const VmInventory& inventory);
  // Takes over a run listed in an inventory; stops it when its task is not
  // waiting for one.
  void Adopt(const std::string& name, Vm& vm, const RunRef& run, TimePoint now);
  void ApplyInventoryStatus(const std::string& name, Vm& vm,
                            const VmStatus& status, TimePoint now);
  void SendTraits(const std::string& name, const Vm& vm);
  // Counts a done or failed run, for the VM's health too.
  void RecordOutcome(const std::string& name, Job& job, const RunEnd& end,
                     TimePoint now);
  // Records the run time of a step's tasks once the step is done.
  void RecordRunTime(const Job& job, const TaskRef& ref);
  void ApplyEnd(const std::string& name, Vm& vm, const RunEnd& end,
                TimePoint now);
  // Applies an end that the runner still lists.
  void ApplyListedEnd(const std::string& name, Vm& vm, const RunEnd& end,
                      TimePoint now);
  // Applies ends listed by an earlier runner incarnation, before the remaining
  // runs of it lapse. Applying an end twice has no effect.
  void ApplyPastIncarnationEnds(const std::string& name, Vm& vm,
                                const PastIncarnation& past, TimePoint now);
  // Returns whether stored progress has changed.
  bool RecordEnd(Vm& vm, const RunEnd& end, TimePoint now);
  void ApplyNotBegun(const std::string& name, Vm& vm,
                     const RunNotBegun& refused, TimePoint now);

  // In dispatch_commit.cc.
  // The highest applied end of each VM that is not yet acknowledged.
  EndsByVm UnacknowledgedEnds() const;
  // Tells executors that they may forget these ends.
  void AcknowledgeEnds(const EndsByVm& ends);
  // Adds changed workflows, up to the transaction limit.
  void AddProgress(DispatchCommit& commit);
  // Adds workflows past their retention, within the same limit.
  void AddForgotten(DispatchCommit& commit, TimePoint now) const;

  // In dispatch_advice.cc.
  bool HasAdvice(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);

  // In dispatch_interference.cc.
  // Predicted worst ratio of tail latency to target if the best-effort step ran
  // there at full pace; 0 if nothing serves there or too little is known.
  double WorstTailRatio(const Vm& vm, const WorkflowStep& step) const;
  double PredictTailRatio(const Vm& vm, const WorkflowStep& step) const;
  // Updates the model with the newest reports.
  void RefitInterference();
  // Compares best-effort demand with free cores, and tells executors when the
  // pace policy changes.
  void RefreshPacePolicy(UnixMillis unix_now);
  // Cores requested by waiting best-effort tasks.
  double WaitingBestEffortCores(UnixMillis unix_now) const;
  // Known weights of all pairs of serving and best-effort images on the VM.
  std::vector<InterferenceWeight> WeightsOn(const Vm& vm) const;
  void SendWeightsTo(const std::string& name, Vm& vm);

  // In dispatch_best_effort.cc.
  // Migrates best-effort runs that get too little processor time.
  void MigrateStarved(TimePoint now);
  void MigrateStarvedOf(const std::string& name, Vm& vm, TimePoint now);
  // Processor time of the VM that is left to a best-effort task of this rank,
  // in millicores. Lower ranks come first and count with their paced use.
  double FreeCpuFor(const Vm& vm, double best_effort_rank) const;
  // Whether the VM has processor time for the best-effort task and would let it
  // run at a fair pace. A guaranteed run needs neither.
  bool HasBestEffortRoom(const Vm& vm, const Job& job,
                         const WorkflowStep& step) const;
  // Runs that have been starved for a while, by rank.
  std::vector<RunRef> StarvedRuns(Vm& vm, TimePoint now);
  // Sums up the processors of each service.
  void RefreshServiceCpu();
  // Tracks how long workflows have had no run.
  void RefreshIdle(TimePoint now);
  // Recomputes ranks and sends the changed ones to executors.
  void RefreshBestEffortRanks(TimePoint now, UnixMillis unix_now);
  // Whether another VM has room and little risk of interference.
  bool HasLowInterferenceVm(const std::string& except, const Job& job,
                            const WorkflowStep& step, TimePoint now) const;

  // In dispatch_layout.cc.
  void UpdateBestEffortDemand();
  bool IsHarmfulTo(const std::string& best_effort,
                   const std::string& serving) const;
  void RefreshLayout(TimePoint now);
  // Cores that best-effort tasks lose when a task of the image comes to the VM,
  // or gain when all of them leave it.
  double LayoutLoss(const Vm& vm, const std::string& image,
                    int64_t cpu_millis) const;
  double LayoutGain(const Vm& vm, const std::string& image) const;
  // Whether all tasks of the run's step have been running for a while.
  bool AllTasksRunning(const Job& job, const RunRef& except,
                       TimePoint now) const;
  std::optional<double> MinLayoutLoss(const std::string& except, const Job& job,
                                      const WorkflowProgress::OpenStep& at,
                                      TimePoint now) const;
  std::optional<Relocation> PlanRelocation(const std::string& name,
                                           const Vm& vm,
                                           const std::string& image,
                                           TimePoint now) const;
  void RelocateServing(TimePoint now);
  void Relocate(const Relocation& plan, TimePoint now);

  // In dispatch_halls.cc.
  // Whether nothing more may start on the VM, as its hall is evacuated.
  bool IsEvacuated(const Vm& vm) const;
  // Moves long-running tasks out of evacuated halls: of each step one at a time
  // while all others run, and only if another VM has room. Other tasks end by
  // themselves.
  void EvacuateHalls(TimePoint now);

  // In dispatch_stalls.cc.
  void UpdateStall(const std::string& name, const Vm& vm, TimePoint now);
  void CompareStalls();
  void RefreshStalls(TimePoint now);
  void SendProgressBounds(TimePoint now);
  void CheckStallProbe(const std::string& name, const Vm& vm, TimePoint now);
  // Whether a run of the step may start on the stalled VM as its probe.
  bool MayProbeStall(const std::string& name, const Vm& vm,
                     const WorkflowStep& step, TimePoint now) const;
  void MigrateOffStalled(const std::string& name, Vm& vm, TimePoint now);
  // Long-running tasks of the step that don't run; the task itself may start
  // up.
  size_t TasksAway(const Job& job, const TaskRef& ref, TimePoint now) const;
  void MoveLongRunningOffStalled(TimePoint now);

  // In dispatch_long_running.cc.
  void RefreshLongRunning(TimePoint now);
  // Ends the quarantine of VMs on which a long-running task has kept running.
  void PassLongRunningProbes(TimePoint now);
  // Collects long-running tasks that wait too long, and updates `down_since`.
  void CollectLongRunningWaits(Job& job, TimePoint now,
                               std::vector<LongRunningWait>& waits);
  void ReserveForLongRunning(TimePoint now);
  // Why the VM would not take the task if it had room.
  Obstacle ReservationObstacle(const std::string& name,
                               const LongRunningWait& wait,
                               TimePoint now) const;
  bool ReserveVmFor(const LongRunningWait& wait, TimePoint now);
  // Renew a reservation of the step that has not been in vain.
  bool Renew(LongRunningWait& wait, ReservationsByStep& before, TimePoint now);
  bool KeepReservation(const std::string& name, CapacityReservation reservation,
                       const LongRunningWait& wait, TimePoint now);
  // Stops as few short tasks as make the room; false if they can't.
  bool StopShortTasks(const std::string& name, const Resources& need,
                      TimePoint now);
  // Moves another long-running task if that makes room for the one that waits.
  bool MakeRoomFor(const LongRunningWait& wait, TimePoint now, int& searches);
  // Whether the VM's health allows the task.
  bool IsHealthyFor(const std::string& name, const Vm& vm, const Job& job,
                    const WorkflowStep& step, TimePoint now) const;

  // In dispatch_crashes.cc.
  // Suspects the tasks that had just begun when the runner was lost, and clears
  // the others that ran there.
  void RecordLostRunner(const std::string& name, Vm& vm,
                        const PastIncarnation& lost, TimePoint now);
  // Suspects what had just begun when the runner fell silent although the VM's
  // executor is still reachable.
  void SuspectSilentRunner(const std::string& name, const Vm& vm,
                           TimePoint now);
  void MarkSuspect(const std::string& name, const RunRef& run, TimePoint now);
  // Clears tasks whose run has lasted long enough.
  void ClearSuspects(TimePoint now);
  // A VM for the suspect's trial, which is started if needed; null without one.
  Vm* ChooseForTrial(const OpenStepRef& at, uint32_t index, TimePoint now,
                     std::string* name);
  // As ChooseForTrial, on a VM that several workflows may be tried on.
  Vm* ChooseForSharedTrial(const OpenStepRef& at, TimePoint now,
                           std::string* name);
  void OpenTrial(const OpenStepRef& at, const WorkflowProgress::Task& task,
                 TimePoint now);

  // In dispatch_placement.cc.
  void StartWaitingTasks(TimePoint now, UnixMillis unix_now);
  // Updates the expected run time of each step.
  void UpdateExpectedRunTimes(Job& job) const;
  // Time allowed for the round: the longest chain of steps, with failed runs
  // counted and wide steps split in waves, times the queue's stretch plus its
  // target latency.
  Duration LatencyObjectiveOf(const Job& job, uint32_t round) const;
  // Number of waves in which a wide step is assumed to run.
  int64_t WavesOf(const Job& job, const WorkflowStep& step) const;
  // Updates the rank by the earliest unfinished round.
  void UpdateBestEffortRank(Job& job, TimePoint now, UnixMillis unix_now);
  std::vector<OpenStepRef> ByUrgency(TimePoint now, UnixMillis unix_now);
  void StartStep(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);
  void StartGang(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);
  using Reservation = std::pair<std::string, RunRef>;  // By VM.
  // Hold room where a task, or each long-running task that is away, may start.
  bool ReserveMove(Job& job, const TaskRef& ref, TimePoint now,
                   std::vector<Reservation>& reserved);
  void ReserveForAway(TimePoint now, std::vector<Reservation>& reserved);
  // Holds room for all members of a gang, or for none. With `rack`, uses only
  // VMs in that rack.
  std::vector<Reservation> ReserveGang(Job& job,
                                       const WorkflowProgress::OpenStep& open,
                                       uint64_t run,
                                       const std::optional<std::string>& rack,
                                       TimePoint now);
  // As ReserveGang, but in a single rack if one has room for the whole gang.
  std::vector<Reservation> ReserveGangTogether(
      Job& job, const WorkflowProgress::OpenStep& open, uint64_t run,
      TimePoint now);
  VmSearch SearchFor(const Job& job, const WorkflowStep& step,
                     TimePoint now) const;
  // The VM with the lowest cost, or null.
  Vm* ChooseVm(const Job& job, const WorkflowStep& step,
               const WorkflowProgress::OpenStep& open, const std::string& avoid,
               TimePoint now, std::string* name,
               const std::optional<std::string>& rack = std::nullopt);
  // Why the VM admits no task of the step, however much room it has.
  Obstacle VmObstacle(const Vm& vm, const std::string& name, const Job& job,
                      const WorkflowStep& step, TimePoint now) const;
  // As above, or for want of room or health.
  Obstacle FitObstacle(const Vm& vm, const std::string& name, const Job& job,
                       const WorkflowStep& step, TimePoint now) const;
  // No obstacle, and the step's own limits and tickets allow the VM.
  bool MayHost(const Vm& vm, const std::string& name, const Job& job,
               const WorkflowStep& step, const WorkflowProgress::OpenStep& open,
               TimePoint now) const;
  double PlacementCost(const Vm& vm, const WorkflowStep& step) const;
  void StartOn(const std::string& name, Vm& vm, Job& job, const TaskRef& ref,
               uint64_t run, TimePoint now);
  uint64_t NextRun(const WorkflowProgress::Task& task) const;
  void FlushStarts();

  DispatcherOptions options_;
  DecisionHook on_decision_;
  RunLog run_log_;
  TimePoint runs_logged_at_{};
  TimePoint ownership_taken_at_;
  TimePoint ownership_confirmed_at_;
  Authority authority_ = Authority::kFull;
  TimePoint starved_migrated_at_{};
  TimePoint ranks_refreshed_at_{};
  TimePoint idle_refreshed_at_{};
  TimePoint layout_refreshed_at_{};
  TimePoint long_running_refreshed_at_{};
  TimePoint room_sought_at_{};
  Evacuations evacuations_;
  TimePoint halls_evacuated_at_{};
  CapacityReservations reservations_;  // For long-running tasks.
  ServingLayout layout_;
  ServingLayout::Demands image_demand_;
  std::map<std::string, Duration> tail_targets_;  // By serving image.

  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Vm> vms_;
  std::map<std::string, int64_t> service_cpu_;  // Millicores, by service.
  std::set<std::string> unreconciled_;
  // Tasks that may crash runners.
  std::set<TaskRef> suspects_;
  TimePoint suspects_cleared_at_{};
  WorkerHealth health_;
  StalledVms stalls_;
  TimePoint stalled_moved_at_{};
  TimePoint progress_bounds_sent_at_{};
  RunTimeEstimator run_times_;
  PacePolicySelector best_effort_load_;
  PairwiseInterference interference_;
  uint64_t interference_version_ = 1;
  // As last logged, by serving and best-effort image.
  std::map<std::pair<std::string, std::string>, Duration> logged_weights_;
  FailedSearches failed_searches_;  // In this tick.

  std::vector<std::string> dirty_;  // In the order in which they changed.
  bool commit_in_flight_ = false;
  std::vector<std::string> in_commit_;
  std::vector<std::string> forgetting_;
  // To be acknowledged once the commit in flight is stored.
  EndsByVm acknowledging_;

  // Starts of the current tick, by VM and step.
  std::map<std::pair<std::string, TaskRef>, StartRuns> starts_;
  std::vector<AdviceRequest> advice_requests_;
  std::vector<VmMessage> outbox_;
  DispatchCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCHER_H_
