#include "beamhill/replay/leased_runner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Latency of a call to the runner on the same VM.
constexpr Duration kCallLatency = std::chrono::milliseconds(1);
// Time from accepting a stop until the run has ended.
constexpr Duration kStopLatency = std::chrono::milliseconds(200);
constexpr RunnerClock kMaxLease = std::chrono::seconds(6);

}  // namespace

LeasedRunner::LeasedRunner(VirtualTime& time, LeasedRunnerHooks hooks)
    : time_(time), hooks_(std::move(hooks)) {}

RunnerReply LeasedRunner::Reply(RunnerVerdict verdict) const {
  return {verdict, std::chrono::duration_cast<RunnerClock>(
                       time_.now().time_since_epoch())};
}

bool LeasedRunner::Accepts(uint64_t epoch) {
  if (epoch < epoch_) return false;
  epoch_ = epoch;
  return true;
}

void LeasedRunner::ExtendLease(RunnerClock lease_end) {
  const RunnerClock now = *Reply(RunnerVerdict::kDone).clock;
  lease_end_ = std::max(lease_end_, std::min(lease_end, now + kMaxLease));
}

TaskRunner LeasedRunner::Hooks() {
  TaskRunner hooks;
  hooks.start = [this](const RunnerStart& call, auto done) {
    time_.After(kCallLatency, [this, call, done] { done(Reply(Start(call))); });
  };
  hooks.stop = [this](const RunnerStop& call, auto done) {
    time_.After(kCallLatency, [this, call, done] { done(Reply(Stop(call))); });
  };
  hooks.pace = [this](const RunnerPace&, auto done) {
    time_.After(kCallLatency,
                [this, done] { done(Reply(RunnerVerdict::kDone)); });
  };
  hooks.poll = [this](const RunnerPoll& call, auto done) {
    time_.After(kCallLatency, [this, call, done] { Poll(call, done); });
  };
  return hooks;
}

RunnerVerdict LeasedRunner::Start(const RunnerStart& call) {
  if (!Accepts(call.epoch)) return RunnerVerdict::kFenced;
  ExtendLease(call.lease_end);
  if (runs_.count(call.run) > 0) return RunnerVerdict::kDone;
  const auto highest_ended = highest_ended_run_.find(call.run.task);
  if (highest_ended != highest_ended_run_.end() &&
      call.run.run <= highest_ended->second) {
    return RunnerVerdict::kOutdated;
  }
  runs_[call.run] = time_.now();
  hooks_.on_start(call.run);
  return RunnerVerdict::kDone;
}

RunnerVerdict LeasedRunner::Stop(const RunnerStop& call) {
  if (!Accepts(call.epoch)) return RunnerVerdict::kFenced;
  uint64_t& highest_ended = highest_ended_run_[call.run.task];
  highest_ended = std::max(highest_ended, call.run.run);
  time_.After(kStopLatency, [this, run = call.run] {
    if (runs_.count(run) > 0) End(run, RunEndKind::kStopped);
  });
  return RunnerVerdict::kDone;
}

void LeasedRunner::Poll(const RunnerPoll& call,
                        const std::function<void(RunnerView)>& done) {
  if (!Accepts(call.epoch)) {
    RunnerView view;
    view.reply = Reply(RunnerVerdict::kFenced);
    done(view);
    return;
  }
  if (call.lease_end) ExtendLease(*call.lease_end);
  RunnerView view = View(call.acknowledged_through);
  if (call.wait.count() == 0 || !view.ended.empty()) {
    done(view);
    return;
  }
  const uint64_t number = next_poll_++;
  pending_poll_ = PendingPoll{number, call.acknowledged_through, done};
  time_.After(call.wait, [this, number] {
    if (!pending_poll_ || pending_poll_->number != number) return;
    const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
    poll.done(View(poll.acknowledged_through));
  });
}

RunnerView LeasedRunner::View(uint64_t acknowledged_through) {
  unacknowledged_ends_.erase(
      std::remove_if(unacknowledged_ends_.begin(), unacknowledged_ends_.end(),
                     [&](const RunEnd& end) {
                       return end.number <= acknowledged_through;
                     }),
      unacknowledged_ends_.end());
  RunnerView view;
  view.reply = Reply(RunnerVerdict::kDone);
  view.ended = unacknowledged_ends_;
  for (const auto& [run, since] : runs_) view.running.push_back({run, 100, 0});
  return view;
}

void LeasedRunner::End(const RunRef& run, RunEndKind kind) {
  runs_.erase(run);
  uint64_t& highest_ended = highest_ended_run_[run.task];
  highest_ended = std::max(highest_ended, run.run);
  unacknowledged_ends_.push_back({next_end_++, run, kind, ""});
  hooks_.on_end(run, kind);
  if (!pending_poll_) return;
  const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
  time_.After(kCallLatency,
              [this, poll] { poll.done(View(poll.acknowledged_through)); });
}

void LeasedRunner::Tick() {
  const bool lease_expired = *Reply(RunnerVerdict::kDone).clock > lease_end_;
  if (lease_expired) {
    for (const RunEnd& end : unacknowledged_ends_) hooks_.on_end_lost(end);
  }
  for (const auto& [run, since] : std::map<RunRef, TimePoint>(runs_)) {
    const Duration run_time = hooks_.run_time_of(run.task);
    if (lease_expired) {
      End(run, RunEndKind::kLapsed);
    } else if (run_time > Duration(0) && time_.now() - since >= run_time) {
      End(run, RunEndKind::kDone);
    }
  }
}

}  // namespace beamhill
