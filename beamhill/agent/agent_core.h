// Task control of one VM's agent: checks every order of the cell's owner
// against the VM's capacity, lease, epoch and session before it reaches the
// worker.
//
// Performs no I/O and reads no clock: its inputs are messages, replies of the
// worker and times; its outputs are messages to entries and commands to the
// worker.
//
//   auto agent = AgentCore::Create(options);
//   agent->OnWorkerList(tasks, sent_at);  // Before anything else.
//   const Session session = agent->OnLinkUp("entry-1");
//   agent->OnMessage("entry-1", message, now);
//   for (auto& m : agent->TakeMessages()) Send(m.entry, m.message);
//   for (auto& c : agent->TakeCommands()) Worker(c);
#ifndef BEAMHILL_AGENT_AGENT_CORE_H_
#define BEAMHILL_AGENT_AGENT_CORE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/messages/messages.h"
#include "beamhill/placement/throttle_controller.h"
#include "beamhill/work/work.h"

namespace beamhill {

// State of a task in the worker's list.
enum class WorkerTaskState : uint8_t {
  kRunning,
  kDone,
  kFailed,
  kEvicted,  // Stopped on request, or because its lease expired.
};

// A task in the worker's list.
struct WorkerTask {
  TaskId task;
  Attempt attempt;
  WorkerTaskState state = WorkerTaskState::kRunning;
  Resources granted;
  std::string checkpoint;
  std::string reason;
};

enum class WorkerCommandKind : uint8_t {
  kStart,
  kRenew,     // Extend the leases of all tasks until `lease_end`.
  kCancel,    // Stop without a checkpoint.
  kEvict,     // Checkpoint, then stop.
  kForget,    // Remove an ended task from the list.
  kThrottle,  // Run batch tasks at `percent` of their full speed.
};

struct WorkerCommand {
  WorkerCommandKind kind = WorkerCommandKind::kRenew;
  TaskId task;
  Attempt attempt;
  JobSpec job;             // For kStart.
  std::string checkpoint;  // For kStart: to resume from; may be empty.
  TimePoint lease_end{};   // For kStart and kRenew, on the agent's clock.
  int percent = 100;       // For kThrottle.
};

enum class WorkerStartAnswer : uint8_t {
  kStarted,
  kRefused,  // Not started; this call will not start the attempt later either.
  kUnknown,  // The reply was lost; the next list shows whether it started.
};

struct AgentCoreOptions {
  std::string vm;
  Resources capacity;
  uint64_t incarnation = 0;
  // Leases are shortened by this fraction, in case the agent's clock runs
  // slower than the owner's.
  int64_t clock_rate_error_permille = 2;
  Duration heartbeat_interval = std::chrono::seconds(1);
  // An owner that has granted no lease for this long is reported as lost.
  Duration owner_lost_after = std::chrono::seconds(3);
  // Tasks are checkpointed this long before their lease expires, but at most a
  // quarter of the granted term before it.
  Duration checkpoint_lead = std::chrono::seconds(15);
};

// A message to the named entry.
struct EntryMessage {
  std::string entry;
  Message message;
};

// Totals since the start of the process.
struct AgentCoreCounts {
  uint64_t starts = 0;
  uint64_t refused_capacity = 0;
  uint64_t refused_lease = 0;
  uint64_t stale_messages = 0;         // Of another epoch, session or owner.
  uint64_t evicted_before_expiry = 0;  // Tasks whose lease was not renewed.
};

// Tracks the tasks of one VM under the lease of its cell's owner. Not
// thread-safe.
class AgentCore {
 public:
  static std::unique_ptr<AgentCore> Create(const AgentCoreOptions& options);

  // Records a new link to the entry, which replaces any earlier one. Returns
  // the session to announce on it.
  Session OnLinkUp(const std::string& entry);
  void OnLinkDown(const std::string& entry);

  // Handles task control messages and ignores all others.
  void OnMessage(const std::string& entry, const Message& message,
                 TimePoint now);

  // Reconciles the tasks with the worker's complete list, requested at
  // `sent_at`. Inventory requests are answered only after the first list.
  void OnWorkerList(const std::vector<WorkerTask>& list, TimePoint sent_at);
  void OnStartAnswer(const TaskId& task, Attempt attempt,
                     WorkerStartAnswer answer, const std::string& reason,
                     TimePoint now);

  // Takes a sample of the mean latency of the VM's service. Above the target,
  // batch tasks are throttled at once; if that does not suffice, the owner is
  // asked to evict one.
  void OnServiceLatency(Duration latency, Duration target, TimePoint now);
  // Reports that the VM's service had no requests since the last sample.
  void OnServiceIdle(Duration target, TimePoint now);

