// The part of Scheduler that talks with its peers: heartbeats, notices of what
// was stored, announcements of a new owner.
#include <algorithm>
#include <string>
#include <utility>

#include "beamhill/config/config.h"
#include "beamhill/log/log.h"
#include "beamhill/scheduler/in_turn.h"
#include "beamhill/scheduler/scheduler.h"

namespace beamhill {
namespace {

// How long a new owner keeps trying to reach those that may not have heard.
constexpr Duration kAnnounceFor = std::chrono::seconds(8);
// A notice that no owner has confirmed for so long is left to the markers in
// the table. Far below the time that finished workflows are kept, so that a
// late notice can't bring one back.
constexpr Duration kNoticeLife = std::chrono::seconds(30);
// An owner that the table has not answered for so long may be cut off from it.
constexpr Duration kOwnerCutOff = std::chrono::milliseconds(550);
// Without an answer of the table and without a word of an owner for so long,
// other schedulers are asked, so many at a time.
constexpr Duration kAloneAfter = std::chrono::milliseconds(900);
constexpr size_t kQueriedPeers = 3;
// When none of them has been served by the table for so long, the next are.
constexpr Duration kQueryRound = std::chrono::milliseconds(1500);
// Addresses of others in an owner's heartbeat: of 184 schedulers each is told
// within 7 s.
constexpr size_t kPeersOfHeartbeat = 8;

}  // namespace

std::string Scheduler::CancelKey(const std::string& workflow) {
  return "cancel " + workflow;
}

SchedulerHeartbeat Scheduler::Heartbeat() const {
  SchedulerHeartbeat beat;
  beat.name = settings_.name;
  beat.address = ToString(settings_.peers);
  beat.incarnation = incarnation_;
  beat.epoch = keeper_->owns() ? keeper_->epoch() : 0;
  beat.known_epoch = keeper_->record().epoch;
  beat.store_silence = hooks_.store_silence();
  beat.host_capacity = settings_.host_capacity;
  beat.settings_version = hooks_.settings_version();
  beat.evacuations = hooks_.evacuations();
  return beat;
}

// Of all peers to all peers would be bytes that grow with their square.
SchedulerHeartbeat Scheduler::HeartbeatTo(Peer& peer) {
  SchedulerHeartbeat beat = Heartbeat();
  if (!keeper_->owns()) return beat;
  for (Link* link : NextInTurn(peers_, peer.told_last, kPeersOfHeartbeat)) {
    const std::string& address = peers_.at(link).last.address;
    if (!address.empty()) beat.peers.push_back(address);
  }
  return beat;
}

void Scheduler::ShareSettings(
    uint64_t peers_version,
    const std::function<void(const DispatchMessage&)>& send) {
  if (peers_version >= hooks_.settings_version()) return;
  send(ServiceSettingsCopy{hooks_.settings_version(),
                           hooks_.settings_document()});
}

void Scheduler::OnOwnerMessage(const DispatchMessage& message) {
  if (const auto* beat = std::get_if<SchedulerHeartbeat>(&message)) {
    if (beat->epoch >= followed_.epoch) keeper_->OnOwnerHeard(beat->epoch);
    owner_heard_at_ = BootClock::now();
    hooks_.on_evacuations_copy(beat->evacuations);
    owner_store_answers_ = beat->store_silence < kOwnerCutOff;
    owner_served_at_ = owner_heard_at_ - beat->store_silence;
    known_peers_.insert(beat->peers.begin(), beat->peers.end());
    // The answer, if there is one, makes this process a successor.
    if (beat->store_silence >= kOwnerCutOff) ProbeStore();
    if (beat->incarnation != followed_.incarnation) {
      keeper_->OnOwnerGone(followed_.incarnation);
    }
    ShareSettings(beat->settings_version,
                  [this](const DispatchMessage& m) { owner_peer_->Send(m); });
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* later = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(later->record);
  } else if (const auto* taken = std::get_if<NoticeAcknowledged>(&message)) {
    notices_.erase(taken->workflow);
  } else if (const auto* over = std::get_if<HandOver>(&message)) {
    keeper_->OnHandOver(over->epoch);
  } else if (const auto* result = std::get_if<RelayedResult>(&message)) {
    relays_.Finish(result->id, result->result);
  } else if (const auto* answer = std::get_if<Answer>(&message)) {
    questions_.Finish(answer->id, *answer);
  }
}

LinkHooks Scheduler::OnAccept(Link& link) {
  peers_[&link].link = &link;
  LinkHooks hooks;
  hooks.on_message = [this](Link& l, std::string_view frame) {
    OnPeerFrame(l, frame);
  };
  hooks.on_close = [this](Link& l) { peers_.erase(&l); };
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
  OnPeerMessage(peers_.at(&link), ValueOf(message));
}

void Scheduler::OnPeerMessage(Peer& peer, const DispatchMessage& message) {
  const auto send = [&peer](const DispatchMessage& m) {
    peer.link->Send(EncodeDispatch(m));
  };
  if (const auto* beat = std::get_if<SchedulerHeartbeat>(&message)) {
    peer.last = *beat;
    peer.heard_at = BootClock::now();
    hooks_.on_evacuations_copy(beat->evacuations);
    send(HeartbeatTo(peer));
    ShareSettings(beat->settings_version, send);
    if (beat->known_epoch < keeper_->record().epoch) {
      send(OwnerAnnounced{keeper_->record()});
    }
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* stored = std::get_if<WorkflowStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;  // Its marker is found.
    owner_->OnWorkflowStored(stored->workflow);
    send(NoticeAcknowledged{stored->workflow.id});
  } else if (const auto* cancel = std::get_if<CancelStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;
    owner_->OnCancelStored(cancel->workflow);
    send(NoticeAcknowledged{CancelKey(cancel->workflow)});
  } else if (const auto* announced = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(announced->record);
  } else if (const auto* submit = std::get_if<RelayedSubmit>(&message)) {
    ServeRelay(peer.link, *submit);
  } else if (const auto* relayed = std::get_if<RelayedCancel>(&message)) {
    ServeRelay(peer.link, *relayed);
  } else if (const auto* question = std::get_if<Question>(&message)) {
    AnswerQuestion(*peer.link, *question);
  }
}

void Scheduler::Notify(const DispatchMessage& message, const std::string& key) {
  notices_[key] = {message, BootClock::now()};
  if (owner_peer_) owner_peer_->Send(message);
}

void Scheduler::DropOldNotices(TimePoint now) {
  for (auto it = notices_.begin(); it != notices_.end();) {
    const bool old = now - it->second.since > kNoticeLife;
    it = old ? notices_.erase(it) : std::next(it);
  }
}

void Scheduler::SendNotices() {
  for (const auto& [key, notice] : notices_) owner_peer_->Send(notice.message);
}

void Scheduler::QueryPeers(TimePoint now) {
  const bool alone = !keeper_->owns() &&
                     hooks_.store_silence() >= kAloneAfter &&
                     now - owner_heard_at_ >= kAloneAfter;
  if (!alone) {
    queries_.Clear();
    unasked_.clear();
    return;
  }
  if (!queries_.empty() && now - query_helped_at_ < kQueryRound) {
    queries_.CloseIfSilent(kAloneAfter);
    return;
  }
  query_helped_at_ = now;
  queries_.Clear();
  if (unasked_.empty()) {
    unasked_ = KnownAddresses();
    std::shuffle(unasked_.begin(), unasked_.end(), random_);
  }
  for (size_t i = 0; i < kQueriedPeers && !unasked_.empty(); ++i) {
    Log(LogLevel::kInfo, "asking_peer",
        {{"peer", ToString(unasked_.back())},
         {"settings_version", hooks_.settings_version()}});
    queries_.Dial(unasked_.back());
    unasked_.pop_back();
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
  } else if (const auto* beat = std::get_if<SchedulerHeartbeat>(&message)) {
    hooks_.on_evacuations_copy(beat->evacuations);
    if (beat->store_silence < kAloneAfter) query_helped_at_ = BootClock::now();
  } else if (const auto* announced = std::get_if<OwnerAnnounced>(&message)) {
    keeper_->OnOwnerAnnounced(announced->record);
  }
}

std::vector<Address> Scheduler::KnownAddresses() const {
  std::vector<Address> addresses;
  for (const std::string& text : known_peers_) {
    const Result<Address> address = ParseAddress(text);
    if (!IsOk(address) || text == ToString(settings_.peers)) continue;
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
  end_announcements_ =
      loop_.After(kAnnounceFor, [this] { announcements_.reset(); });
}

}  // namespace beamhill
