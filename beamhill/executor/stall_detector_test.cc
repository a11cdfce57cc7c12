// Tests StallDetector on a simulated VM, whose CPU use is measured over the
// last half second, as runners do.
#include "beamhill/executor/stall_detector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Evidence = StallDetector::Evidence;

constexpr milliseconds kStep{10};
constexpr milliseconds kWait{250};
constexpr Duration kTarget = milliseconds(50);
// Workflows may be 4 s late, of which 0.4 s are for stops, 1 s for the next run
// of the task and 0.1 s for its placement.
constexpr Duration kMaxDetection = milliseconds(2500);

class StallDetectorTest : public testing::Test {
 protected:
  struct SimulatedRun {
    RunningRun listed;
    double percent = 0;
    double percent_per_second = 0;
    int64_t cpu = 0;
    int64_t tail_ms = 0;  // Of a serving task; 0 for others.
    std::deque<int64_t> uses;
    TimePoint pace_ordered_at{};
    bool paused = false;
  };

  SimulatedRun& Add(double percent_per_second, int64_t cpu) {
    SimulatedRun& run = runs_.emplace_back();
    run.listed.run = {{"w", 0, 0, 0}, ++last_run_};
    run.percent_per_second = percent_per_second;
    run.cpu = cpu;
    return run;
  }
  void AddServing(int64_t tail_ms, double percent = 100) {
    SimulatedRun& run = Add(0, 0);
    run.percent = percent;
    run.tail_ms = tail_ms;
  }
  void SetTails(int64_t tail_ms) {
    for (SimulatedRun& run : runs_) {
      if (run.tail_ms > 0) run.tail_ms = tail_ms;
    }
  }
  // The best-effort runs that were recorded in a stall.
  void AddBestEffortRuns() {
    for (int i = 0; i < 14; ++i) Add(20 + i * 40.0 / 13, 600 + i * 490);
  }
  void SetPaused(bool paused) {
    for (SimulatedRun& run : runs_) {
      run.paused = paused;
      run.pace_ordered_at = now_;
    }
  }

  // Lets the tasks run at this share of their speed, without polls.
  void Work(Duration time, double speed = 1) {
    for (const TimePoint end = now_ + time; now_ < end; now_ += kStep) {
      for (SimulatedRun& run : runs_) {
        if (!run.paused) {
          run.percent += run.percent_per_second * speed * kStep.count() / 1000;
        }
        run.uses.push_back(run.paused ? 0 : run.cpu);
        if (run.uses.size() > 50) run.uses.pop_front();
      }
    }
  }
  std::vector<RunningRun> List() {
    std::vector<RunningRun> listed;
    for (SimulatedRun& run : runs_) {
      run.listed.percent = std::min(100, static_cast<int>(run.percent));
      int64_t sum = 0;
      for (const int64_t use : run.uses) sum += use;
      run.listed.measurement = run.tail_ms > 0 ? run.tail_ms : sum / 50;
      listed.push_back(run.listed);
    }
    return listed;
  }
  void Answer(TimePoint sent_at, const std::vector<RunningRun>& listed,
              Duration wait = kWait) {
    StallPoll poll{sent_at, now_, wait, warm_, {}, &ended_};
    for (size_t i = 0; i < listed.size(); ++i) {
      const SimulatedRun& run = runs_[i];
      poll.rows.push_back({&listed[i], run.tail_ms > 0 ? kTarget : Duration(0),
                           run.cpu, run.pace_ordered_at, run.paused});
    }
    detector_.Observe(poll);
  }
  // Polls for this time; returns when the state changed, else the whole time.
  Duration Poll(Duration time, double speed = 1, Duration wait = kWait) {
    const TimePoint begin = now_;
    const bool before = detector_.stalled();
    while (now_ < begin + time && detector_.stalled() == before) {
      const TimePoint sent_at = now_;
      Work(wait, speed);
      Answer(sent_at, List(), wait);
    }
    return now_ - begin;
  }
  void Stall() {
    Poll(seconds(1));
    Poll(seconds(1), 0);
    ASSERT_TRUE(detector_.stalled());
  }

