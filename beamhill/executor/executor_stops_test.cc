// What becomes of stops that an Executor's runner takes or does not answer.
#include "beamhill/executor/executor_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

class ExecutorStopsTest : public ExecutorTest {
 protected:
  // The runner has begun kRun and taken a stop of it.
  void StartAndStop() {
    Register("life-1");
    Attach(1);
    Start(kRun, 1);
    AnswerAll(starts_);
    Stop();
    ASSERT_THAT(stops_, SizeIs(1));
    AnswerAll(stops_);
  }

  void Stop() { executor_->OnMessage(kLink, StopRuns{1, "life-1", {kRun}}); }

  // Looks are answered as a runner does that lists kRun, and no end while it
  // runs: after their wait.
  void AdvanceAnsweringPolls(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      AdvanceTime(milliseconds(100));
      for (auto& poll : std::exchange(polls_, {})) {
        waiting_.emplace_back(now_ + poll.first.wait, poll.second);
      }
      for (const auto& [at, done] : std::exchange(waiting_, {})) {
        if (runs_on_ && now_ < at) {
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
    if (runs_on_) {
      view.running = {{kRun, 50, 0}};
    } else {
      view.ended = {end};
    }
    return view;
  }

  bool runs_on_ = true;
  std::vector<std::pair<TimePoint, std::function<void(RunnerView)>>> waiting_;
};

// Lasting work that was cancelled and whose stop the runner had taken would run
// on for good.
TEST_F(ExecutorStopsTest, RunThatOutlivesItsStopIsStoppedAgain) {
  StartAndStop();
  AdvanceAnsweringPolls(milliseconds(800));
  EXPECT_THAT(stops_, IsEmpty());  // It may yet take effect.
  AdvanceAnsweringPolls(milliseconds(1000));
  ASSERT_THAT(stops_, SizeIs(1));
  EXPECT_EQ(stops_[0].first.run, kRun);
  EXPECT_EQ(executor_->counts().stops_ineffective, 1);
  EXPECT_THAT(logged_["stop_in_vain"], SizeIs(1));
  EXPECT_THAT(Sent<RunReports>(), IsEmpty());
}

TEST_F(ExecutorStopsTest, RunThatOutlivesEachStopIsStoppedAgainAndAgain) {
  StartAndStop();
  for (int i = 0; i < 100; ++i) {
    AdvanceAnsweringPolls(milliseconds(100));
    AnswerAll(stops_);
  }
  EXPECT_GE(executor_->counts().stops_ineffective, 5);
  EXPECT_LE(executor_->counts().stops_ineffective, 10);
}

// An owner that repeats itself must neither flood the runner nor put off the
// next stop.
TEST_F(ExecutorStopsTest, OwnersRepetitionNeitherHastensNorDelaysTheNextStop) {
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
  runs_on_ = false;
  AdvanceAnsweringPolls(seconds(3));
  EXPECT_THAT(stops_, IsEmpty());
  EXPECT_EQ(executor_->counts().stops_ineffective, 0);
  EXPECT_EQ(executor_->OldestStop(), Duration(0));
}

}  // namespace
}  // namespace beamhill
