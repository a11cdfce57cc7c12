// The part of Executor that polls the runner for its state and reports to the
// owner what the answers show.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;

// How long the runner may delay its answer to a poll until an end occurs: short
// while pacing or the detection of stalls needs recent measurements or a stop
// is to take effect.
constexpr milliseconds kShortPollWait{250};
constexpr milliseconds kIdlePollWait{1000};
// While ends are unacknowledged the runner answers every poll at once, so polls
// are spaced by this interval.
constexpr Duration kUnacknowledgedPollInterval = std::chrono::milliseconds(70);
constexpr Duration kFailedPollInterval = std::chrono::milliseconds(250);
constexpr int kMaxPollsInFlight = 2;
// Unacknowledged ends are reported again at this interval, lowest numbers
// first: the owner may have been unable to process the report, or its
// acknowledgement may be lost. Their number is limited because no end is
// acknowledged while the table is unavailable, and all VMs repeat theirs at
// once.
constexpr Duration kReportRepeatInterval = std::chrono::seconds(1);
constexpr size_t kMaxRepeatedEnds = 8;
// A runner without progress is logged after this time, at most once in the
// interval: tasks that run for hours progress this slowly without a stall.
constexpr Duration kLoggedWithoutProgress = std::chrono::seconds(1);
constexpr Duration kWithoutProgressLogInterval = std::chrono::seconds(10);

// Polls may be answered out of order, so the result may be lower than for an
// answer handled before.
uint64_t HighestEndNumber(const std::vector<RunEnd>& ends) {
  uint64_t highest = 0;
  for (const RunEnd& end : ends) highest = std::max(highest, end.number);
  return highest;
}

}  // namespace

void Executor::OnEndsAcknowledged(const EndsAcknowledged& acknowledged) {
  if (acknowledged.through <= acknowledged_through_) return;
  acknowledged_through_ = acknowledged.through;
  PollSoon();
}

milliseconds Executor::NextPollWait() const {
  if (highest_end_listed_ > acknowledged_through_) return milliseconds(0);
  const bool paced =
      std::any_of(paced_.begin(), paced_.end(), [](const auto& entry) {
        return entry.second.traits.tail_target > Duration(0);
      });
  const bool stopping = std::any_of(
      orders_.begin(), orders_.end(),
      [](const auto& entry) { return entry.second.phase == Phase::kStopped; });
  // A stalled VM without runs may be given one at any time, as a probe that its
  // owner stops unless it soon progresses.
  const bool detecting =
      options_.detect_stalls &&
      (stall_detector_.has_runs() || stall_detector_.stalled());
  return paced || stopping || detecting ? kShortPollWait : kIdlePollWait;
}

bool Executor::PollSoon() {
  if (polls_in_flight_ < kMaxPollsInFlight) {
    PollRunner(milliseconds(0));
    return true;
  }
  next_poll_at_ = hooks_.now();
  return false;
}

void Executor::PollIfDue(TimePoint now) {
  if (now >= next_poll_at_ && polls_in_flight_ < kMaxPollsInFlight &&
      !long_poll_in_flight_) {
    PollRunner(NextPollWait());
  }
}

void Executor::PollRunner(milliseconds wait) {
  if (status_.incarnation.empty() || epoch_ == 0) return;
  ++polls_in_flight_;
  ++counts_.polls;
  const bool long_poll = wait > milliseconds(0);
  if (long_poll) long_poll_in_flight_ = true;
  if (wait == kIdlePollWait) idle_poll_in_flight_ = true;
  const TimePoint sent_at = hooks_.now();
  RunnerPoll call{status_.incarnation, epoch_, acknowledged_through_,
                  LeaseEndForRunner(), wait};
  runner_.poll(
      std::move(call),
      lifetime_.Guard([this, sent_at, wait, long_poll, epoch = epoch_,
                       incarnation = status_.incarnation](RunnerView view) {
        --polls_in_flight_;
        if (long_poll) {
          long_poll_in_flight_ = false;
          idle_poll_in_flight_ = false;
        }
        OnPollReply(std::move(view), sent_at, wait, epoch, incarnation);
      }));
}

void Executor::OnPollReply(RunnerView view, TimePoint sent_at, Duration wait,
                           uint64_t epoch, const std::string& incarnation) {
  const TimePoint now = hooks_.now();
  if (epoch != epoch_ || incarnation != status_.incarnation) {
    next_poll_at_ = now;
    return;
  }
  if (leave_polled_at_) {
    OnLeavingRunnerPolled(view.reply.verdict, sent_at);
    if (runner_is_gone_) return;
  }
  if (view.reply.verdict != RunnerVerdict::kDone) {
    next_poll_at_ = now + kFailedPollInterval;
    if (view.reply.verdict == RunnerVerdict::kFenced) {
      hooks_.log("fenced", "", "epoch " + std::to_string(epoch));
    }
    if (view.reply.verdict == RunnerVerdict::kOtherIncarnation) NoteMismatch();
    return;
  }
  NoteClock(view.reply.clock);
  last_answer_ = now;
  // Ends don't count: they remain listed when all leases have expired.
  active_run_listed_ = active_run_listed_ || !view.running.empty();
  if (options_.detect_stalls) UpdateStalled(view, sent_at, wait, now);
  for (const RunEnd& end : view.ended) {
    highest_end_listed_ = std::max(highest_end_listed_, end.number);
    paced_.erase(end.run);
  }
  if (OwnerAwaitsInventory() && sent_at >= inventory_after_) {
    SendInventory(view);
  }
  ReportEnds(view);
  ResolveOrders(view, sent_at);
  UpdatePaces(view, sent_at, now);
  incarnation_record_.OnPollReply(std::move(view), sent_at);
  next_poll_at_ = highest_end_listed_ > acknowledged_through_
                      ? now + kUnacknowledgedPollInterval
                      : now;
  if (OwnerAwaitsInventory()) {
    PollSoon();
  } else if (next_poll_at_ <= now && !long_poll_in_flight_) {
    PollRunner(NextPollWait());
  }
}

