#include "beamhill/replay/crashing_runner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Latency of a call to the runner on the same VM.
constexpr Duration kCallLatency = std::chrono::milliseconds(1);

}  // namespace

CrashingRunner::CrashingRunner(VirtualTime& time, CrashingRunnerOptions options,
                               CrashingRunnerHooks hooks)
    : time_(time), options_(std::move(options)), hooks_(std::move(hooks)) {}

std::string CrashingRunner::IncarnationName() const {
  return options_.name + "-incarnation-" + std::to_string(incarnation_);
}

RunnerReply CrashingRunner::Reply(RunnerVerdict verdict) const {
  return {verdict, std::chrono::duration_cast<RunnerClock>(
                       time_.now().time_since_epoch())};
}

void CrashingRunner::StartIncarnation() {
  up_ = true;
  ++incarnation_;
  VmStatus status;
  status.incarnation = IncarnationName();
  status.service = "web";
  status.capacity = options_.capacity;
  hooks_.on_registered(status);
}

void CrashingRunner::Crash(Duration downtime) {
  if (!up_) return;
  up_ = false;
  runs_.clear();
  unacknowledged_ends_.clear();
  next_end_ = 1;
  if (pending_poll_) {
    const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
    time_.After(kCallLatency, [done = poll.done] { done(RunnerView{}); });
  }
  time_.After(downtime, [this] { StartIncarnation(); });
}

void CrashingRunner::Call(const std::string& incarnation,
                          std::function<void(RunnerReply)> done,
                          std::function<RunnerVerdict()> act) {
  if (!up_) {
    time_.After(kCallLatency, [done = std::move(done)] {
      done({RunnerVerdict::kUnreachable, std::nullopt});
    });
    return;
  }
  const int called_incarnation = incarnation_;
  time_.After(kCallLatency, [this, incarnation, called_incarnation,
                             done = std::move(done), act = std::move(act)] {
    if (!up_ || incarnation_ != called_incarnation) {
      done({RunnerVerdict::kNoAnswer, std::nullopt});
    } else if (incarnation != IncarnationName()) {
      done(Reply(RunnerVerdict::kOtherIncarnation));
    } else {
      done(Reply(act()));
    }
  });
}

TaskRunner CrashingRunner::Hooks() {
  TaskRunner hooks;
  hooks.start = [this](RunnerStart call, auto done) {
    Call(call.incarnation, done, [this, run = call.run] { return Start(run); });
  };
  hooks.stop = [this](RunnerStop call, auto done) {
    Call(call.incarnation, done, [this, run = call.run] { return Stop(run); });
  };
  hooks.pace = [this](RunnerPace call, auto done) {
    Call(call.incarnation, done, [] { return RunnerVerdict::kDone; });
  };
  hooks.poll = [this](RunnerPoll call, auto done) { Poll(call, done); };
  return hooks;
}

RunnerVerdict CrashingRunner::Start(const RunRef& run) {
  if (runs_.count(run) > 0) return RunnerVerdict::kDone;
  const CrashingTaskBehavior task = hooks_.task_of(run.task);
  int64_t used = 0;
  for (const auto& [ref, other] : runs_) used += other.cpu_millis;
  if (used + task.cpu_millis > options_.capacity.cpu_millis) {
    return RunnerVerdict::kNoRoom;
  }
  runs_[run] = task;
  hooks_.on_start(run);
  const auto later = [this, run, incarnation = incarnation_](
                         Duration delay, const std::function<void()>& act) {
    time_.After(delay, [this, run, incarnation, act] {
      if (up_ && incarnation_ == incarnation && runs_.count(run) > 0) act();
    });
  };
  if (task.crashes_after) {
    later(*task.crashes_after, [this, run] {
      hooks_.on_crash(run);
      Crash(options_.downtime);
    });
  }
  if (task.run_time > Duration(0)) {
    later(task.run_time, [this, run] { End(run, RunEndKind::kDone); });
  }
  return RunnerVerdict::kDone;
}

RunnerVerdict CrashingRunner::Stop(const RunRef& run) {
  if (runs_.count(run) > 0) End(run, RunEndKind::kStopped);
  return RunnerVerdict::kDone;
}

void CrashingRunner::End(const RunRef& run, RunEndKind kind) {
  runs_.erase(run);
  unacknowledged_ends_.push_back({next_end_++, run, kind, ""});
  if (!pending_poll_) return;
  const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
  AnswerPoll(poll.acknowledged_through, poll.done);
}

void CrashingRunner::Poll(const RunnerPoll& call,
                          const std::function<void(RunnerView)>& done) {
  if (!up_ || call.incarnation != IncarnationName()) {
    RunnerView view;
    view.reply.verdict =
        up_ ? RunnerVerdict::kOtherIncarnation : RunnerVerdict::kUnreachable;
    time_.After(kCallLatency, [done, view] { done(view); });
    return;
  }
  if (call.wait.count() == 0) {
    AnswerPoll(call.acknowledged_through, done);
    return;
  }
  const uint64_t number = next_poll_++;
  pending_poll_ = PendingPoll{number, call.acknowledged_through, done};
  time_.After(call.wait, [this, number] {
    if (!pending_poll_ || pending_poll_->number != number) return;
    const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
    AnswerPoll(poll.acknowledged_through, poll.done);
  });
}

void CrashingRunner::AnswerPoll(uint64_t acknowledged_through,
                                const std::function<void(RunnerView)>& done) {
  const int called_incarnation = incarnation_;
  time_.After(kCallLatency,
              [this, acknowledged_through, done, called_incarnation] {
                RunnerView view;
                if (up_ && incarnation_ == called_incarnation) {
                  const auto acknowledged = [&](const RunEnd& end) {
                    return end.number <= acknowledged_through;
                  };
                  unacknowledged_ends_.erase(
                      std::remove_if(unacknowledged_ends_.begin(),
                                     unacknowledged_ends_.end(), acknowledged),
                      unacknowledged_ends_.end());
                  view.reply = Reply(RunnerVerdict::kDone);
                  view.ended = unacknowledged_ends_;
                  for (const auto& [run, task] : runs_) {
                    view.running.push_back({run, 50, 0});
                  }
                }
                done(view);
              });
}

}  // namespace beamhill
