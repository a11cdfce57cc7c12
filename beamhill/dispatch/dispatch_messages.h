// The messages between the scheduler's processes on a platform that lends
// VMs with their own task runners.
//
// The owner (one scheduler process) dials each VM's executor and attaches;
// the other schedulers dial the owner. Both kinds of link carry this one set.
#ifndef BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_
#define BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/time.h"
#include "beamhill/dispatch/pacing_messages.h"
#include "beamhill/halls/evacuations.h"
#include "beamhill/workflow/workflow.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {

// Owner to executor, first on a link: obey this epoch from now on and answer
// with the whole inventory.
struct Attach {
  std::string owner;
  uint64_t epoch = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.owner, s.epoch);
  }
};

// Owner to executor, in answer to a heartbeat: what runs may run on for
// `term` from the echoed stamp.
struct RenewLease {
  uint64_t epoch = 0;
  TimePoint echoed_stamp{};
  Duration term{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.echoed_stamp, s.term);
  }
};

struct StartRun {
  uint32_t index = 0;
  uint64_t run = 0;
  std::string checkpoint;
  std::string ticket;  // Of the placement advisor; empty: none is needed.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.index, s.run, s.checkpoint, s.ticket);
  }
};

// Owner to executor: start these tasks of one step.
struct StartRuns {
  uint64_t epoch = 0;
  std::string
      incarnation;  // Of the runner that is meant; another one ignores it.
  std::string workflow;
  uint32_t round = 0;
  uint32_t step = 0;
  std::string payload;
  TaskTraits traits;
  std::vector<StartRun> runs;
  // By the executor's clock: an order that comes later was held up on its way,
  // and the owner may know by now that the VM must not run it.
  TimePoint latest_start = TimePoint::max();
  // The owner does not know yet that any task of the workflow has begun, and is
  // to hear of the first that does.
  bool report_begin = false;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.workflow, s.round, s.step,
                    s.payload, s.traits, s.runs, s.latest_start,
                    s.report_begin);
  }
};

// Users allow so long from the cancellation of a workflow until nothing of it
// runs.
inline constexpr Duration kCancelLimit = std::chrono::seconds(3);

// Owner to executor: stop these runs, or make sure that they never begin.
struct StopRuns {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunRef> runs;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.runs);
  }
};

// Owner to executor: ends up to this number are durable.
struct EndsAcknowledged {
  uint64_t epoch = 0;
  std::string incarnation;
  uint64_t through = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.through);
  }
};

// Executor to owner, twice a second. `epoch` is the highest that it obeys.
struct VmHeartbeat {
  uint64_t epoch = 0;
  TimePoint stamp{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.stamp);
  }
};

// What the runner on a VM says of itself. Executor to owner, on each change.
struct VmStatus {
  std::string incarnation;  // Names this run of the runner; empty: none is up.
  std::string service;
  std::string hall;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  Duration remaining{};  // While draining: the least time that is left.
  Duration cold{};       // How much longer it is slow after its start.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.incarnation, s.service, s.hall, s.rack, s.labels,
                    s.capacity, s.draining, s.remaining, s.cold);
  }
};

// One end as the runner lists it. Numbers rise within an incarnation.
struct RunEnd {
  uint64_t number = 0;
  RunRef run;
  RunEndKind kind = RunEndKind::kDone;
  std::string checkpoint;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.number, s.run, s.kind, s.checkpoint);
  }
};

// For so long after its start a run may be what takes its runner down; most of
// it is for starts that are slow to take effect.
inline constexpr Duration kCrashWindow = std::chrono::seconds(1);

// A incarnation of a runner that is over, as its executor last saw it.
struct PastIncarnation {
  std::string incarnation;
  bool announced = false;     // It had said that it leaves.
  std::vector<RunEnd> ended;  // Listed and not settled.
  // What had begun within kCrashWindow of its last sign of life.
  std::vector<RunRef> just_begun;
  std::vector<RunRef> others;  // What else was last seen to run there.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.incarnation, s.announced, s.ended, s.just_begun,
                    s.others);
  }
};

// Executor to owner: everything on the VM, asked of the runner under `epoch`.
struct VmInventory {
  uint64_t epoch = 0;
  VmStatus status;
  std::vector<RunRef> running;
  std::vector<RunRef> pending;  // Ordered under this epoch, not settled yet.
  std::vector<RunEnd> ended;
  // Those that ended of late, the newest last, whoever was told of them.
  std::vector<PastIncarnation> past_incarnations;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.status, s.running, s.pending, s.ended,
                    s.past_incarnations);
  }
};

enum class NotBegunReason : uint8_t {
  kStopped,      // A stop made sure that it never begins.
  kNoRoom,       // The runner holds too much already.
  kFenced,       // The runner has seen a later epoch.
  kOutdated,     // The run or its lease end is too old.
  kNotAllowed,   // The VM may not run the step.
  kUnhealthy,    // The runner turned it away, or another incarnation answers.
  kUnreachable,  // Nobody answers where the runner was.
};
std::string_view NotBegunReasonName(NotBegunReason reason);

