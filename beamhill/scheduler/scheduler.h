// One scheduler process: takes in workflows for anyone who calls it, and when
// it owns the deployment's work, runs it.
//
// It knows nothing of the wire that callers use: an adaptor decodes requests
// and calls Submit, Cancel, StateOf and WaitingIn.
//
//   auto scheduler = Scheduler::Start(loop, settings, table, hooks, metrics);
//   ValueOf(scheduler)->Submit(workflow, done);
#ifndef BEAMHILL_SCHEDULER_SCHEDULER_H_
#define BEAMHILL_SCHEDULER_SCHEDULER_H_

#include <functional>
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
#include "beamhill/scheduler/dialed_peer.h"
#include "beamhill/scheduler/dialed_peers.h"
#include "beamhill/scheduler/handover.h"
#include "beamhill/scheduler/job_desk.h"
#include "beamhill/scheduler/open_calls.h"
#include "beamhill/scheduler/submit_call.h"
#include "beamhill/scheduler/work_owner.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct SchedulerSettings {
  std::string name;
  Address peers;  // Where other schedulers dial this one.
  // How long a VM's work may go on after its last heartbeat was answered.
  Duration lease_term = std::chrono::seconds(5);
  // How long an owner may act without a transaction that took effect.
  Duration authority_term = std::chrono::seconds(8);
  // Of this VM, see HostStrength.
  double host_capacity = 1;
  // How long it leaves a free row to others; by its host capacity when not
  // given.
  std::optional<Duration> claim_delay;
};

struct SchedulerHooks {
  // How long ago the table last answered any call of this process.
  std::function<Duration()> store_silence;
  // The newest service settings: version and document, and a peer's copy.
  std::function<uint64_t()> settings_version;
  std::function<std::string()> settings_document;
  std::function<void(uint64_t version, const std::string& document)>
      on_settings_copy;
  AdvisorHook advisor;
  // The data halls to be emptied, the newest that is known here, and a peer's
  // copy.
  EvacuationsHook evacuations;
  std::function<void(const Evacuations&)> on_evacuations_copy;
};

class Scheduler {
 public:
  // Fails when it can't listen for peers.
  static Result<std::unique_ptr<Scheduler>> Start(
      EventLoop& loop, const SchedulerSettings& settings, Table table,
      SchedulerHooks hooks, Metrics& metrics);
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Stores the workflow, here or through the owner; `done` runs once.
  void Submit(Workflow workflow, std::function<void(SubmitResult)> done);
  // Stores a cancellation, here or through the owner; `done` runs once.
  void Cancel(const std::string& workflow,
              std::function<void(CancelResult)> done);
  // As the owner knows it, or else as far as it is stored.
  void StateOf(const std::string& workflow,
               std::function<void(StateResult)> done);
  // Workflows of the queue of which nothing has begun; nothing when the owner
  // can't be asked.
  void WaitingIn(const std::string& queue,
                 std::function<void(std::optional<uint64_t>)> done);

  // Gives up what it owns; `done` runs when peers can take over.
  void Leave(std::function<void()> done);

  bool owns() const { return keeper_->owns(); }
  // What it knows, in lines for operators.
  std::string Dump() const;

 private:
  struct Peer {
    Link* link = nullptr;
    SchedulerHeartbeat last;
    TimePoint heard_at{};
    // The last of its peers that this owner has told it of.
    Link* told_last = nullptr;
  };
  struct OpenSubmission {
    SubmitCall call;
    TimePoint since{};
    uint64_t relay = 0;  // The last one to an owner.
    Workflow workflow;
    std::function<void(SubmitResult)> done;
  };
  struct Notice {
    DispatchMessage message;
    TimePoint since{};
  };

  Scheduler(EventLoop& loop, const SchedulerSettings& settings, Table table,
            SchedulerHooks hooks, Metrics& metrics);
  Status Listen();
  void MakeKeeper();
  // This process owns the work now. `released`: the owner before gave it up;
  // `first`: there was none.
  void OnTaken(uint64_t epoch, bool released, bool first);
  // Dials the new owner.
  void Follow(const OwnerRecord& owner);
  // The best peer to give the work to, by what it said lately; or null.
  const Peer* Successor(Duration served_within) const;
  static PeerView ViewOf(const Peer& peer);
  // Tells such a peer that this process has stopped acting under the epoch.
  void OfferHandOver(uint64_t epoch, Duration served_within);
  void HandOverIfDue();
  // Asks the table for a sign of life when it has given none for a while.
  void ProbeStore();
  // Whether the table answers neither this process nor the owner.
  bool StoreIsSilent() const;
  bool StoreAnswers() const;
  void Tick();

