#include "beamhill/executor/executor.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace beamhill {
namespace {

// The runner's clock may be slow by 2 %: a lease is given to it that much
// shorter.
constexpr int64_t kClockErrorPermille = 20;

// Lives that are remembered, to know late registrations of them: these are
// seconds late, and a runner takes longer to come back.
constexpr size_t kEarlierLives = 16;

// Past lives are told to each owner that attaches for so long: an owner that
// takes over as a runner goes down must hear what its predecessor would have.
// Later ones have what was stored.
constexpr Duration kPastLifeMemory = std::chrono::seconds(30);
constexpr size_t kMostPastLives = 16;

bool SameStatus(const VmStatus& a, const VmStatus& b) {
  return a.life == b.life && a.service == b.service && a.hall == b.hall &&
         a.labels == b.labels && a.capacity == b.capacity &&
         a.draining == b.draining;
}

}  // namespace

Executor::Executor(const ExecutorOptions& options, TaskRunner runner,
                   ExecutorHooks hooks)
    : options_(options),
      runner_(std::move(runner)),
      hooks_(std::move(hooks)),
      started_at_(hooks_.now()),
      owner_heard_at_(started_at_),
      start_lane_(runner_.limits.starts),
      stop_lane_(runner_.limits.stops),
      pace_lane_(runner_.limits.paces),
      pacer_(options_.harm_after) {}

void Executor::SendToOwner(const DispatchMessage& message) {
  if (owner_link_) hooks_.send(*owner_link_, message);
}

void Executor::NoteClock(const std::optional<RunnerClock>& clock) {
  if (!clock) return;
  clock_ = *clock;
  clock_at_ = hooks_.now();
  clock_known_ = true;
}

std::optional<RunnerClock> Executor::LeaseEndForRunner() const {
  const TimePoint now = hooks_.now();
  if (!clock_known_ || lease_end_ <= now) return std::nullopt;
  // The reading was taken no later than it arrived here, so this end is not
  // later than the granted one.
  const Duration ahead =
      std::min(lease_end_ - clock_at_, now - clock_at_ + options_.max_lease);
  const Duration safe = ahead * (1000 - kClockErrorPermille) / 1000;
  return clock_ + std::chrono::duration_cast<RunnerClock>(safe);
}

void Executor::KeepPastLife() {
  if (status_.life.empty()) return;
  const TimePoint now = hooks_.now();
  PastLife past = life_record_.Describe(status_.life, IsLeaving());
  if (!past_lives_.empty() && past_lives_.back().second.life == past.life) {
    // Given up as silent before; it may have answered and begun more since.
    const bool same = past_lives_.back().second.just_begun == past.just_begun;
    past_lives_.pop_back();
    past_lives_.emplace_back(now, past);
    if (same) return;
  } else {
    past_lives_.emplace_back(now, past);
  }
  if (past_lives_.size() > kMostPastLives) past_lives_.pop_front();
  if (past.announced) return;
  ++counts_.runners_lost;
  const auto silent = static_cast<int64_t>(ToMillis(now - last_answer_));
  hooks_.log("runner_lost", "",
             past.life + ", last heard " + std::to_string(silent) +
                 " ms ago; had just begun: " + RunNames(past.just_begun));
}

void Executor::ForgetPastLives(TimePoint now) {
  while (!past_lives_.empty() &&
         now - past_lives_.front().first > kPastLifeMemory) {
    past_lives_.pop_front();
  }
}

void Executor::DropOrders() {
  orders_.clear();
  start_lane_.Clear();
  stop_lane_.Clear();
}

void Executor::ResetLife() {
  DropOrders();
  pace_lane_.Clear();
  life_record_ = LifeRecord();
  paced_.clear();
  settled_ = 0;
  highest_listed_ = 0;
  reported_ = 0;
  clock_known_ = false;
  pacer_ = Pacer(options_.harm_after);
  pacer_.set_policy(pace_policy_);
}

