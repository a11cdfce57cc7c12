#include "beamhill/replay/replay_runner.h"

#include <algorithm>
#include <chrono>

namespace beamhill {
namespace {

// Latency of a call to the runner on the same VM.
constexpr Duration kCallLatency = std::chrono::milliseconds(1);
// Tails follow a change of load with the time constant of real deployments;
// CPU use follows fully within half a second.
constexpr double kTailTimeConstantSeconds = 0.45;
constexpr double kCpuTimeConstantSeconds = 0.12;
constexpr double kPercent = 100;

}  // namespace

ReplayRunner::ReplayRunner(VirtualTime& time,
                           const WorkloadModel& workload_model,
                           Resources capacity)
    : time_(time), workload_model_(workload_model), capacity_(capacity) {}

RunnerReply ReplayRunner::Done() const {
  return {RunnerVerdict::kDone, std::chrono::duration_cast<RunnerClock>(
                                    time_.now().time_since_epoch())};
}

TaskRunner ReplayRunner::Hooks() {
  TaskRunner hooks;
  hooks.start = [this](const RunnerStart& call, auto done) {
    time_.After(kCallLatency, [this, call, done] { done(Start(call)); });
  };
  hooks.stop = [this](const RunnerStop& call, auto done) {
    time_.After(kCallLatency, [this, call, done] { done(Stop(call.run)); });
  };
  hooks.pace = [this](const RunnerPace& call, auto done) {
    time_.After(kCallLatency, [this, call, done] {
      Pace(call);
      done(Done());
    });
  };
  hooks.poll = [this](const RunnerPoll& call, auto done) {
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
  };
  return hooks;
}

RunnerReply ReplayRunner::Start(const RunnerStart& call) {
  if (runs_.count(call.run) > 0) return Done();
  Run run;
  run.task = workload_model_.task_of(call.run);
  Resources used;
  for (const auto& [ref, other] : runs_) {
    used.memory_mib += other.task.memory_mib;
    if (!other.task.best_effort) used.cpu_millis += other.task.cpu_millis;
  }
  Resources need{run.task.best_effort ? 0 : run.task.cpu_millis,
                 run.task.memory_mib, 0};
  if (!(capacity_ - used).Holds(need)) {
    RunnerReply refused = Done();
    refused.verdict = RunnerVerdict::kNoRoom;
    return refused;
  }
  if (run.task.saves_checkpoint && !call.checkpoint.empty()) {
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
  if (!ended.empty()) RecordEnd(run, ended.mapped(), RunEndKind::kStopped);
  return Done();
}

void ReplayRunner::Pace(const RunnerPace& call) {
  const auto it = runs_.find(call.run);
  if (it != runs_.end()) it->second.percent = call.percent;
}

void ReplayRunner::RecordEnd(const RunRef& ref, const Run& run,
                             RunEndKind kind) {
  const std::string checkpoint =
      run.task.saves_checkpoint ? std::to_string(run.done_seconds) : "";
  unacknowledged_ends_.push_back({next_end_++, ref, kind, checkpoint});
  if (!pending_poll_) return;
  const PendingPoll poll = *std::exchange(pending_poll_, std::nullopt);
  AnswerPoll(poll.acknowledged_through, poll.done);
}

void ReplayRunner::AnswerPoll(uint64_t acknowledged_through,
                              const std::function<void(RunnerView)>& done) {
  time_.After(kCallLatency, [this, acknowledged_through, done] {
    done(View(acknowledged_through));
  });
}

int ReplayRunner::PercentDone(const Run& run) {
  if (run.task.long_running || run.task.work <= Duration(0)) return kPercent;
  const double total_seconds =
      std::chrono::duration<double>(run.task.work).count();
  return static_cast<int>(kPercent * run.done_seconds / total_seconds);
}

RunnerView ReplayRunner::View(uint64_t acknowledged_through) {
  unacknowledged_ends_.erase(
      std::remove_if(unacknowledged_ends_.begin(), unacknowledged_ends_.end(),
                     [&](const RunEnd& end) {
                       return end.number <= acknowledged_through;
                     }),
      unacknowledged_ends_.end());
  RunnerView view;
  view.reply = Done();
  view.ended = unacknowledged_ends_;
  for (const auto& [ref, run] : runs_) {
    const bool serves = run.task.tail_target > Duration(0);
    view.running.push_back(
        {ref, PercentDone(run),
         static_cast<int64_t>(serves ? run.tail_ms : run.used_cpu)});
  }
  return view;
}

double ReplayRunner::BestEffortScale() const {
  auto free = static_cast<double>(capacity_.cpu_millis);
  double demand = 0;
  for (const auto& [ref, run] : runs_) {
    const auto cpu = static_cast<double>(run.task.cpu_millis);
    if (run.task.best_effort) {
      demand += cpu * run.percent / kPercent;
    } else {
      free -= cpu *
              (run.task.long_running ? workload_model_.serving_utilization : 1);
    }
  }
  return demand <= free ? 1 : std::max(free, 0.0) / demand;
}

void ReplayRunner::Advance(Duration step) {
  const double seconds = std::chrono::duration<double>(step).count();
  const double best_effort_scale = BestEffortScale();
  const double tail_decay =
      std::max(0.0, 1 - seconds / kTailTimeConstantSeconds);
  const double cpu_decay = std::max(0.0, 1 - seconds / kCpuTimeConstantSeconds);
  std::map<std::string, double> shares;
  std::vector<std::pair<RunRef, RunEndKind>> finished;
  for (auto& [ref, run] : runs_) {
    const double pace =
        run.task.best_effort ? best_effort_scale * run.percent / kPercent : 1;
    const double used = pace * static_cast<double>(run.task.cpu_millis);
    run.used_cpu = cpu_decay * run.used_cpu + (1 - cpu_decay) * used;
    run.done_seconds += pace * seconds;
    if (run.task.best_effort) {
      shares[run.task.image] +=
          used / static_cast<double>(capacity_.cpu_millis);
      best_effort_core_seconds_ += used / kMillicoresPerCore * seconds;
    }
    const double total_seconds =
        std::chrono::duration<double>(run.task.work).count();
    if (!run.task.long_running && run.done_seconds >= total_seconds) {
      finished.emplace_back(
          ref, run.task.fails ? RunEndKind::kFailed : RunEndKind::kDone);
    }
  }
  AdvanceTails(tail_decay, shares, step);
  for (const auto& [ref, kind] : finished) {
    const auto ended = runs_.extract(ref);
    RecordEnd(ref, ended.mapped(), kind);
  }
}

void ReplayRunner::AdvanceTails(double tail_decay,
                                const std::map<std::string, double>& shares,
                                Duration step) {
  const bool best_effort_active =
      std::any_of(shares.begin(), shares.end(),
                  [](const auto& entry) { return entry.second > 0; });
  for (auto& [ref, run] : runs_) {
    if (run.task.tail_target <= Duration(0)) continue;
    const std::string& serving_image = run.task.image;
    double tail =
        ToMillis(workload_model_.base_tail(serving_image, time_.now()));
    for (const auto& [best_effort_image, share] : shares) {
      tail += share * ToMillis(workload_model_.added_tail(
                          serving_image, best_effort_image, time_.now()));
    }
    run.tail_ms = run.tail_ms == 0
                      ? tail
                      : tail_decay * run.tail_ms + (1 - tail_decay) * tail;
    if (!best_effort_active || run.tail_ms <= ToMillis(run.task.tail_target)) {
      run.violated_for = Duration(0);
      continue;
    }
    run.violated_for += step;
    violation_seconds_ += std::chrono::duration<double>(step).count();
    max_violation_ = std::max(max_violation_, run.violated_for);
  }
}

}  // namespace beamhill