  TimePoint now_{std::chrono::hours(1)};
  bool warm_ = true;
  std::vector<RunEnd> ended_;
  uint64_t last_run_ = 0;
  std::deque<SimulatedRun> runs_;
  StallDetector detector_;
};

// Without detection the owner keeps placing work on the VM.
TEST_F(StallDetectorTest, RunsThatUseCpuWithoutProgress) {
  for (const milliseconds wait : {kWait, milliseconds(70)}) {
    detector_ = StallDetector();
    runs_.clear();
    AddBestEffortRuns();
    Poll(seconds(1), 1, wait);
    Add(50, 2000);  // Begins during the stall.
    EXPECT_LE(Poll(seconds(5), 0, wait), milliseconds(750));
    EXPECT_EQ(detector_.evidence(), Evidence::kCpuWithoutProgress);
    Poll(seconds(60), 0, wait);
    EXPECT_TRUE(detector_.stalled());
    EXPECT_EQ(Poll(seconds(5), 1, wait), wait);
    Poll(seconds(1), 1, wait);
    EXPECT_FALSE(detector_.stalled());
    EXPECT_LE(Poll(seconds(5), 0, wait), milliseconds(1000)) << "second stall";
  }
}

// A VM with serving tasks alone has no other evidence, in neither direction.
TEST_F(StallDetectorTest, TailLatenciesOfAllServingTasks) {
  for (int i = 0; i < 4; ++i) AddServing(25);
  Poll(seconds(2));
  SetTails(27000);
  AddServing(1000, 0);  // Begins during the stall.
  EXPECT_EQ(Poll(seconds(5)), milliseconds(750));
  EXPECT_EQ(detector_.evidence(), Evidence::kTailLatencies);
  runs_.pop_back();
  SetTails(30);
  Poll(kWait);
  SetTails(27000);
  EXPECT_EQ(Poll(seconds(5)), seconds(5)) << "one normal poll is no proof";
  SetTails(30);
  EXPECT_EQ(Poll(seconds(5)), 2 * kWait);
}

// Pacing pauses best-effort runs as soon as tails rise.
TEST_F(StallDetectorTest, TailLatenciesBesidePausedRuns) {
  AddServing(25);
  AddBestEffortRuns();
  Poll(seconds(1));
  SetTails(27000);
  Poll(kWait, 0);
  SetPaused(true);
  EXPECT_LE(Poll(seconds(5), 0), kWait * 2);
  EXPECT_EQ(detector_.evidence(), Evidence::kTailLatencies);
  SetTails(25);
  SetPaused(false);
  Poll(seconds(5), 0);
  EXPECT_TRUE(detector_.stalled()) << "runs that could progress don't";
  SetPaused(true);
  EXPECT_EQ(Poll(seconds(5), 0), 2 * kWait);
}

TEST_F(StallDetectorTest, OneNormalTailIsNoStall) {
  AddServing(27000);
  AddServing(25);
  Poll(seconds(10));
  EXPECT_FALSE(detector_.stalled());
}

TEST_F(StallDetectorTest, TailsWithinInterferenceAreNoStall) {
  AddServing(2499);
  Poll(seconds(10));
  EXPECT_FALSE(detector_.stalled());
}

TEST_F(StallDetectorTest, ProgressOfAnyRunRefutesHighTails) {
  AddServing(27000);
  Add(2.5, 1000);
  Poll(seconds(10), 1, milliseconds(70));
  EXPECT_FALSE(detector_.stalled());
}

TEST_F(StallDetectorTest, RunnerThatWarmsUpIsNoStall) {
  warm_ = false;
  AddServing(27000);
  Poll(seconds(10));
  EXPECT_FALSE(detector_.stalled());
}

// Its first samples contain the time before it served.
TEST_F(StallDetectorTest, ServingTaskThatHasJustBegunIsNoStall) {
  AddServing(1000, 0);
  Poll(seconds(2));
  runs_[0].percent = 100;
  Poll(milliseconds(1000));
  EXPECT_FALSE(detector_.stalled());
  SetTails(25);
  Poll(seconds(5));
  EXPECT_FALSE(detector_.stalled());
}