  // In scheduler_peers.cc.
  SchedulerHeartbeat Heartbeat() const;
  // The answer to that peer's; an owner tells it of some others.
  SchedulerHeartbeat HeartbeatTo(Peer& peer);
  // Of the schedulers that this process knows of, without itself.
  std::vector<Address> KnownAddresses() const;
  // Sends the service settings to a peer whose version is older.
  void ShareSettings(uint64_t peers_version,
                     const std::function<void(const DispatchMessage&)>& send);
  void OnOwnerMessage(const DispatchMessage& message);
  LinkHooks OnAccept(Link& link);
  void OnPeerFrame(Link& link, std::string_view frame);
  void OnPeerMessage(Peer& peer, const DispatchMessage& message);
  // Tells every scheduler that this process knows of that it owns the work.
  // The row says the same, but not to those that the table turns away.
  void Announce();
  // Sends a notice on each link to an owner until one confirms it under the
  // key: the workflow's id for a new workflow, its CancelKey for a
  // cancellation. One that an owner could not take yet is found by its marker
  // in the table.
  void Notify(const DispatchMessage& message, const std::string& key);
  void SendNotices();
  void DropOldNotices(TimePoint now);
  // While neither the table nor an owner is heard, asks other schedulers for
  // newer service settings and for the owner: some at a time, and others while
  // the table answers none of these either.
  void QueryPeers(TimePoint now);
  DialedPeersHooks QueryHooks();
  void OnQueryAnswer(const DispatchMessage& message);
  static std::string CancelKey(const std::string& workflow);

  // In scheduler_calls.cc.
  void AnswerQuestion(Link& link, const Question& question);
  // Asks the owner; `done` gets nothing when there is no answer.
  void Ask(Question question, std::function<void(std::optional<Answer>)> done);
  bool CanRelay() const;
  OwnerReach Reach() const;
  // Tries what is to be tried next, or answers the caller.
  void AdvanceSubmission(uint64_t number);
  // All of them. `owner_lost`: the link to the owner that was asked is gone.
  void AdvanceSubmissions(bool owner_lost);
  void TryToStore(uint64_t number, SubmitWay way);
  void OnSubmitResult(uint64_t number, SubmitWay way, SubmitResult result);
  // Sends the call to the owner; `done` gets the number of its result.
  void Relay(uint64_t id, const DispatchMessage& call, Duration timeout,
             std::function<void(std::optional<uint8_t>)> done);
  void ServeRelay(Link* link, const RelayedSubmit& call);
  void ServeRelay(Link* link, const RelayedCancel& call);
  void AnswerRelay(Link* link, uint64_t id, uint8_t result);
  void SubmitHere(const Workflow& workflow,
                  std::function<void(SubmitResult)> done);
  void CancelHere(const std::string& workflow,
                  std::function<void(CancelResult)> done);
  void TellOwner(const Workflow& workflow);

  EventLoop& loop_;
  SchedulerSettings settings_;
  Table table_;
  SchedulerHooks hooks_;
  std::mt19937_64 random_;
  uint64_t incarnation_;
  JobDesk desk_;
  WorkOwnerMetrics owner_metrics_;
  std::unique_ptr<OwnershipKeeper> keeper_;
  std::unique_ptr<WorkOwner> owner_;
  std::unique_ptr<LinkListener> listener_;
  std::map<Link*, Peer> peers_;
  std::unique_ptr<DialedPeer> owner_peer_;
  OwnerRecord followed_;
  // Notices that no owner has confirmed yet, by a key for each.
  std::map<std::string, Notice> notices_;
  std::map<uint64_t, OpenSubmission> submissions_;
  OpenCalls<Answer> questions_;
  OpenCalls<uint8_t> relays_;  // Answered by the number of the result.
  // Numbers questions, submissions and relayed calls.
  uint64_t next_call_ = 1;
  bool owner_store_answers_ = false;
  // When the table last answered the owner, by the owner's word.
  TimePoint owner_served_at_{};
  TimePoint owner_heard_at_{};
  TimePoint taken_at_{};  // When this process took the ownership.
  // While it owns the work: since when a peer is served by the table.
  std::optional<TimePoint> peer_served_since_;
  TimePoint probed_at_{};
  DialedPeers queries_;  // While neither the table nor an owner is heard.
  std::vector<Address> unasked_;  // The next of them.
  // When they were dialed, or one that the table answers has answered.
  TimePoint query_helped_at_{};
  // Addresses of schedulers, as the owner told them.
  std::set<std::string> known_peers_;
  // Links on which this process makes its ownership known.
  std::unique_ptr<DialedPeers> announcements_;
  std::unique_ptr<DialedPeers> retired_announcements_;
  Timer end_announcements_;
  TimePoint last_heartbeat_{};
  Timer tick_;
  std::vector<std::unique_ptr<DialedPeer>> retired_peers_;
  std::unique_ptr<WorkOwner> retired_owner_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_SCHEDULER_H_
