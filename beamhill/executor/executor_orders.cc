// The part of Executor that carries out an owner's starts and stops and
// determines the outcome of calls that got no answer.
#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

constexpr Duration kStopRetryInterval = std::chrono::milliseconds(300);
// A run that is still listed this long after the runner accepted its stop is
// stopped again; runners need at most 0.4 s to carry a stop out.
constexpr Duration kStopEffectTimeout = std::chrono::seconds(1);
// Starts that were queued at least this long are logged.
constexpr Duration kLoggedStartWait = std::chrono::milliseconds(300);

NotBegunReason ReasonForVerdict(RunnerVerdict verdict) {
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
    case RunnerVerdict::kOtherIncarnation:  // The intended one is gone.
      return NotBegunReason::kUnreachable;
    default:
      return NotBegunReason::kUnhealthy;
  }
}

std::string WholeMillisText(Duration time) {
  return std::to_string(static_cast<int64_t>(ToMillis(time)));
}

// Whether the answer came from the incarnation that the call was meant for. An
// answer of a later one does not show that the intended one is alive.
bool IsFromIntendedIncarnation(RunnerVerdict verdict) {
  return verdict != RunnerVerdict::kNoAnswer &&
         verdict != RunnerVerdict::kUnreachable &&
         verdict != RunnerVerdict::kOtherIncarnation;
}

}  // namespace

void Executor::OnStartRuns(const StartRuns& starts) {
  for (const StartRun& start : starts.runs) {
    const RunRef run{{starts.workflow, starts.round, starts.step, start.index},
                     start.run};
    if (orders_.count(run) == 0) QueueStart(starts, run, start);
  }
  SendStarts();
}

void Executor::QueueStart(const StartRuns& starts, const RunRef& run,
                          const StartRun& start) {
  const TimePoint now = hooks_.now();
  Order& order = orders_[run];
  order.phase_began_at = now;
  order.report_begin = starts.report_begin;
  if (starts.traits.paced()) paced_[run].traits = starts.traits;
  start_queue_.Push(
      run,
      {starts.payload, start.checkpoint, start.ticket, starts.latest_start},
      now);
}

void Executor::SendStarts() {
  while (const auto next = start_queue_.TakeNext()) {
    const Duration waited = hooks_.now() - next->queued_at;
    if (waited >= kLoggedStartWait) {
      hooks_.log("start_waited", next->run.task.ToString(),
                 "run " + std::to_string(next->run.run) + ": " +
                     WholeMillisText(waited) + " ms in the queue, behind it " +
                     std::to_string(start_queue_.waiting()));
    }
    if (!SendStart(next->run, next->call)) start_queue_.OnDone();
  }
}

bool Executor::ReadyForStarts() const {
  return active_run_listed_ || !hooks_.ready_for_starts ||
         hooks_.ready_for_starts();
}

// Stops withdraw queued starts, and a new owner or incarnation of the runner
// clears the queue. So only the lease, the latest start time and whether the
// runner is leaving remain to be checked.
bool Executor::SendStart(const RunRef& run, const PendingStart& start) {
  const TimePoint now = hooks_.now();
  const std::optional<RunnerClock> lease_end = LeaseEndForRunner();
  if (!lease_end || now > start.latest_start || IsLeaving()) {
    ++counts_.outdated;
    ReportNotBegun(run, NotBegunReason::kOutdated);
    return false;
  }
  if (!ReadyForStarts()) {
    ++counts_.not_ready;
    ReportNotBegun(run, NotBegunReason::kUnhealthy);
    return false;
  }
  ++counts_.starts;
  incarnation_record_.OnStartSent(run, now);
  // A run that resumes is listed with what earlier runs have gained.
  if (options_.detect_stalls && start.checkpoint.empty()) {
    stall_detector_.OnStartSent(run, now);
  }
  Order& order = orders_[run];
  order.phase = Phase::kStarting;
  order.phase_began_at = now;
  RunnerStart call{status_.incarnation, epoch_,       run,       start.payload,
                   start.checkpoint,    start.ticket, *lease_end};
  runner_.start(
      std::move(call),
      lifetime_.Guard(
          [this, run, now, context = CurrentCallContext()](RunnerReply reply) {
            start_queue_.OnDone();
            if (IsCurrentContext(context)) OnStartReply(run, now, reply);
            SendStarts();
          }));
  return true;
}

