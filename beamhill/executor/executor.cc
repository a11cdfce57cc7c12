#include "beamhill/executor/executor.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

// How long a look waits for an end: short while pacing needs fresh figures.
constexpr milliseconds kPacedWait{250};
constexpr milliseconds kQuietWait{1000};
// While ends wait to be settled a look returns at once, so it is repeated
// only so often.
constexpr Duration kUnsettledPause = std::chrono::milliseconds(70);
constexpr Duration kLostPause = std::chrono::milliseconds(250);
constexpr Duration kStopRetry = std::chrono::milliseconds(300);
// The runner's clock may be slow by 2 %: a lease is given to it that much
// shorter.
constexpr int64_t kClockErrorPermille = 20;
// Changes of a filler's share below this are not worth a call.
constexpr int kLeastPaceChange = 5;
// What a filler works at after a pace order without an answer.
constexpr int kUnknownPercent = -1;
// A sample covers half a second; more often would count it twice.
constexpr Duration kPressureInterval = std::chrono::milliseconds(450);
constexpr int kMaxLooksOpen = 2;

NotBegunReason ReasonOf(RunnerVerdict verdict) {
  switch (verdict) {
    case RunnerVerdict::kFenced:
      return NotBegunReason::kFenced;
    case RunnerVerdict::kOutdated:
      return NotBegunReason::kOutdated;
    case RunnerVerdict::kNoRoom:
      return NotBegunReason::kNoRoom;
    case RunnerVerdict::kNotAllowed:
      return NotBegunReason::kNotAllowed;
    case RunnerVerdict::kUnreachable:
      return NotBegunReason::kUnreachable;
    default:
      return NotBegunReason::kUnhealthy;
  }
}

// Whether the runner itself has spoken.
bool Spoke(RunnerVerdict verdict) {
  return verdict != RunnerVerdict::kNoAnswer &&
         verdict != RunnerVerdict::kUnreachable;
}

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
      started_at_(hooks_.now()) {}

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

void Executor::ResetLife() {
  orders_.clear();
  traits_.clear();
  settled_ = 0;
  highest_listed_ = 0;
  reported_ = 0;
  clock_known_ = false;
  pacer_ = Pacer();
}

