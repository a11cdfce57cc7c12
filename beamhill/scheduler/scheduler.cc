#include "beamhill/scheduler/scheduler.h"

#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/config/config.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
// The owner's link is redialed after this long without traffic.
constexpr Duration kOwnerLinkTimeout = std::chrono::milliseconds(2500);
// The table is probed after this long without an answer.
constexpr Duration kProbeAfter = std::chrono::milliseconds(400);
// The table counts as unreachable after this long; exceeds the timeout of a
// call.
constexpr Duration kLocalTableSilence = std::chrono::milliseconds(1800);
// The owner gets an answer to a transaction or probe every 0.4 s and reports it
// every 0.3 s. If neither the owner nor this process has had one for this long,
// the table answers nobody.
constexpr Duration kGlobalTableSilence = std::chrono::milliseconds(900);
// Added to inherited bounds for messages in transit.
constexpr Duration kMessageDelayMargin = std::chrono::milliseconds(500);
// Several schedulers may store workflows that the owner does not know yet; it
// takes all of them.
constexpr uint64_t kUnconfirmedDivisor = 8;

MemoryReservations UnconfirmedLimit(const SchedulerSettings& settings) {
  return MemoryReservations(settings.work_bytes / kUnconfirmedDivisor);
}

}  // namespace

Result<std::unique_ptr<Scheduler>> Scheduler::Start(
    EventLoop& loop, const SchedulerSettings& settings, Table table,
    SchedulerHooks hooks, Metrics& metrics) {
  std::unique_ptr<Scheduler> scheduler(new Scheduler(
      loop, settings, std::move(table), std::move(hooks), metrics));
  const Status listening = scheduler->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  return scheduler;
}

Scheduler::Scheduler(EventLoop& loop, const SchedulerSettings& settings,
                     Table table, SchedulerHooks hooks, Metrics& metrics)
    : loop_(loop),
      settings_(settings),
      table_(table),
      hooks_(std::move(hooks)),
      random_(RandomSeed()),
      incarnation_(random_() >> 1),
      repository_(
          table, [] { return BootClock::now(); }, hooks_.table_silence),
      unconfirmed_(UnconfirmedLimit(settings)),
      owner_queries_(loop),
      relays_(loop),
      call_ids_(random_()),
      queried_peers_(loop, QueryHooks()) {
  const std::string unmatched = "beamhill_unmatched_answers_total";
  const std::string help = "Owner's answers that match no pending call.";
  late_answers_ = &metrics.AddCounter(unmatched, help, {{"call", "late"}});
  unknown_answers_ =
      &metrics.AddCounter(unmatched, help, {{"call", "unknown"}});
  owner_metrics_.commit = &metrics.AddLatency(
      "beamhill_commit_latency", "From sending a transaction to its answer.");
  owner_metrics_.starts =
      &metrics.AddCounter("beamhill_starts_total", "Tasks ordered to start.");
  metrics.AddGauge(
      "beamhill_submissions_refused_for_memory_total",
      "Submissions refused for the memory of those that wait for the table.",
      [this] { return static_cast<double>(repository_.refused_for_memory()); });
  metrics.AddGauge(
      "beamhill_work_bytes",
      "Memory of the workflows that the owner knows or is about to store.",
      [this] {
        return owner_ ? static_cast<double>(owner_->WorkBytes()) : 0.0;
      });
  metrics.AddGauge("beamhill_submissions_refused_for_work_total",
                   "Submissions refused for the memory of the open workflows.",
                   [this] { return static_cast<double>(refused_for_work_); });
  metrics.AddGauge(
      "beamhill_oldest_orphan_seconds",
      "Since when a workflow is over whose runs VMs still hold.", [this] {
        return owner_ ? ToMillis(owner_->OldestOrphan()) / 1000 : 0.0;
      });
  metrics.AddGauge(
      "beamhill_oldest_stop_seconds",
      "Since when a decided stop is not known to be carried out.",
      [this] { return owner_ ? ToMillis(owner_->OldestStop()) / 1000 : 0.0; });
  metrics.AddGauge(
      "beamhill_stalled_vms",
      "VMs that answer, but whose tasks make no progress.", [this] {
        return owner_ ? static_cast<double>(owner_->StalledVmCount()) : 0.0;
      });
  metrics.AddGauge(
      "beamhill_inherited_waiting_workflows",
      "Workflows that wait until leases of an earlier owner are over.", [this] {
        return owner_ ? static_cast<double>(owner_->InheritedWaiting()) : 0.0;
      });
  for (const WaitReason reason : kWaitReasons) {
    metrics.AddGauge(
        "beamhill_waiting_long_running_tasks",
        "Long-running tasks that have not run for 2 s, of the first 100.",
        [this, reason] {
          return owner_ ? static_cast<double>(owner_->WaitingTasks(reason))
                        : 0.0;
        },
        {{"reason", std::string(WaitReasonName(reason))}});
  }
  metrics.AddGauge(
      "beamhill_longest_wait_seconds",
      "The longest that such a task has not run.",
      [this] { return owner_ ? ToMillis(owner_->LongestWait()) / 1000 : 0.0; });
  metrics.AddGauge("beamhill_owner", "1 while this process owns the work.",
                   [this] { return owns() ? 1.0 : 0.0; });
  metrics.AddGauge(
      "beamhill_workflows", "Workflows that the owner knows.", [this] {
        return owner_ && owner_->loaded()
                   ? static_cast<double>(owner_->dispatcher()->workflows())
                   : 0.0;
      });
  metrics.AddGauge(
      "beamhill_tombstones",
      "Cancellations of jobs that were not stored, kept for a while.", [this] {
        return owner_ ? static_cast<double>(owner_->tombstones()) : 0.0;
      });
  metrics.AddGauge(
      "beamhill_evacuated_halls", "Data halls that are to be emptied.", [this] {
        return static_cast<double>(hooks_.evacuations().halls.size());
      });
  CreateKeeper();
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

Scheduler::~Scheduler() = default;

Status Scheduler::Listen() {
  auto listener = LinkListener::Listen(
      loop_, settings_.peers, [this](Link& link) { return OnAccept(link); },
      settings_.peer_links);
  if (!IsOk(listener)) return ErrorOf(listener);
  listener_ = std::move(ValueOf(listener));
  return Ok{};
}

void Scheduler::CreateKeeper() {
  OwnershipKeeperOptions options;
  options.name = settings_.name;
  options.incarnation = incarnation_;
  options.address = OwnAddress();
  options.authority_term = settings_.authority_term;
  OwnershipKeeperHooks hooks;
  hooks.now = [] { return BootClock::now(); };
  hooks.random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  };
  hooks.claim_delay = [this] {
    if (settings_.claim_delay) return *settings_.claim_delay;
    const double chance = std::uniform_real_distribution<double>(0, 1)(random_);
    return RandomizedClaimDelay(settings_.host_capacity, known_peers_.size(),
                                chance);
  };
  hooks.on_follow = [this](const OwnerRecord& owner) { Follow(owner); };
  hooks.on_taken = [this](uint64_t epoch, EarlierOwner earlier, bool first) {
    OnOwnershipTaken(epoch, earlier, first);
  };
  hooks.on_lost = [this] { StopWork(); };
  hooks.on_commit_ended = [this] {
    if (owner_) owner_->CommitIfDue();
  };
  hooks.log = [](const std::string& event, const std::string& detail) {
    Log(LogLevel::kInfo, event, {{"detail", detail}});
  };
  keeper_ =
      std::make_unique<OwnershipKeeper>(options, table_, std::move(hooks));
}

