// The agent of one VM: last arbiter of its capacity and keeper of its leases.
//
// Pure, like the cell's owner: messages, the worker's answers and times go
// in; messages and commands for the worker come out.
//
//   auto agent = AgentCore::Create(options);
//   agent->OnWorkerList(tasks, sent_at, now);    // first of all
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
#include "beamhill/placement/yield_ladder.h"
#include "beamhill/work/work.h"

namespace beamhill {

// A task in the worker's list.
enum class WorkerTaskState : uint8_t {
  kRunning,
  kDone,
  kFailed,
  kEvicted,  // Stopped on request, or because its lease lapsed.
};

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
  kRenew,     // All tasks' leases, until `lease_end`.
  kCancel,    // Stop, without a checkpoint.
  kEvict,     // Checkpoint, then stop.
  kForget,    // Drop an ended task from the list.
  kThrottle,  // Let batch tasks run at `percent` of their speed.
};

struct WorkerCommand {
  WorkerCommandKind kind = WorkerCommandKind::kRenew;
  TaskId task;
  Attempt attempt;
  JobSpec job;             // For kStart.
  std::string checkpoint;  // For kStart: to resume from.
  TimePoint lease_end{};   // For kStart and kRenew, on the agent's clock.
  int percent = 100;       // For kThrottle.
};

enum class WorkerStartAnswer : uint8_t {
  kStarted,
  kRefused,  // Not started, and this attempt never will be.
  kUnknown,  // The answer was lost; the next list tells.
};

struct AgentCoreOptions {
  std::string vm;
  Resources capacity;
  uint64_t incarnation = 0;
  // A lease is cut short by this share, against clocks of other rates.
  int64_t clock_rate_error_permille = 2;
  Duration heartbeat_interval = std::chrono::seconds(1);
  // An owner that has granted nothing for so long is reported as lost.
  Duration owner_lost_after = std::chrono::seconds(3);
  // Tasks are checkpointed so long before their lease would lapse, and at
  // most a quarter of the granted term before it.
  Duration checkpoint_lead = std::chrono::seconds(15);
};

struct EntryMessage {
  std::string entry;
  Message message;
};

struct AgentCoreCounts {
  uint64_t starts = 0;
  uint64_t refused_capacity = 0;
  uint64_t refused_lease = 0;
  uint64_t stale_messages = 0;
  uint64_t lapsed = 0;
};

class AgentCore {
 public:
  static std::unique_ptr<AgentCore> Create(const AgentCoreOptions& options);

  // A new link to the entry; earlier ones are over.
  Session OnLinkUp(const std::string& entry);
  void OnLinkDown(const std::string& entry);

  // Returns without effect on messages that are not about tasks.
  void OnMessage(const std::string& entry, const Message& message,
                 TimePoint now);

  // The worker's whole list, asked for at `sent_at`. Until the first list an
  // inventory is not answered.
  void OnWorkerList(const std::vector<WorkerTask>& list, TimePoint sent_at);
  void OnStartAnswer(const TaskId& task, Attempt attempt,
                     WorkerStartAnswer answer, const std::string& reason,
                     TimePoint now);

  // The VM's service had this mean latency lately. The agent throttles at
  // once by itself; what that does not mend it asks the owner to evict for.
  void OnServiceLatency(Duration latency, Duration target, TimePoint now);
  // The VM's service has had no request lately.
  void OnServiceIdle(Duration target, TimePoint now);

  // Heartbeats, lost owners, the approach of the lease's end.
  void Tick(TimePoint now);

  std::vector<EntryMessage> TakeMessages();
  std::vector<WorkerCommand> TakeCommands();
  // The owner's link is up but silent for a whole lease: dial it anew.
  std::optional<std::string> TakeLinkToReset();

  uint64_t epoch() const { return epoch_; }
  // What the messages of the current owner must carry.
  Fence current_fence() const { return CurrentFence(); }
  const std::string& owner() const { return owner_; }
  TimePoint lease_end() const { return lease_end_; }
  Resources granted() const { return granted_; }
  size_t running() const { return tasks_.size(); }
  bool throttled() const { return ladder_.throttled(); }
  size_t unsettled() const { return outcomes_.size(); }
  const AgentCoreCounts& counts() const { return counts_; }

 private:
  enum class Phase : uint8_t { kStarting, kRunning };
  struct LocalTask {
    Attempt attempt;
    Phase phase = Phase::kStarting;
    JobSpec job;
    std::string checkpoint;
    Resources granted;
    // Every call for this attempt carries this end, so none takes effect
    // after it, however late it arrives.
    TimePoint start_lease_end{};
    bool call_open = false;
    bool call_lost = false;  // Some call's answer was lost.
    bool refused = false;
    bool stop_wanted = false;
    StopMode stop_mode = StopMode::kCancel;
    // When the worker confirmed the start; lists asked for earlier may not
    // show the task.
    TimePoint confirmed_at{};
  };

  explicit AgentCore(const AgentCoreOptions& options);

  bool IsCurrent(const std::string& entry, const Fence& fence);
  void OnInventoryRequest(const std::string& entry,
                          const InventoryRequest& request);
  void OnGrant(const std::string& entry, const Grant& grant, TimePoint now);
  void OnStartTasks(const std::string& entry, const StartTasks& starts,
                    TimePoint now);
  void OnStopTasks(const std::string& entry, const StopTasks& stops);
  void OnSettled(const std::string& entry, const AcknowledgeOutcomes& settled);
  void StartOne(const JobSpec& job, const StartTask& start, TimePoint now);
  void Refuse(const TaskId& task, Attempt attempt, const std::string& reason);
  void AnswerInventory();
  void End(const TaskId& task, TaskOutcome outcome);
  void ReconcileListed(const WorkerTask& listed);
  void CommandStart(const TaskId& task, LocalTask& local);
  void SettleUnlisted(const TaskId& task, LocalTask& local, TimePoint sent_at,
                      std::vector<TaskOutcome>* ended);
  void CommandStop(const TaskId& task, const LocalTask& local);
  void SendOutcomes();
  void SendToOwner(Message message);
  Fence CurrentFence() const;
  void CheckpointBeforeLapse(TimePoint now);
  void CommandThrottle();

  AgentCoreOptions options_;
  std::map<std::string, uint32_t> links_;  // Live links, by entry.
  uint32_t next_link_ = 1;

  uint64_t epoch_ = 0;
  bool epoch_confirmed_ = false;
  std::string owner_;
  TimePoint lease_end_{};
  Duration checkpoint_lead_{};
  TimePoint last_grant_{};
  TimePoint last_heartbeat_{};
  TimePoint first_tick_{};
  bool lapse_handled_ = false;

  YieldLadder ladder_;
  TimePoint last_throttle_{};
  bool listed_ = false;  // The worker's list has been seen.
  bool inventory_wanted_ = false;
  uint32_t inventory_number_ = 0;
  std::map<TaskId, LocalTask> tasks_;
  std::map<TaskId, TaskOutcome> outcomes_;
  std::vector<TaskOutcome> new_outcomes_;
  Resources granted_;

  std::vector<EntryMessage> outbox_;
  std::vector<WorkerCommand> commands_;
  std::optional<std::string> link_to_reset_;
  AgentCoreCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_AGENT_CORE_H_