void Executor::OnRunner(const VmStatus& status,
                        std::optional<RunnerClock> clock) {
  const bool new_life = status.life != status_.life;
  const bool changed = !SameStatus(status, status_);
  if (new_life) {
    hooks_.log("runner_registered", "",
               status.life + " after " +
                   (status_.life.empty() ? "none" : status_.life));
    ResetLife();
    leaving_since_.reset();
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

void Executor::OnRunnerLeft(const std::string& life) {
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
  }
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
    // Calls under the earlier epoch are refused once the runner has seen this
    // one, and the inventory is asked for under this one.
    orders_.clear();
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

void Executor::OnTraits(const RunTraitsList& list) {
  for (const RunTraits& run : list.runs) {
    traits_[run.run] = {run.image, run.fills, run.tail_target, 100};
  }
}

void Executor::OnStartRuns(const StartRuns& starts) {
  for (const StartRun& start : starts.runs) StartOne(starts, start);
}

void Executor::StartOne(const StartRuns& starts, const StartRun& start) {
  const RunRef run{{starts.workflow, starts.round, starts.step, start.index},
                   start.run};
  if (orders_.count(run) > 0) return;
  const std::optional<RunnerClock> lease_end = LeaseEndForRunner();
  if (!lease_end) {
    NotBegun(run, NotBegunReason::kOutdated);
    return;
  }
  ++counts_.starts;
  Order& order = orders_[run];
  order.call_open = true;
  order.since = hooks_.now();
  if (starts.fills || starts.tail_target > Duration(0)) {
    traits_[run] = {starts.image, starts.fills, starts.tail_target, 100};
  }
  RunnerStart call{status_.life,     epoch_,       run,       starts.payload,
                   start.checkpoint, start.ticket, *lease_end};
  runner_.start(std::move(call),
                lifetime_.Guard([this, run, epoch = epoch_](RunnerReply reply) {
                  if (epoch == epoch_) OnStartReply(run, reply);
                }));
}

void Executor::OnStartReply(const RunRef& run, const RunnerReply& reply) {
  NoteClock(reply.clock);
  const auto it = orders_.find(run);
  if (it == orders_.end()) return;
  Order& order = it->second;
  order.call_open = false;
  if (Spoke(reply.verdict)) last_answer_ = hooks_.now();
  if (order.phase == Phase::kStopping) {
    CallStop(run, order);
    return;
  }
  switch (reply.verdict) {
    case RunnerVerdict::kDone:
      orders_.erase(it);
      return;
    case RunnerVerdict::kNoAnswer:
      ++counts_.unanswered;
      hooks_.log("start_unanswered", run.task.ToString(),
                 "run " + std::to_string(run.run));
      order.phase = Phase::kUncertain;
      order.since = hooks_.now();
      LookSoon();
      return;
    case RunnerVerdict::kOtherLife:
      // The next registration tells which; its inventory settles the rest.
      orders_.erase(it);
      return;
    default:
      ++counts_.refused;
      NotBegun(run, ReasonOf(reply.verdict));
  }
}

void Executor::NotBegun(const RunRef& run, NotBegunReason reason) {
  orders_.erase(run);
  traits_.erase(run);
  hooks_.log("run_not_begun", run.task.ToString(),
             "run " + std::to_string(run.run) + ": " +
                 std::string(NotBegunReasonName(reason)));
  SendToOwner(RunReports{epoch_, status_.life, {}, {{run, reason}}});
}

void Executor::OnStopRuns(const StopRuns& stops) {
  for (const RunRef& run : stops.runs) {
    Order& order = orders_[run];
    if (order.phase == Phase::kStopping || order.phase == Phase::kStopped) {
      continue;
    }
    order.phase = Phase::kStopping;
    order.since = hooks_.now();
    // A start that is still open is answered first.
    if (!order.call_open) CallStop(run, order);
  }
}

void Executor::CallStop(const RunRef& run, Order& order) {
  order.call_open = true;
  runner_.stop({status_.life, epoch_, run},
               lifetime_.Guard([this, run, epoch = epoch_](RunnerReply reply) {
                 if (epoch == epoch_) OnStopReply(run, reply);
               }));
}

void Executor::OnStopReply(const RunRef& run, const RunnerReply& reply) {
  NoteClock(reply.clock);
  const auto it = orders_.find(run);
  if (it == orders_.end()) return;
  Order& order = it->second;
  order.call_open = false;
  if (reply.verdict == RunnerVerdict::kDone) {
    last_answer_ = hooks_.now();
    order.phase = Phase::kStopped;
    order.since = hooks_.now();
    LookSoon();
    return;
  }
  order.retry_at = hooks_.now() + kStopRetry;
}

void Executor::OnSettled(const EndsSettled& settled) {
  if (settled.through <= settled_) return;
  settled_ = settled.through;
  LookSoon();
}

milliseconds Executor::NextWait() const {
  if (highest_listed_ > settled_) return milliseconds(0);
  const bool paced = std::any_of(
      traits_.begin(), traits_.end(),
      [](const auto& entry) { return entry.second.tail_target > Duration(0); });
  return paced ? kPacedWait : kQuietWait;
}

void Executor::LookSoon() {
  if (looks_open_ < kMaxLooksOpen) {
    Look(milliseconds(0));
  } else {
    next_look_ = hooks_.now();
  }
}

void Executor::Look(milliseconds wait) {
  if (status_.life.empty() || epoch_ == 0) return;
  ++looks_open_;
  ++counts_.looks;
  const bool slow = wait > milliseconds(0);
  if (slow) slow_look_open_ = true;
  const TimePoint sent_at = hooks_.now();
  RunnerLook call{status_.life, epoch_, settled_, LeaseEndForRunner(), wait};
  runner_.look(std::move(call),
               lifetime_.Guard([this, sent_at, slow, epoch = epoch_,
                                life = status_.life](RunnerView view) {
                 --looks_open_;
                 if (slow) slow_look_open_ = false;
                 OnView(view, sent_at, epoch, life);
               }));
}

void Executor::OnView(const RunnerView& view, TimePoint sent_at, uint64_t epoch,
                      const std::string& life) {
  const TimePoint now = hooks_.now();
  if (epoch != epoch_ || life != status_.life) {
    next_look_ = now;
    return;
  }
  if (view.reply.verdict != RunnerVerdict::kDone) {
    next_look_ = now + kLostPause;
    if (view.reply.verdict == RunnerVerdict::kFenced) {
      hooks_.log("fenced", "", "epoch " + std::to_string(epoch));
    }
    return;
  }
  NoteClock(view.reply.clock);
  last_answer_ = now;
  for (const RunEnd& end : view.ended) {
    highest_listed_ = std::max(highest_listed_, end.number);
    traits_.erase(end.run);
  }
  if (inventory_wanted_ && owner_link_) SendInventory(view);
  ReportEnds(view);
  ResolveOrders(view, sent_at);
  Pace(view, now);
  next_look_ = highest_listed_ > settled_ ? now + kUnsettledPause : now;
  if (next_look_ <= now && !slow_look_open_) Look(NextWait());
}

void Executor::SendInventory(const RunnerView& view) {
  VmInventory inventory;
  inventory.epoch = epoch_;
  inventory.status = status_;
  for (const RunningRun& running : view.running) {
    inventory.running.push_back(running.run);
  }
  for (const auto& [run, order] : orders_) inventory.pending.push_back(run);
  inventory.ended = view.ended;
  inventory_wanted_ = false;
  reported_ = highest_listed_;
  SendToOwner(inventory);
  // Asks for a lease at once.
  last_heartbeat_ = hooks_.now();
  SendToOwner(VmHeartbeat{epoch_, last_heartbeat_});
}

void Executor::SendEmptyInventory() {
  VmInventory inventory;
  inventory.epoch = epoch_;
  SendToOwner(inventory);
}

bool Executor::AllLeasesOver(TimePoint now) const {
  const TimePoint earlier_runs = started_at_ + options_.max_lease;
  const TimePoint last = std::max(lease_end_, earlier_runs);
  const bool silent = now - last_answer_ >= options_.runner_lost_after;
  return silent && now >= last + options_.lease_margin;
}

void Executor::ReportEnds(const RunnerView& view) {
  RunReports reports{epoch_, status_.life, {}, {}};
  for (const RunEnd& end : view.ended) {
    if (end.number > reported_) reports.ended.push_back(end);
  }
  if (reports.ended.empty() || !owner_link_) return;
  reported_ = highest_listed_;
  SendToOwner(reports);
}

// What a look that was sent after a call shows is what became of the call.
void Executor::ResolveOrders(const RunnerView& view, TimePoint sent_at) {
  if (orders_.empty()) return;
  std::set<RunRef> running;
  for (const RunningRun& entry : view.running) running.insert(entry.run);
  std::set<RunRef> ended;
  for (const RunEnd& end : view.ended) ended.insert(end.run);
  for (const auto& [run, seen] : std::map<RunRef, Order>(orders_)) {
    if (seen.call_open) continue;
    if (ended.count(run) > 0) {
      orders_.erase(run);
      continue;
    }
    if (sent_at < seen.since) continue;
    const bool runs = running.count(run) > 0;
    if (seen.phase == Phase::kUncertain) {
      if (runs) {
        orders_.erase(run);
      } else {
        Order& order = orders_[run];
        order.phase = Phase::kStopping;
        CallStop(run, order);
      }
    } else if (seen.phase == Phase::kStopped && !runs) {
      NotBegun(run, NotBegunReason::kStopped);
    }
  }
}

void Executor::Pace(const RunnerView& view, TimePoint now) {
  std::vector<ServingSample> serving;
  Pacer::FillingShares filling;
  std::vector<RunRef> fillers;
  const auto whole =
      static_cast<double>(std::max<int64_t>(status_.capacity.cpu_millis, 1));
  for (const RunningRun& running : view.running) {
    const auto it = traits_.find(running.run);
    if (it == traits_.end()) continue;
    const Traits& traits = it->second;
    if (traits.fills) {
      fillers.push_back(running.run);
      filling[traits.image] += static_cast<double>(running.measure) / whole;
    } else if (running.measure > 0) {
      serving.push_back({traits.image,
                         std::chrono::milliseconds(running.measure),
                         traits.tail_target});
    }
  }
  if (serving.empty() && fillers.empty()) return;
  pacer_.Observe(serving, filling, now);
  ReportPressure(serving, filling, now);
  for (const RunRef& run : fillers) {
    const Traits& traits = traits_[run];
    const int percent = pacer_.PercentOf(traits.image);
    const int change = std::abs(traits.percent - percent);
    const bool worth_it = change >= kLeastPaceChange || percent == 0;
    if (change > 0 && worth_it) OrderPace(run, percent);
  }
}

void Executor::OrderPace(const RunRef& run, int percent) {
  traits_[run].percent = percent;
  ++counts_.paces;
  runner_.pace({status_.life, epoch_, run, percent},
               lifetime_.Guard([this, run](RunnerReply reply) {
                 NoteClock(reply.clock);
                 if (reply.verdict == RunnerVerdict::kDone) return;
                 // Unknown what it works at: order it again.
                 const auto it = traits_.find(run);
                 if (it != traits_.end()) it->second.percent = kUnknownPercent;
               }));
}

// One tail for each serving image, the worst: its tasks on a VM share fate.
void Executor::ReportPressure(const std::vector<ServingSample>& serving,
                              const Pacer::FillingShares& filling,
                              TimePoint now) {
  if (serving.empty() || now - pressure_sent_at_ < kPressureInterval) return;
  pressure_sent_at_ = now;
  std::map<std::string, Duration> tails;
  for (const ServingSample& sample : serving) {
    tails[sample.image] = std::max(tails[sample.image], sample.tail);
  }
  VmPressure pressure;
  pressure.epoch = epoch_;
  for (const auto& [image, tail] : tails) {
    pressure.serving.push_back({image, tail});
  }
  for (const auto& [image, share] : filling) {
    const double cpu = share * static_cast<double>(status_.capacity.cpu_millis);
    pressure.filling.push_back(
        {image, static_cast<int64_t>(cpu), pacer_.PercentOf(image)});
  }
  SendToOwner(pressure);
}

void Executor::OnWeights(const PressureWeights& learned) {
  Pacer::Weights weights;
  for (const PressureWeight& weight : learned.weights) {
    weights[{weight.serving, weight.filling}] = weight.per_vm;
  }
  pacer_.SetWeights(std::move(weights));
}

void Executor::Tick() {
  const TimePoint now = hooks_.now();
  if (leaving_since_ && now - *leaving_since_ >= options_.leave_pause) {
    leaving_since_.reset();
    ResetLife();
    status_ = VmStatus();
    // Without a runner there is nothing to look at.
    if (owner_link_) SendEmptyInventory();
  }
  if (owner_link_ && inventory_wanted_ && !told_empty_ && AllLeasesOver(now)) {
    hooks_.log("runner_silent", "",
               status_.life + ": every lease that it was given is over");
    told_empty_ = true;
    SendEmptyInventory();
  }
  const bool reachable = now - last_answer_ < options_.runner_lost_after;
  if (owner_link_ && reachable &&
      now - last_heartbeat_ >= options_.heartbeat_interval) {
    last_heartbeat_ = now;
    SendToOwner(VmHeartbeat{epoch_, now});
  }
  for (auto& [run, order] : orders_) {
    if (order.phase == Phase::kStopping && !order.call_open &&
        now >= order.retry_at) {
      CallStop(run, order);
    }
  }
  if (now >= next_look_ && looks_open_ < kMaxLooksOpen && !slow_look_open_) {
    Look(NextWait());
  }
}

std::string Executor::Dump() const {
  std::ostringstream out;
  out << "epoch " << epoch_ << " owned " << owned() << " life " << status_.life
      << " draining " << status_.draining << " lease_ms "
      << ToMillis(lease_end_ - hooks_.now()) << " orders " << orders_.size()
      << " traits " << traits_.size() << " settled " << settled_ << " listed "
      << highest_listed_ << "\n";
  return out.str();
}

}  // namespace beamhill