bool Executor::IsEarlierLife(const std::string& life) const {
  return std::find(earlier_lives_.begin(), earlier_lives_.end(), life) !=
         earlier_lives_.end();
}

void Executor::NoteEarlierLife(const std::string& life) {
  if (life.empty()) return;
  earlier_lives_.push_back(life);
  if (earlier_lives_.size() > kEarlierLives) earlier_lives_.pop_front();
}

void Executor::OnRunnerRegistered(const VmStatus& status,
                                  std::optional<RunnerClock> clock) {
  if (IsEarlierLife(status.life) && !another_answers_) {
    hooks_.log("late_registration", "",
               status.life + " was followed by " + status_.life);
    return;
  }
  const bool new_life = status.life != status_.life;
  const bool changed = !SameStatus(status, status_);
  if (new_life) {
    KeepPastLife();
    std::string labels;
    for (const std::string& label : status.labels) labels += " " + label;
    hooks_.log("runner_registered", "",
               status.life + " after " +
                   (status_.life.empty() ? "none" : status_.life) + ", labels" +
                   labels);
    NoteEarlierLife(status_.life);
    earlier_lives_.erase(
        std::remove(earlier_lives_.begin(), earlier_lives_.end(), status.life),
        earlier_lives_.end());
    ResetLife();
    leaving_since_.reset();
    leave_asked_at_.reset();
    another_answers_ = false;
    runner_is_gone_ = false;
    inventory_wanted_ = true;
    last_answer_ = hooks_.now();
  }
  status_ = status;
  // A reading that comes with a registration may have waited on its way: it
  // only makes leases shorter.
  if (!clock_known_) NoteClock(clock);
  if (changed) SendToOwner(status_);
  if (new_life) LookSoon();
}

void Executor::OnRunnerLeaving(const std::string& life) {
  if (life != status_.life) return;
  hooks_.log("runner_left", "", life);
  leaving_since_ = hooks_.now();
}

bool Executor::IsCurrent(uint64_t link, uint64_t epoch,
                         const std::string& life) {
  const bool current =
      epoch == epoch_ && owner_link_ == link && life == status_.life;
  if (!current) ++counts_.stale_orders;
  return current;
}

void Executor::OnMessage(uint64_t link, const DispatchMessage& message) {
  if (const auto* attach = std::get_if<Attach>(&message)) {
    OnAttach(link, *attach);
  } else if (const auto* renew = std::get_if<RenewLease>(&message)) {
    if (renew->epoch == epoch_ && owner_link_ == link) OnRenew(*renew);
  } else if (const auto* starts = std::get_if<StartRuns>(&message)) {
    if (IsCurrent(link, starts->epoch, starts->life)) OnStartRuns(*starts);
  } else if (const auto* stops = std::get_if<StopRuns>(&message)) {
    if (IsCurrent(link, stops->epoch, stops->life)) OnStopRuns(*stops);
  } else if (const auto* settled = std::get_if<EndsSettled>(&message)) {
    if (IsCurrent(link, settled->epoch, settled->life)) OnSettled(*settled);
  } else if (const auto* traits = std::get_if<RunTraitsList>(&message)) {
    if (IsCurrent(link, traits->epoch, traits->life)) OnTraits(*traits);
  } else if (const auto* learned = std::get_if<PressureWeights>(&message)) {
    if (owner_link_ == link && learned->epoch == epoch_) OnWeights(*learned);
  } else if (const auto* policy = std::get_if<PacePolicyNotice>(&message)) {
    if (owner_link_ == link && policy->epoch == epoch_) OnPacePolicy(*policy);
  }
  if (owner_link_ == link) owner_heard_at_ = hooks_.now();
}

