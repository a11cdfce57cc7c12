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
// An owner's link that is silent for so long is dialed anew.
constexpr Duration kOwnerSilence = std::chrono::milliseconds(2500);
// An owner that the table has not answered for so long hands over to a peer
// that is still served.
constexpr Duration kCutOffAfter = std::chrono::milliseconds(2600);
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
      desk_(table),
      questions_(loop),
      relays_(loop) {
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
  DropOldNotices(now);
  if (!owner_peer_) return;
  owner_peer_->CloseIfSilent(kOwnerSilence);
  if (now - last_heartbeat_ < kHeartbeatInterval) return;
  last_heartbeat_ = now;
  owner_peer_->Send(Heartbeat());
}

void Scheduler::Leave(std::function<void()> done) {
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
