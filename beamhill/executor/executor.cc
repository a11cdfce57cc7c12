#include "beamhill/executor/executor.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace beamhill {
namespace {

// The runner's clock may be slow by 2 %, so a lease is passed on to it
// shortened by as much.
constexpr int64_t kClockErrorPermille = 20;

// Number of earlier incarnations kept to recognize their delayed registrations.
// Those arrive seconds late, and a runner takes longer than that to restart.
constexpr size_t kMaxEarlierIds = 16;

// How long past incarnations are reported to each owner that attaches: one that
// takes over while a runner fails needs what its predecessor would have been
// told. Owners that attach later find it in the table.
constexpr Duration kPastIncarnationRetention = std::chrono::seconds(30);
constexpr size_t kMaxPastRecords = 16;

// Compares what registrations tell; `stalled` is not part of it.
bool SameStatus(const VmStatus& a, const VmStatus& b) {
  return a.incarnation == b.incarnation && a.service == b.service &&
         a.hall == b.hall && a.labels == b.labels && a.capacity == b.capacity &&
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
      start_queue_(runner_.limits.starts),
      stop_queue_(runner_.limits.stops),
      pace_queue_(runner_.limits.paces),
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
  // The clock was read before its reading arrived here, so the computed end is
  // not later than the granted one.
  const Duration ahead =
      std::min(lease_end_ - clock_at_, now - clock_at_ + options_.max_lease);
  const Duration safe = ahead * (1000 - kClockErrorPermille) / 1000;
  return clock_ + std::chrono::duration_cast<RunnerClock>(safe);
}

void Executor::RecordPastIncarnation() {
  if (status_.incarnation.empty()) return;
  const TimePoint now = hooks_.now();
  PastIncarnation past =
      incarnation_record_.Describe(status_.incarnation, IsLeaving());
  if (!past_records_.empty() &&
      past_records_.back().second.incarnation == past.incarnation) {
    // Recorded before, when it was silent; it may since have answered and begun
    // more runs.
    const bool same = past_records_.back().second.just_begun == past.just_begun;
    past_records_.pop_back();
    past_records_.emplace_back(now, past);
    if (same) return;
  } else {
    past_records_.emplace_back(now, past);
  }
  if (past_records_.size() > kMaxPastRecords) past_records_.pop_front();
  if (past.announced) return;
  ++counts_.runners_lost;
  const auto silent_ms = static_cast<int64_t>(ToMillis(now - last_answer_));
  hooks_.log("runner_lost", "",
             past.incarnation + ", last heard " + std::to_string(silent_ms) +
                 " ms ago; had just begun: " + RunNames(past.just_begun));
}

void Executor::ForgetPastIncarnations(TimePoint now) {
  while (!past_records_.empty() &&
         now - past_records_.front().first > kPastIncarnationRetention) {
    past_records_.pop_front();
  }
}

void Executor::DropOrders() {
  orders_.clear();
  start_queue_.Clear();
  stop_queue_.Clear();
}

void Executor::ResetIncarnation() {
  DropOrders();
  pace_queue_.Clear();
  incarnation_record_ = IncarnationRecord();
  paced_.clear();
  acknowledged_through_ = 0;
  highest_end_listed_ = 0;
  reported_through_ = 0;
  clock_known_ = false;
  active_run_listed_ = false;
  stall_detector_ = StallDetector();
  pacer_ = Pacer(options_.harm_after);
  pacer_.set_policy(pace_policy_);
}

bool Executor::IsEarlierIncarnation(const std::string& incarnation) const {
  return std::find(earlier_ids_.begin(), earlier_ids_.end(), incarnation) !=
         earlier_ids_.end();
}

void Executor::NoteEarlierIncarnation(const std::string& incarnation) {
  if (incarnation.empty()) return;
  earlier_ids_.push_back(incarnation);
  if (earlier_ids_.size() > kMaxEarlierIds) earlier_ids_.pop_front();
}

void Executor::OnRunnerRegistered(const VmStatus& status,
                                  std::optional<RunnerClock> clock) {
  if (IsEarlierIncarnation(status.incarnation) && !other_incarnation_answers_) {
    hooks_.log("late_registration", "",
               status.incarnation + " was replaced by " + status_.incarnation);
    return;
  }
  const bool new_incarnation = status.incarnation != status_.incarnation;
  // A registration does not tell whether tasks are stalled.
  const bool stalled = !new_incarnation && status_.stalled;
  const bool changed = !SameStatus(status, status_);
  if (new_incarnation) {
    RecordPastIncarnation();
    std::string labels;
    for (const std::string& label : status.labels) labels += " " + label;
    hooks_.log(
        "runner_registered", "",
        status.incarnation + " after " +
            (status_.incarnation.empty() ? "none" : status_.incarnation) +
            ", labels" + labels);
    NoteEarlierIncarnation(status_.incarnation);
    earlier_ids_.erase(std::remove(earlier_ids_.begin(), earlier_ids_.end(),
                                   status.incarnation),
                       earlier_ids_.end());
    ResetIncarnation();
    leaving_since_.reset();
    leave_polled_at_.reset();
    other_incarnation_answers_ = false;
    runner_is_gone_ = false;
    departure_verified_ = false;
    inventory_pending_ = true;
    last_answer_ = hooks_.now();
  }
  status_ = status;
  status_.stalled = stalled;
  warm_at_ = hooks_.now() + status.cold;
  // The reading in a delayed registration is old, which only shortens leases.
  if (!clock_known_) NoteClock(clock);
  if (changed) SendToOwner(status_);
  if (new_incarnation) PollSoon();
}

void Executor::OnRunnerLeaving(const std::string& incarnation) {
  if (incarnation != status_.incarnation) return;
  hooks_.log("runner_left", "", incarnation);
  leaving_since_ = hooks_.now();
}

bool Executor::IsCurrent(uint64_t link, uint64_t epoch,
                         const std::string& incarnation) {
  const bool current = epoch == epoch_ && owner_link_ == link &&
                       incarnation == status_.incarnation;
  if (!current) ++counts_.stale_orders;
  return current;
}

void Executor::OnMessage(uint64_t link, const DispatchMessage& message) {
  if (const auto* attach = std::get_if<Attach>(&message)) {
    OnAttach(link, *attach);
  } else if (const auto* renew = std::get_if<RenewLease>(&message)) {
    if (renew->epoch == epoch_ && owner_link_ == link) OnRenew(*renew);
  } else if (const auto* starts = std::get_if<StartRuns>(&message)) {
    if (IsCurrent(link, starts->epoch, starts->incarnation)) {
      OnStartRuns(*starts);
    }
  } else if (const auto* stops = std::get_if<StopRuns>(&message)) {
    if (IsCurrent(link, stops->epoch, stops->incarnation)) OnStopRuns(*stops);
  } else if (const auto* acks = std::get_if<EndsAcknowledged>(&message)) {
    if (IsCurrent(link, acks->epoch, acks->incarnation)) {
      OnEndsAcknowledged(*acks);
    }
  } else if (const auto* traits = std::get_if<RunTraitsList>(&message)) {
    if (IsCurrent(link, traits->epoch, traits->incarnation)) {
      OnRunTraits(*traits);
    }
  } else if (const auto* bounds = std::get_if<ProgressBounds>(&message)) {
    if (IsCurrent(link, bounds->epoch, bounds->incarnation)) {
      OnProgressBounds(*bounds);
    }
  } else if (const auto* learned = std::get_if<InterferenceWeights>(&message)) {
    if (owner_link_ == link && learned->epoch == epoch_) OnWeights(*learned);
  } else if (const auto* policy = std::get_if<PacePolicyNotice>(&message)) {
    if (owner_link_ == link && policy->epoch == epoch_) OnPacePolicy(*policy);
  }
  if (owner_link_ == link) owner_heard_at_ = hooks_.now();
}

void Executor::OnAttach(uint64_t link, const Attach& attach) {
  if (attach.epoch < epoch_) {
    LogRefusedOwner(attach.epoch);
    hooks_.send(link, VmHeartbeat{epoch_, hooks_.now()});
    return;
  }
  if (attach.epoch > epoch_) {
    hooks_.log("owner_attached", "", "epoch " + std::to_string(attach.epoch));
    // Once the runner has seen this epoch, which it does with the poll for the
    // inventory, it refuses calls sent under an earlier one. Queued starts and
    // stops are dropped here because a runner may not check epochs. Pace orders
    // originate in this process and stay valid.
    DropOrders();
    epoch_ = attach.epoch;
    epoch_from_table_ = false;
  }
  owner_link_ = link;
  reported_through_ = 0;
  empty_inventory_sent_ = departure_verified_;
  inventory_pending_ = true;
  // There is no runner to poll. What it ran has ended with it.
  if (departure_verified_) SendEmptyInventory();
  PollSoon();
}

void Executor::RejectOwnersBelow(uint64_t epoch) {
  if (epoch <= epoch_) return;
  const uint64_t earlier = std::exchange(epoch_, epoch);
  epoch_from_table_ = true;
  DropOrders();
  if (!owner_link_) return;
  LogRefusedOwner(earlier);
  owner_link_.reset();
}

void Executor::LogRefusedOwner(uint64_t epoch) {
  ++counts_.owners_refused;
  hooks_.log("owner_refused", "",
             "epoch " + std::to_string(epoch) + " is below " +
                 std::to_string(epoch_) + ", known from the " +
                 (epoch_from_table_ ? "table" : "owner itself"));
}

void Executor::OnLinkDown(uint64_t link) {
  if (owner_link_ == link) owner_link_.reset();
}

void Executor::OnRenew(const RenewLease& renew) {
  lease_end_ = std::max(lease_end_, renew.echoed_stamp + renew.term);
}

void Executor::PollLeavingRunner(TimePoint now) {
  if (!leaving_since_ || now - *leaving_since_ < options_.exit_grace) return;
  if (epoch_ == 0) {  // Without an owner there is no epoch to poll under.
    ForgetDepartedRunner();
    return;
  }
  if (leave_polled_at_) return;
  if (PollSoon()) leave_polled_at_ = now;
}

void Executor::OnLeavingRunnerPolled(RunnerVerdict verdict, TimePoint sent_at) {
  if (!leave_polled_at_ || sent_at < *leave_polled_at_) return;
  leave_polled_at_.reset();
  // A runner that does not answer may still be running its tasks.
  const bool silent = verdict == RunnerVerdict::kNoAnswer;
  if (silent && !AllLeasesExpired(hooks_.now())) return;
  if (silent || verdict == RunnerVerdict::kUnreachable ||
      verdict == RunnerVerdict::kOtherIncarnation) {
    ForgetDepartedRunner();
    departure_verified_ = true;
    return;
  }
  hooks_.log("runner_stays", "",
             status_.incarnation + " still answers after announcing its exit");
  leaving_since_.reset();
  if (status_.draining) leaving_since_ = hooks_.now();
}

void Executor::ForgetDepartedRunner() {
  RecordPastIncarnation();
  leaving_since_.reset();
  ResetIncarnation();
  status_ = VmStatus();
  runner_is_gone_ = true;
  // No poll follows without a runner, so the owner is told now.
  if (owner_link_) SendEmptyInventory();
}

void Executor::GiveUpSilentRunner(TimePoint now) {
  if (!OwnerAwaitsInventory() || empty_inventory_sent_) return;
  if (!AllLeasesExpired(now)) return;
  hooks_.log("runner_silent", "",
             status_.incarnation + ": every lease granted to it has expired");
  empty_inventory_sent_ = true;
  RecordPastIncarnation();
  DropOrders();
  SendEmptyInventory();
}

ExitStep Executor::NextExitStep() const {
  if (runner_is_gone_) return ExitStep::kWithdraw;
  const TimePoint now = hooks_.now();
  // Without a registration it is not known what runs.
  const bool registered = !status_.incarnation.empty();
  if (!registered || !RunnerIsSilent(now)) return ExitStep::kExit;
  const bool owner_waits = OwnerAwaitsInventory() && !empty_inventory_sent_;
  const bool settled = AllLeasesExpired(now) && !owner_waits;
  return settled ? ExitStep::kWithdraw : ExitStep::kWait;
}

void Executor::SendHeartbeat(TimePoint now) {
  if (!owner_link_ || RunnerIsSilent(now)) return;
  if (now - last_heartbeat_at_ < options_.heartbeat_interval) return;
  last_heartbeat_at_ = now;
  SendToOwner(VmHeartbeat{epoch_, now});
}

void Executor::Tick() {
  const TimePoint now = hooks_.now();
  PollLeavingRunner(now);
  ForgetPastIncarnations(now);
  GiveUpSilentRunner(now);
  SendHeartbeat(now);
  DropOutdatedStarts(now);
  RetryStops(now);
  LogOverdueStops(now);
  PollIfDue(now);
}

std::string Executor::Dump() const {
  std::ostringstream out;
  out << "epoch " << epoch_ << " owned " << owned() << " life "
      << status_.incarnation << " draining " << status_.draining << " stalled "
      << (options_.detect_stalls ? std::to_string(status_.stalled) : "unknown")
      << " lease_ms " << ToMillis(lease_end_ - hooks_.now()) << " orders "
      << orders_.size() << " starts_waiting " << start_queue_.waiting()
      << " for_ms " << ToMillis(start_queue_.OldestWait(hooks_.now()))
      << " stops_waiting " << stop_queue_.waiting() << " oldest_stop_ms "
      << ToMillis(OldestStop()) << " paces_waiting " << pace_queue_.waiting()
      << " paced " << paced_.size() << " settled " << acknowledged_through_
      << " listed " << highest_end_listed_ << "\n";
  return out.str();
}

}  // namespace beamhill