// Percentages then rise at a sixth of the rate, with the same CPU use. All runs
// begin at once, so that their percentages stand still at the same time.
TEST_F(StallDetectorTest, SlowVmIsNoStall) {
  for (const int runs : {1, 2, 14, 30}) {
    for (const double speed : {0.7, 2.0, 5.0, 11.0, 23.0, 60.0}) {
      detector_ = StallDetector();
      runs_.clear();
      for (int i = 0; i < runs; ++i) Add(speed, 2000);
      Poll(seconds(static_cast<int>(std::min(30.0, 40 / speed)) + 1));
      for (int i = 0; i < 120 && runs_[0].percent < 99; ++i) {
        Poll(kWait, 1 / 6.0);
        EXPECT_FALSE(detector_.stalled()) << runs << " runs of " << speed;
      }
    }
  }
}

// The run is first listed shortly before its percentage rises, so that little
// of its work seems to have made the gain.
TEST_F(StallDetectorTest, SlowVmAfterFewPercentIsNoStall) {
  for (const double speed : {0.7, 2.0, 5.0, 11.0}) {
    detector_ = StallDetector();
    runs_.clear();
    Add(speed, 2000).percent = 0.97 - speed / 4;
    while (runs_[0].percent < 2.03) Poll(kWait);
    Poll(seconds(60), 1 / 6.0);
    EXPECT_FALSE(detector_.stalled()) << speed;
  }
}

// A percent of a task of minutes takes seconds. In a stall it is detected after
// a few of these.
TEST_F(StallDetectorTest, LongTaskIsNoStall) {
  for (const int runs : {1, 5}) {
    detector_ = StallDetector();
    runs_.clear();
    for (int i = 0; i < runs; ++i) Add(0.4, 1000);
    Poll(seconds(200));
    EXPECT_FALSE(detector_.stalled());
    EXPECT_LE(Poll(seconds(200), 0), seconds(40));
    EXPECT_TRUE(detector_.stalled());
  }
}

// CPU use is listed for half a second after a pause.
TEST_F(StallDetectorTest, PausedRunsAreNoStall) {
  for (const milliseconds wait : {kWait, milliseconds(70)}) {
    for (int cycle = 0; cycle < 3; ++cycle) {
      runs_.clear();
      AddBestEffortRuns();
      Poll(seconds(1), 1, wait);
      SetPaused(true);
      Poll(seconds(3), 1, wait);
      EXPECT_FALSE(detector_.stalled());
      SetPaused(false);
      Poll(milliseconds(500), 1, wait);
      EXPECT_FALSE(detector_.stalled());
    }
  }
}

// One poll's answer is handled late, and others are handled at once after it.
TEST_F(StallDetectorTest, FrozenExecutorOrVmIsNoStall) {
  for (const double speed : {1.0, 0.0}) {
    detector_ = StallDetector();
    runs_.clear();
    AddBestEffortRuns();
    Poll(seconds(1));
    const TimePoint sent_at = now_;
    const std::vector<RunningRun> before = List();
    Work(seconds(4), speed);
    Answer(sent_at, speed > 0 ? before : List());
    for (int i = 0; i < 2; ++i) {
      Poll(kStep, speed, kStep);
      EXPECT_FALSE(detector_.stalled()) << speed;
    }
    Poll(seconds(1));
    EXPECT_FALSE(detector_.stalled()) << speed;
  }
}

TEST_F(StallDetectorTest, VmWithOnlyNewRunsIsNoStall) {
  for (int i = 0; i < 3; ++i) Add(50, 7000);
  AddServing(1000, 0);
  Poll(seconds(20), 0);
  EXPECT_FALSE(detector_.stalled());
}

// Guards against runners that stall between the start of their first runs and
// the first poll that lists them: nothing told what a percent of their work
// costs, so the stall was not detected.
TEST_F(StallDetectorTest, StallBeforeTheFirstListingOfStartedRuns) {
  for (const milliseconds before : {milliseconds(50), milliseconds(400)}) {
    for (const milliseconds stalled : {milliseconds(0), milliseconds(500)}) {
      detector_ = StallDetector();
      runs_.clear();
      for (int i = 0; i < 4; ++i) {
        detector_.OnStartSent(Add(100, 500).listed.run, now_);
      }
      Work(before);
      Work(stalled, 0);
      EXPECT_LE(Poll(seconds(9), 0), kMaxDetection) << before.count();
      EXPECT_EQ(detector_.evidence(), Evidence::kCpuWithoutProgress);
    }
  }
}