void Executor::OnAttach(uint64_t link, const Attach& attach) {
  if (attach.epoch < epoch_) {
    hooks_.log("attach_refused", "",
               "epoch " + std::to_string(attach.epoch) + " is below " +
                   std::to_string(epoch_));
    hooks_.send(link, VmHeartbeat{epoch_, hooks_.now()});
    return;
  }
  if (attach.epoch > epoch_) {
    hooks_.log("owner_attached", "", "epoch " + std::to_string(attach.epoch));
    // Calls that have left under the earlier epoch are refused once the runner
    // has seen this one, and the inventory is asked for under this one. What
    // waits must not leave: a runner may check no epochs. Paces are of this
    // process's own making and go on.
    DropOrders();
    epoch_ = attach.epoch;
  }
  owner_link_ = link;
  reported_ = 0;
  told_empty_ = false;
  inventory_wanted_ = true;
  LookSoon();
}

void Executor::OnLinkDown(uint64_t link) {
  if (owner_link_ == link) owner_link_.reset();
}

void Executor::OnRenew(const RenewLease& renew) {
  lease_end_ = std::max(lease_end_, renew.echoed_stamp + renew.term);
}

void Executor::AskLeavingRunner(TimePoint now) {
  if (!leaving_since_ || now - *leaving_since_ < options_.leave_pause) return;
  if (epoch_ == 0) {  // Nobody has asked for anything, and no look can be made.
    ForgetLeftRunner();
    return;
  }
  if (leave_asked_at_) return;
  if (LookSoon()) leave_asked_at_ = now;
}

void Executor::OnLeaveAnswered(RunnerVerdict verdict, TimePoint sent_at) {
  if (!leave_asked_at_ || sent_at < *leave_asked_at_) return;
  leave_asked_at_.reset();
  if (verdict == RunnerVerdict::kUnreachable ||
      verdict == RunnerVerdict::kOtherIncarnation ||
      verdict == RunnerVerdict::kNoAnswer) {
    ForgetLeftRunner();
    return;
  }
  hooks_.log("runner_stays", "", status_.life + " answers though it has left");
  leaving_since_.reset();
  if (status_.draining) leaving_since_ = hooks_.now();
}

void Executor::ForgetLeftRunner() {
  KeepPastLife();
  leaving_since_.reset();
  ResetLife();
  status_ = VmStatus();
  runner_is_gone_ = true;
  // Without a runner there is nothing to look at.
  if (owner_link_) SendEmptyInventory();
}

void Executor::GiveUpSilentRunner(TimePoint now) {
  if (!owner_link_ || !inventory_wanted_ || told_empty_) return;
  if (!AllLeasesOver(now)) return;
  hooks_.log("runner_silent", "",
             status_.life + ": every lease that it was given is over");
  told_empty_ = true;
  KeepPastLife();
  DropOrders();
  SendEmptyInventory();
}

void Executor::SendHeartbeat(TimePoint now) {
  const bool reachable = now - last_answer_ < options_.runner_lost_after;
  if (!owner_link_ || !reachable) return;
  if (now - last_heartbeat_ < options_.heartbeat_interval) return;
  last_heartbeat_ = now;
  SendToOwner(VmHeartbeat{epoch_, now});
}

void Executor::Tick() {
  const TimePoint now = hooks_.now();
  AskLeavingRunner(now);
  ForgetPastLives(now);
  GiveUpSilentRunner(now);
  SendHeartbeat(now);
  DropOutdatedStarts(now);
  RetryStops(now);
  LogOverdueStops(now);
  LookIfDue(now);
}

std::string Executor::Dump() const {
  std::ostringstream out;
  out << "epoch " << epoch_ << " owned " << owned() << " life " << status_.life
      << " draining " << status_.draining << " lease_ms "
      << ToMillis(lease_end_ - hooks_.now()) << " orders " << orders_.size()
      << " starts_waiting " << start_lane_.waiting() << " for_ms "
      << ToMillis(start_lane_.OldestWait(hooks_.now())) << " stops_waiting "
      << stop_lane_.waiting() << " oldest_stop_ms " << ToMillis(OldestStop())
      << " paces_waiting " << pace_lane_.waiting() << " paced " << paced_.size()
      << " settled " << settled_ << " listed " << highest_listed_ << "\n";
  return out.str();
}

}  // namespace beamhill
