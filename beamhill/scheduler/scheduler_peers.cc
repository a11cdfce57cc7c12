// Scheduler's communication with its peers: heartbeats, notices of stored
// workflows and cancellations, and announcements of a new owner.
#include <algorithm>
#include <string>
#include <utility>

#include "beamhill/config/config.h"
#include "beamhill/log/log.h"
#include "beamhill/scheduler/round_robin.h"
#include "beamhill/scheduler/scheduler.h"

namespace beamhill {
namespace {

// How long a new owner dials schedulers that may not know of it yet.
constexpr Duration kAnnouncementDuration = std::chrono::seconds(8);
// An unconfirmed notice is dropped after this long; the marker in the table
// remains. Far below the retention of finished workflows, so that a late notice
// can't bring one back.
constexpr Duration kNoticeLifetime = std::chrono::seconds(30);
// An owner without table answers for this long may be cut off from the table.
constexpr Duration kMaxOwnerTableSilence = std::chrono::milliseconds(550);
// A scheduler that has reached neither the table nor an owner for this long
// queries this many other schedulers at a time.
constexpr Duration kIsolatedAfter = std::chrono::milliseconds(900);
constexpr size_t kPeersPerQuery = 3;
// The next batch is queried if the table has answered none of this one for so
// long.
constexpr Duration kQueryTimeout = std::chrono::milliseconds(1500);
// Peer addresses per heartbeat of the owner: of 184 schedulers, each learns of
// all others within 7 s.
constexpr size_t kPeersPerHeartbeat = 8;

}  // namespace

std::string Scheduler::CancelKey(const std::string& workflow) {
  return "cancel " + workflow;
}

std::string Scheduler::OwnAddress() const {
  return ToString(settings_.advertised.value_or(settings_.peers));
}

SchedulerHeartbeat Scheduler::Heartbeat() const {
  SchedulerHeartbeat heartbeat;
  heartbeat.name = settings_.name;
  heartbeat.address = OwnAddress();
  heartbeat.incarnation = incarnation_;
  heartbeat.epoch = keeper_->owns() ? keeper_->epoch() : 0;
  heartbeat.known_epoch = keeper_->record().epoch;
  heartbeat.table_silence = hooks_.table_silence();
  heartbeat.host_capacity = settings_.host_capacity;
  heartbeat.settings_version = hooks_.settings_version();
  heartbeat.evacuations = hooks_.evacuations();
  return heartbeat;
}

// Contains only some of the peers: sending all peers to all peers would take a
// number of bytes that grows quadratically.
SchedulerHeartbeat Scheduler::HeartbeatFor(Peer& peer) {
  SchedulerHeartbeat heartbeat = Heartbeat();
  if (!keeper_->owns()) return heartbeat;
  for (const LinkId link :
       NextRoundRobin(peers_, peer.last_peer_sent, kPeersPerHeartbeat)) {
    const std::string& address = peers_.at(link).last.address;
    if (!address.empty()) heartbeat.peers.push_back(address);
  }
  return heartbeat;
}

void Scheduler::SendSettingsIfNewer(
    uint64_t peer_version,
    const std::function<void(const DispatchMessage&)>& send) {
  if (peer_version >= hooks_.settings_version()) return;
  send(ServiceSettingsCopy{hooks_.settings_version(),
                           hooks_.settings_document()});
}

void Scheduler::OnOwnerHeartbeat(DialedPeer& peer,
                                 const SchedulerHeartbeat& heartbeat) {
  if (heartbeat.epoch >= followed_.record.epoch) {
    keeper_->OnOwnerHeard(heartbeat.epoch);
  }
  followed_.heartbeat_at = BootClock::now();
  followed_.table_responds = heartbeat.table_silence < kMaxOwnerTableSilence;
  followed_.table_answer_at = followed_.heartbeat_at - heartbeat.table_silence;
  hooks_.on_evacuations_copy(heartbeat.evacuations);
  known_peers_.insert(heartbeat.peers.begin(), heartbeat.peers.end());
  // If the table answers, this process can succeed the owner.
  if (heartbeat.table_silence >= kMaxOwnerTableSilence) ProbeTable();
  if (heartbeat.incarnation != followed_.record.incarnation) {
    keeper_->OnOwnerGone(followed_.record.incarnation);
  }
  SendSettingsIfNewer(heartbeat.settings_version,
                      [&peer](const DispatchMessage& m) { peer.Send(m); });
}

void Scheduler::OnOwnerMessage(DialedPeer& peer,
                               const DispatchMessage& message) {
  if (const auto* heartbeat = std::get_if<SchedulerHeartbeat>(&message)) {
    OnOwnerHeartbeat(peer, *heartbeat);
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* new_owner = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(new_owner->record);
  } else if (const auto* confirmed =
                 std::get_if<NoticeAcknowledged>(&message)) {
    notices_.erase(confirmed->workflow);
    unconfirmed_.Release(confirmed->workflow);
  } else if (const auto* hand_over = std::get_if<HandOver>(&message)) {
    keeper_->OnHandOver(hand_over->epoch);
  } else if (const auto* result = std::get_if<RelayedResult>(&message)) {
    if (!relays_.Finish(result->id, result->result)) {
      OnUnmatchedAnswer(result->id);
    }
  } else if (const auto* answer = std::get_if<Answer>(&message)) {
    if (!owner_queries_.Finish(answer->id, *answer)) {
      OnUnmatchedAnswer(answer->id);
    }
  }
}

void Scheduler::OnUnmatchedAnswer(uint64_t id) {
  if (call_ids_.Issued(id)) {
    late_answers_->Add();
    return;
  }
  unknown_answers_->Add();
  Log(LogLevel::kWarning, "answer_of_unknown_call",
      {{"call", id},
       {"owner", followed_.record.owner},
       {"epoch", followed_.record.epoch}});
}

LinkHooks Scheduler::OnAccept(Link& link) {
  peers_[link.id()].link = &link;
  LinkHooks hooks;
  hooks.on_message = [this](Link& l, std::string_view frame) {
    OnPeerFrame(l, frame);
  };
  hooks.on_close = [this](Link& l) { peers_.erase(l.id()); };
  return hooks;
}

void Scheduler::OnPeerFrame(Link& link, std::string_view frame) {
  const Result<DispatchMessage> message = DecodeDispatch(frame);
  if (!IsOk(message)) {
    Log(LogLevel::kWarning, "bad_message",
        {{"error", ErrorOf(message).message}});
    link.Close();
    return;
  }
  OnPeerMessage(peers_.at(link.id()), ValueOf(message));
}

void Scheduler::OnPeerMessage(Peer& peer, const DispatchMessage& message) {
  const auto send = [&peer](const DispatchMessage& m) {
    peer.link->Send(EncodeDispatch(m));
  };
  if (const auto* heartbeat = std::get_if<SchedulerHeartbeat>(&message)) {
    peer.last = *heartbeat;
    peer.heartbeat_at = BootClock::now();
    hooks_.on_evacuations_copy(heartbeat->evacuations);
    send(HeartbeatFor(peer));
    SendSettingsIfNewer(heartbeat->settings_version, send);
    if (heartbeat->known_epoch < keeper_->record().epoch) {
      send(OwnerAnnounced{keeper_->record()});
    }
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* stored = std::get_if<WorkflowStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;  // Its marker will be found.
    if (CheckWorkflow(stored->workflow)) return;
    owner_->OnWorkflowStored(stored->workflow);
    send(NoticeAcknowledged{stored->workflow.id});
  } else if (const auto* cancel = std::get_if<CancelStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;
    owner_->OnCancelStored(cancel->workflow);
    send(NoticeAcknowledged{CancelKey(cancel->workflow)});
  } else if (const auto* announced = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(announced->record);
  } else if (const auto* submit = std::get_if<RelayedSubmit>(&message)) {
    HandleRelay(peer.link->id(), *submit);
  } else if (const auto* relayed = std::get_if<RelayedCancel>(&message)) {
    HandleRelay(peer.link->id(), *relayed);
  } else if (const auto* question = std::get_if<Question>(&message)) {
    AnswerQuestion(*peer.link, *question);
  }
}

void Scheduler::Notify(const DispatchMessage& message, const std::string& key) {
  notices_[key] = {message, BootClock::now()};
  if (followed_.peer) followed_.peer->Send(message);
}

void Scheduler::ExpireNotices(TimePoint now) {
  for (auto it = notices_.begin(); it != notices_.end();) {
    const bool old = now - it->second.since > kNoticeLifetime;
    if (old) unconfirmed_.Release(it->first);
    it = old ? notices_.erase(it) : std::next(it);
  }
}

void Scheduler::QueryPeers(TimePoint now) {
  const TimePoint last_heard =
      std::max(followed_.heartbeat_at, followed_.since);
  const bool isolated = !keeper_->owns() &&
                        hooks_.table_silence() >= kIsolatedAfter &&
                        now - last_heard >= kIsolatedAfter;
  if (!isolated) {
    queried_peers_.Clear();
    unqueried_peers_.clear();
    return;
  }
  if (!queried_peers_.empty() && now - last_progress_ < kQueryTimeout) {
    queried_peers_.CloseIfSilent(kIsolatedAfter);
    return;
  }
  last_progress_ = now;
  queried_peers_.Clear();
  if (unqueried_peers_.empty()) {
    unqueried_peers_ = KnownAddresses();
    std::shuffle(unqueried_peers_.begin(), unqueried_peers_.end(), random_);
  }
  for (size_t i = 0; i < kPeersPerQuery && !unqueried_peers_.empty(); ++i) {
    Log(LogLevel::kInfo, "asking_peer",
        {{"peer", ToString(unqueried_peers_.back())},
         {"settings_version", hooks_.settings_version()}});
    queried_peers_.Dial(unqueried_peers_.back());
    unqueried_peers_.pop_back();
  }
}

DialedPeersHooks Scheduler::QueryHooks() {
  DialedPeersHooks hooks;
  hooks.on_open = [this](DialedPeer& peer) { peer.Send(Heartbeat()); };
  hooks.on_message = [this](const DispatchMessage& m) { OnQueryAnswer(m); };
  return hooks;
}

void Scheduler::OnQueryAnswer(const DispatchMessage& message) {
  if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* heartbeat =
                 std::get_if<SchedulerHeartbeat>(&message)) {
    hooks_.on_evacuations_copy(heartbeat->evacuations);
    if (heartbeat->table_silence < kIsolatedAfter) {
      last_progress_ = BootClock::now();
    }
  } else if (const auto* announced = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(announced->record);
  }
}

std::vector<Address> Scheduler::KnownAddresses() const {
  std::vector<Address> addresses;
  for (const std::string& text : known_peers_) {
    const Result<Address> address = ParseAddress(text);
    if (!IsOk(address) || text == OwnAddress()) continue;
    addresses.push_back(ValueOf(address));
  }
  return addresses;
}

void Scheduler::Announce() {
  DialedPeersHooks hooks;
  hooks.on_open = [this](DialedPeer& peer) {
    if (keeper_->owns()) peer.Send(OwnerAnnounced{keeper_->record()});
  };
  hooks.on_message = [](const DispatchMessage&) {};
  announcements_ = std::make_unique<DialedPeers>(loop_, std::move(hooks));
  for (const Address& address : KnownAddresses()) {
    announcements_->Dial(address);
  }
  announcement_timer_ =
      loop_.After(kAnnouncementDuration, [this] { announcements_.reset(); });
}

}  // namespace beamhill
