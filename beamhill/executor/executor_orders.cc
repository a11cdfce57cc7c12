// The part of Executor that carries out an owner's starts and stops, and finds
// out what became of calls without an answer.
#include <set>
#include <string>
#include <utility>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

constexpr Duration kStopRetry = std::chrono::milliseconds(300);

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

std::string MillisText(Duration time) {
  return std::to_string(static_cast<int64_t>(ToMillis(time)));
}

// Whether the runner itself has spoken.
bool Spoke(RunnerVerdict verdict) {
  return verdict != RunnerVerdict::kNoAnswer &&
         verdict != RunnerVerdict::kUnreachable;
}

}  // namespace

void Executor::OnStartRuns(const StartRuns& starts) {
  const bool late = hooks_.now() > starts.latest_start;
  for (const StartRun& start : starts.runs) {
    const RunRef run{{starts.workflow, starts.round, starts.step, start.index},
                     start.run};
    if (!late) {
      StartOne(starts, run, start);
    } else if (orders_.count(run) == 0) {
      NotBegun(run, NotBegunReason::kOutdated);
    }
  }
}

void Executor::StartOne(const StartRuns& starts, const RunRef& run,
                        const StartRun& start) {
  if (orders_.count(run) > 0) return;
  const std::optional<RunnerClock> lease_end = LeaseEndForRunner();
  if (!lease_end) {
    NotBegun(run, NotBegunReason::kOutdated);
    return;
  }
  ++counts_.starts;
  life_record_.OnAsked(run, hooks_.now());
  Order& order = orders_[run];
  order.call_open = true;
  order.since = hooks_.now();
  if (starts.traits.paced()) paced_[run].traits = starts.traits;
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
  if (Spoke(reply.verdict)) {
    last_answer_ = hooks_.now();
    life_record_.OnAnswered(order.since);
  }
  if (order.phase == Phase::kStopping) {
    CallStop(run, order);
    return;
  }
  switch (reply.verdict) {
    case RunnerVerdict::kDone:
      orders_.erase(it);
      PaceNewFiller(run);
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
  paced_.erase(run);
  life_record_.OnNeverBegun(run);
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
    if (order.call_open) {
      hooks_.log("stop_waits", run.task.ToString(),
                 "for the answer to a start that was taken " +
                     MillisText(hooks_.now() - order.since) + " ms ago");
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

void Executor::RetryStops(TimePoint now) {
  for (auto& [run, order] : orders_) {
    if (order.phase == Phase::kStopping && !order.call_open &&
        now >= order.retry_at) {
      CallStop(run, order);
    }
  }
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

}  // namespace beamhill
