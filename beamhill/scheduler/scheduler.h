// A scheduler process: accepts workflows from any caller and, while it owns the
// deployment's work, runs it.
//
// Independent of the callers' protocol: an adaptor decodes requests and calls
// Submit, Cancel, StateOf and WaitingIn.
//
//   auto scheduler = Scheduler::Start(loop, settings, table, hooks, metrics);
//   ValueOf(scheduler)->Submit(workflow, done);
#ifndef BEAMHILL_SCHEDULER_SCHEDULER_H_
#define BEAMHILL_SCHEDULER_SCHEDULER_H_

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/lifetime.h"
#include "beamhill/dispatch/ownership_keeper.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/link/link.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/overload/memory_reservations.h"
#include "beamhill/scheduler/call_ids.h"
#include "beamhill/scheduler/dialed_peer.h"
#include "beamhill/scheduler/dialed_peers.h"
#include "beamhill/scheduler/handover.h"
#include "beamhill/scheduler/job_repository.h"
#include "beamhill/scheduler/pending_calls.h"
#include "beamhill/scheduler/submit_call.h"
#include "beamhill/scheduler/work_owner.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct SchedulerSettings {
  std::string name;
  Address peers;  // Listens here for links from other schedulers.
  // Where other schedulers reach this one, if not at `peers`.
  std::optional<Address> advertised;
  // How long runs on a VM may continue after its last answered heartbeat.
  Duration lease_term = std::chrono::seconds(5);
  // How long an owner may act after its last transaction that took effect.
  Duration authority_term = std::chrono::seconds(8);
  // Capacity of this VM; see HostCapacity.
  double host_capacity = 1;
  // How long to leave a free owner row to others; derived from `host_capacity`
  // if absent.
  std::optional<Duration> claim_delay;
  LinkListenerLimits peer_links;  // Of links that others dial.
  // Memory for the workflows that this process knows as owner, in bytes.
  uint64_t work_bytes = std::numeric_limits<uint64_t>::max();
};

struct SchedulerHooks {
  // Time since the table last answered any call of this process.
  std::function<Duration()> table_silence;
  // The newest known service settings, and a callback for a peer's copy.
  std::function<uint64_t()> settings_version;
  std::function<std::string()> settings_document;
  std::function<void(uint64_t version, const std::string& document)>
      on_settings_copy;
  AdvisorHook advisor;
  // The newest known set of data halls to evacuate, and a callback for a peer's
  // copy.
  EvacuationsHook evacuations;
  std::function<void(const Evacuations&)> on_evacuations_copy;
};

class Scheduler {
 public:
  // Starts a scheduler. Fails if it can't listen for peers.
  static Result<std::unique_ptr<Scheduler>> Start(
      EventLoop& loop, const SchedulerSettings& settings, Table table,
      SchedulerHooks hooks, Metrics& metrics);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Stores the workflow, directly or through the owner; `done` runs once.
  void Submit(Workflow workflow, std::function<void(SubmitResult)> done);
  // Stores a cancellation, directly or through the owner; `done` runs once.
  void Cancel(const std::string& workflow,
              std::function<void(CancelResult)> done);
  // Reports the state as the owner knows it or, failing that, as stored.
  void StateOf(const std::string& workflow,
               std::function<void(StateResult)> done);
  // Counts the queue's workflows of which nothing has begun; passes nullopt if
  // the owner can't be queried.
  void WaitingIn(const std::string& queue,
                 std::function<void(std::optional<uint64_t>)> done);

  // Releases the ownership, if held; `done` runs when peers can take over.
  void Leave(std::function<void()> done);

  bool owns() const { return keeper_->owns(); }
  // Of the links that others have dialed.
  ListenerCounts peer_link_counts() const { return listener_->counts(); }
  // Describes the state in lines of text for operators.
  std::string Dump() const;