void Scheduler::OnOwnershipTaken(uint64_t epoch, EarlierOwner earlier,
                                 bool first) {
  followed_.peer.reset();
  owned_since_ = BootClock::now();
  peer_answered_since_.reset();
  WorkOwnerOptions options;
  options.epoch = epoch;
  options.lease_term = settings_.lease_term;
  options.work_bytes = settings_.work_bytes;
  options.first = first;
  options.inherited_bound = settings_.lease_term + kMessageDelayMargin;
  // Until then it might grant further leases.
  if (earlier == EarlierOwner::kUnknown) {
    options.inherited_bound += settings_.authority_term;
  }
  owner_ = std::make_unique<WorkOwner>(loop_, table_, *keeper_, options,
                                       hooks_.advisor, hooks_.evacuations,
                                       owner_metrics_);
  // Loading finds the stored workflows.
  notices_.clear();
  unconfirmed_ = UnconfirmedLimit(settings_);
  if (!followed_.record.address.empty()) {
    known_peers_.insert(followed_.record.address);
  }
  Announce();
  AdvanceSubmissions(/*owner_lost=*/true);
}

void Scheduler::Follow(const OwnerRecord& owner) {
  const Result<Address> address = ParseAddress(owner.address);
  if (!IsOk(address)) return;
  Log(LogLevel::kInfo, "following",
      {{"owner", owner.owner}, {"epoch", owner.epoch}});
  DialedPeerHooks hooks;
  hooks.on_open = [this](DialedPeer& peer) {
    peer.Send(Heartbeat());
    for (const auto& [key, notice] : notices_) peer.Send(notice.message);
  };
  hooks.on_message = [this](DialedPeer& peer, const DispatchMessage& message) {
    OnOwnerMessage(peer, message);
  };
  hooks.on_down = [this](DialedPeer&, bool was_open) {
    if (!was_open) return;
    Log(LogLevel::kWarning, "owner_unlinked",
        {{"owner", followed_.record.owner}});
    AdvanceSubmissions(/*owner_lost=*/true);
  };
  followed_ = FollowedOwner();
  followed_.record = owner;
  followed_.since = BootClock::now();
  followed_.peer = DialedPeer::Dial(loop_, ValueOf(address), std::move(hooks));
  AdvanceSubmissions(/*owner_lost=*/true);
}

void Scheduler::StopWork() {
  if (!owner_) return;
  owner_->Stop();
  loop_.DestroyLater(std::move(owner_));
}

