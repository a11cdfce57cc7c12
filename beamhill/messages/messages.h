// Messages between entries and agents.
//
// An agent connects to every entry of its region and sends a Hello. The link
// then carries both task control, between the agent and the entry that owns its
// cell, and callers' requests, from any entry.
//
//   link.Send(Encode(Welcome{"entry-1"}));
#ifndef BEAMHILL_MESSAGES_MESSAGES_H_
#define BEAMHILL_MESSAGES_MESSAGES_H_

#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/work/work.h"

namespace beamhill {

inline constexpr uint32_t kProtocolVersion = 1;

// Identifies one link of one incarnation of an agent process.
struct Session {
  uint64_t incarnation = 0;  // Random; chosen when the process starts.
  uint32_t link = 0;         // Number of the link in this incarnation.

  bool operator==(const Session& o) const {
    return incarnation == o.incarnation && link == o.link;
  }
};

// Part of every message between a cell's owner and an agent. Both sides drop
// messages with an old epoch or another session.
struct Fence {
  uint64_t epoch = 0;
  Session session;
};

// Agent to entry: the first message on each link.
struct Hello {
  uint32_t version = kProtocolVersion;
  std::string shared_key;
  std::string vm;
  std::string region;
  std::string hall;
  std::string rack;
  std::string cell;
  Session session;
  Resources capacity;        // Of the VM's worker; zero if it has none.
  std::string service;       // Served by the VM's runner; empty if it has none.
  uint32_t slots = 0;        // Concurrent requests of the runner.
  uint32_t connections = 0;  // Connections to the runner.
  Duration uptime{};         // Idempotency keys older than this are unknown.
};

// Entry to agent: accepts a Hello.
struct Welcome {
  std::string entry;
};

// Agent to owner of its cell, sent periodically. `stamp` is a time on the
// agent's clock, which only the agent interprets.
struct Heartbeat {
  Fence fence;
  TimePoint stamp{};
};

// Owner to agent, reply to Heartbeat: grants a lease for `term` from the echoed
// stamp.
struct Grant {
  Fence fence;
  TimePoint echoed_stamp{};
  Duration term{};
};

// Owner to agent: requests an Inventory. From then on the agent follows
// `fence.epoch`. `confirmed` means that the owner has confirmed its ownership
// after the agent's Hello; before that, an agent that has just started accepts
// no StartTasks, StopTasks or AcknowledgeOutcomes.
struct InventoryRequest {
  std::string cell;
  bool confirmed = false;
  uint32_t number =
      0;  // Sequence number of the owner's requests to this agent.
  Fence fence;
};

// Agent to owner: all tasks and unacknowledged outcomes of the agent, always
// complete.
struct Inventory {
  Fence fence;
  // Number of the InventoryRequest. The owner drops an inventory with an
  // earlier number, since it may predate starts that were sent later.
  uint32_t number = 0;
  std::vector<RunningTask> running;
  std::vector<TaskOutcome> outcomes;
};

struct StartTask {
  uint32_t index = 0;
  Attempt attempt;
  std::string checkpoint;  // To resume from; empty to start from scratch.
};

// Owner to agent: starts tasks of one job.
struct StartTasks {
  Fence fence;
  JobSpec job;
  std::vector<StartTask> tasks;
};

enum class StopMode : uint8_t {
  kCancel,  // Stop at once, without a checkpoint.
  kEvict,   // Checkpoint, then stop.
};

// Identifies one attempt of a task.
struct StopTask {
  TaskId task;
  Attempt attempt;
};

// Owner to agent: stops tasks.
struct StopTasks {
  Fence fence;
  StopMode mode = StopMode::kCancel;
  std::vector<StopTask> tasks;
};

// Agent to owner: attempts that have ended. Repeated in each Inventory until
// acknowledged.
struct Outcomes {
  Fence fence;
  std::vector<TaskOutcome> outcomes;
};

// Owner to agent: these outcomes are durable, so the agent may drop them.
struct AcknowledgeOutcomes {
  Fence fence;
  std::vector<StopTask> tasks;
};

// Agent to the entries that do not own its cell: the link to the owner of
// `epoch` is down, or the owner has not renewed the lease for too long.
struct OwnerLost {
  uint64_t epoch = 0;
};

// Agent to every entry, on change and periodically: load of the VM's runner.
struct RunnerReport {
  // Requests, including those queued by the agent.
  uint32_t in_progress = 0;
  // Concurrent requests that it accepts now; at most its slots.
  uint32_t limit = 0;
  // Requests that ended since the last report, and their mean latency.
  uint32_t ended = 0;
  Duration latency{};
  bool draining = false;
};

// HTTP header names and values.
using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Entry to agent: a caller's request to the runner. `deadline` is the time
// left.
struct RequestStart {
  uint64_t id = 0;
  std::string service;
  std::string method;
  std::string target;
  HeaderList headers;
  std::string idempotency_key;
  // Each key has two replicas, the agents that record it. False if the other
  // replica knew the key already; this agent may then reply with a cached
  // response, but must not execute the request.
  bool key_is_new = true;
  Duration deadline{};
  std::string body;
};

// Entry to agent: the caller no longer waits for the request.
struct RequestCancel {
  uint64_t id = 0;
};

// Agent to entry: status and headers of a response.
struct ResponseStart {
  uint64_t id = 0;
  uint32_t status = 0;
  HeaderList headers;
};

// Agent to entry: the next part of a response's body.
struct ResponseBytes {
  uint64_t id = 0;
  std::string bytes;
};

// Whether the runner executed a request, as reported to callers.
enum class RequestOutcome : uint8_t { kRan, kNotRun, kUnknown };

// Agent to entry: the last message about a request.
struct ResponseEnd {
  uint64_t id = 0;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  std::string reason;
};

// Entry to agent: the settings in force in the agent's hall. Agent to entry, in
// reply to Welcome: the settings that the agent received last.
struct ActiveSettings {
  uint64_t revision = 0;
  std::vector<std::pair<std::string, std::string>> values;
};

// Entry to agent: records a key whose request another runner is about to
// execute.
struct KeyClaim {
  uint64_t id = 0;  // ID of the request.
  std::string key;
};

// Agent to entry, reply to KeyClaim: whether the key was new to the agent.
struct KeyClaimed {
  uint64_t id = 0;
  bool is_new = false;
};

// Entry to agent: the request of a claimed key provably did not run, so the key
// counts as new again.
struct KeyRelease {
  std::string key;
};

// Agent to owner of its cell: throttling batch tasks has not brought the
// latency of the VM's service under its target; one of the tasks should be
// evicted.
struct BatchEvictionRequest {
  Fence fence;
};

// The index of an alternative is its number on the wire; add new ones at the
// end.
using Message =
    std::variant<Hello, Welcome, Heartbeat, Grant, InventoryRequest, Inventory,
                 StartTasks, StopTasks, Outcomes, AcknowledgeOutcomes,
                 OwnerLost, RunnerReport, RequestStart, RequestCancel,
                 ResponseStart, ResponseBytes, ResponseEnd, ActiveSettings,
                 BatchEvictionRequest, KeyClaim, KeyClaimed, KeyRelease>;

}  // namespace beamhill

#endif  // BEAMHILL_MESSAGES_MESSAGES_H_