 private:
  // A scheduler that has dialed this process.
  struct Peer {
    Link* link = nullptr;
    SchedulerHeartbeat last;
    TimePoint heartbeat_at{};
    // The last of the owner's peers whose address was sent to this one.
    LinkId last_peer_sent = 0;
  };
  // The owner that this process follows, and what it has reported. Replaced as
  // a whole, since nothing of it applies to the next owner.
  struct FollowedOwner {
    OwnerRecord record;
    DialedPeerPtr peer;  // Null while this process follows no other one.
    TimePoint since{};   // When this process began to follow it.
    TimePoint heartbeat_at{};
    bool table_responds = false;
    TimePoint table_answer_at{};  // When the table last answered it.
  };
  // A submission whose caller has not been answered.
  struct OpenSubmission {
    SubmitCall call;
    TimePoint since{};
    uint64_t relay = 0;  // Id of the last relayed call.
    Workflow workflow;
    std::function<void(SubmitResult)> done;
  };
  // A message about a stored workflow or cancellation, for the owner.
  struct Notice {
    DispatchMessage message;
    TimePoint since{};
  };

  Scheduler(EventLoop& loop, const SchedulerSettings& settings, Table table,
            SchedulerHooks hooks, Metrics& metrics);
  Status Listen();
  void CreateKeeper();
  // This process took ownership. `first`: there was no previous owner.
  void OnOwnershipTaken(uint64_t epoch, EarlierOwner earlier, bool first);
  // Dials the new owner.
  void Follow(const OwnerRecord& owner);
  // Stops the work that this process has run as owner, if any.
  void StopWork();
  // Returns the best peer to hand over to, by recent heartbeats, or null.
  const Peer* FindSuccessor(Duration max_table_silence) const;
  static PeerView ViewOf(const Peer& peer);
  // Tells the best successor that this process has stopped acting under
  // `epoch`.
  void OfferHandOver(uint64_t epoch, Duration max_table_silence);
  void MaybeHandOver();
  // Sends the table a read if it has not answered recently.
  void ProbeTable();
  // Whether the table answers neither this process nor the owner it follows.
  bool IsTableDown() const;
  bool TableResponds() const;
  void Tick();

  // Defined in scheduler_peers.cc.
  SchedulerHeartbeat Heartbeat() const;
  // Returns the answer to a heartbeat of `peer`; the owner's contains addresses
  // of some other peers.
  SchedulerHeartbeat HeartbeatFor(Peer& peer);
  // Where other schedulers reach this one.
  std::string OwnAddress() const;
  // Addresses of all known schedulers except this one.
  std::vector<Address> KnownAddresses() const;
  // Sends the service settings if the peer's version is older.
  void SendSettingsIfNewer(
      uint64_t peer_version,
      const std::function<void(const DispatchMessage&)>& send);
  // Handles a message from the process at the address of the owner that this
  // process follows.
  void OnOwnerMessage(DialedPeer& peer, const DispatchMessage& message);
  void OnOwnerHeartbeat(DialedPeer& peer, const SchedulerHeartbeat& heartbeat);
  LinkHooks OnAccept(Link& link);
  void OnPeerFrame(Link& link, std::string_view frame);
  void OnPeerMessage(Peer& peer, const DispatchMessage& message);
  // Announces this process as owner to all known schedulers, for those that the
  // table does not let read the owner row.
  void Announce();
  // Sends a notice on each new link to an owner until an owner confirms it
  // under `key`: the id of a new workflow, or the CancelKey of a cancellation.
  // A notice that the owner could not process yet is covered by its marker in
  // the table.
  void Notify(const DispatchMessage& message, const std::string& key);
  void ExpireNotices(TimePoint now);
  // Queries other schedulers for newer service settings and for the owner while
  // this process reaches neither the table nor an owner: a few at a time, then
  // others if the table answers none of these either.
  void QueryPeers(TimePoint now);
  DialedPeersHooks QueryHooks();
  void OnQueryAnswer(const DispatchMessage& message);
  // Counts and logs the owner's answer to a call that is not pending.
  void OnUnmatchedAnswer(uint64_t id);
  static std::string CancelKey(const std::string& workflow);

