#include "beamhill/replay/leased_runner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// A call to the runner of the same VM takes about this long.
constexpr Duration kCallTime = std::chrono::milliseconds(1);
// A stop is carried out so long after it was taken.
constexpr Duration kStopTime = std::chrono::milliseconds(200);
constexpr RunnerClock kLongestLease = std::chrono::seconds(6);

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

void LeasedRunner::Extend(RunnerClock lease_end) {
  const RunnerClock now = *Reply(RunnerVerdict::kDone).clock;
  lease_end_ = std::max(lease_end_, std::min(lease_end, now + kLongestLease));
}

TaskRunner LeasedRunner::Hooks() {
  TaskRunner hooks;
  hooks.start = [this](const RunnerStart& call, auto done) {
    time_.After(kCallTime, [this, call, done] { done(Reply(Start(call))); });
  };
  hooks.stop = [this](const RunnerStop& call, auto done) {
    time_.After(kCallTime, [this, call, done] { done(Reply(Stop(call))); });
  };
  hooks.pace = [this](const RunnerPace&, auto done) {
    time_.After(kCallTime, [this, done] { done(Reply(RunnerVerdict::kDone)); });
  };
  hooks.poll = [this](const RunnerPoll& call, auto done) {
    time_.After(kCallTime, [this, call, done] { Look(call, done); });
  };
  return hooks;
}

RunnerVerdict LeasedRunner::Start(const RunnerStart& call) {
  if (!Accepts(call.epoch)) return RunnerVerdict::kFenced;
  Extend(call.lease_end);
  if (runs_.count(call.run) > 0) return RunnerVerdict::kDone;
  const auto over = highest_over_.find(call.run.task);
  if (over != highest_over_.end() && call.run.run <= over->second) {
    return RunnerVerdict::kOutdated;
  }
  runs_[call.run] = time_.now();
  hooks_.on_start(call.run);
  return RunnerVerdict::kDone;
}

RunnerVerdict LeasedRunner::Stop(const RunnerStop& call) {
  if (!Accepts(call.epoch)) return RunnerVerdict::kFenced;
  uint64_t& over = highest_over_[call.run.task];
  over = std::max(over, call.run.run);
  time_.After(kStopTime, [this, run = call.run] {
    if (runs_.count(run) > 0) End(run, RunEndKind::kStopped);
  });
  return RunnerVerdict::kDone;
}

void LeasedRunner::Look(const RunnerPoll& call,
                        const std::function<void(RunnerView)>& done) {
  if (!Accepts(call.epoch)) {
    RunnerView view;
    view.reply = Reply(RunnerVerdict::kFenced);
    done(view);
    return;
  }
  if (call.lease_end) Extend(*call.lease_end);
  RunnerView view = View(call.acknowledged_through);
  if (call.wait.count() == 0 || !view.ended.empty()) {
    done(view);
    return;
  }
  const uint64_t number = next_look_++;
  waiting_ = WaitingLook{number, call.acknowledged_through, done};
  time_.After(call.wait, [this, number] {
    if (!waiting_ || waiting_->number != number) return;
    const WaitingLook look = *std::exchange(waiting_, std::nullopt);
    look.done(View(look.acknowledged_through));
  });
}

RunnerView LeasedRunner::View(uint64_t acknowledged_through) {
  ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                              [&](const RunEnd& end) {
                                return end.number <= acknowledged_through;
                              }),
               ended_.end());
  RunnerView view;
  view.reply = Reply(RunnerVerdict::kDone);
  view.ended = ended_;
  for (const auto& [run, since] : runs_) view.running.push_back({run, 100, 0});
  return view;
}

void LeasedRunner::End(const RunRef& run, RunEndKind kind) {
  runs_.erase(run);
  uint64_t& over = highest_over_[run.task];
  over = std::max(over, run.run);
  ended_.push_back({next_end_++, run, kind, ""});
  hooks_.on_end(run, kind);
  if (!waiting_) return;
  const WaitingLook look = *std::exchange(waiting_, std::nullopt);
  time_.After(kCallTime,
              [this, look] { look.done(View(look.acknowledged_through)); });
}

void LeasedRunner::Tick() {
  const bool lapsed = *Reply(RunnerVerdict::kDone).clock > lease_end_;
  if (lapsed) {
    for (const RunEnd& end : ended_) hooks_.on_end_lost(end);
  }
  for (const auto& [run, since] : std::map<RunRef, TimePoint>(runs_)) {
    const Duration work = hooks_.work_of(run.task);
    if (lapsed) {
      End(run, RunEndKind::kLapsed);
    } else if (work > Duration(0) && time_.now() - since >= work) {
      End(run, RunEndKind::kDone);
    }
  }
}

}  // namespace beamhill
