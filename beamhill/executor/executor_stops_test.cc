// Tests how an Executor follows up on stops that its runner accepted.
#include "beamhill/executor/executor_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

class ExecutorStopsTest : public ExecutorTest {
 protected:
  // Starts kRun on the runner, which then accepts a stop of it.
  void StartAndStop() {
    Register("incarnation-1");
    Attach(1);
    Start(kRun, 1);
    AnswerAll(starts_);
    Stop();
    ASSERT_THAT(stops_, SizeIs(1));
    AnswerAll(stops_);
  }

  void Stop() {
    executor_->OnMessage(kLink, StopRuns{1, "incarnation-1", {kRun}});
  }

  // Advances time by `time` while polls are answered: while kRun is running,
  // after their wait, since there is no end to list; at once after that.
  void AdvanceAnsweringPolls(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      AdvanceTime(milliseconds(100));
      for (auto& poll : std::exchange(polls_, {})) {
        waiting_.emplace_back(now_ + poll.first.wait, poll.second);
      }
      for (const auto& [at, done] : std::exchange(waiting_, {})) {
        if (running_ && now_ < at) {
          waiting_.emplace_back(at, done);
        } else {
          done(View());
        }
      }
    }
  }

  RunnerView View() const {
    const RunEnd end{1, kRun, RunEndKind::kStopped, ""};
    RunnerView view{{RunnerVerdict::kDone, RunnerClock(1000)}, {}, {}};
    if (running_) {
      view.running = {{kRun, 50, 0}};
    } else {
      view.ended = {end};
    }
    return view;
  }

  bool running_ = true;
  std::vector<std::pair<TimePoint, std::function<void(RunnerView)>>> waiting_;
};

// Otherwise a cancelled long-running task whose stop the runner accepted
// without effect would run forever.
TEST_F(ExecutorStopsTest, RunThatSurvivesItsStopIsStoppedAgain) {
  StartAndStop();
  AdvanceAnsweringPolls(milliseconds(800));
  EXPECT_THAT(stops_, IsEmpty());  // The first stop may still take effect.
  AdvanceAnsweringPolls(milliseconds(1000));
  ASSERT_THAT(stops_, SizeIs(1));
  EXPECT_EQ(stops_[0].first.run, kRun);
  EXPECT_EQ(executor_->counts().stops_ineffective, 1);
  EXPECT_THAT(logged_["stop_in_vain"], SizeIs(1));
  EXPECT_THAT(Sent<RunReports>(), IsEmpty());
}

TEST_F(ExecutorStopsTest, RunThatSurvivesEachStopIsStoppedRepeatedly) {
  StartAndStop();
  for (int i = 0; i < 100; ++i) {
    AdvanceAnsweringPolls(milliseconds(100));
    AnswerAll(stops_);
  }
  EXPECT_GE(executor_->counts().stops_ineffective, 5);
  EXPECT_LE(executor_->counts().stops_ineffective, 10);
}

// An owner that repeats its order must neither flood the runner with stops nor
// delay the next one.
TEST_F(ExecutorStopsTest, RepeatedOrderNeitherHastensNorDelaysTheNextStop) {
  StartAndStop();
  for (int i = 0; i < 8; ++i) {
    AdvanceAnsweringPolls(milliseconds(100));
    Stop();
  }
  EXPECT_THAT(stops_, IsEmpty());
  for (int i = 0; i < 10; ++i) {
    AdvanceAnsweringPolls(milliseconds(100));
    Stop();
  }
  EXPECT_THAT(stops_, SizeIs(1));
}

TEST_F(ExecutorStopsTest, StopThatTakesEffectSoonIsNotRepeated) {
  StartAndStop();
  AdvanceAnsweringPolls(milliseconds(400));
  running_ = false;
  AdvanceAnsweringPolls(seconds(3));
  EXPECT_THAT(stops_, IsEmpty());
  EXPECT_EQ(executor_->counts().stops_ineffective, 0);
  EXPECT_EQ(executor_->OldestStop(), Duration(0));
}

}  // namespace
}  // namespace beamhill
