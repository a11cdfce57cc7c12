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
  void StopTaken() {
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
  void PassAnswered(Duration time) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      Pass(milliseconds(100));
      for (auto& look : std::exchange(looks_, {})) {
        waiting_.emplace_back(now_ + look.first.wait, look.second);
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
  StopTaken();
  PassAnswered(milliseconds(800));
  EXPECT_THAT(stops_, IsEmpty());  // It may yet take effect.
  PassAnswered(milliseconds(1000));
  ASSERT_THAT(stops_, SizeIs(1));
  EXPECT_EQ(stops_[0].first.run, kRun);
  EXPECT_EQ(executor_->counts().stops_in_vain, 1);
  EXPECT_THAT(logged_["stop_in_vain"], SizeIs(1));
  EXPECT_THAT(Sent<RunReports>(), IsEmpty());
}

TEST_F(ExecutorStopsTest, RunThatOutlivesEachStopIsStoppedAgainAndAgain) {
  StopTaken();
  for (int i = 0; i < 100; ++i) {
    PassAnswered(milliseconds(100));
    AnswerAll(stops_);
  }
  EXPECT_GE(executor_->counts().stops_in_vain, 5);
  EXPECT_LE(executor_->counts().stops_in_vain, 10);
}

// An owner that repeats itself must neither flood the runner nor put off the
// next stop.
TEST_F(ExecutorStopsTest, OwnersRepetitionNeitherHastensNorDelaysTheNextStop) {
  StopTaken();
  for (int i = 0; i < 8; ++i) {
    PassAnswered(milliseconds(100));
    Stop();
  }
  EXPECT_THAT(stops_, IsEmpty());
  for (int i = 0; i < 10; ++i) {
    PassAnswered(milliseconds(100));
    Stop();
  }
  EXPECT_THAT(stops_, SizeIs(1));
}

TEST_F(ExecutorStopsTest, StopThatTakesEffectSoonIsNotRepeated) {
  StopTaken();
  PassAnswered(milliseconds(400));
  runs_on_ = false;
  PassAnswered(seconds(3));
  EXPECT_THAT(stops_, IsEmpty());
  EXPECT_EQ(executor_->counts().stops_in_vain, 0);
  EXPECT_EQ(executor_->OldestStop(), Duration(0));
}

}  // namespace
}  // namespace beamhill
