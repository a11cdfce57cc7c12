// Best-effort tasks never keep a serving task over its latency target for long,
// whatever interference weights the owner sends, although samples are inexact
// and late and orders to the runner are lost.
#include <gtest/gtest.h>

#include <cmath>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"
#include "beamhill/replay/replay_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kLink = 1;
constexpr int kServices = 4;
constexpr int kBestEffortTasks = 3;
constexpr Duration kTarget = milliseconds(18);
constexpr Duration kBaseTail = milliseconds(5);
// Requirement: no serving task exceeds its target for 4 s.
constexpr Duration kMaxViolation = seconds(4);

// One VM whose services are sensitive at different times and whose best-effort
// tasks start and end.
class VmUnderInterference {
 public:
  VmUnderInterference(uint64_t seed, PacePolicy policy)
      : random_(seed), time_(kStart), policy_(policy) {
    workload_model_.task_of = [](const RunRef& run) { return TaskOf(run); };
    workload_model_.base_tail = [](const std::string&, TimePoint) {
      return kBaseTail;
    };
    workload_model_.added_tail = [](const std::string& serving_image,
                                    const std::string& best_effort_image,
                                    TimePoint now) {
      return AddedTail(serving_image, best_effort_image, now);
    };
    runner_ = std::make_unique<ReplayRunner>(time_, workload_model_,
                                             Resources{64000, 256000, 0});
    executor_ = std::make_unique<Executor>(ExecutorOptions{}, FaultyHooks(),
                                           MakeExecutorHooks());
    executor_->OnRunnerRegistered(Status(), RunnerClock(1));
    TakeOver();
  }

  Duration Run(Duration time) {
    const TimePoint end = time_.now() + time;
    for (int i = 0; time_.now() < end; ++i) {
      if (i % 20 == 0) executor_->OnMessage(kLink, Renewal());
      if (i % 40 == 0) StartTasks();
      // Another owner takes over every 15 s and replaces the weights.
      if (i % 600 == 599) TakeOver();
      time_.RunUntil(time_.now() + milliseconds(25));
      executor_->Tick();
      runner_->Advance(milliseconds(25));
    }
    return runner_->max_violation();
  }