  // Sends heartbeats, detects a lost owner, and checkpoints tasks before their
  // lease expires.
  void Tick(TimePoint now);

  std::vector<EntryMessage> TakeMessages();
  std::vector<WorkerCommand> TakeCommands();
  // Returns the owner's name if its link is up but brought no grant for a whole
  // lease, so that the caller closes the link and dials again.
  std::optional<std::string> TakeLinkToReset();

  uint64_t epoch() const { return epoch_; }
  // Returns the fence that messages of the current owner must carry.
  Fence current_fence() const { return CurrentFence(); }
  const std::string& owner() const { return owner_; }
  TimePoint lease_end() const { return lease_end_; }
  Resources granted() const { return granted_; }
  size_t running() const { return tasks_.size(); }
  bool throttled() const { return throttle_policy_.throttled(); }
  // Number of outcomes that the owner has not acknowledged.
  size_t unacknowledged() const { return outcomes_.size(); }
  const AgentCoreCounts& counts() const { return counts_; }

 private:
  enum class Phase : uint8_t { kStarting, kRunning };
  struct LocalTask {
    Attempt attempt;
    Phase phase = Phase::kStarting;
    JobSpec job;
    std::string checkpoint;
    Resources granted;
    // Every start call of this attempt carries this lease end, so that a
    // delayed call has no effect after it.
    TimePoint start_lease_end{};
    bool start_call_pending = false;
    bool start_reply_lost = false;  // For at least one start call.
    bool start_refused = false;
    bool stop_requested = false;
    StopMode stop_mode = StopMode::kCancel;
    // When the worker confirmed the start; lists requested earlier may not
    // contain the task.
    TimePoint confirmed_at{};
  };

  explicit AgentCore(const AgentCoreOptions& options);

  // Returns whether a message with this fence comes from the current owner, on
  // its current link and in the current epoch. Counts those that do not.
  bool IsCurrent(const std::string& entry, const Fence& fence);
  void OnInventoryRequest(const std::string& entry,
                          const InventoryRequest& request);
  void OnGrant(const std::string& entry, const Grant& grant, TimePoint now);
  void OnStartTasks(const std::string& entry, const StartTasks& starts,
                    TimePoint now);
  void OnStopTasks(const std::string& entry, const StopTasks& stops);
  void OnAcknowledgeOutcomes(const std::string& entry,
                             const AcknowledgeOutcomes& ack);
  void StartOne(const JobSpec& job, const StartTask& start, TimePoint now);
  // Reports a refusal once, without keeping it: nothing ran, and an owner that
  // misses the report finds the task missing from the next inventory.
  void Refuse(const TaskId& task, Attempt attempt, const std::string& reason);
  void AnswerInventory();
  // Removes the task and keeps its outcome until the owner acknowledges it; a
  // refusal is only reported.
  void RecordOutcome(const TaskId& task, TaskOutcome outcome);
  void ReconcileListed(const WorkerTask& listed);
  void EnqueueStart(const TaskId& task, LocalTask& local);
  // Handles a task that is missing from the worker's list requested at
  // `sent_at`: repeats its start or appends its outcome to `ended`.
  void ReconcileUnlisted(const TaskId& task, LocalTask& local,
                         TimePoint sent_at, std::vector<TaskOutcome>* ended);
  void EnqueueStop(const TaskId& task, const LocalTask& local);
  void SendOutcomes();
  void SendToOwner(Message message);
  Fence CurrentFence() const;
  void EvictBeforeLeaseExpiry(TimePoint now);
  void EnqueueThrottle();

  AgentCoreOptions options_;
  std::map<std::string, uint32_t> links_;  // Open links, by entry.
  uint32_t next_link_ = 1;

  uint64_t epoch_ = 0;
  // The owner has confirmed that it owns the cell in `epoch_`.
  bool epoch_confirmed_ = false;
  std::string owner_;
  TimePoint lease_end_{};
  Duration effective_checkpoint_lead_{};
  TimePoint last_grant_at_{};
  TimePoint last_heartbeat_at_{};
  TimePoint first_tick_at_{};
  bool expiry_handled_ = false;

  ThrottleController throttle_policy_;
  TimePoint last_throttle_at_{};
  bool worker_list_received_ = false;
  bool inventory_pending_ = false;
  uint32_t inventory_number_ = 0;
  std::map<TaskId, LocalTask> tasks_;
  std::map<TaskId, TaskOutcome> outcomes_;  // Not acknowledged yet.
  std::vector<TaskOutcome> new_outcomes_;   // Not sent yet.
  Resources granted_;

  std::vector<EntryMessage> outbox_;
  std::vector<WorkerCommand> commands_;
  std::optional<std::string> link_to_reset_;
  AgentCoreCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_AGENT_CORE_H_