void Executor::OnProgressBounds(const ProgressBounds& bounds) {
  if (!options_.detect_stalls) return;
  for (const RunProgressBound& bound : bounds.runs) {
    stall_detector_.SetProgressBound(bound.run, bound.cpu_per_percent,
                                     hooks_.now());
  }
}

void Executor::UpdateStalled(const RunnerView& view, TimePoint sent_at,
                             Duration wait, TimePoint now) {
  StallPoll poll{sent_at, now, wait, now >= warm_at_, {}, &view.ended};
  poll.rows.reserve(view.running.size());
  for (const RunningRun& running : view.running) {
    StallRow& row = poll.rows.emplace_back();
    row.running = &running;
    const auto it = paced_.find(running.run);
    if (it == paced_.end()) continue;
    const PacedRun& paced = it->second;
    row.cpu_millis = paced.traits.cpu_millis;
    if (!paced.traits.best_effort) row.tail_target = paced.traits.tail_target;
    // An order without an answer may take effect at any time.
    row.pace_ordered_at = paced.answered ? paced.ordered_at : now;
    row.paused = paced.percent == 0;
  }
  stall_detector_.Observe(poll);
  LogWithoutProgress(now);
  if (stall_detector_.stalled() == status_.stalled) return;
  status_.stalled = stall_detector_.stalled();
  if (status_.stalled) {
    ++counts_.stalls;
    stalled_since_ = now;
    const bool by_tails =
        stall_detector_.evidence() == StallDetector::Evidence::kTailLatencies;
    hooks_.log("runner_stalled", "",
               status_.incarnation + ", runs " +
                   std::to_string(view.running.size()) + ": " +
                   (by_tails ? "tail latencies of all serving tasks"
                             : "CPU use without progress"));
  } else {
    const auto stalled_ms =
        static_cast<int64_t>(ToMillis(now - stalled_since_));
    hooks_.log(
        "runner_progresses", "",
        status_.incarnation + " after " + std::to_string(stalled_ms) + " ms");
  }
  SendToOwner(status_);
}

// Tells which runs the detector could judge, if it has found no stall.
void Executor::LogWithoutProgress(TimePoint now) {
  const Duration time = stall_detector_.without_progress();
  if (time < kLoggedWithoutProgress || stall_detector_.stalled() ||
      now - without_progress_logged_at_ < kWithoutProgressLogInterval) {
    return;
  }
  without_progress_logged_at_ = now;
  hooks_.log("runner_without_progress", "",
             status_.incarnation + " for " +
                 std::to_string(static_cast<int64_t>(ToMillis(time))) +
                 " ms: runs that use CPU " +
                 std::to_string(stall_detector_.active_runs()) +
                 ", with a known cost of a percent " +
                 std::to_string(stall_detector_.judged_runs()));
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
  inventory.more_ends = view.more_ends;
  AddPastIncarnations(inventory);
  inventory_pending_ = false;
  reported_through_ = HighestEndNumber(view.ended);
  reported_at_ = hooks_.now();
  idle_reported_ = false;
  SendToOwner(inventory);
  // Requests a lease without waiting for the next heartbeat interval.
  last_heartbeat_at_ = hooks_.now();
  SendToOwner(VmHeartbeat{epoch_, last_heartbeat_at_});
}

void Executor::SendEmptyInventory() {
  VmInventory inventory;
  inventory.epoch = epoch_;
  AddPastIncarnations(inventory);
  SendToOwner(inventory);
}

void Executor::AddPastIncarnations(VmInventory& inventory) const {
  for (const auto& [at, past] : past_records_) {
    inventory.past_incarnations.push_back(past);
  }
}

bool Executor::AllLeasesExpired(TimePoint now) const {
  const TimePoint earlier_leases_end = started_at_ + options_.max_lease;
  const TimePoint last = std::max(lease_end_, earlier_leases_end);
  return RunnerIsSilent(now) && now >= last + options_.lease_margin;
}

void Executor::NoteMismatch() {
  if (other_incarnation_answers_) return;
  other_incarnation_answers_ = true;
  hooks_.log("another_life_answers", "", "not " + status_.incarnation);
}

void Executor::ReportEnds(const RunnerView& view) {
  if (!owner_link_) return;
  const TimePoint now = hooks_.now();
  const bool again = now - reported_at_ >= kReportRepeatInterval;
  RunReports reports{epoch_, status_.incarnation, {}, {}, {}};
  size_t repeated = 0;
  for (const RunEnd& end : view.ended) {
    if (end.number <= acknowledged_through_) continue;
    const bool is_new = end.number > reported_through_;
    if (!is_new && (!again || ++repeated > kMaxRepeatedEnds)) continue;
    reports.ended.push_back(end);
  }
  if (reports.ended.empty()) return;
  reported_through_ = std::max(reported_through_, HighestEndNumber(view.ended));
  reported_at_ = now;
  SendToOwner(reports);
}

}  // namespace beamhill
