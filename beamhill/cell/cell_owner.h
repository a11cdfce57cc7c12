// Schedules the tasks of one cell as its owner, the only process that may start
// them.
//
// The class reads no clock and does no I/O. The process that embeds it passes
// in messages and times, sends the messages and writes the snapshots that it
// returns.
//
// How a task is kept from running in two places at once:
//  - At most one epoch is current for a cell. It is obtained by a conditional
//    write of the cell's row and only increases (see cell_host.h).
//  - A VM's agent that has seen an epoch refuses all earlier ones. A new owner
//    neither starts nor requeues a task that may be on a VM until that VM has
//    sent its complete inventory or can no longer run the task. The latter
//    holds when the platform has removed the VM from its list, or when every
//    lease that an earlier owner could have granted has expired and a later
//    read has confirmed that this owner still owns the cell.
//  - The VMs and task indexes that may be in use are made durable first, in the
//    roster and the windows of the snapshot.
//
//   auto owner = CellOwner::Create(options, ownership, snapshot, ranges);
//   owner->OnHello(hello, now);
//   for (AgentMessage& m : owner->TakeMessages()) Send(m.vm, m.message);
#ifndef BEAMHILL_CELL_CELL_OWNER_H_
#define BEAMHILL_CELL_CELL_OWNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"
#include "beamhill/cell/range_ledger.h"
#include "beamhill/cell/snapshot.h"
#include "beamhill/messages/messages.h"
#include "beamhill/placement/fair_order.h"
#include "beamhill/placement/interference_model.h"
#include "beamhill/placement/placement_policy.h"
#include "beamhill/placement/worker_health.h"

namespace beamhill {

// The state of one VM on which placement decisions are based.
struct VmView {
  std::string vm;
  std::string rack;
  Resources capacity;
  Resources granted;
  ClassLoads loads;  // Of batch tasks, by class.
  // Moving average of the service's latency on the VM over the latency that the
  // interference model predicts for its loads.
  double latency_ratio = 1;
};

// Returns the index in `vms` of the VM to run a task of `job`, or nothing to
// let the task wait. The task fits on each of the VMs.
using PlacementHook = std::function<std::optional<size_t>(
    const JobSpec& job, const std::vector<const VmView*>& vms)>;

// Returns the VM that has the least capacity left once the task is placed.
std::optional<size_t> PlaceBestFit(const JobSpec& job,
                                   const std::vector<const VmView*>& vms);

struct CellOwnerOptions {
  std::string cell;
  // Duration of an agent's lease, from the time stamp of its heartbeat.
  Duration agent_term = std::chrono::minutes(2);
  // How long the owner may act after a confirmation of its ownership: the
  // longest outage of the table that it bridges.
  Duration ownership_term = std::chrono::minutes(20);
  // Bound on the difference in rate between the clocks of two VMs, in parts per
  // thousand. Waits for leases to expire are extended by it.
  int64_t clock_rate_error_permille = 2;
  // Shortest time between two snapshots that are not urgent.
  Duration snapshot_interval = std::chrono::seconds(15);
  PlacementHook place = PlaceBestFit;
  // When both are set, batch tasks are placed by the interference model of the
  // cell, and by `place` only until the model has enough samples.
  std::function<PolicyWeights()> weights;
  std::function<Duration()> latency_target;
  // The largest share of the cell that a team may use, in (0, 1].
  FairOrder::Quota quota = [](const std::string&) { return 1.0; };
  // The limit on evictions ordered per hour.
  std::function<int64_t()> evictions_per_hour = [] { return int64_t{60}; };
};

// How and when the cell was claimed.
struct Ownership {
  uint64_t epoch = 1;
  // When the last write or read that confirmed the ownership was sent, on this
  // process's clock.
  TimePoint confirmed_at{};
  // When the claim's answer was received.
  TimePoint claimed_at{};
  bool inherited = false;  // The cell had an owner before.
  bool released = false;   // The last of them released the cell.
};

struct AgentMessage {
  std::string vm;
  Message message;
};

// Counts of tasks, unless named otherwise, since the cell was claimed.
struct CellOwnerCounts {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t evicted = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;          // No longer known to their worker.
  uint64_t requeued_vms = 0;  // VMs given up, with their tasks requeued.
  uint64_t evictions_ordered = 0;
  uint64_t stale_messages = 0;  // Dropped for an old epoch or session.
};

class CellOwner {
 public:
  // Restores the cell's state from the last snapshot and the range rows.
  static std::unique_ptr<CellOwner> Create(const CellOwnerOptions& options,
                                           const Ownership& ownership,
                                           const CellSnapshot& snapshot,
                                           const std::vector<RangeRow>& ranges);

