// Decides which task runs on which VM, for the one process that owns the
// deployment's work.
//
// Pure: it reads no clock and does no I/O. Messages and times go in; messages
// for executors and records to store come out.
//
// Why a task runs in one place at a time:
//  - Only one epoch is current; the runners refuse calls of lower ones, and
//    each executor obeys the highest it has seen.
//  - A held run is let go only when its end is listed, when a stop has proven
//    that it never begins, when its runner is another incarnation, or when
//    every lease that could cover it has run out and the ownership is confirmed
//    to be still ours since: a successor might have renewed them.
//  - What an earlier owner may have started waits until all VMs that it could
//    have used have answered, or its leases have run out. An owner stores its
//    epoch with a workflow before it starts any of it, so workflows of its
//    own need not wait.
//  - An end is settled at the runner only after it is stored.
//  - A start that has not left as the owner's authority ends never does.
//
//   auto dispatcher = Dispatcher::Create(options, now);
//   dispatcher->AddWorkflow(workflow, record, now);
//   dispatcher->OnInventory("vm-3", inventory, now);
//   dispatcher->Tick(now, unix_now);
//   for (VmMessage& m : dispatcher->TakeMessages()) Send(m.vm, m.message);
//   if (auto commit = dispatcher->TakeCommit()) Store(*commit);
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
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/dispatch/dispatch_types.h"
#include "beamhill/dispatch/internal/dispatch_state.h"
#include "beamhill/dispatch/pace_policy_selector.h"
#include "beamhill/dispatch/run_log.h"
#include "beamhill/dispatch/run_time_estimator.h"
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

  // A stored workflow, with its record if one is stored. Known ones are left
  // as they are.
  void AddWorkflow(const Workflow& workflow,
                   const std::optional<ProgressRecord>& record, TimePoint now);
  void Cancel(const std::string& workflow, TimePoint now);
  bool Knows(const std::string& workflow) const;

  // The state that may be shown: an end counts once it is stored, which a
  // cancellation is from the beginning.
  std::optional<WorkflowState> StateOf(const std::string& workflow) const;
  // Workflows of the queue of which nothing has begun.
  uint64_t WaitingIn(const std::string& queue) const;
  // How many runs of the workflow VMs hold.
  size_t HeldRunsOf(const std::string& workflow) const;

  // A link to the VM's executor is up: attach.
  void OnLinkUp(const std::string& vm);
  void OnLinkDown(const std::string& vm);
  // Its link is up but says nothing: its work is to be told anew.
  void OnVmSilent(const std::string& vm);
  // Asks VMs that are linked and have not answered once more; to be called some
  // seconds apart.
  void AttachAgain();
  // The executor's heartbeat; answered with a lease when the VM may run work.
  void OnHeartbeat(const std::string& vm, const VmHeartbeat& beat,
                   TimePoint now);
  void OnStatus(const std::string& vm, const VmStatus& status, TimePoint now);
  // False when a run of an unknown workflow is among it: load what is stored
  // and attach anew.
  bool OnInventory(const std::string& vm, const VmInventory& inventory,
                   TimePoint now);
  // Teaches which filling image disturbs which serving one.
  void OnPressure(const std::string& vm, const VmInterference& pressure);
  void OnReports(const std::string& vm, const RunReports& reports,
                 TimePoint now);

  // A transaction or read that was sent then found the ownership still ours.
  void OnConfirmed(TimePoint sent_at);
  // Whether a silent VM waits only for such a confirmation.
  bool WantsConfirmation(TimePoint now) const;

  // Questions for the advisor, each to be answered once; without advice when
  // it could not be had.
  std::vector<AdviceRequest> TakeAdviceRequests();
  void OnAdvice(const TaskRef& step, const std::optional<Advice>& advice,
                TimePoint now);

  // The data halls in which nothing more is to be started.
  void SetEvacuations(const Evacuations& evacuations);

  // Leases are granted and tasks started with full authority only. As it ends,
  // starts that have not left are given back; stops and settled ends wait until
  // it is back.
  void SetAuthority(Authority authority, TimePoint now);

  // What was learned of pressure, to be stored; and what an earlier owner
  // stored.
  InterferenceRecord LearnedPressure() const;
  void RecallPressure(const InterferenceRecord& record);

  // Tells VMs what was learned of the images that stand there, as far as they
  // don't know it yet.
  void SendWeights();

  // Pairs whose weight has changed since they were last taken, for the log: the
  // first so many of those that moved most.
  std::vector<InterferenceWeight> TakeNews(size_t limit);

  // Lets lapsed work go and starts what can start. Lines about runs go to the
  // hook some times a second.
  void Tick(TimePoint now, UnixMillis unix_now);

  // Nothing without authority: what is decided by then stays and leaves later.
  std::vector<VmMessage> TakeMessages();
  // At most one is out at a time; nothing when there is nothing to store.
  std::optional<DispatchCommit> TakeCommit(TimePoint now);
  void OnCommitted();
  void OnCommitFailed();

  uint64_t epoch() const { return options_.epoch; }
  const DispatchCounts& counts() const { return counts_; }
  size_t workflows() const { return jobs_.size(); }
  DispatchSummary Summary(TimePoint now) const;
  // What VMs hold of workflows that are over, the oldest first.
  std::vector<OrphanedWork> Orphans(TimePoint now) const;
  // The name of a VM that holds a run of the workflow; empty when none does.
  std::string VmThatHolds(const std::string& workflow) const;
  // One line for each VM and each workflow that is not over.
  std::string Dump(TimePoint now) const;

 private:
  using Ticket = dispatch_internal::Ticket;
  using StepAdvice = dispatch_internal::StepAdvice;
  using Job = dispatch_internal::Job;
  using HeldRun = dispatch_internal::HeldRun;
  using Vm = dispatch_internal::Vm;
  using LastingWait = dispatch_internal::LastingWait;
  using Relocation = dispatch_internal::Relocation;
  // By VM: the incarnation of its runner and the number of an end.
  using EndsByVm = std::map<std::string, std::pair<std::string, uint64_t>>;
  struct OpenStepRef {
    Job* job;
    WorkflowProgress::OpenStep open;
  };

  Dispatcher(const DispatcherOptions& options, DecisionHook on_decision,
             TimePoint now);

  // Null when it isn't known.
  Job* Find(const std::string& workflow);
  // To be stored with the next commit.
  void MarkDirty(Job& job);
  void Send(const std::string& vm, DispatchMessage message);
  void SendAttach(const std::string& vm);
  // Gives back starts that have not left: when they could, their runs may be
  // let go and their tasks be started elsewhere.
  void WithdrawStarts(TimePoint now);
  // Whether its tasks may be started: it is stored under this epoch, and what
  // an earlier owner may have started of it is known.
  bool MayStart(const Job& job) const;
  void Decide(const std::string& workflow, const char* event,
              const std::string& detail);
  // The VM's work under earlier owners is known.
  void Account(const std::string& vm);
  void OnOver(Job& job, TimePoint now);
  void ExpireLeases(TimePoint now);
  // Whether the bound is past, and the ownership confirmed since.
  bool IsPast(TimePoint bound, TimePoint now) const;

  // In dispatch_runs.cc.
  void Hold(Vm& vm, const RunRef& run, Job& job, const WorkflowStep& step);
  void Release(Vm& vm, const RunRef& run);
  void StopAllOf(Job& job, TimePoint now);
  // Sends the VM the stops that are due, if it can be told anything.
  void SendStops(const std::string& name, Vm& vm, TimePoint now);
  void SendDueStops(TimePoint now);
  // Stops the run, to start again on another VM from its checkpoint.
  void MoveOff(const std::string& name, Vm& vm, Job& job, const RunRef& run,
               const std::string& reason, TimePoint now);
  // Moves off a draining VM what can't end there: its runs are stopped, and
  // start again elsewhere from their checkpoints.
  void MoveOffDraining(const std::string& name, Vm& vm, TimePoint now);
  // Takes the run by value: it may lie in the table that it is erased from.
  // `why` is for the log.
  void LetGo(const std::string& name, Vm& vm, RunRef run, const char* why,
             TimePoint now);
  void LetGoAll(const std::string& name, Vm& vm, const char* why,
                TimePoint now);
  // Whether every workflow with a run in the inventory is known here.
  bool AllKnown(const VmInventory& inventory);
  // Takes over a run that an inventory shows; stops it when it is no run of
  // a waiting task.
  void Adopt(const std::string& name, Vm& vm, const RunRef& run, TimePoint now);
  static void NoteWarmth(Vm& vm, TimePoint now);
  void TakeInventoryStatus(const std::string& name, Vm& vm,
                           const VmStatus& status, TimePoint now);
  // Has the held runs stopped that an inventory doesn't show, and all stops
  // sent again that were sent before it.
  static void StopMissing(Vm& vm, const VmInventory& inventory, TimePoint now);
  void SendTraits(const std::string& name, const Vm& vm);
  // Counts a run that was done or failed, and its VM's part in that.
  void NoteOutcome(const std::string& name, Job& job, const RunEnd& end,
                   TimePoint now);
  // Takes in how long a step's tasks ran, once it is done.
  void LearnRunTime(const Job& job, const TaskRef& ref);
  void ApplyEnd(const std::string& name, Vm& vm, const RunEnd& end,
                TimePoint now);
  // The same, of an end that the runner still lists.
  void ApplyListedEnd(const std::string& name, Vm& vm, const RunEnd& end,
                      TimePoint now);
  // Takes in ends that an earlier incarnation of the runner had listed, when
  // its work is not let go yet; they may be told more than once.
  void ApplyPastEnds(const std::string& name, Vm& vm,
                     const PastIncarnation& past, TimePoint now);
  // Returns whether anything that is stored has changed.
  bool TakeEnd(Vm& vm, const RunEnd& end, TimePoint now);
  void ApplyNotBegun(const std::string& name, Vm& vm,
                     const RunNotBegun& refused, TimePoint now);

  // In dispatch_commit.cc.
  // The highest end taken in of each VM where it is not settled yet.
  EndsByVm UnsettledEnds() const;
  // Tells the executors that these ends may be forgotten.
  void Settle(const EndsByVm& ends);
  // Workflows that changed, as far as one transaction holds them.
  void AddProgress(DispatchCommit& commit);
  // Workflows past their retention, in the room that is left.
  void AddForgotten(DispatchCommit& commit, TimePoint now) const;

  // In dispatch_advice.cc.
  bool HasAdvice(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);
  static const Ticket* TicketFor(const Job& job,
                                 const WorkflowProgress::OpenStep& open,
                                 const std::string& incarnation, TimePoint now);

  // In dispatch_pressure.cc.
  // The worst tail over its target, by what was learned, if the filler came
  // here and worked at full speed; 0 where nothing serves or is known.
  double WorstTailRatio(const Vm& vm, const WorkflowStep& filler) const;
  double PredictTailRatio(const Vm& vm, const WorkflowStep& filler) const;
  // Brings what was learned up to date with the newest reports.
  void RefitPressure();
  // Weighs what fillers ask for against what there is for them, and tells
  // executors when that changes how they pace.
  void RefreshPacePolicy(UnixMillis unix_now);
  // What the waiting tasks that fill ask for, of steps that may start.
  double WaitingFillerCores(UnixMillis unix_now) const;
  // What is known of each pair of a serving and a filling image there.
  std::vector<InterferenceWeight> WeightsOn(const Vm& vm) const;
  void SendWeightsTo(const std::string& name, Vm& vm);

  // In dispatch_fillers.cc.
  // Moves fillers off VMs where they get next to nothing.
  void MoveStarved(TimePoint now);
  void MoveStarvedOf(const std::string& name, Vm& vm, TimePoint now);
  // What a filler of that order can expect of the VM's processors, in
  // thousandths of a core. They go to fillers in their order; those before it
  // count by what their pace lets them use.
  double FreeCpuFor(const Vm& vm, double best_effort_rank) const;
  // What a VM's runs are, or the paces of its fillers, has changed.
  static void ForgetDerived(Vm& vm);
  // Whether the workflow is to be kept going and has nothing at work, so that
  // it gets a run even in a harmful or a full place.
  static bool NeedsARun(const Job& job);
  // Whether the processor time that is left over on the VM is enough for the
  // filler, and whether it is expected to be let work. The first run of a
  // workflow that has waited for long needs neither.
  bool HasRoomToFill(const Vm& vm, const Job& job,
                     const WorkflowStep& filler) const;
  // The fillers that have got next to nothing for a while, the first in their
  // order first.
  std::vector<RunRef> StarvedRuns(Vm& vm, TimePoint now);
  // Adds up the processors of each service's VMs.
  void RefreshRoom();
  // Notes since when workflows have had nothing at work.
  void RefreshIdle(TimePoint now);
  // Brings the order of fillers up to date, and tells their executors.
  void RefreshOrder(TimePoint now, UnixMillis unix_now);
  // Whether another VM has the room, and disturbs nothing there much.
  bool HasCalmPlace(const std::string& except, const Job& job,
                    const WorkflowStep& step, TimePoint now) const;

  // In dispatch_layout.cc.
  // What serving tasks and others leave of the VM's processors.
  static double FreeCores(const Vm& vm);
  void UpdateDemand();
  bool Harms(const std::string& filling, const std::string& serving) const;
  void RefreshLayout(TimePoint now);
  // What fillers lose when a task of the image comes to the VM, and win when
  // all of them leave it; in cores.
  double LayoutLoss(const Vm& vm, const std::string& image,
                    int64_t cpu_millis) const;
  double LayoutGain(const Vm& vm, const std::string& image) const;
  // Whether no task of the run's step is away, by anyone's doing.
  bool AllAtWork(const Job& job, const RunRef& except, TimePoint now) const;
  std::optional<double> LeastLoss(const std::string& except, const Job& job,
                                  const WorkflowProgress::OpenStep& at,
                                  TimePoint now) const;
  std::optional<Relocation> RelocationOf(const std::string& name, const Vm& vm,
                                         const std::string& image,
                                         TimePoint now) const;
  void RelocateServing(TimePoint now);
  void Relocate(const Relocation& plan, TimePoint now);

  // In dispatch_halls.cc.
  // Whether nothing more is to be started there.
  bool IsEvacuated(const Vm& vm) const;
  // Moves lasting tasks out of halls that are to be emptied: of each step one
  // at a time, while all others are at work, and only where another VM has the
  // room. What ends by itself goes on.
  void MoveOutOfHalls(TimePoint now);
  // Until when the VM's executor may carry out an order of now, by its clock.
  static TimePoint LatestStart(const Vm& vm, TimePoint now);

  // In dispatch_lasting.cc.
  // Keeps room free for lasting tasks that wait, and lets probes pass.
  void RefreshLasting(TimePoint now);
  // Ends the quarantine of VMs on which a lasting task has stayed at work.
  void PassLastingProbes(TimePoint now);
  // Notes which of the job's lasting tasks have waited for too long, and since
  // when it has been without one that ran before.
  void NoteLastingWaits(Job& job, TimePoint now,
                        std::vector<LastingWait>& waits);
  // Keeps a VM's room free for each lasting task that waits for too long.
  void KeepRoomForLasting(TimePoint now);
  void KeepRoomFor(const Job& job, const WorkflowStep& step);
  // Whether the step leaves the VM's room that is kept for a lasting task.
  bool LeavesKeptRoom(const std::string& name, const Vm& vm,
                      const WorkflowStep& step) const;
  // Runs there that began after the VM's quarantine did.
  size_t ProbesOn(const std::string& name, const Vm& vm) const;
  // Whether the VM's health allows a task of the step there. One that lasts
  // and has been away for too long need not wait for the next probe.
  bool IsHealthyFor(const std::string& name, const Vm& vm, const Job& job,
                    const WorkflowStep& step, TimePoint now) const;

  // In dispatch_crashes.cc.
  // Counts the runner's loss against the tasks that had just begun there, and
  // clears the others.
  void NoteLostRunner(const std::string& name, Vm& vm,
                      const PastIncarnation& lost, TimePoint now);
  // The VM's executor is there, but its runner has been silent until the lease
  // was over: counts that against what had just begun, until more is known.
  void SuspectUnansweredFor(const std::string& name, const Vm& vm,
                            TimePoint now);
  void Suspect(const std::string& name, const RunRef& run, TimePoint now);
  // Clears of suspicion the tasks whose run has outlived its start for long.
  void ClearSuspects(TimePoint now);
  // A place for a suspect: on the VM where its workflow is on trial, which may
  // be opened for it. Null while there is none.
  Vm* ChooseForTrial(const Job& job, const WorkflowStep& step,
                     const WorkflowProgress::OpenStep& open,
                     const WorkflowProgress::Task& task, TimePoint now,
                     std::string* name);
  void OpenTrial(const Job& job, const WorkflowStep& step,
                 const WorkflowProgress::OpenStep& open,
                 const WorkflowProgress::Task& task, TimePoint now);
  // Until a start of that moment can no longer take the runner down, nothing of
  // other workflows is started there.
  static void BeginTrial(Vm& vm, const std::string& workflow, TimePoint begins);
  static bool IsOnTrial(const Vm& vm, TimePoint now);

  // In dispatch_placement.cc.
  void StartWaiting(TimePoint now, UnixMillis unix_now);
  // Brings the expected run times of a workflow's steps up to date.
  void ExpectRunTimes(Job& job) const;
  // How long the round may take: the queue's part more than its longest chain,
  // in which runs that failed count, and a step that is wide for the service's
  // VMs counts in waves.
  Duration AllowedFor(const Job& job, uint32_t round) const;
  // In how many waves a step is taken to run.
  int64_t WavesOf(const Job& job, const WorkflowStep& step) const;
  static TimePoint DueOf(const Job& job, uint32_t round, TimePoint now,
                         UnixMillis unix_now);
  static Lateness LatenessOf(const Job& job, uint32_t round, TimePoint now,
                             UnixMillis unix_now);
  static double OrderOf(const Job& job, uint32_t round, TimePoint now,
                        UnixMillis unix_now);
  // By the earliest round that is not done.
  void SetYieldOrder(Job& job, TimePoint now, UnixMillis unix_now);
  static TaskTraits TraitsOf(const Job& job, const WorkflowStep& step);
  std::vector<OpenStepRef> ByUrgency(TimePoint now, UnixMillis unix_now);
  void StartStep(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);
  void StartGang(Job& job, const WorkflowProgress::OpenStep& open,
                 TimePoint now);
  using Reservation = std::pair<std::string, RunRef>;  // By VM.
  // Holds the room of all members of a gang; holds and returns nothing when
  // one finds none. With a rack, only VMs in it are used.
  std::vector<Reservation> ReserveGang(Job& job,
                                       const WorkflowProgress::OpenStep& open,
                                       uint64_t run,
                                       const std::optional<std::string>& rack,
                                       TimePoint now);
  // A gang that is slower when spread goes into one rack if any has the room.
  std::vector<Reservation> ReserveGangTogether(
      Job& job, const WorkflowProgress::OpenStep& open, uint64_t run,
      TimePoint now);
  // Whether a step that asks for no more had no room, in this tick.
  bool HadNoRoom(const std::string& service, const WorkflowStep& step) const;
  // How many runs of the step the VM holds.
  static uint32_t HeldOfStep(const Vm& vm, const std::string& workflow,
                             const WorkflowProgress::OpenStep& open);
  // The cheapest place, or null when there is none.
  Vm* Choose(const Job& job, const WorkflowStep& step,
             const WorkflowProgress::OpenStep& open, const std::string& avoid,
             TimePoint now, std::string* name,
             const std::optional<std::string>& rack = std::nullopt);
  bool Fits(const Vm& vm, const std::string& name, const Job& job,
            const WorkflowStep& step, TimePoint now) const;
  // Whether the task may go there: it fits, and the step allows the VM.
  bool MayHost(const Vm& vm, const std::string& name, const Job& job,
               const WorkflowStep& step, const WorkflowProgress::OpenStep& open,
               TimePoint now) const;
  double Cost(const Vm& vm, const WorkflowStep& step) const;
  void StartOn(const std::string& name, Vm& vm, Job& job, const TaskRef& ref,
               uint64_t run, TimePoint now);
  uint64_t NextRun(const WorkflowProgress::Task& task) const;
  void FlushStarts();

  DispatcherOptions options_;
  DecisionHook on_decision_;
  RunLog run_log_;
  TimePoint runs_logged_at_{};
  TimePoint taken_at_;
  TimePoint confirmed_at_;
  Authority authority_ = Authority::kFull;
  TimePoint moved_at_{};
  TimePoint order_refreshed_at_{};
  TimePoint idle_refreshed_at_{};
  TimePoint layout_at_{};
  TimePoint lasting_refreshed_at_{};
  Evacuations evacuations_;
  TimePoint moved_out_at_{};
  // By VM: the room there that is kept for a lasting task.
  std::map<std::string, Resources> kept_room_;
  ServingLayout layout_;
  ServingLayout::Demands filler_demand_;
  std::map<std::string, Duration> tail_targets_;  // By serving image.

  std::map<std::string, std::unique_ptr<Job>> jobs_;
  std::map<std::string, Vm> vms_;
  std::map<std::string, int64_t> room_;  // Processors of a service's VMs.
  std::set<std::string> unaccounted_;
  // Tasks that may take runners down.
  std::set<TaskRef> suspects_;
  TimePoint suspects_cleared_at_{};
  WorkerHealth health_;
  RunTimeEstimator run_times_;
  PacePolicySelector filler_load_;
  PairwiseInterference interference_;
  uint64_t interference_version_ = 1;
  // By serving and filling image: what the log was told last.
  std::map<std::pair<std::string, std::string>, Duration> logged_weights_;
  // Steps that were found to have no room anywhere, in this tick, each with
  // its workflow's service.
  std::vector<std::pair<std::string, WorkflowStep>> no_room_;

  std::set<std::string> dirty_;
  bool commit_out_ = false;
  std::vector<std::string> in_commit_;
  std::vector<std::string> forgetting_;
  EndsByVm settling_;  // What the commit in flight makes durable.

  // Starts of the current tick, by VM and step.
  std::map<std::pair<std::string, TaskRef>, StartRuns> starts_;
  std::vector<AdviceRequest> advice_requests_;
  std::vector<VmMessage> outbox_;
  DispatchCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCHER_H_
