#include "beamhill/scheduler/scheduler.h"

#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/config/config.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
// What a peer said longer ago may no longer hold.
constexpr Duration kFreshHeartbeat = std::chrono::milliseconds(800);
constexpr Duration kRelayTimeout = std::chrono::milliseconds(700);
// How long a new owner keeps trying to reach those that may not have heard.
constexpr Duration kAnnounceFor = std::chrono::seconds(8);
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(400);
// An owner's link that is silent for so long is dialed anew.
constexpr Duration kOwnerSilence = std::chrono::milliseconds(2500);
// An owner that the table has not answered for so long hands over to a peer
// that is still served.
constexpr Duration kCutOffAfter = std::chrono::milliseconds(2600);
// A notice that no owner has confirmed for so long is left to the markers in
// the table. Far below the time that finished workflows are kept, so that a
// late notice can't bring one back.
constexpr Duration kNoticeLife = std::chrono::seconds(30);
// Added to inherited bounds for messages on their way.
constexpr Duration kBoundMargin = std::chrono::milliseconds(500);

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
      desk_(table) {
  owner_metrics_.commit = &metrics.AddLatency(
      "beamhill_commit_latency", "From sending a transaction to its answer.");
  owner_metrics_.starts =
      &metrics.AddCounter("beamhill_starts_total", "Tasks ordered to start.");
  metrics.AddGauge("beamhill_owner", "1 while this process owns the work.",
                   [this] { return owns() ? 1.0 : 0.0; });
  metrics.AddGauge(
      "beamhill_workflows", "Workflows that the owner knows.", [this] {
        return owner_ && owner_->loaded()
                   ? static_cast<double>(owner_->dispatcher()->workflows())
                   : 0.0;
      });
  MakeKeeper();
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

Scheduler::~Scheduler() = default;

Status Scheduler::Listen() {
  auto listener = LinkListener::Listen(
      loop_, settings_.peers, [this](Link& link) { return OnAccept(link); });
  if (!IsOk(listener)) return ErrorOf(listener);
  listener_ = std::move(ValueOf(listener));
  return Ok{};
}

void Scheduler::MakeKeeper() {
  OwnershipKeeperOptions options;
  options.name = settings_.name;
  options.incarnation = incarnation_;
  options.address = ToString(settings_.peers);
  options.authority_term = settings_.authority_term;
  OwnershipKeeperHooks hooks;
  hooks.now = [] { return BootClock::now(); };
  hooks.random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  };
  hooks.on_follow = [this](const OwnerRecord& owner) { Follow(owner); };
  hooks.on_taken = [this](uint64_t epoch, bool released, bool first) {
    OnTaken(epoch, released, first);
  };
  hooks.on_lost = [this] { retired_owner_ = std::move(owner_); };
  hooks.log = [](const std::string& event, const std::string& detail) {
    Log(LogLevel::kInfo, event, {{"detail", detail}});
  };
  keeper_ =
      std::make_unique<OwnershipKeeper>(options, table_, std::move(hooks));
}

void Scheduler::OnTaken(uint64_t epoch, bool released, bool first) {
  if (owner_peer_) retired_peers_.push_back(std::move(owner_peer_));
  WorkOwnerOptions options;
  options.epoch = epoch;
  options.lease_term = settings_.lease_term;
  options.first = first;
  options.inherited_bound = settings_.lease_term + kBoundMargin;
  if (!released) options.inherited_bound += settings_.authority_term;
  owner_ = std::make_unique<WorkOwner>(loop_, table_, *keeper_, options,
                                       hooks_.advisor, owner_metrics_);
  // Stored workflows are found by loading.
  notices_.clear();
  if (!followed_.address.empty()) known_peers_.insert(followed_.address);
  retired_announcements_ = std::move(announcements_);
  announcements_.clear();
  Announce();
}