PeerView Scheduler::ViewOf(const Peer& peer) {
  return {BootClock::now() - peer.heartbeat_at, peer.last.table_silence,
          peer.last.host_capacity};
}

const Scheduler::Peer* Scheduler::FindSuccessor(
    Duration max_table_silence) const {
  std::vector<PeerView> views;
  std::vector<const Peer*> candidates;
  for (const auto& [link, peer] : peers_) {
    if (peer.last.name.empty()) continue;  // No heartbeat received yet.
    views.push_back(ViewOf(peer));
    candidates.push_back(&peer);
  }
  const auto best = BestSuccessor(views, max_table_silence);
  return best ? candidates[*best] : nullptr;
}

void Scheduler::OfferHandOver(uint64_t epoch, Duration max_table_silence) {
  const Peer* peer = FindSuccessor(max_table_silence);
  if (peer == nullptr) return;
  Log(LogLevel::kInfo, "handing_over",
      {{"to", peer->last.name}, {"epoch", epoch}});
  peer->link->Send(EncodeDispatch(HandOver{epoch}));
}

void Scheduler::MaybeHandOver() {
  if (!keeper_->owns()) return;
  const TimePoint now = BootClock::now();
  OwnerView own = {hooks_.table_silence(), now - owned_since_,
                   settings_.host_capacity, Duration(0)};
  const Duration max_table_silence = own.table_silence < kProbeAfter
                                         ? kMaxTableSilenceHealthy
                                         : kMaxTableSilenceDegraded;
  const Peer* peer = FindSuccessor(max_table_silence);
  if (peer == nullptr) {
    peer_answered_since_.reset();
    return;
  }
  if (!peer_answered_since_) {
    peer_answered_since_ = now;
    // The table may be back for all schedulers; an earlier probe may be lost.
    probed_at_ = TimePoint{};
    ProbeTable();
  }
  own.peer_answered_for = now - *peer_answered_since_;
  if (!ShouldHandOver(own, ViewOf(*peer))) return;
  Log(LogLevel::kInfo, "giving_way",
      {{"to", peer->last.name},
       {"store_silence_ms", ToMillis(own.table_silence)},
       {"strength", own.host_capacity},
       {"peer_strength", peer->last.host_capacity}});
  const uint64_t epoch = keeper_->epoch();
  keeper_->HandOverToPeer();
  OfferHandOver(epoch, max_table_silence);
}

bool Scheduler::TableResponds() const {
  return hooks_.table_silence() < kLocalTableSilence;
}

// A call to a table that is down may never be answered, even after the table
// recovers, so the next probe does not wait for the last one.
void Scheduler::ProbeTable() {
  const TimePoint now = BootClock::now();
  if (now - probed_at_ < kProbeAfter) return;
  if (hooks_.table_silence() < kProbeAfter) return;
  probed_at_ = now;
  table_.read({rows::kOwner}, [](const Result<std::vector<Row>>&) {});
}

bool Scheduler::IsTableDown() const {
  if (hooks_.table_silence() < kGlobalTableSilence) return false;
  if (keeper_->owns()) return true;
  const TimePoint now = BootClock::now();
  const bool owner_heard = now - followed_.heartbeat_at < kOwnerLinkTimeout;
  return owner_heard && now - followed_.table_answer_at >= kGlobalTableSilence;
}

void Scheduler::Tick() {
  const TimePoint now = BootClock::now();
  keeper_->Tick();
  const bool table_down = IsTableDown();
  if (keeper_->owns() || table_down) ProbeTable();
  repository_.SetTableDown(table_down);
  repository_.Tick();
  AdvanceSubmissions(/*owner_lost=*/false);
  MaybeHandOver();
  QueryPeers(now);
  ExpireNotices(now);
  const bool heartbeat_due = now - last_heartbeat_at_ >= kHeartbeatInterval;
  if (heartbeat_due) {
    last_heartbeat_at_ = now;
    if (!queried_peers_.empty()) queried_peers_.Send(Heartbeat());
  }
  if (!followed_.peer) return;
  followed_.peer->CloseIfSilent(kOwnerLinkTimeout);
  if (heartbeat_due) followed_.peer->Send(Heartbeat());
}

void Scheduler::Leave(std::function<void()> done) {
  if (!owner_) {
    keeper_->Release(std::move(done));
    return;
  }
  owner_->Quiesce([this, done] {
    const uint64_t epoch = keeper_->epoch();
    keeper_->Release([this, epoch, done] {
      StopWork();
      OfferHandOver(epoch, kMaxTableSilenceHealthy);
      done();
    });
  });
}

std::string Scheduler::Dump() const {
  const OwnerRecord& record = keeper_->record();
  std::string text = "scheduler " + settings_.name + " owns " +
                     std::to_string(keeper_->owns()) + " epoch " +
                     std::to_string(record.epoch) + " owner " + record.owner +
                     " peers " + std::to_string(peers_.size()) + " notices " +
                     std::to_string(notices_.size()) + "\n";
  if (owner_) text += owner_->Dump();
  return text;
}

}  // namespace beamhill