  // A read of the cell's row, sent at `sent_at`, still showed this ownership.
  void OnOwnershipConfirmed(TimePoint sent_at);
  // Another process owns the cell, or it was released. Nothing is sent from now
  // on.
  void OnOwnershipLost();
  // Whether the owner may still grant leases and start tasks.
  bool MayAct(TimePoint now) const;
  // Whether to confirm the ownership by a read: a quarter of the term has
  // passed, a linked agent must not be used before it, or it is all that keeps
  // a VM from being given up.
  bool NeedsConfirmation(TimePoint now) const;

  // Adds a range row read from the table, or applies its cancellation.
  void OnRange(const RangeRow& row);

  void OnHello(const Hello& hello, TimePoint now);
  void OnLinkDown(const std::string& vm, const Session& session);
  void OnHeartbeat(const std::string& vm, const Heartbeat& heartbeat,
                   TimePoint now);
  void OnInventory(const std::string& vm, const Inventory& inventory,
                   TimePoint now);
  void OnOutcomes(const std::string& vm, const Outcomes& outcomes,
                  TimePoint now);
  // Feeds the latency that the VM's runner reports to the interference model.
  void OnRunnerReport(const std::string& vm, const RunnerReport& report);
  // Evicts a batch task of the VM: its agent reports that throttling them does
  // not protect the service enough.
  void OnBatchEvictionRequest(const std::string& vm,
                              const BatchEvictionRequest& request,
                              TimePoint now);
  // The platform's list shows the VM, as leaving or not. A leaving VM gets no
  // new tasks.
  void OnVmLeaving(const std::string& vm, bool leaving);
  // The platform's list no longer shows a VM that it showed before. Gives the
  // VM up at once, or when its agent has stopped sending heartbeats.
  void OnVmGone(const std::string& vm, TimePoint now);

  // Gives up VMs whose leases have expired, and starts tasks.
  void Tick(TimePoint now);

  // Asks the VM to checkpoint and stop the task, which is then requeued.
  void Evict(const TaskId& task);

  std::vector<AgentMessage> TakeMessages();
  // Returns VMs that were given up while linked. The caller must close their
  // links; an agent that is still alive reconnects and says Hello again.
  std::vector<std::string> TakeDroppedVms();

  // Returns a snapshot to write if one is due. None is due while the last one
  // is in flight, that is, until one of the two calls below.
  std::optional<CellSnapshot> TakeSnapshot(TimePoint now);
  // The write of the last snapshot, sent at `sent_at`, is durable. This also
  // confirms the ownership.
  void OnSnapshotDurable(TimePoint sent_at);
  // The write failed. A new snapshot will be due.
  void OnSnapshotFailed();

  // Returns the jobs whose range in this cell is finished. The caller makes
  // their results durable and then calls ForgetRange; outcomes that agents
  // report for them after that are acknowledged at once.
  std::vector<std::string> FinishedJobs() const;
  void ForgetRange(const std::string& job);

  const CellOwnerOptions& options() const { return options_; }
  uint64_t epoch() const { return ownership_.epoch; }
  const CellOwnerCounts& counts() const { return counts_; }
  const std::map<std::string, RangeLedger>& ranges() const { return ranges_; }
  // VMs of the inherited roster that may still hold tasks of earlier owners.
  // Tasks in state unknown can't be started before this set is empty.
  const std::set<std::string>& unreconciled() const { return unreconciled_; }
  std::vector<VmView> Vms() const;
  const WorkerHealth& health() const { return health_; }
  // Returns the jobs whose tasks fit on no VM of the cell, even an empty one.
  std::vector<std::string> ImpossibleJobs() const;

 private:
  // A task that occupies capacity of a VM.
  struct HeldTask {
    Resources amount;
    TimePoint since{};
    bool stopping = false;  // Its eviction was ordered.
  };

  struct AgentState {
    VmView view;
    Session session;
    bool linked = false;
    uint32_t last_request = 0;        // Number of the last inventory request.
    bool request_sent = false;        // For the inventory, in this session.
    bool inventory_received = false;  // In this session.
    // The ownership was confirmed after the agent's Hello, or the agent's
    // incarnation has obeyed this epoch before.
    bool confirmed = false;
    bool in_durable_roster = false;
    uint64_t obeying_incarnation = 0;  // The last that obeyed this epoch.
    bool removed_from_list = false;
    bool leaving = false;
    TimePoint hello_at{};
    TimePoint last_heard_at{};        // The last Hello or heartbeat.
    TimePoint lease_bound{};          // No lease of this owner outlasts it.
    std::map<TaskId, HeldTask> held;  // Adds up to view.granted.
  };

  CellOwner(const CellOwnerOptions& options, const Ownership& ownership);