void Scheduler::Follow(const OwnerRecord& owner) {
  const Result<Address> address = ParseAddress(owner.address);
  if (!IsOk(address)) return;
  followed_ = owner;
  Log(LogLevel::kInfo, "following",
      {{"owner", owner.owner}, {"epoch", owner.epoch}});
  if (owner_peer_) retired_peers_.push_back(std::move(owner_peer_));
  owner_store_answers_ = false;
  DialedPeerHooks hooks;
  hooks.on_open = [this] {
    owner_peer_->Send(Heartbeat());
    SendNotices();
  };
  hooks.on_message = [this](const DispatchMessage& message) {
    OnOwnerMessage(message);
  };
  hooks.on_down = [this](bool was_open) {
    if (!was_open) return;
    Log(LogLevel::kWarning, "owner_unlinked", {{"owner", followed_.owner}});
  };
  owner_peer_ =
      std::make_unique<DialedPeer>(loop_, ValueOf(address), std::move(hooks));
}

SchedulerHeartbeat Scheduler::Heartbeat() const {
  SchedulerHeartbeat beat;
  beat.name = settings_.name;
  beat.address = ToString(settings_.peers);
  beat.incarnation = incarnation_;
  beat.epoch = keeper_->owns() ? keeper_->epoch() : 0;
  beat.store_answers = hooks_.store_answers();
  beat.settings_version = hooks_.settings_version();
  if (keeper_->owns()) {
    for (const auto& [link, peer] : peers_) {
      if (!peer.last.address.empty()) beat.peers.push_back(peer.last.address);
    }
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
    owner_store_answers_ = beat->store_answers;
    known_peers_.insert(beat->peers.begin(), beat->peers.end());
    if (!beat->store_answers) keeper_->OnOwnerCutOff();
    if (beat->incarnation != followed_.incarnation) {
      keeper_->OnOwnerGone(followed_.incarnation);
    }
    ShareSettings(beat->settings_version,
                  [this](const DispatchMessage& m) { owner_peer_->Send(m); });
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* taken = std::get_if<NoticeTaken>(&message)) {
    notices_.erase(taken->workflow);
  } else if (const auto* over = std::get_if<HandOver>(&message)) {
    keeper_->OnHandOver(over->epoch);
  } else if (const auto* result = std::get_if<RelayedResult>(&message)) {
    const auto it = relays_.find(result->id);
    if (it == relays_.end()) return;
    const auto done = std::move(it->second.done);
    relays_.erase(it);
    done(result->result);
  } else if (const auto* answer = std::get_if<Answer>(&message)) {
    const auto it = questions_.find(answer->id);
    if (it == questions_.end()) return;
    const auto done = std::move(it->second.done);
    questions_.erase(it);
    done(*answer);
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
    send(Heartbeat());
    ShareSettings(beat->settings_version, send);
  } else if (const auto* copy = std::get_if<ServiceSettingsCopy>(&message)) {
    hooks_.on_settings_copy(copy->version, copy->document);
  } else if (const auto* stored = std::get_if<WorkflowStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;  // Repeated until confirmed.
    owner_->OnWorkflowStored(stored->workflow);
    send(NoticeTaken{stored->workflow.id});
  } else if (const auto* cancel = std::get_if<CancelStored>(&message)) {
    if (!owner_ || !owner_->loaded()) return;
    owner_->OnCancelStored(cancel->workflow);
    send(NoticeTaken{"cancel " + cancel->workflow});
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

void Scheduler::AnswerQuestion(Link& link, const Question& question) {
  Answer answer;
  answer.id = question.id;
  if (owner_ && keeper_->MayAct()) {
    if (question.workflow.empty()) {
      const auto waiting = owner_->WaitingIn(question.queue);
      answer.known = waiting.has_value();
      answer.waiting = waiting.value_or(0);
    } else if (const auto state = owner_->StateOf(question.workflow); state) {
      answer.known = true;
      answer.state = *state;
    }
  }
  link.Send(EncodeDispatch(answer));
}

void Scheduler::Ask(Question question,
                    std::function<void(std::optional<Answer>)> done) {
  if (!owner_peer_ || !owner_peer_->is_open()) {
    done(std::nullopt);
    return;
  }
  question.id = next_call_++;
  const uint64_t id = question.id;
  OpenQuestion& open = questions_[id];
  open.done = std::move(done);
  open.timeout = loop_.After(kQuestionTimeout, [this, id] {
    const auto it = questions_.find(id);
    const auto unanswered = std::move(it->second.done);
    questions_.erase(it);
    unanswered(std::nullopt);
  });
  owner_peer_->Send(question);
}

void Scheduler::Notify(const DispatchMessage& message, const std::string& key) {
  notices_[key] = {message, BootClock::now()};
  if (owner_peer_) owner_peer_->Send(message);
}

void Scheduler::SendNotices() {
  for (const auto& [key, notice] : notices_) owner_peer_->Send(notice.message);
}

void Scheduler::TellOwner(const Workflow& workflow) {
  if (owner_) {
    owner_->OnWorkflowStored(workflow);
  } else {
    Notify(WorkflowStored{workflow}, workflow.id);
  }
}

void Scheduler::SubmitHere(const Workflow& workflow,
                           std::function<void(SubmitResult)> done) {
  desk_.Submit(workflow, [this, workflow, done](SubmitResult result) {
    if (result == SubmitResult::kAccepted) TellOwner(workflow);
    done(result);
  });
}

void Scheduler::CancelHere(const std::string& workflow,
                           std::function<void(CancelResult)> done) {
  desk_.Cancel(workflow, [this, workflow, done](CancelResult result) {
    if (result == CancelResult::kCancelled) {
      if (owner_) {
        owner_->OnCancelStored(workflow);
      } else {
        Notify(CancelStored{workflow}, "cancel " + workflow);
      }
    }
    done(result);
  });
}

bool Scheduler::CanRelay() const {
  return owner_peer_ && owner_peer_->is_open() && owner_store_answers_;
}

// Whether a call was stored, after it was tried here and then by the owner.
// Only two refusals make a refusal.
SubmitResult Scheduler::AfterRelay(SubmitResult here,
                                   std::optional<uint8_t> relayed) {
  if (!relayed) return SubmitResult::kUnknown;
  const auto there = static_cast<SubmitResult>(*relayed);
  const bool unsure = here == SubmitResult::kUnknown;
  return there == SubmitResult::kRefused && unsure ? here : there;
}

// Either way of storing a submission or a cancellation may be tried after the
// other whatever became of it: both change nothing the second time.
void Scheduler::Submit(Workflow workflow,
                       std::function<void(SubmitResult)> done) {
  workflow.offered_to = keeper_->epoch();
  const auto relay = [this, workflow, done](SubmitResult here) {
    const uint64_t id = next_call_++;
    Relay(id, RelayedSubmit{id, workflow},
          [here, done](std::optional<uint8_t> result) {
            done(AfterRelay(here, result));
          });
  };
  if (!hooks_.store_answers() && CanRelay()) {
    relay(SubmitResult::kRefused);
    return;
  }
  SubmitHere(workflow, [this, relay, done](SubmitResult result) {
    const bool stored = result == SubmitResult::kAccepted ||
                        result == SubmitResult::kAlreadyStored;
    if (stored || !CanRelay()) {
      done(result);
    } else {
      relay(result);
    }
  });
}

void Scheduler::Cancel(const std::string& workflow,
                       std::function<void(CancelResult)> done) {
  const auto relay = [this, workflow, done] {
    const uint64_t id = next_call_++;
    Relay(id, RelayedCancel{id, workflow},
          [done](std::optional<uint8_t> result) {
            done(result ? static_cast<CancelResult>(*result)
                        : CancelResult::kUnknown);
          });
  };
  if (!hooks_.store_answers() && CanRelay()) {
    relay();
    return;
  }
  CancelHere(workflow, [this, relay, done](CancelResult result) {
    if (result != CancelResult::kUnknown || !CanRelay()) {
      done(result);
    } else {
      relay();
    }
  });
}

void Scheduler::Relay(uint64_t id, const DispatchMessage& call,
                      std::function<void(std::optional<uint8_t>)> done) {
  OpenRelay& open = relays_[id];
  open.done = std::move(done);
  open.timeout = loop_.After(kRelayTimeout, [this, id] {
    const auto it = relays_.find(id);
    const auto unanswered = std::move(it->second.done);
    relays_.erase(it);
    unanswered(std::nullopt);
  });
  owner_peer_->Send(call);
}

void Scheduler::ServeRelay(Link* link, const RelayedSubmit& call) {
  Workflow workflow = call.workflow;
  workflow.offered_to = keeper_->epoch();
  SubmitHere(workflow, [this, link, id = call.id](SubmitResult result) {
    AnswerRelay(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::ServeRelay(Link* link, const RelayedCancel& call) {
  CancelHere(call.workflow, [this, link, id = call.id](CancelResult result) {
    AnswerRelay(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::AnswerRelay(Link* link, uint64_t id, uint8_t result) {
  if (peers_.count(link) == 0) return;  // It has gone meanwhile.
  link->Send(EncodeDispatch(RelayedResult{id, result}));
}

// Tells every scheduler that this process knows of. The row says the same,
// but not to those that the table turns away.
void Scheduler::Announce() {
  for (const std::string& text : known_peers_) {
    const Result<Address> address = ParseAddress(text);
    if (!IsOk(address) || text == ToString(settings_.peers)) continue;
    const size_t index = announcements_.size();
    DialedPeerHooks hooks;
    hooks.on_open = [this, index] {
      if (!keeper_->owns()) return;
      announcements_[index]->Send(OwnerAnnounced{keeper_->record()});
    };
    hooks.on_message = [](const DispatchMessage&) {};
    hooks.on_down = [](bool) {};
    announcements_.push_back(std::make_unique<DialedPeer>(
        loop_, ValueOf(address), std::move(hooks)));
  }
  end_announcements_ =
      loop_.After(kAnnounceFor, [this] { announcements_.clear(); });
}

void Scheduler::StateOf(const std::string& workflow,
                        std::function<void(StateResult)> done) {
  if (owner_ && keeper_->MayAct()) {
    if (const auto state = owner_->StateOf(workflow); state) {
      done({true, state});
      return;
    }
  }
  Question question;
  question.workflow = workflow;
  Ask(question, [this, workflow, done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done({true, answer->state});
      return;
    }
    desk_.StoredState(workflow, done);
  });
}

void Scheduler::WaitingIn(const std::string& queue,
                          std::function<void(std::optional<uint64_t>)> done) {
  if (owner_ && owner_->loaded()) {
    done(owner_->WaitingIn(queue));
    return;
  }
  Question question;
  question.queue = queue;
  Ask(question, [done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done(answer->waiting);
    } else {
      done(std::nullopt);
    }
  });
}

Link* Scheduler::ServedPeer() {
  for (auto& [link, peer] : peers_) {
    const bool fresh = BootClock::now() - peer.heard_at < kFreshHeartbeat;
    if (fresh && peer.last.store_answers) return link;
  }
  return nullptr;
}

void Scheduler::OfferHandOver(uint64_t epoch) {
  Link* link = ServedPeer();
  if (link == nullptr) return;
  Log(LogLevel::kInfo, "handing_over",
      {{"to", peers_.at(link).last.name}, {"epoch", epoch}});
  link->Send(EncodeDispatch(HandOver{epoch}));
}

void Scheduler::HandOverIfCutOff() {
  const bool cut_off = keeper_->owns() &&
                       keeper_->SinceConfirmed() >= kCutOffAfter &&
                       ServedPeer() != nullptr;
  if (!cut_off) return;
  const uint64_t epoch = keeper_->epoch();
  keeper_->HandOverTo();
  OfferHandOver(epoch);
}

void Scheduler::Tick() {
  retired_peers_.clear();
  retired_owner_.reset();
  retired_announcements_.clear();
  keeper_->Tick();
  HandOverIfCutOff();
  const TimePoint now = BootClock::now();
  for (auto it = notices_.begin(); it != notices_.end();) {
    const bool old = now - it->second.since > kNoticeLife;
    it = old ? notices_.erase(it) : std::next(it);
  }
  if (!owner_peer_) return;
  owner_peer_->CloseIfSilent(kOwnerSilence);
  if (now - last_heartbeat_ < kHeartbeatInterval) return;
  last_heartbeat_ = now;
  owner_peer_->Send(Heartbeat());
}

void Scheduler::Leave(std::function<void()> done) {
  leaving_ = true;
  if (!owner_) {
    keeper_->Release(std::move(done));
    return;
  }
  owner_->Quiesce([this, done] {
    const uint64_t epoch = keeper_->epoch();
    keeper_->Release([this, epoch, done] {
      retired_owner_ = std::move(owner_);
      OfferHandOver(epoch);
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
