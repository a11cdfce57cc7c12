// Messages between schedulers and executors, on a platform whose VMs come with
// their own task runners, and the records that schedulers store.
//
// The owner, one of the schedulers, connects to the executor of each VM and
// attaches to it; the other schedulers connect to the owner. Links of both
// kinds carry the same set of messages.
//
//   link.Send(EncodeDispatch(Attach{"scheduler-1", /*epoch=*/3}));
//   Result<DispatchMessage> message = DecodeDispatch(bytes);
#ifndef BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_
#define BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_

#include <chrono>
#include <cstddef>
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

// Owner to executor, first message on a link: reject lower epochs from now on
// and reply with a VmInventory.
struct Attach {
  std::string owner;
  uint64_t epoch = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.owner, s.epoch);
  }
};

// Owner to executor, in reply to a VmHeartbeat: the VM may keep running its
// tasks until `echoed_stamp` + `term`.
struct RenewLease {
  uint64_t epoch = 0;
  TimePoint echoed_stamp{};  // `stamp` of the heartbeat.
  Duration term{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.echoed_stamp, s.term);
  }
};

// One run of a StartRuns message.
struct StartRun {
  uint32_t index = 0;  // Of the task in its step.
  uint64_t run = 0;
  std::string checkpoint;  // To resume from; empty: starts from the beginning.
  std::string ticket;      // Of the placement advisor; empty: none is needed.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.index, s.run, s.checkpoint, s.ticket);
  }
};

// Owner to executor: start these runs of one step.
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
  // Runs that have not started by then, on the executor's clock, must not
  // start: the message was delayed, and the owner's decision may have changed.
  TimePoint latest_start = TimePoint::max();
  // Report the first run of the workflow that begins: the owner does not know
  // of one yet.
  bool report_begin = false;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.workflow, s.round, s.step,
                    s.payload, s.traits, s.runs, s.latest_start,
                    s.report_begin);
  }
};

// Longest time that users accept between the cancellation of a workflow and the
// end of its last run.
inline constexpr Duration kCancelLimit = std::chrono::seconds(3);

// Owner to executor: stop these runs, or prevent them from starting.
struct StopRuns {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunRef> runs;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.runs);
  }
};

// Owner to executor: all ends with numbers up to `through` are stored, so the
// runner can forget them.
struct EndsAcknowledged {
  uint64_t epoch = 0;
  std::string incarnation;
  uint64_t through = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.through);
  }
};

// How much CPU time the run needs at most to gain a percent of progress, unless
// its runner is stalled.
struct RunProgressBound {
  RunRef run;
  Duration cpu_per_percent{};

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.run, s.cpu_per_percent);
  }
};

// Owner to executor: bounds for runs that have lasted for longer than a percent
// of their work may take. Repeated every few seconds while they run.
struct ProgressBounds {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunProgressBound> runs;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.runs);
  }
};

// Executor to owner, twice a second.
struct VmHeartbeat {
  uint64_t epoch = 0;  // Highest epoch that the executor has seen.
  TimePoint stamp{};   // Executor's clock when it was sent.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.stamp);
  }
};

// Executor to owner: the state of the VM's runner. Sent on each change.
struct VmStatus {
  std::string incarnation;  // See IncarnationName; empty: no runner is up.
  std::string service;
  std::string hall;
  std::string rack;
  std::vector<std::string> labels;
  Resources capacity;
  bool draining = false;
  // While draining: the VM remains available for at least this long.
  Duration remaining{};
  // How much longer the runner is slow because it has just started.
  Duration cold{};
  // The runner answers calls, but its tasks make no progress.
  bool stalled = false;

  static constexpr size_t kFieldsAtFirst = 9;  // Old messages lack `stalled`.
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.incarnation, s.service, s.hall, s.rack, s.labels,
                    s.capacity, s.draining, s.remaining, s.cold, s.stalled);
  }
};

// End of a run, as listed by the runner. Numbers increase within an incarnation
// of the runner.
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

// A run that started at most this long before its runner crashed may have
// caused the crash. Most of this time allows for starts that take effect late.
inline constexpr Duration kCrashWindow = std::chrono::seconds(1);

// An incarnation of a runner that is over, as its executor last saw it.
struct PastIncarnation {
  std::string incarnation;
  bool announced = false;     // The runner had announced its shutdown.
  std::vector<RunEnd> ended;  // Listed by the runner, not acknowledged.
  // Runs that began within kCrashWindow of the runner's last response.
  std::vector<RunRef> just_begun;
  std::vector<RunRef> others;  // The other runs that were last seen running.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.incarnation, s.announced, s.ended, s.just_begun,
                    s.others);
  }
};

// Executor to owner, in reply to Attach: all runs on the VM, as the runner
// reported them when it was asked under `epoch`.
struct VmInventory {
  uint64_t epoch = 0;
  VmStatus status;
  std::vector<RunRef> running;
  // Starts and stops ordered under this epoch whose outcome is not known yet.
  std::vector<RunRef> pending;
  std::vector<RunEnd> ended;
  // Incarnations that ended recently, newest last, even if an earlier owner was
  // told of them.
  std::vector<PastIncarnation> past_incarnations;
  // The runner may keep further ends, which it lists once these are
  // acknowledged: a run that is not listed may have ended.
  bool more_ends = false;

  static constexpr size_t kFieldsAtFirst = 6;  // Old messages lack the last.
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.status, s.running, s.pending, s.ended,
                    s.past_incarnations, s.more_ends);
  }
};

