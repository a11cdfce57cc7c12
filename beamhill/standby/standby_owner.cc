#include "beamhill/standby/standby_owner.h"

#include <utility>

#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// Delay after a failure to listen on the address.
constexpr Duration kJoinRetryDelay = std::chrono::seconds(2);
// Below every scheduler, so that it claims last and hands over to any of them.
constexpr double kHostCapacity = 0.05;
// Running schedulers claim within a second once the table answers; after an
// outage all processes see a free row at the same time.
constexpr Duration kClaimDelay = std::chrono::milliseconds(2500);

}  // namespace

std::unique_ptr<StandbyOwner> StandbyOwner::Create(
    EventLoop& loop, const StandbySettings& settings, Table table,
    StandbyHooks hooks, Metrics& metrics) {
  return std::unique_ptr<StandbyOwner>(new StandbyOwner(
      loop, settings, std::move(table), std::move(hooks), metrics));
}

StandbyOwner::StandbyOwner(EventLoop& loop, const StandbySettings& settings,
                           Table table, StandbyHooks hooks, Metrics& metrics)
    : loop_(loop),
      settings_(settings),
      table_(std::move(table)),
      hooks_(std::move(hooks)) {
  metrics.AddGauge("beamhill_standing_in",
                   "1 while this process stands in for schedulers.",
                   [this] { return is_active() ? 1.0 : 0.0; });
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
}

StandbyOwner::~StandbyOwner() = default;

void StandbyOwner::Tick() {
  if (scheduler_) {
    LeaveIfNotNeeded(hooks_.now());
  } else if (hooks_.since_owner() >= settings_.owner_timeout &&
             hooks_.now() >= join_retry_at_) {
    Join();
  }
}

SchedulerHooks StandbyOwner::MakeSchedulerHooks() {
  SchedulerHooks hooks;
  hooks.table_silence = hooks_.table_silence;
  hooks.settings_version = [this] { return settings_version_; };
  hooks.settings_document = [this] { return settings_document_; };
  hooks.on_settings_copy = [this](uint64_t version,
                                  const std::string& document) {
    if (version <= settings_version_) return;
    settings_version_ = version;
    settings_document_ = document;
  };
  hooks.advisor = hooks_.advisor;
  hooks.evacuations = hooks_.evacuations;
  hooks.on_evacuations_copy = hooks_.on_evacuations_copy;
  return hooks;
}

void StandbyOwner::Join() {
  SchedulerSettings settings;
  settings.name = settings_.name;
  settings.peers = settings_.peers;
  settings.host_capacity = kHostCapacity;
  settings.claim_delay = kClaimDelay;
  settings.peer_links = settings_.peer_links;
  settings.work_bytes = settings_.work_bytes;
  scheduler_metrics_ = std::make_unique<Metrics>();
  auto scheduler = Scheduler::Start(loop_, settings, table_,
                                    MakeSchedulerHooks(), *scheduler_metrics_);
  if (!IsOk(scheduler)) {
    Log(LogLevel::kError, "cannot_stand_in",
        {{"error", ErrorOf(scheduler).message}});
    join_retry_at_ = hooks_.now() + kJoinRetryDelay;
    return;
  }
  Log(LogLevel::kWarning, "standing_in",
      {{"since_owner_ms", ToMillis(hooks_.since_owner())}});
  not_needed_since_.reset();
  hooks_.watch_evacuations(true);
  scheduler_ = std::move(ValueOf(scheduler));
}

void StandbyOwner::LeaveIfNotNeeded(TimePoint now) {
  const bool needed =
      scheduler_->owns() || hooks_.since_owner() >= settings_.owner_timeout;
  if (needed) {
    not_needed_since_.reset();
    return;
  }
  if (!not_needed_since_) not_needed_since_ = now;
  if (now - *not_needed_since_ < settings_.leave_delay) return;
  Log(LogLevel::kInfo, "no_longer_standing_in", {});
  scheduler_.reset();
  hooks_.watch_evacuations(false);
}

ListenerCounts StandbyOwner::link_counts() const {
  return scheduler_ ? scheduler_->peer_link_counts() : ListenerCounts();
}

std::string StandbyOwner::Dump() const {
  return scheduler_ ? scheduler_->Dump() : "";
}

}  // namespace beamhill