  // Extends `d` by the largest error of a VM's clock.
  Duration WithClockMargin(Duration d) const;
  // The time by which every lease granted by earlier owners has expired.
  TimePoint InheritedLeaseEnd() const;
  Fence FenceFor(const AgentState& agent) const;
  // Returns the VM's agent if the fence is of this epoch and of its current
  // session; otherwise counts a stale message and returns null.
  AgentState* FindCurrentAgent(const std::string& vm, const Fence& fence);
  void Send(const AgentState& agent, Message message);
  void RequestInventory(AgentState& agent);
  void RequestPendingInventories();
  // The VM holds no unknown task. Requeues all unknown tasks if it was the last
  // VM to reconcile.
  void MarkReconciled(const std::string& vm);
  // Gives the VM up and requeues its tasks.
  void ForgetVm(const std::string& vm);
  // Updates the task's state. Adds the outcome to `*acknowledge_now` if it need
  // not be made durable before it is acknowledged.
  void ApplyOutcome(AgentState& agent, const TaskOutcome& outcome,
                    TimePoint now, std::vector<StopTask>* acknowledge_now);
  void RecordHealth(const AgentState& agent, const TaskOutcome& outcome,
                    TimePoint now);
  // Tells the agent that it may forget these outcomes.
  void SendAcknowledged(AgentState& agent, std::vector<StopTask> tasks);
  void AddHeldTask(AgentState& agent, const TaskId& task,
                   const Resources& amount, TimePoint since);
  // Adds the task's load to the VM's class loads, or with a `sign` of -1
  // subtracts it.
  void AddLoad(AgentState& agent, const TaskId& task, const Resources& amount,
               int sign);
  void RemoveHeldTask(AgentState& agent, const TaskId& task);
  // Whether the VM can be given up: it is certain to run no task.
  bool IsExpired(const AgentState& agent, TimePoint now) const;
  // Whether leases bounded by `bound` have certainly expired. A later owner may
  // have renewed them, unless a read sent after the bound still showed this
  // ownership.
  bool HasExpired(TimePoint bound, TimePoint now) const;
  // Whether only a confirmation read is missing to give up some silent VM.
  bool ExpiryNeedsConfirmation(TimePoint now) const;
  void ExpireAgents(TimePoint now);

  // Defined in cell_scheduling.cc.
  struct TeamQueue;
  void ScheduleTasks(TimePoint now);
  // Starts tasks of the urgency in fair order among teams, until `budget` is
  // used up or no task can be started.
  void ScheduleTasksOf(Urgency urgency, FairOrder& order, int& budget,
                       TimePoint now);
  bool StartNextTask(RangeLedger& ledger, TimePoint now);
  // Returns the VMs that may be given a task of this size now.
  std::vector<const VmView*> Candidates(const Resources& each,
                                        TimePoint now) const;
  Resources Capacity() const;
  // Evicts tasks to make room for `wanted` tasks of `job`, less those for which
  // evictions are in progress.
  void PreemptFor(const JobSpec& job, size_t wanted, TimePoint now);
  std::optional<size_t> Place(const JobSpec& job,
                              const std::vector<const VmView*>& vms) const;
  // Returns the tasks of the VM to evict so that a task of size `each` fits;
  // empty if it would not fit even then.
  std::vector<TaskId> PreemptionVictims(const AgentState& agent,
                                        const Resources& each) const;
  // Takes a token for one eviction; returns false if there is none. The bucket
  // holds an hour's evictions and refills over an hour.
  bool TakeEvictionToken(TimePoint now);
  void FlushStarts();
  void Stop(const std::string& vm, const TaskId& task, Attempt attempt,
            StopMode mode);
  void CancelRunning(RangeLedger& ledger);

  CellOwnerOptions options_;
  Ownership ownership_;
  bool ownership_lost_ = false;
  uint64_t next_sequence_ = 1;

  std::map<std::string, AgentState> agents_;
  std::set<std::string> unreconciled_;
  std::map<std::string, RangeLedger> ranges_;

  bool dirty_ = false;
  bool has_snapshot_in_flight_ = false;
  std::optional<TimePoint> last_snapshot_;
  CellSnapshot snapshot_in_flight_;
  // Outcomes to acknowledge, by VM: those newer than the last snapshot, and
  // those that it contains, which are acknowledged once it is durable.
  std::map<std::string, std::vector<StopTask>> unacknowledged_;
  std::map<std::string, std::vector<StopTask>> acknowledged_by_snapshot_;

  WorkerHealth health_;
  InterferenceModel interference_;
  // Task sizes that fit on no VM in the current tick, nor do larger ones.
  std::vector<Resources> unplaceable_sizes_;
  // Tasks being evicted, mapped to the job that the room is made for.
  std::map<TaskId, std::string> preempting_;
  double eviction_tokens_ = 0;
  TimePoint eviction_tokens_at_{};

  // Starts of the current tick that are not sent yet, by VM and job.
  std::map<std::string, std::map<std::string, std::vector<StartTask>>> starts_;
  std::vector<AgentMessage> outbox_;
  std::vector<std::string> dropped_vms_;
  CellOwnerCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_CELL_OWNER_H_