// Why a run did not start, and never will.
enum class NotBegunReason : uint8_t {
  kStopped,  // A stop arrived first.
  kNoRoom,   // The runner lacks free capacity.
  kFenced,   // The runner has seen a higher epoch.
  // The run, its start order or its lease is outdated, or the runner is
  // shutting down.
  kOutdated,
  kNotAllowed,   // The VM is not allowed to run the step.
  kUnhealthy,    // The runner refused it for another reason.
  kUnreachable,  // The runner's incarnation no longer answers.
};
// Name of the reason in logs, such as "no_room".
std::string_view NotBegunReasonName(NotBegunReason reason);

// A run that did not start.
struct RunNotBegun {
  RunRef run;
  NotBegunReason reason = NotBegunReason::kStopped;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.run, s.reason);
  }
};

// Executor to owner: what has happened to runs since the last report. Ends are
// repeated until they are acknowledged.
struct RunReports {
  uint64_t epoch = 0;
  std::string incarnation;
  std::vector<RunEnd> ended;
  std::vector<RunNotBegun> not_begun;
  // First runs on this VM of workflows that were started with `report_begin`.
  std::vector<RunRef> begun;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.incarnation, s.ended, s.not_begun, s.begun);
  }
};

// Scheduler to owner, first message on a link and then periodically. The owner
// replies with its own.
struct SchedulerHeartbeat {
  std::string name;
  std::string address;            // Where the sender accepts links.
  uint64_t incarnation = 0;       // Of the sender's process.
  uint64_t epoch = 0;             // Of the sender as owner; 0: it is not owner.
  uint64_t known_epoch = 0;       // Of the latest owner that it knows.
  Duration table_silence{};       // Since the table last answered the sender.
  double host_capacity = 1;       // Of the sender's VM, see HostCapacity.
  uint64_t settings_version = 0;  // Of the newest service settings it knows.
  // From the owner: addresses of some schedulers that follow it.
  std::vector<std::string> peers;
  Evacuations evacuations;  // The newest that the sender knows.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.name, s.address, s.incarnation, s.epoch, s.known_epoch,
                    s.table_silence, s.host_capacity, s.settings_version,
                    s.peers, s.evacuations);
  }
};

// Scheduler to a peer with older service settings: the newest document, as it
// was stored.
struct ServiceSettingsCopy {
  uint64_t version = 0;
  std::string document;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.version, s.document);
  }
};

// Scheduler to owner: this workflow has been submitted and stored. Repeated
// until it is acknowledged.
struct WorkflowStored {
  Workflow workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Scheduler to owner: the cancellation of this workflow has been stored.
// Repeated until it is acknowledged.
struct CancelStored {
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Owner to scheduler: it has processed a WorkflowStored or CancelStored.
struct NoticeAcknowledged {
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.workflow);
  }
};

// Scheduler to owner: asks for the state of a workflow, or for the number of
// waiting workflows of a queue.
struct Question {
  uint64_t id = 0;
  std::string workflow;  // Empty: asks about `queue`.
  std::string queue;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow, s.queue);
  }
};

// Owner to scheduler: the reply to the Question with this id.
struct Answer {
  uint64_t id = 0;
  bool known = false;  // Whether the owner knows the workflow.
  WorkflowState state = WorkflowState::kQueued;
  uint64_t waiting = 0;  // Workflows in the queue of which nothing has begun.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.known, s.state, s.waiting);
  }
};

// Owner to scheduler: the owner has stopped acting under `epoch`, and the
// recipient is to take over at once.
struct HandOver {
  uint64_t epoch = 0;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch);
  }
};

// Stored record of the current owner of the deployment.
struct OwnerRecord {
  uint64_t epoch = 0;
  uint64_t sequence = 0;  // Increases with each write, so the row changes.
  std::string owner;
  uint64_t incarnation = 0;  // Of the owner's process.
  std::string address;       // Where the owner accepts links.
  bool released = false;     // The owner has stopped acting.
  // Leases of owners before this one, of which it is not known that they have
  // stopped, may be valid still.
  bool earlier_leases = false;

  static constexpr size_t kFieldsAtFirst = 6;  // Old records lack the last.
  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.epoch, s.sequence, s.owner, s.incarnation, s.address,
                    s.released, s.earlier_leases);
  }
};

// Sent to schedulers that may not know the latest owner, so that they follow it
// even if they cannot read its record from the table.
struct OwnerAnnounced {
  OwnerRecord record;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.record);
  }
};

// Scheduler to owner: store this workflow on the sender's behalf, as the table
// does not answer the sender.
struct RelayedSubmit {
  uint64_t id = 0;
  Workflow workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow);
  }
};

// Scheduler to owner: store this cancellation on the sender's behalf.
struct RelayedCancel {
  uint64_t id = 0;
  std::string workflow;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.id, s.workflow);
  }
};

// Owner to scheduler: the outcome of the relayed call with this id, as the
// number of its result.
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
                 PacePolicyNotice, ProgressBounds>;

// Stored record by which a VM's executor registers.
struct VmRecord {
  std::string vm;
  std::string address;  // Where the executor accepts links.

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.vm, s.address);
  }
};

// Encodes the message as CBOR.
std::string EncodeDispatch(const DispatchMessage& message);
// Returns an error if the bytes are not a message of this set.
Result<DispatchMessage> DecodeDispatch(std::string_view bytes);

// Encodes a stored record as CBOR.
std::string EncodeRecord(const Workflow& record);
std::string EncodeRecord(const ProgressRecord& record);
std::string EncodeRecord(const OwnerRecord& record);
std::string EncodeRecord(const VmRecord& record);
std::string EncodeRecord(const InterferenceRecord& record);
// Decodes a stored record. Returns kInternal if the bytes lack a required field
// or have an unknown one.
template <typename Record>
Result<Record> DecodeRecord(std::string_view bytes);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCH_MESSAGES_H_