  double best_effort_core_seconds() const {
    return runner_->best_effort_core_seconds();
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  static bool IsServing(const RunRef& run) { return run.task.workflow == "s"; }

  static SimulatedTask TaskOf(const RunRef& run) {
    SimulatedTask task;
    task.image = run.task.workflow + std::to_string(run.task.index);
    task.memory_mib = 1000;
    if (IsServing(run)) {
      task.cpu_millis = 12000;
      task.long_running = true;
      task.tail_target = kTarget;
    } else {
      task.cpu_millis = 7000;
      task.best_effort = true;
      task.work = milliseconds(1700);
    }
    return task;
  }

  // Half of the pairs interfere, at the peaks of a load that oscillates with a
  // period of 10 s.
  static Duration AddedTail(const std::string& serving_image,
                            const std::string& best_effort_image,
                            TimePoint now) {
    const auto pair_hash =
        std::hash<std::string>()(serving_image + best_effort_image);
    if (pair_hash % 2 == 0) return milliseconds(5);
    const double turns =
        std::chrono::duration<double>(now - kStart).count() / 10 +
        static_cast<double>(pair_hash % 10) / 10;
    const double factor = 1 + std::sin(6.283185307179586 * turns);
    return std::chrono::duration_cast<Duration>(milliseconds(700) * factor);
  }

  static VmStatus Status() {
    VmStatus status;
    status.incarnation = "incarnation-1";
    status.capacity = {64000, 256000, 0};
    return status;
  }

  RenewLease Renewal() const { return {epoch_, time_.now(), seconds(5)}; }

  ExecutorHooks MakeExecutorHooks() {
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [](uint64_t, const DispatchMessage&) {};
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    return hooks;
  }

  // Returns hooks whose polls are delayed by up to 200 ms and report tails with
  // an error of up to 10 %. One pace order in ten gets no answer, but never two
  // in a row for a run, and half of these take effect 800 ms later.
  TaskRunner FaultyHooks() {
    TaskRunner reliable = runner_->Hooks();
    TaskRunner faulty = reliable;
    faulty.poll = [this, reliable](const RunnerPoll& call, auto done) {
      reliable.poll(call, [this, done](RunnerView view) {
        for (RunningRun& run : view.running) {
          if (!IsServing(run.run)) continue;
          const double measurement_error = 0.9 + 0.2 * Uniform();
          run.measurement = static_cast<int64_t>(std::lround(
              measurement_error * static_cast<double>(run.measurement)));
        }
        const auto delay = milliseconds(static_cast<int>(200 * Uniform()));
        time_.After(delay, [done, view = std::move(view)] { done(view); });
      });
    };
    faulty.pace = [this, reliable](const RunnerPace& call, auto done) {
      if (lost_pace_orders_.erase(call.run) > 0 || Uniform() >= 0.1) {
        reliable.pace(call, done);
        return;
      }
      lost_pace_orders_.insert(call.run);
      if (Uniform() < 0.5) {
        time_.After(milliseconds(800), [reliable, call] {
          reliable.pace(call, [](RunnerReply) {});
        });
      }
      time_.After(milliseconds(500), [done] { done(RunnerReply{}); });
    };
    return faulty;
  }

  void TakeOver() {
    ++epoch_;
    executor_->OnMessage(kLink, Attach{"owner", epoch_});
    executor_->OnMessage(kLink, Renewal());
    executor_->OnMessage(kLink, PacePolicyNotice{epoch_, policy_});
    InterferenceWeights weights_message{epoch_, {}};
    for (int s = 0; s < kServices; ++s) {
      for (int f = 0; f < kBestEffortTasks; ++f) {
        weights_message.weights.push_back(
            {"s" + std::to_string(s), "f" + std::to_string(f),
             milliseconds(static_cast<int>(400 * (Uniform() - 0.5)))});
      }
    }
    executor_->OnMessage(kLink, weights_message);
  }

  void StartTasks() {
    for (int s = 0; s < kServices && next_run_ == 1; ++s) StartTask("s", s, 1);
    for (int f = 0; f < kBestEffortTasks; ++f) StartTask("f", f, next_run_);
    ++next_run_;
  }

  void StartTask(const std::string& workflow, int index, uint64_t run) {
    const RunRef ref{{workflow, 0, 0, static_cast<uint32_t>(index)}, run};
    const SimulatedTask task = TaskOf(ref);
    StartRuns starts;
    starts.epoch = epoch_;
    starts.incarnation = "incarnation-1";
    starts.workflow = workflow;
    starts.traits = {task.image, task.best_effort, task.tail_target,
                     task.cpu_millis, 1};
    starts.runs = {{ref.task.index, run, "", ""}};
    executor_->OnMessage(kLink, starts);
  }

  std::mt19937_64 random_;
  VirtualTime time_;
  PacePolicy policy_;
  WorkloadModel workload_model_;
  std::unique_ptr<ReplayRunner> runner_;
  std::unique_ptr<Executor> executor_;
  std::set<RunRef> lost_pace_orders_;  // Runs whose last pace order was lost.
  uint64_t epoch_ = 0;
  uint64_t next_run_ = 1;
};

void ExpectBounded(PacePolicy policy) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    VmUnderInterference vm(seed, policy);
    EXPECT_LT(ToMillis(vm.Run(seconds(60))), ToMillis(kMaxViolation))
        << "seed " << seed;
    EXPECT_GT(vm.best_effort_core_seconds(), 0);
  }
}

TEST(TargetViolationTest, HoldsUnderGuardedPacePolicy) {
  ExpectBounded(PacePolicy::kGuarded);
}

TEST(TargetViolationTest, HoldsUnderCautiousPacePolicy) {
  ExpectBounded(PacePolicy::kCautious);
}

}  // namespace
}  // namespace beamhill
