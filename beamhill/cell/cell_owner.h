// The owner of one cell: the only process that may start the cell's tasks.
//
// Pure: it reads no clock and does no I/O. The process that embeds it passes
// in messages and times and carries out what it asks for.
//
// Why a task runs in one place only:
//  - At most one epoch is current for a cell; it is taken by a conditional
//    write of the cell's row and only grows (see ownership.h).
//  - A VM's agent that has seen an epoch refuses all earlier ones. A new owner
//    touches no task that may be on a VM until that VM has answered with its
//    whole inventory, or can no longer run it: the platform listed the VM and
//    then dropped it, or every lease that any earlier owner could have granted
//    has run out, and the cell is confirmed to be still this owner's since.
//  - The VMs and task indexes that may be in use are durable beforehand
//    (roster and window of the snapshot).
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

// What a placement decision sees of one VM.
struct VmView {
  std::string vm;
  std::string rack;
  Resources capacity;
  Resources granted;
  ClassLoads loads;     // Of batch tasks, by class.
  double pressure = 1;  // See VmLoad.
};

// Chooses one of `vms` for a task of `job`, or none. Every VM offered holds
// the task.
using PlacementHook = std::function<std::optional<size_t>(
    const JobSpec& job, const std::vector<const VmView*>& vms)>;

// The VM whose remaining capacity is the tightest fit.
std::optional<size_t> PlaceBestFit(const JobSpec& job,
                                   const std::vector<const VmView*>& vms);

struct CellOwnerOptions {
  std::string cell;
  // An agent's lease, from the stamp of its heartbeat.
  Duration agent_term = std::chrono::minutes(2);
  // How long a confirmed ownership lasts: the store outage that is tolerated.
  Duration ownership_term = std::chrono::minutes(20);
  // Bound on how much faster one VM's clock may run than another's, in parts
  // per thousand. Waits are lengthened by it.
  int64_t clock_rate_error_permille = 2;
  // Least time between two snapshots.
  Duration snapshot_interval = std::chrono::seconds(15);
  PlacementHook place = PlaceBestFit;
  // When both are set, batch tasks are placed by what the cell has learned of
  // interference, and `place` decides only while it has learned too little.
  std::function<PolicyWeights()> weights;
  std::function<Duration()> latency_target;
  // The largest share of the cell that a team may hold.
  FairOrder::Quota quota = [](const std::string&) { return 1.0; };
  // Evictions that may be ordered in an hour.
  std::function<int64_t()> evictions_per_hour = [] { return int64_t{60}; };
};

// How the cell was taken.
struct Ownership {
  uint64_t epoch = 1;
  // When the confirming write or read was sent, on this process's clock.
  TimePoint confirmed_at{};
  // When the answer to the taking write came.
  TimePoint taken_at{};
  // Whether an earlier owner exists, and whether it gave the cell up itself.
  bool inherited = false;
  bool released = false;
};

struct AgentMessage {
  std::string vm;
  Message message;
};

struct CellOwnerCounts {
  uint64_t starts = 0;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t evicted = 0;
  uint64_t refused = 0;
  uint64_t lost = 0;  // With their workers.
  uint64_t requeued_vms = 0;
  uint64_t evictions_ordered = 0;
  uint64_t stale_messages = 0;
};

class CellOwner {
 public:
  static std::unique_ptr<CellOwner> Create(const CellOwnerOptions& options,
                                           const Ownership& ownership,
                                           const CellSnapshot& snapshot,
                                           const std::vector<RangeRow>& ranges);

  // The cell's row was read and is still ours; the read was sent then.
  void OnOwnershipConfirmed(TimePoint sent_at);
  // Another owner has the cell. Nothing is sent from now on.
  void OnOwnershipLost();
  // Whether messages may still be sent to agents.
  bool MayAct(TimePoint now) const;
  // Whether a confirming read is wanted: an agent waits for one, or a quarter
  // of the term is over.
  bool WantsConfirmation(TimePoint now) const;

  // A range row that was read from the table, new or changed.
  void OnRange(const RangeRow& row);

  void OnHello(const Hello& hello, TimePoint now);
  void OnLinkDown(const std::string& vm, const Session& session);
  void OnHeartbeat(const std::string& vm, const Heartbeat& heartbeat,
                   TimePoint now);
  void OnInventory(const std::string& vm, const Inventory& inventory,
                   TimePoint now);
  void OnOutcomes(const std::string& vm, const Outcomes& outcomes,
                  TimePoint now);
  // What the VM's runner reports of its service.
  void OnRunnerReport(const std::string& vm, const RunnerReport& report);
  // The VM's agent finds that throttling is not enough.
  void OnYieldWanted(const std::string& vm, const BatchEvictionRequest& wanted,
                     TimePoint now);
  // The platform's list shows the VM, as leaving or not. It gets no new tasks
  // while it is leaving.
  void OnVmLeaving(const std::string& vm, bool leaving);
  // The platform's list showed the VM and has since dropped it. Believed at
  // once unless the VM's agent is still heard.
  void OnVmGone(const std::string& vm, TimePoint now);

  // Expires leases and starts tasks.
  void Tick(TimePoint now);

  // Asks a VM to checkpoint and stop the task, which then waits for another.
  void Evict(const TaskId& task);

  std::vector<AgentMessage> TakeMessages();
  // VMs that were given up while their links were up. Their links are to be
  // closed; an agent that still lives says Hello anew.
  std::vector<std::string> TakeDroppedVms();

