// No serving task is over its target for long through fillers, whatever the
// owner has chosen and however wrong it is, though samples are rough and late
// and orders to the runner get lost.
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
constexpr int kServing = 4;
constexpr int kFillers = 3;
constexpr Duration kTarget = milliseconds(18);
constexpr Duration kAlone = milliseconds(5);
// What the users call harm lasts for 4 s.
constexpr Duration kHarmBound = seconds(4);

// One VM with services that suffer by turns and fillers that come and go.
class HarmedVm {
 public:
  HarmedVm(uint64_t seed, PacePolicy policy)
      : random_(seed), time_(kStart), policy_(policy) {
    physics_.task_of = [](const RunRef& run) { return TaskOf(run); };
    physics_.tail_alone = [](const std::string&, TimePoint) { return kAlone; };
    physics_.added_tail = [](const std::string& serving,
                             const std::string& filling, TimePoint now) {
      return AddedTail(serving, filling, now);
    };
    runner_ = std::make_unique<ReplayRunner>(time_, physics_,
                                             Resources{64000, 256000, 0});
    executor_ = std::make_unique<Executor>(ExecutorOptions{}, FaultyHooks(),
                                           HooksOfExecutor());
    executor_->OnRunnerRegistered(Status(), RunnerClock(1));
    TakeOver();
  }

  Duration Play(Duration time) {
    const TimePoint end = time_.now() + time;
    for (int i = 0; time_.now() < end; ++i) {
      if (i % 20 == 0) executor_->OnMessage(kLink, Renewal());
      if (i % 40 == 0) StartMore();
      // Another owner takes over now and then; weights are lost with it.
      if (i % 600 == 599) TakeOver();
      time_.RunUntil(time_.now() + milliseconds(25));
      executor_->Tick();
      runner_->Advance(milliseconds(25));
    }
    return runner_->longest_harm();
  }

  double filled_core_seconds() const { return runner_->filled_core_seconds(); }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  static bool Serves(const RunRef& run) { return run.task.workflow == "s"; }

  static ReplayTask TaskOf(const RunRef& run) {
    ReplayTask task;
    task.image = run.task.workflow + std::to_string(run.task.index);
    task.memory_mib = 1000;
    if (Serves(run)) {
      task.cpu_millis = 12000;
      task.lasts = true;
      task.tail_target = kTarget;
    } else {
      task.cpu_millis = 7000;
      task.best_effort = true;
      task.work = milliseconds(1700);
    }
    return task;
  }

  // Half of the pairs harm, at the peaks of a load that swings within 10 s.
  static Duration AddedTail(const std::string& serving,
                            const std::string& filling, TimePoint now) {
    const auto pair = std::hash<std::string>()(serving + filling);
    if (pair % 2 == 0) return milliseconds(5);
    const double at = std::chrono::duration<double>(now - kStart).count() / 10 +
                      static_cast<double>(pair % 10) / 10;
    const double swung = 1 + std::sin(6.283185307179586 * at);
    return std::chrono::duration_cast<Duration>(milliseconds(700) * swung);
  }

  static VmStatus Status() {
    VmStatus status;
    status.incarnation = "life-1";
    status.capacity = {64000, 256000, 0};
    return status;
  }

  RenewLease Renewal() const { return {epoch_, time_.now(), seconds(5)}; }

  ExecutorHooks HooksOfExecutor() {
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [](uint64_t, const DispatchMessage&) {};
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    return hooks;
  }

  // Looks come late with tails that are off by a tenth; one pace order in ten
  // gets no answer, but never two for a run in a row, and half of these are
  // carried out later.
  TaskRunner FaultyHooks() {
    TaskRunner sound = runner_->Hooks();
    TaskRunner faulty = sound;
    faulty.poll = [this, sound](const RunnerPoll& call, auto done) {
      sound.poll(call, [this, done](RunnerView view) {
        for (RunningRun& run : view.running) {
          if (!Serves(run.run)) continue;
          const double rough = 0.9 + 0.2 * Uniform();
          run.measurement = static_cast<int64_t>(
              std::lround(rough * static_cast<double>(run.measurement)));
        }
        const auto late = milliseconds(static_cast<int>(200 * Uniform()));
        time_.After(late, [done, view = std::move(view)] { done(view); });
      });
    };
    faulty.pace = [this, sound](const RunnerPace& call, auto done) {
      if (lost_last_.erase(call.run) > 0 || Uniform() >= 0.1) {
        sound.pace(call, done);
        return;
      }
      lost_last_.insert(call.run);
      if (Uniform() < 0.5) {
        time_.After(milliseconds(800),
                    [sound, call] { sound.pace(call, [](RunnerReply) {}); });
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
    InterferenceWeights wrong{epoch_, {}};
    for (int s = 0; s < kServing; ++s) {
      for (int f = 0; f < kFillers; ++f) {
        wrong.weights.push_back(
            {"s" + std::to_string(s), "f" + std::to_string(f),
             milliseconds(static_cast<int>(400 * (Uniform() - 0.5)))});
      }
    }
    executor_->OnMessage(kLink, wrong);
  }

  void StartMore() {
    for (int s = 0; s < kServing && next_run_ == 1; ++s) StartOne("s", s, 1);
    for (int f = 0; f < kFillers; ++f) StartOne("f", f, next_run_);
    ++next_run_;
  }

  void StartOne(const std::string& workflow, int index, uint64_t run) {
    const RunRef ref{{workflow, 0, 0, static_cast<uint32_t>(index)}, run};
    const ReplayTask task = TaskOf(ref);
    StartRuns starts;
    starts.epoch = epoch_;
    starts.incarnation = "life-1";
    starts.workflow = workflow;
    starts.traits = {task.image, task.best_effort, task.tail_target,
                     task.cpu_millis, 1};
    starts.runs = {{ref.task.index, run, "", ""}};
    executor_->OnMessage(kLink, starts);
  }

  std::mt19937_64 random_;
  VirtualTime time_;
  PacePolicy policy_;
  ReplayPhysics physics_;
  std::unique_ptr<ReplayRunner> runner_;
  std::unique_ptr<Executor> executor_;
  std::set<RunRef> lost_last_;  // Runs whose last pace order was lost.
  uint64_t epoch_ = 0;
  uint64_t next_run_ = 1;
};

void ExpectBounded(PacePolicy policy) {
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    HarmedVm vm(seed, policy);
    EXPECT_LT(ToMillis(vm.Play(seconds(60))), ToMillis(kHarmBound))
        << "seed " << seed;
    EXPECT_GT(vm.filled_core_seconds(), 0);
  }
}

TEST(HarmBoundTest, HoldsWhileFillersAreOnlyGuarded) {
  ExpectBounded(PacePolicy::kGuarded);
}

TEST(HarmBoundTest, HoldsWhileFillersAreHeldBack) {
  ExpectBounded(PacePolicy::kCautious);
}

}  // namespace
}  // namespace beamhill