  // Defined in scheduler_calls.cc.
  void AnswerQuestion(Link& link, const Question& question);
  // Queries the owner; passes nullopt if there is no answer.
  void QueryOwner(Question question,
                  std::function<void(std::optional<Answer>)> done);
  bool CanRelay() const;
  OwnerReachability CheckOwnerReachability() const;
  // Tries the next route, or answers the caller.
  void AdvanceSubmission(uint64_t number);
  // Advances all submissions. `owner_lost`: the owner that was tried can no
  // longer answer.
  void AdvanceSubmissions(bool owner_lost);
  void StartAttempt(uint64_t number, SubmitRoute route);
  void OnSubmitResult(uint64_t number, SubmitRoute route, SubmitResult result);
  // Sends the call to the owner; `done` receives the numeric value of its
  // result, or nullopt if there is no answer.
  void Relay(uint64_t id, const DispatchMessage& call, Duration timeout,
             std::function<void(std::optional<uint8_t>)> done);
  // `link` is the one on which the call arrived: its result goes to that link
  // or, if it has closed meanwhile, to nobody.
  void HandleRelay(LinkId link, const RelayedSubmit& call);
  void HandleRelay(LinkId link, const RelayedCancel& call);
  void SendRelayResult(LinkId link, uint64_t id, uint8_t result);
  void SubmitLocally(const Workflow& workflow,
                     std::function<void(SubmitResult)> done);
  void CancelLocally(const std::string& workflow,
                     std::function<void(CancelResult)> done);
  void NotifyOwner(const Workflow& workflow);
  // Refuses a submission for want of memory, unless another scheduler has
  // stored the workflow or the table does not tell.
  void RefuseUnlessStored(const std::string& workflow,
                          std::function<void(SubmitResult)> done);
  // Reserves memory for the workflow until it is stored and in use, or was not
  // stored: the owner's or, elsewhere, that for workflows which the owner may
  // not know yet.
  bool ReserveMemory(const Workflow& workflow);
  void ReleaseMemory(const std::string& workflow, bool stored);

  EventLoop& loop_;
  SchedulerSettings settings_;
  Table table_;
  SchedulerHooks hooks_;
  std::mt19937_64 random_;
  uint64_t incarnation_;
  JobRepository repository_;
  WorkOwnerMetrics owner_metrics_;
  Counter* late_answers_;     // Answers to calls that have timed out.
  Counter* unknown_answers_;  // Answers to calls that this process never sent.
  std::unique_ptr<OwnershipKeeper> keeper_;
  std::unique_ptr<WorkOwner> owner_;
  std::unique_ptr<LinkListener> listener_;
  std::map<LinkId, Peer> peers_;
  FollowedOwner followed_;
  // Notices that no owner has confirmed yet, by key.
  std::map<std::string, Notice> notices_;
  std::map<uint64_t, OpenSubmission> submissions_;
  // For workflows stored here that the owner may not know yet.
  MemoryReservations unconfirmed_;
  uint64_t refused_for_work_ = 0;
  PendingCalls<Answer> owner_queries_;
  PendingCalls<uint8_t> relays_;  // Answered with numeric result values.
  CallIds call_ids_;              // Of queries, submissions and relayed calls.
  TimePoint owned_since_{};       // When this process took ownership.
  // While owning: since when the table has answered some peer.
  std::optional<TimePoint> peer_answered_since_;
  TimePoint probed_at_{};
  DialedPeers queried_peers_;             // Current batch; see QueryPeers.
  std::vector<Address> unqueried_peers_;  // For later batches.
  // When the current batch was dialed, or when a peer that the table answers
  // last replied.
  TimePoint last_progress_{};
  // Addresses of schedulers, as the owner sent them.
  std::set<std::string> known_peers_;
  // Links on which this process announces its ownership.
  std::unique_ptr<DialedPeers> announcements_;
  Timer announcement_timer_;
  TimePoint last_heartbeat_at_{};
  Timer tick_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_SCHEDULER_H_