// Guards against runners that stall before their runs begin: all of them stay
// at zero, and nothing on the VM tells what a percent costs.
TEST_F(StallDetectorTest, RunsThatExceedTheirProgressBound) {
  for (int i = 0; i < 4; ++i) Add(100, 500);
  EXPECT_EQ(Poll(milliseconds(1500), 0), milliseconds(1500));
  for (const SimulatedRun& run : runs_) {
    detector_.SetProgressBound(run.listed.run, milliseconds(600), now_);
  }
  Add(100, 500);  // Its bound is not known yet.
  EXPECT_LE(Poll(seconds(9), 0), milliseconds(500));
  EXPECT_EQ(detector_.evidence(), Evidence::kCpuWithoutProgress);
  EXPECT_LE(Poll(seconds(9)), kWait);
}

TEST_F(StallDetectorTest, ProgressWithinTheBoundIsNoStall) {
  for (const double percent_per_second : {0.9, 5.0}) {
    detector_ = StallDetector();
    runs_.clear();
    const SimulatedRun& run = Add(percent_per_second, 500);
    for (int i = 0; i < 400 && run.percent < 99; ++i) {
      detector_.SetProgressBound(run.listed.run, milliseconds(600), now_);
      Poll(kWait);
      ASSERT_FALSE(detector_.stalled()) << percent_per_second;
    }
  }
}

// Bounds rest on expectations, which may be wrong; tail latencies are measured.
TEST_F(StallDetectorTest, NormalTailsRefuteExceededBounds) {
  AddServing(25);
  const SimulatedRun& run = Add(0.01, 500);
  detector_.SetProgressBound(run.listed.run, milliseconds(600), now_);
  EXPECT_EQ(Poll(seconds(9)), seconds(9));
  SetTails(27000);
  EXPECT_LE(Poll(seconds(9)), milliseconds(750));
}

// Guards against stalls that were taken as over within half a second: a task in
// its start-up does not serve, and its tail is below a stall's.
TEST_F(StallDetectorTest, TailsOfStartUpsShowNoProgress) {
  AddBestEffortRuns();
  Poll(seconds(1));
  AddServing(1000, 0);  // Begin during the stall.
  AddServing(1000, 0);
  Poll(seconds(2), 0);
  ASSERT_TRUE(detector_.stalled());
  while (runs_.size() > 2) runs_.pop_front();  // The owner moves the others.
  EXPECT_EQ(Poll(seconds(9), 0), seconds(9));
}

TEST_F(StallDetectorTest, TailsOfStartUpsRefuteNoBound) {
  AddServing(1000, 0);
  const SimulatedRun& run = Add(0, 500);
  detector_.SetProgressBound(run.listed.run, milliseconds(600), now_);
  EXPECT_LE(Poll(seconds(9)), milliseconds(2000));
}

// Guards against stalls that hid behind pacing: tail latencies rise in a stall,
// so best-effort runs are paced again with nearly each poll.
TEST_F(StallDetectorTest, ChangesOfPaceKeepEarlierEvidence) {
  AddBestEffortRuns();
  Poll(seconds(1));
  for (int i = 0; i < 6 && !detector_.stalled(); ++i) {
    for (SimulatedRun& run : runs_) {
      run.cpu = run.cpu * 7 / 10;
      run.pace_ordered_at = now_;
    }
    Poll(seconds(1), 0);
  }
  EXPECT_TRUE(detector_.stalled());
}

// The bound is exceeded in CPU time, not in time.
TEST_F(StallDetectorTest, RunWithoutCpuIsNoStall) {
  const SimulatedRun& run = Add(0, 10);
  detector_.SetProgressBound(run.listed.run, milliseconds(600), now_);
  EXPECT_EQ(Poll(seconds(30)), seconds(30));
}

// What a resumed run is first listed with was gained by earlier runs.
TEST_F(StallDetectorTest, ResumedRunsWithoutProgressAreNoStall) {
  for (int i = 0; i < 4; ++i) Add(50, 500).percent = 60;
  EXPECT_EQ(Poll(seconds(9), 0), seconds(9));
}

