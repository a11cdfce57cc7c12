// Fixture for tests of Executor: the test answers the calls to the runner
// itself, and messages to the owner are recorded.
//
//   TEST_F(ExecutorTest, StartIsSentToTheRunner) {
//     Register("incarnation-1");
//     Attach(1);
//     Start(kRun, 1);
//     EXPECT_THAT(starts_, SizeIs(1));
//   }
#ifndef BEAMHILL_EXECUTOR_EXECUTOR_TEST_BASE_H_
#define BEAMHILL_EXECUTOR_EXECUTOR_TEST_BASE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"

namespace beamhill {

inline constexpr uint64_t kLink = 1;
inline const RunRef kRun{{"w", 0, 0, 0}, 1};

class ExecutorTest : public testing::Test {
 protected:
  explicit ExecutorTest(const ExecutorOptions& options = {}) {
    TaskRunner runner;
    runner.start = [this](RunnerStart call, auto done) {
      starts_.push_back({std::move(call), done});
    };
    runner.stop = [this](RunnerStop call, auto done) {
      stops_.push_back({std::move(call), done});
    };
    runner.pace = [this](RunnerPace call, auto done) {
      paces_.push_back({std::move(call), done});
    };
    runner.poll = [this](RunnerPoll call, auto done) {
      polls_.push_back({std::move(call), done});
    };
    ExecutorHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.send = [this](uint64_t link, const DispatchMessage& message) {
      sent_.push_back({link, message});
    };
    hooks.log = [this](const std::string& event, const std::string&,
                       const std::string& detail) {
      logged_[event].push_back(detail);
    };
    hooks.ready_for_starts = [this] { return ready_for_starts_; };
    executor_ = std::make_unique<Executor>(options, std::move(runner), hooks);
  }

  int last_pace_ = -1;

  void Register(const std::string& incarnation) {
    VmStatus status;
    status.incarnation = incarnation;
    status.capacity = {8000, 16000, 0};
    executor_->OnRunnerRegistered(status, RunnerClock(1000));
  }

  // Answers the oldest poll in flight; waits up to 2 s for one to be sent.
  void AnswerPoll(std::vector<RunningRun> running = {},
                  std::vector<RunEnd> ended = {}, bool more_ends = false) {
    for (int i = 0; polls_.empty() && i < 20; ++i) {
      AdvanceTime(std::chrono::milliseconds(100));
    }
    ASSERT_FALSE(polls_.empty());
    const auto [call, done] = polls_.front();
    polls_.pop_front();
    last_poll_ = call;
    done({{RunnerVerdict::kDone, RunnerClock(1000)},
          std::move(running),
          std::move(ended),
          more_ends});
  }

  void Attach(uint64_t epoch) {
    executor_->OnMessage(kLink, ::beamhill::Attach{"a", epoch});
    AnswerPoll();
    executor_->OnMessage(kLink,
                         RenewLease{epoch, now_, std::chrono::seconds(5)});
  }

  void Start(const RunRef& run, uint64_t epoch, Duration tail_target = {},
             bool best_effort = false, double best_effort_rank = 0) {
    StartRuns starts;
    starts.epoch = epoch;
    starts.incarnation = executor_->status().incarnation;
    starts.workflow = run.task.workflow;
    starts.traits.image = "img";
    starts.traits.best_effort = best_effort;
    starts.traits.tail_target = tail_target;
    starts.traits.cpu_millis = 2000;
    starts.traits.best_effort_rank = best_effort_rank;
    starts.runs = {{run.task.index, run.run, "", ""}};
    executor_->OnMessage(kLink, starts);
  }

  // Answers all calls in flight as done, including those sent meanwhile.
  template <typename Calls>
  static void AnswerAll(Calls& calls) {
    while (!calls.empty()) {
      const auto done = calls.front().second;
      calls.pop_front();
      done({RunnerVerdict::kDone, std::nullopt});
    }
  }

  // For 1.2 s, runs kRun as a best-effort run beside a serving task that is far
  // over its target.
  void RunBestEffortBesideSlowService() {
    Register("incarnation-1");
    Attach(1);
    const RunRef serving{{"w", 0, 0, 1}, 1};
    Start(kRun, 1, {}, /*best_effort=*/true);
    Start(serving, 1, std::chrono::milliseconds(20));
    AnswerAll(starts_);
    for (int i = 0; i < 4; ++i) {
      AdvanceTime(std::chrono::milliseconds(300));
      AnswerPoll({{kRun, 50, 4000}, {serving, 100, 45}});
    }
  }

  template <typename T>
  std::vector<T> Sent() {
    std::vector<T> found;
    for (const auto& [link, message] : sent_) {
      if (const auto* m = std::get_if<T>(&message)) found.push_back(*m);
    }
    return found;
  }

  void AdvanceTime(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(100);
      executor_->Tick();
    }
  }

  TimePoint now_{std::chrono::hours(1)};
  bool ready_for_starts_ = true;
  std::unique_ptr<Executor> executor_;
  std::deque<std::pair<RunnerStart, std::function<void(RunnerReply)>>> starts_;
  std::deque<std::pair<RunnerStop, std::function<void(RunnerReply)>>> stops_;
  std::deque<std::pair<RunnerPace, std::function<void(RunnerReply)>>> paces_;
  std::deque<std::pair<RunnerPoll, std::function<void(RunnerView)>>> polls_;
  RunnerPoll last_poll_;
  std::vector<std::pair<uint64_t, DispatchMessage>> sent_;
  std::map<std::string, std::vector<std::string>> logged_;  // By event.
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_EXECUTOR_TEST_BASE_H_