  // A snapshot to write now, if one is due. At most one is out at a time.
  std::optional<CellSnapshot> TakeSnapshot(TimePoint now);
  // The snapshot taken last is durable (the write was sent at `sent_at`), or
  // its write failed and it will be taken anew.
  void OnSnapshotDurable(TimePoint sent_at);
  void OnSnapshotFailed();

  // Jobs whose range here is over. Once their results are durable in the
  // table they are forgotten with ForgetRange, and what agents still hold of
  // them is settled.
  std::vector<std::string> FinishedJobs() const;
  void ForgetRange(const std::string& job);

  const CellOwnerOptions& options() const { return options_; }
  uint64_t epoch() const { return ownership_.epoch; }
  const CellOwnerCounts& counts() const { return counts_; }
  const std::map<std::string, RangeLedger>& ranges() const { return ranges_; }
  // VMs of the inherited roster that still block unknown tasks.
  const std::set<std::string>& unaccounted() const { return unaccounted_; }
  std::vector<VmView> Vms() const;
  const WorkerHealth& health() const { return health_; }
  // Jobs that no VM of the cell could ever hold a task of.
  std::vector<std::string> ImpossibleJobs() const;

 private:
  struct HeldTask {
    Resources amount;
    TimePoint since{};
    bool stopping = false;
  };
  struct Agent {
    VmView view;
    Session session;
    bool linked = false;
    uint32_t requested = 0;  // Number of the last inventory request.
    bool asked = false;      // For its inventory, in this session.
    bool answered = false;   // Inventory received in this session.
    bool confirmed = false;  // Asked after a confirmation past its Hello.
    bool in_durable_roster = false;
    uint64_t known_incarnation = 0;  // Has obeyed this epoch before.
    bool listed_gone = false;
    bool leaving = false;
    TimePoint hello_at{};
    TimePoint last_heard{};
    TimePoint lease_bound{};
    std::map<TaskId, HeldTask> held;  // Sums up to view.granted.
  };

  CellOwner(const CellOwnerOptions& options, const Ownership& ownership);

  Duration Lengthened(Duration d) const;
  TimePoint InheritedBound() const;
  Fence FenceFor(const Agent& agent) const;
  Agent* Current(const std::string& vm, const Fence& fence);
  void Send(const Agent& agent, Message message);
  void RequestInventory(Agent& agent);
  void RequestPendingInventories();
  void Account(const std::string& vm);
  void ForgetVm(const std::string& vm);
  void ApplyOutcome(Agent& agent, const TaskOutcome& outcome, TimePoint now,
                    std::vector<StopTask>* settle_now);
  void NoteHealth(const Agent& agent, const TaskOutcome& outcome,
                  TimePoint now);
  void SendSettled(Agent& agent, std::vector<StopTask> tasks);
  void Hold(Agent& agent, const TaskId& task, const Resources& amount,
            TimePoint since);
  void AddLoad(Agent& agent, const TaskId& task, const Resources& amount,
               int sign);
  void Release(Agent& agent, const TaskId& task);
  bool IsExpired(const Agent& agent, TimePoint now) const;
  // Whether leases that end at the bound have run out for certain: a
  // successor may have renewed them, unless the cell was still this owner's
  // at a read that was sent after the bound.
  bool IsPast(TimePoint bound, TimePoint now) const;
  // Whether a silent agent's leases have run out but for that read.
  bool WaitsToExpire(TimePoint now) const;
  void ExpireAgents(TimePoint now);
  // In cell_scheduling.cc.
  struct Waiting;
  void StartTasksNow(TimePoint now);
  void StartByTeam(Urgency urgency, FairOrder& order, int& budget,
                   TimePoint now);
  bool StartOne(RangeLedger& ledger, TimePoint now);
  std::vector<const VmView*> Candidates(const Resources& each,
                                        TimePoint now) const;
  Resources Capacity() const;
  void MakeRoom(const JobSpec& job, size_t wanted, TimePoint now);
  std::optional<size_t> Place(const JobSpec& job,
                              const std::vector<const VmView*>& vms) const;
  std::vector<TaskId> CheapestVictims(const Agent& agent,
                                      const Resources& each) const;
  bool TakeEviction(TimePoint now);
  void FlushStarts();
  void Stop(const std::string& vm, const TaskId& task, Attempt attempt,
            StopMode mode);
  void CancelRunning(RangeLedger& ledger);

  CellOwnerOptions options_;
  Ownership ownership_;
  bool lost_ = false;
  uint64_t next_sequence_ = 1;

  std::map<std::string, Agent> agents_;
  std::set<std::string> unaccounted_;
  std::map<std::string, RangeLedger> ranges_;

  bool dirty_ = false;
  bool snapshot_out_ = false;
  std::optional<TimePoint> last_snapshot_;
  CellSnapshot snapshot_in_flight_;
  // Outcomes that wait for a snapshot to be taken, and for the one in flight.
  std::map<std::string, std::vector<StopTask>> unsettled_;
  std::map<std::string, std::vector<StopTask>> settling_;

  WorkerHealth health_;
  InterferenceModel interference_;
  // Sizes that found no VM in the current tick; a larger one won't either.
  std::vector<Resources> unplaceable_;
  // Tasks that were told to make room, by the job that it is for.
  std::map<TaskId, std::string> making_room_;
  double eviction_tokens_ = 0;
  TimePoint eviction_tokens_at_{};

  // Starts of the current tick, by VM and job.
  std::map<std::string, std::map<std::string, std::vector<StartTask>>> starts_;
  std::vector<AgentMessage> outbox_;
  std::vector<std::string> dropped_;
  CellOwnerCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_CELL_OWNER_H_