// Percentages stand still for up to 1.2 s on a healthy VM, and for six times
// as long on a slow one.
TEST_F(StallDetectorTest, LongTaskWithAKnownStartIsNoStall) {
  for (const double slowdown : {1.0, 6.0}) {
    for (const double percent_per_second : {0.1, 0.8, 5.0, 40.0}) {
      for (const milliseconds before : {milliseconds(50), milliseconds(900)}) {
        detector_ = StallDetector();
        runs_.clear();
        const SimulatedRun& run = Add(percent_per_second, 500);
        detector_.OnStartSent(run.listed.run, now_);
        Work(before);
        for (int i = 0; i < 400 && run.percent < 99; ++i) {
          Poll(kWait, 1 / slowdown);
          ASSERT_FALSE(detector_.stalled()) << percent_per_second;
        }
      }
    }
  }
}

// A best-effort run begins at full pace and may be slowed down at once.
TEST_F(StallDetectorTest, RunSlowedDownAfterItsStartIsNoStall) {
  for (const milliseconds before : {milliseconds(50), milliseconds(400)}) {
    detector_ = StallDetector();
    runs_.clear();
    SimulatedRun& run = Add(50, 2000);
    detector_.OnStartSent(run.listed.run, now_);
    Work(before);
    run.cpu = 200;
    run.percent_per_second = 5;
    run.pace_ordered_at = now_;
    for (int i = 0; i < 60 && run.percent < 99; ++i) {
      Poll(kWait);
      ASSERT_FALSE(detector_.stalled());
    }
  }
}

// One run that makes no progress may be at fault itself.
TEST_F(StallDetectorTest, RunThatStandsStillBesideLongTasksIsNoStall) {
  for (int i = 0; i < 4; ++i) Add(0.4, 1000);
  Poll(seconds(10));
  SimulatedRun& faulty = Add(50, 2000);
  Poll(seconds(1));
  faulty.percent_per_second = 0;
  Poll(seconds(30));
  EXPECT_FALSE(detector_.stalled());
}

// A stop ends runs during a stall too.
TEST_F(StallDetectorTest, OnlyAnEndAsDoneClears) {
  AddBestEffortRuns();
  Stall();
  ended_ = {{1, runs_[0].listed.run, RunEndKind::kStopped, ""}};
  EXPECT_EQ(Poll(seconds(2), 0), seconds(2));
  ended_.push_back({2, runs_[1].listed.run, RunEndKind::kDone, ""});
  EXPECT_EQ(Poll(seconds(2), 0), kWait);
  // Listed again until it is acknowledged, which shows no further progress.
  EXPECT_LE(Poll(seconds(2), 0), milliseconds(1000));
  EXPECT_TRUE(detector_.stalled());
}

// The owner takes all runs away; nothing shows that the stall is over.
TEST_F(StallDetectorTest, EmptyVmStaysStalled) {
  AddBestEffortRuns();
  Stall();
  runs_.clear();
  Poll(seconds(30));
  EXPECT_TRUE(detector_.stalled());
  Add(50, 2000);
  EXPECT_LE(Poll(seconds(5)), 2 * kWait);
}

// Two polls may be in flight.
TEST_F(StallDetectorTest, EarlierPollAnsweredLateIsOnlyEvidenceOfProgress) {
  AddBestEffortRuns();
  Poll(seconds(1));
  const std::vector<RunningRun> before = List();
  Poll(seconds(1));
  const TimePoint begin = now_;
  for (int i = 0; i < 50; ++i) Answer(begin - seconds(1) + i * kStep, before);
  EXPECT_FALSE(detector_.stalled());
  while (!detector_.stalled() && now_ < begin + seconds(5)) {
    const TimePoint sent_at = now_;
    Work(kWait, 0);
    Answer(sent_at, List());
    Answer(sent_at - kStep, {});  // Sent before the runs began.
  }
  EXPECT_LE(now_ - begin, milliseconds(750));
  Answer(begin - kStep, before);
  EXPECT_TRUE(detector_.stalled());
  // The answer to a poll with a long delay shows a later state.
  Work(kWait);
  Answer(begin, List());
  EXPECT_FALSE(detector_.stalled());
}

}  // namespace
}  // namespace beamhill