struct RunNotBegun {
  RunRef run;
  NotBegunReason reason = NotBegunReason::kStopped;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.run, s.reason);
  }
};

// Executor to owner, as it happens. Ends are repeated until settled.
struct RunReports {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunEnd> ended;
  std::vector<RunNotBegun> not_begun;
  // Of workflows whose owner wants to hear it, the first on this VM.
  std::vector<RunRef> begun;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.ended, s.not_begun, s.begun);
  }
};

// Scheduler to owner, first on a link and then as a heartbeat; and back.
struct SchedulerHeartbeat {
  std::string name;
  std::string address;  // Where the sender is dialed.
  uint64_t incarnation = 0;
  uint64_t epoch = 0;              // Of its own ownership; 0: it owns nothing.
  uint64_t known_epoch = 0;        // Of the latest owner that it knows.
  Duration store_silence{};        // Since the store last answered the sender.
  double host_capacity = 1;        // Of its VM, see HostStrength.
  uint64_t settings_version = 0;   // Of the newest service settings it knows.
  std::vector<std::string> peers;  // Owner: addresses of some that follow it.
  Evacuations evacuations;         // The newest that the sender knows.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.name, s.address, s.incarnation, s.epoch, s.known_epoch,
                    s.store_silence, s.host_capacity, s.settings_version,
                    s.peers, s.evacuations);
  }
};

// To a peer with older service settings: the newest document, unread.
struct ServiceSettingsCopy {
  uint64_t version = 0;
  std::string document;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.version, s.document);
  }
};

// Scheduler to owner: this workflow is stored.
struct WorkflowStored {
  Workflow workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Scheduler to owner: the cancellation of this workflow is stored.
struct CancelStored {
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Owner to scheduler: it knows of the workflow, or of its cancellation.
struct NoticeAcknowledged {
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Scheduler to owner: the state of a workflow, or a queue's waiting count.
struct Question {
  uint64_t id = 0;
  std::string workflow;  // Empty: the question is about `queue`.
  std::string queue;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow, s.queue);
  }
};

struct Answer {
  uint64_t id = 0;
  bool known = false;  // Whether the owner knows the workflow.
  WorkflowState state = WorkflowState::kQueued;
  uint64_t waiting = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.known, s.state, s.waiting);
  }
};

// Owner to scheduler: it has stopped acting under `epoch`; take over now.
struct HandOver {
  uint64_t epoch = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch);
  }
};

// The row that says who owns the deployment's work.
struct OwnerRecord {
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // Rises with each write, so that the row changes.
  std::string owner;
  uint64_t incarnation = 0;
  std::string address;    // Where its peers dial it.
  bool released = false;  // The owner has stopped acting.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.sequence, s.owner, s.incarnation, s.address,
                    s.released);
  }
};

// New owner to the schedulers it knows of: follow me. For those that can't
// read the owner's row themselves.
struct OwnerAnnounced {
  OwnerRecord record;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.record);
  }
};

// Scheduler to owner: store this for me, the table does not answer here.
struct RelayedSubmit {
  uint64_t id = 0;
  Workflow workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow);
  }
};

struct RelayedCancel {
  uint64_t id = 0;
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow);
  }
};

// What became of a relayed call, as the number of its result.
struct RelayedResult {
  uint64_t id = 0;
  uint8_t result = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.result);
  }
};

using DispatchMessage =
    std::variant<Attach, RenewLease, StartRuns, StopRuns, EndsAcknowledged,
                 VmHeartbeat, VmStatus, VmInventory, RunReports,
                 SchedulerHeartbeat, ServiceSettingsCopy, WorkflowStored,
                 CancelStored, NoticeAcknowledged, Question, Answer, HandOver,
                 RunTraitsList, VmInterference, InterferenceWeights,
                 OwnerAnnounced, RelayedSubmit, RelayedCancel, RelayedResult,
                 PacePolicyNotice>;

// The row by which a VM's executor makes itself known.
struct VmRecord {
  std::string vm;
  std::string address;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.vm, s.address);
  }
};

std::string EncodeDispatch(const DispatchMessage& message);
Result<DispatchMessage> DecodeDispatch(std::string_view bytes);

// The stored records. Decoding fails on bytes of another shape.
std::string EncodeRecord(const Workflow& record);
std::string EncodeRecord(const ProgressRecord& record);
std::string EncodeRecord(const OwnerRecord& record);
std::string EncodeRecord(const VmRecord& record);
std::string EncodeRecord(const InterferenceRecord& record);
template <typename Record>
Result<Record> DecodeRecord(std::string_view bytes);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_