void Executor::DropOutdatedStarts(TimePoint now) {
  const auto late = start_queue_.WithdrawIf(
      [now](const auto& entry) { return now > entry.call.latest_start; });
  counts_.outdated += late.size();
  for (const auto& entry : late) {
    ReportNotBegun(entry.run, NotBegunReason::kOutdated);
  }
}

void Executor::OnStartReply(const RunRef& run, TimePoint sent_at,
                            const RunnerReply& reply) {
  if (IsFromIntendedIncarnation(reply.verdict)) {
    NoteClock(reply.clock);
    last_answer_ = hooks_.now();
    incarnation_record_.OnAnswered(sent_at);
  }
  const auto it = orders_.find(run);
  // Once a stop was ordered, it decides on the run whatever the start's
  // outcome.
  if (it == orders_.end() || it->second.phase != Phase::kStarting) return;
  Order& order = it->second;
  switch (reply.verdict) {
    case RunnerVerdict::kDone:
      OnBegun(run);
      PaceNewBestEffortRun(run);
      // The poll in flight may be answered much later, and what the run gains
      // until it is first listed tells whether it stalls afterwards.
      if (options_.detect_stalls && idle_poll_in_flight_) {
        idle_poll_in_flight_ = false;
        PollSoon();
      }
      return;
    case RunnerVerdict::kNoAnswer:
      ++counts_.unanswered;
      hooks_.log("start_unanswered", run.task.ToString(),
                 "run " + std::to_string(run.run));
      order.phase = Phase::kUncertain;
      order.phase_began_at = hooks_.now();
      PollSoon();
      return;
    default:
      ++counts_.refused;
      ReportNotBegun(run, ReasonForVerdict(reply.verdict));
  }
}

void Executor::OnBegun(const RunRef& run) {
  ReportBegin(run);
  orders_.erase(run);
  inventory_after_ = hooks_.now();
}

void Executor::ReportBegin(const RunRef& run) {
  if (!orders_.at(run).report_begin) return;
  // The owner needs only the first begin of a workflow.
  for (auto& [other, order] : orders_) {
    if (other.task.workflow == run.task.workflow) order.report_begin = false;
  }
  SendToOwner(RunReports{epoch_, status_.incarnation, {}, {}, {run}});
}

void Executor::ReportNotBegun(const RunRef& run, NotBegunReason reason) {
  orders_.erase(run);
  inventory_after_ = hooks_.now();
  paced_.erase(run);
  incarnation_record_.OnNeverBegun(run);
  hooks_.log("run_not_begun", run.task.ToString(),
             "run " + std::to_string(run.run) + ": " +
                 std::string(NotBegunReasonName(reason)));
  SendToOwner(RunReports{epoch_, status_.incarnation, {}, {{run, reason}}, {}});
}

void Executor::OnStopRuns(const StopRuns& stops) {
  for (const RunRef& run : stops.runs) RequestStop(run);
  SendStops();
}

void Executor::RequestStop(const RunRef& run) {
  if (start_queue_.Withdraw(run)) {
    ++counts_.withdrawn;
    ReportNotBegun(run, NotBegunReason::kStopped);
    return;
  }
  Order& order = orders_[run];
  if (!order.stop_ordered_at) order.stop_ordered_at = hooks_.now();
  if (order.phase == Phase::kStopping || order.phase == Phase::kStopped) return;
  order.phase = Phase::kStopping;
  order.phase_began_at = hooks_.now();
  // Sent without waiting for the answer to the start: the runner refuses to
  // start a run that was stopped before.
  QueueStop(run, order);
}

