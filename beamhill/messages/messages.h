// The typed messages between entries and agents.
//
// An agent dials every entry of its region and says Hello. After that the
// link carries task control (between the agent and the one entry that owns
// its cell) and callers' requests (from any entry) side by side.
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

// One connection of one run of an agent process.
struct Session {
  uint64_t incarnation = 0;  // Random, chosen when the process starts.
  uint32_t link = 0;         // Counts the links of the incarnation.

  bool operator==(const Session& o) const {
    return incarnation == o.incarnation && link == o.link;
  }
};

// Stands in every message of a cell's owner to an agent, and back. Either
// side drops what carries an old epoch or another session.
struct Fence {
  uint64_t epoch = 0;
  Session session;
};

// Agent to entry, first on each link.
struct Hello {
  uint32_t version = kProtocolVersion;
  std::string shared_key;
  std::string vm;
  std::string region;
  std::string hall;
  std::string rack;
  std::string cell;
  Session session;
  Resources capacity;   // What the VM's worker may grant; zero for none.
  std::string service;  // What its runner serves; empty for none.
  uint32_t slots = 0;
  uint32_t connections = 0;
  Duration uptime{};  // How far back the agent's memory of keys reaches.
};

// Entry to agent, in answer to a Hello that it accepts.
struct Welcome {
  std::string entry;
};

// Agent to the owner of its cell, every few seconds. `stamp` is the agent's
// own clock and only the agent reads it again.
struct Heartbeat {
  Fence fence;
  TimePoint stamp{};
};

// Owner's answer: the lease runs for `term` from the echoed stamp.
struct Grant {
  Fence fence;
  TimePoint echoed_stamp{};
  Duration term{};
};

// Owner to agent: whoever sees it obeys `fence.epoch` from now on.
// `confirmed` says that the owner has confirmed its ownership later than the
// agent's Hello; an agent that has just started takes no starts, stops or
// settlements before it.
struct InventoryRequest {
  std::string cell;
  bool confirmed = false;
  uint32_t number = 0;  // Counts the owner's requests to this agent.
  Fence fence;
};

// Everything that the agent holds, never a part of it.
struct Inventory {
  Fence fence;
  // Of the request it answers. An answer to an earlier request may be older
  // than starts that were sent since, so the owner drops it.
  uint32_t number = 0;
  std::vector<RunningTask> running;
  std::vector<TaskOutcome> outcomes;
};

struct StartTask {
  uint32_t index = 0;
  Attempt attempt;
  std::string checkpoint;  // To resume from; empty to begin anew.
};

// Starts of tasks of one job.
struct StartTasks {
  Fence fence;
  JobSpec job;
  std::vector<StartTask> tasks;
};

enum class StopMode : uint8_t {
  kCancel,  // Stop at once; progress is dropped.
  kEvict,   // Checkpoint, then stop.
};

struct StopTask {
  TaskId task;
  Attempt attempt;
};

struct StopTasks {
  Fence fence;
  StopMode mode = StopMode::kCancel;
  std::vector<StopTask> tasks;
};

// Ends of attempts, repeated in each Inventory until they are settled.
struct Outcomes {
  Fence fence;
  std::vector<TaskOutcome> outcomes;
};

// Owner to agent: these outcomes are durable and may be forgotten.
struct AcknowledgeOutcomes {
  Fence fence;
  std::vector<StopTask> tasks;
};

// Agent to the entries that do not own its cell: the owner of `epoch` has
// not been heard of for too long.
struct OwnerLost {
  uint64_t epoch = 0;
};

// Agent to every entry, on change and at a slow beat: what its runner does.
struct RunnerReport {
  uint32_t in_progress = 0;
  uint32_t limit = 0;  // Concurrent requests it takes now; at most its slots.
  // Requests ended since the last report, and their mean latency.
  uint32_t ended = 0;
  Duration latency{};
  bool draining = false;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// A caller's request. `deadline` is what is left of it.
struct RequestStart {
  uint64_t id = 0;
  std::string service;
  std::string method;
  std::string target;
  HeaderList headers;
  std::string idempotency_key;
  // Whether the key's other keeper had not seen it. If not, the agent may
  // answer from memory but must not run it.
  bool key_is_new = true;
  Duration deadline{};
  std::string body;
};

struct RequestCancel {
  uint64_t id = 0;
};

struct ResponseStart {
  uint64_t id = 0;
  uint32_t status = 0;
  HeaderList headers;
};

struct ResponseBytes {
  uint64_t id = 0;
  std::string bytes;
};

// What became of a request, in the words that callers see.
enum class RequestOutcome : uint8_t { kRan, kNotRun, kUnknown };

struct ResponseEnd {
  uint64_t id = 0;
  RequestOutcome outcome = RequestOutcome::kUnknown;
  std::string reason;
};

// Entry to agent: the settings in force in the agent's hall. Agent to entry,
// when it is welcomed: the same, as the agent last heard.
struct ActiveSettings {
  uint64_t revision = 0;
  std::vector<std::pair<std::string, std::string>> values;
};

// Entry to an agent: remember this key, which is about to be run elsewhere.
struct KeyClaim {
  uint64_t id = 0;  // Of the request.
  std::string key;
};

// The answer: whether the agent saw the key for the first time.
struct KeyClaimed {
  uint64_t id = 0;
  bool is_new = false;
};

// Entry to an agent: the request of a claim provably did not run.
struct KeyRelease {
  std::string key;
};

// Agent to the owner of its cell: throttling the VM's batch tasks has not
// brought its service under the target; one of them should go.
struct BatchEvictionRequest {
  Fence fence;
};

using Message =
    std::variant<Hello, Welcome, Heartbeat, Grant, InventoryRequest, Inventory,
                 StartTasks, StopTasks, Outcomes, AcknowledgeOutcomes, OwnerLost,
                 RunnerReport, RequestStart, RequestCancel, ResponseStart,
                 ResponseBytes, ResponseEnd, ActiveSettings, BatchEvictionRequest,
                 KeyClaim, KeyClaimed, KeyRelease>;

}  // namespace beamhill

#endif  // BEAMHILL_MESSAGES_MESSAGES_H_
