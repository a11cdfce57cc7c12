#include "beamhill/replay/replay_runner.h"

#include <algorithm>
#include <chrono>

namespace beamhill {
namespace {

// A call to the runner of the same VM takes about this long.
constexpr Duration kCallTime = std::chrono::milliseconds(1);
// A tail trails its cause with this time constant, as measured on the users'
// sites (docs/ORDER-DESK.md). Use shows whole within half a second.
constexpr double kTrailSeconds = 0.45;
constexpr double kUseTrailSeconds = 0.12;
constexpr double kPercent = 100;

}  // namespace

ReplayRunner::ReplayRunner(VirtualTime& time, const ReplayPhysics& physics,
                           Resources size)
    : time_(time), physics_(physics), size_(size) {}

RunnerReply ReplayRunner::Done() const {
  return {RunnerVerdict::kDone, std::chrono::duration_cast<RunnerClock>(
                                    time_.now().time_since_epoch())};
}

TaskRunner ReplayRunner::Hooks() {
  TaskRunner hooks;
  hooks.start = [this](const RunnerStart& call, auto done) {
    time_.After(kCallTime, [this, call, done] { done(Start(call)); });
  };
  hooks.stop = [this](const RunnerStop& call, auto done) {
    time_.After(kCallTime, [this, call, done] { done(Stop(call.run)); });
  };
  hooks.pace = [this](const RunnerPace& call, auto done) {
    time_.After(kCallTime, [this, call, done] {
      Pace(call);
      done(Done());
    });
  };
  hooks.look = [this](const RunnerLook& call, auto done) {
    if (call.wait.count() == 0) {
      AnswerLook(call.settled_through, done);
      return;
    }
    const uint64_t number = next_look_++;
    waiting_ = WaitingLook{number, call.settled_through, done};
    time_.After(call.wait, [this, number] {
      if (!waiting_ || waiting_->number != number) return;
      const WaitingLook look = *std::exchange(waiting_, std::nullopt);
      AnswerLook(look.settled_through, look.done);
    });
  };
  return hooks;
}

RunnerReply ReplayRunner::Start(const RunnerStart& call) {
  if (runs_.count(call.run) > 0) return Done();
  Run run;
  run.task = physics_.task_of(call.run);
  Resources used;
  for (const auto& [ref, other] : runs_) {
    used.memory_mib += other.task.memory_mib;
    if (!other.task.fills) used.cpu_millis += other.task.cpu_millis;
  }
  Resources need{run.task.fills ? 0 : run.task.cpu_millis, run.task.memory_mib,
                 0};
  if (!(size_ - used).Holds(need)) {
    RunnerReply refused = Done();
    refused.verdict = RunnerVerdict::kNoRoom;
    return refused;
  }
  if (run.task.saves && !call.checkpoint.empty()) {
    run.done_seconds = std::stod(call.checkpoint);
  }
  runs_[call.run] = run;
  return Done();
}

int64_t ReplayRunner::memory_in_use_mib() const {
  int64_t used = 0;
  for (const auto& [ref, run] : runs_) used += run.task.memory_mib;
  return used;
}

RunnerReply ReplayRunner::Stop(const RunRef& run) {
  const auto ended = runs_.extract(run);
  if (!ended.empty()) List(run, ended.mapped(), RunEndKind::kStopped);
  return Done();
}

void ReplayRunner::Pace(const RunnerPace& call) {
  const auto it = runs_.find(call.run);
  if (it != runs_.end()) it->second.percent = call.percent;
}

void ReplayRunner::List(const RunRef& ref, const Run& run, RunEndKind kind) {
  const std::string checkpoint =
      run.task.saves ? std::to_string(run.done_seconds) : "";
  ended_.push_back({next_end_++, ref, kind, checkpoint});
  if (!waiting_) return;
  const WaitingLook look = *std::exchange(waiting_, std::nullopt);
  AnswerLook(look.settled_through, look.done);
}

void ReplayRunner::AnswerLook(uint64_t settled_through,
                              const std::function<void(RunnerView)>& done) {
  time_.After(kCallTime,
              [this, settled_through, done] { done(View(settled_through)); });
}

int ReplayRunner::PercentDone(const Run& run) {
  if (run.task.lasts || run.task.work <= Duration(0)) return kPercent;
  const double whole = std::chrono::duration<double>(run.task.work).count();
  return static_cast<int>(kPercent * run.done_seconds / whole);
}

RunnerView ReplayRunner::View(uint64_t settled_through) {
  ended_.erase(std::remove_if(ended_.begin(), ended_.end(),
                              [&](const RunEnd& end) {
                                return end.number <= settled_through;
                              }),
               ended_.end());
  RunnerView view;
  view.reply = Done();
  view.ended = ended_;
  for (const auto& [ref, run] : runs_) {
    const bool serves = run.task.tail_target > Duration(0);
    view.running.push_back(
        {ref, PercentDone(run),
         static_cast<int64_t>(serves ? run.tail_ms : run.used_cpu)});
  }
  return view;
}

double ReplayRunner::FillingScale() const {
  auto free = static_cast<double>(size_.cpu_millis);
  double wanted = 0;
  for (const auto& [ref, run] : runs_) {
    const auto cpu = static_cast<double>(run.task.cpu_millis);
    if (run.task.fills) {
      wanted += cpu * run.percent / kPercent;
    } else {
      free -= cpu * (run.task.lasts ? physics_.serving_use : 1);
    }
  }
  return wanted <= free ? 1 : std::max(free, 0.0) / wanted;
}

void ReplayRunner::Advance(Duration step) {
  const double seconds = std::chrono::duration<double>(step).count();
  const double scale = FillingScale();
  const double keep = std::max(0.0, 1 - seconds / kTrailSeconds);
  const double keep_use = std::max(0.0, 1 - seconds / kUseTrailSeconds);
  std::map<std::string, double> shares;
  std::vector<std::pair<RunRef, RunEndKind>> over;
  for (auto& [ref, run] : runs_) {
    const double pace = run.task.fills ? scale * run.percent / kPercent : 1;
    const double used = pace * static_cast<double>(run.task.cpu_millis);
    run.used_cpu = keep_use * run.used_cpu + (1 - keep_use) * used;
    run.done_seconds += pace * seconds;
    if (run.task.fills) {
      shares[run.task.image] += used / static_cast<double>(size_.cpu_millis);
      filled_core_seconds_ += used / kMillicoresPerCore * seconds;
    }
    const double whole = std::chrono::duration<double>(run.task.work).count();
    if (!run.task.lasts && run.done_seconds >= whole) {
      over.emplace_back(
          ref, run.task.fails ? RunEndKind::kFailed : RunEndKind::kDone);
    }
  }
  AdvanceTails(keep, shares, step);
  for (const auto& [ref, kind] : over) {
    const auto ended = runs_.extract(ref);
    List(ref, ended.mapped(), kind);
  }
}

void ReplayRunner::AdvanceTails(double keep,
                                const std::map<std::string, double>& shares,
                                Duration step) {
  const bool fillers_work =
      std::any_of(shares.begin(), shares.end(),
                  [](const auto& entry) { return entry.second > 0; });
  for (auto& [ref, run] : runs_) {
    if (run.task.tail_target <= Duration(0)) continue;
    const std::string& serving = run.task.image;
    double tail = ToMillis(physics_.tail_alone(serving, time_.now()));
    for (const auto& [filling, share] : shares) {
      tail +=
          share * ToMillis(physics_.added_tail(serving, filling, time_.now()));
    }
    run.tail_ms =
        run.tail_ms == 0 ? tail : keep * run.tail_ms + (1 - keep) * tail;
    if (!fillers_work || run.tail_ms <= ToMillis(run.task.tail_target)) {
      run.harmed_for = Duration(0);
      continue;
    }
    run.harmed_for += step;
    harm_seconds_ += std::chrono::duration<double>(step).count();
    longest_harm_ = std::max(longest_harm_, run.harmed_for);
  }
}

}  // namespace beamhill
