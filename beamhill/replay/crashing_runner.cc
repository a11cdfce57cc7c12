#include "beamhill/replay/crashing_runner.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// A call to the runner of the same VM takes about this long.
constexpr Duration kCallTime = std::chrono::milliseconds(1);

}  // namespace

CrashingRunner::CrashingRunner(VirtualTime& time, CrashingRunnerOptions options,
                               CrashingRunnerHooks hooks)
    : time_(time), options_(std::move(options)), hooks_(std::move(hooks)) {}

std::string CrashingRunner::IncarnationName() const {
  return options_.name + "-life-" + std::to_string(life_);
}

RunnerReply CrashingRunner::Reply(RunnerVerdict verdict) const {
  return {verdict, std::chrono::duration_cast<RunnerClock>(
                       time_.now().time_since_epoch())};
}

void CrashingRunner::ComeUp() {
  up_ = true;
  ++life_;
  VmStatus status;
  status.incarnation = IncarnationName();
  status.service = "web";
  status.capacity = options_.size;
  hooks_.on_up(status);
}

void CrashingRunner::GoDown(Duration down_for) {
  if (!up_) return;
  up_ = false;
  runs_.clear();
  ended_.clear();
  next_end_ = 1;
  if (waiting_) {
    const WaitingLook look = *std::exchange(waiting_, std::nullopt);
    time_.After(kCallTime, [done = look.done] { done(RunnerView{}); });
  }
  time_.After(down_for, [this] { ComeUp(); });
}

void CrashingRunner::Call(const std::string& incarnation,
                          std::function<void(RunnerReply)> done,
                          std::function<RunnerVerdict()> act) {
  if (!up_) {
    time_.After(kCallTime, [done = std::move(done)] {
      done({RunnerVerdict::kUnreachable, std::nullopt});
    });
    return;
  }
  const int asked = life_;
  time_.After(kCallTime, [this, incarnation, asked, done = std::move(done),
                          act = std::move(act)] {
    if (!up_ || life_ != asked) {
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
  hooks.poll = [this](RunnerPoll call, auto done) { Look(call, done); };
  return hooks;
}

RunnerVerdict CrashingRunner::Start(const RunRef& run) {
  if (runs_.count(run) > 0) return RunnerVerdict::kDone;
  const CrashingTask task = hooks_.task_of(run.task);
  int64_t used = 0;
  for (const auto& [ref, other] : runs_) used += other.cpu_millis;
  if (used + task.cpu_millis > options_.size.cpu_millis) {
    return RunnerVerdict::kNoRoom;
  }
  runs_[run] = task;
  hooks_.on_start(run);
  const auto later = [this, run, incarnation = life_](
                         Duration delay, const std::function<void()>& act) {
    time_.After(delay, [this, run, incarnation, act] {
      if (up_ && life_ == incarnation && runs_.count(run) > 0) act();
    });
  };
  if (task.crashes_after) {
    later(*task.crashes_after, [this, run] {
      hooks_.on_crash(run);
      GoDown(options_.down_for);
    });
  }
  if (task.run > Duration(0)) {
    later(task.run, [this, run] { End(run, RunEndKind::kDone); });
  }
  return RunnerVerdict::kDone;
}

RunnerVerdict CrashingRunner::Stop(const RunRef& run) {
  if (runs_.count(run) > 0) End(run, RunEndKind::kStopped);
  return RunnerVerdict::kDone;
}

void CrashingRunner::End(const RunRef& run, RunEndKind kind) {
  runs_.erase(run);
  ended_.push_back({next_end_++, run, kind, ""});
  if (!waiting_) return;
  const WaitingLook look = *std::exchange(waiting_, std::nullopt);
  AnswerLook(look.acknowledged_through, look.done);
}

void CrashingRunner::Look(const RunnerPoll& call,
                          const std::function<void(RunnerView)>& done) {
  if (!up_ || call.incarnation != IncarnationName()) {
    RunnerView view;
    view.reply.verdict =
        up_ ? RunnerVerdict::kOtherIncarnation : RunnerVerdict::kUnreachable;
    time_.After(kCallTime, [done, view] { done(view); });
    return;
  }
  if (call.wait.count() == 0) {
    AnswerLook(call.acknowledged_through, done);
    return;
  }
  const uint64_t number = next_look_++;
  waiting_ = WaitingLook{number, call.acknowledged_through, done};
  time_.After(call.wait, [this, number] {
    if (!waiting_ || waiting_->number != number) return;
    const WaitingLook look = *std::exchange(waiting_, std::nullopt);
    AnswerLook(look.acknowledged_through, look.done);
  });
}

void CrashingRunner::AnswerLook(uint64_t acknowledged_through,
                                const std::function<void(RunnerView)>& done) {
  const int asked = life_;
  time_.After(kCallTime, [this, acknowledged_through, done, asked] {
    RunnerView view;
    if (up_ && life_ == asked) {
      const auto settled = [&](const RunEnd& end) {
        return end.number <= acknowledged_through;
      };
      ended_.erase(std::remove_if(ended_.begin(), ended_.end(), settled),
                   ended_.end());
      view.reply = Reply(RunnerVerdict::kDone);
      view.ended = ended_;
      for (const auto& [run, task] : runs_) {
        view.running.push_back({run, 50, 0});
      }
    }
    done(view);
  });
}

}  // namespace beamhill