void Executor::QueueStop(const RunRef& run, Order& order) {
  order.stop_pending = true;
  stop_queue_.Push(run, {}, hooks_.now());
}

void Executor::SendStops() {
  while (const auto next = stop_queue_.TakeNext()) {
    ++counts_.stops;
    runner_.stop(
        {status_.incarnation, epoch_, next->run},
        lifetime_.Guard([this, run = next->run,
                         context = CurrentCallContext()](RunnerReply reply) {
          stop_queue_.OnDone();
          if (IsCurrentContext(context)) OnStopReply(run, reply);
          SendStops();
        }));
  }
}

void Executor::RetryStops(TimePoint now) {
  for (auto& [run, order] : orders_) {
    if (order.phase == Phase::kStopping && !order.stop_pending &&
        now >= order.retry_at) {
      QueueStop(run, order);
    }
  }
  SendStops();
}

void Executor::LogOverdueStops(TimePoint now) {
  for (auto& [run, order] : orders_) {
    if (!order.stop_ordered_at || order.overdue_logged) continue;
    const Duration age = now - *order.stop_ordered_at;
    if (age < kCancelLimit) continue;
    order.overdue_logged = true;
    ++counts_.stops_overdue;
    hooks_.log("stop_overdue", run.task.ToString(),
               "run " + std::to_string(run.run) + ": ordered " +
                   WholeMillisText(age) + " ms ago, " +
                   (order.phase == Phase::kStopped ? "the runner accepted it"
                                                   : "not accepted"));
  }
}

Duration Executor::OldestStop() const {
  const TimePoint now = hooks_.now();
  TimePoint first = now;
  for (const auto& [run, order] : orders_) {
    first = std::min(first, order.stop_ordered_at.value_or(now));
  }
  return now - first;
}

void Executor::OnStopReply(const RunRef& run, const RunnerReply& reply) {
  NoteClock(reply.clock);
  const auto it = orders_.find(run);
  if (it == orders_.end()) return;
  Order& order = it->second;
  order.stop_pending = false;
  if (reply.verdict == RunnerVerdict::kDone) {
    last_answer_ = hooks_.now();
    order.phase = Phase::kStopped;
    order.phase_began_at = hooks_.now();
    PollSoon();
    return;
  }
  order.retry_at = hooks_.now() + kStopRetryInterval;
}

void Executor::ResolveOrders(const RunnerView& view, TimePoint sent_at) {
  if (orders_.empty()) return;
  // Runs that have ended need no stop, nor the answer to one.
  for (const RunEnd& end : view.ended) {
    orders_.erase(end.run);
    stop_queue_.Withdraw(end.run);
  }
  std::set<RunRef> running;
  for (const RunningRun& entry : view.running) running.insert(entry.run);
  for (const auto& [run, seen] : std::map<RunRef, Order>(orders_)) {
    if (sent_at < seen.phase_began_at) continue;
    const bool runs = running.count(run) > 0;
    // Its end may not be listed yet.
    if (!runs && view.more_ends) continue;
    if (seen.phase == Phase::kUncertain) {
      if (runs) {
        OnBegun(run);
      } else {
        Order& order = orders_[run];
        order.phase = Phase::kStopping;
        QueueStop(run, order);
      }
    } else if (seen.phase == Phase::kStopped) {
      if (runs) {
        OnRunStillRunning(run, orders_[run], sent_at);
      } else {
        ReportNotBegun(run, NotBegunReason::kStopped);
      }
    }
  }
  SendStops();
}

void Executor::OnRunStillRunning(const RunRef& run, Order& order,
                                 TimePoint sent_at) {
  const Duration age = sent_at - order.phase_began_at;
  if (age < kStopEffectTimeout) return;
  ++counts_.stops_ineffective;
  hooks_.log("stop_in_vain", run.task.ToString(),
             "run " + std::to_string(run.run) + ": still running " +
                 WholeMillisText(age) +
                 " ms after the runner accepted the stop");
  order.phase = Phase::kStopping;
  QueueStop(run, order);
}

}  // namespace beamhill
