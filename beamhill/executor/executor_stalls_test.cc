// Tests what an owner learns of a runner whose tasks are stalled.
#include <algorithm>

#include "beamhill/executor/executor_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Each;
using testing::Field;
using testing::IsEmpty;
using testing::Not;
using testing::SizeIs;

class ExecutorStallsTest : public ExecutorTest {
 protected:
  explicit ExecutorStallsTest(bool detect_stalls = true)
      : ExecutorTest(Options(detect_stalls)) {}

  static ExecutorOptions Options(bool detect_stalls) {
    ExecutorOptions options;
    options.detect_stalls = detect_stalls;
    return options;
  }

  // Starts a serving task and a best-effort run beside it.
  void StartRuns() {
    Register("incarnation-1");
    Attach(1);
    Start(kServing, 1, milliseconds(50));
    Start(kRun, 1, {}, /*best_effort=*/true);
    AnswerAll(starts_);
    ListFor(seconds(1), 20);
    sent_.clear();
  }
  // Answers polls for `time`, in which the best-effort run gains
  // `percent_per_poll`.
  void ListFor(Duration time, int64_t tail_ms, int percent_per_poll = 1) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      AdvanceTime(milliseconds(200));
      percent_ += percent_per_poll;
      AnswerPoll({{kServing, 100, tail_ms}, {kRun, percent_, 1500}});
      AnswerAll(paces_);
    }
  }
  void Stall() { ListFor(seconds(2), 30000, 0); }
  std::vector<bool> StalledSent() {
    std::vector<bool> stalled;
    for (const auto& status : Sent<VmStatus>()) {
      stalled.push_back(status.stalled);
    }
    return stalled;
  }

  const RunRef kServing{{"w", 0, 0, 1}, 1};
  int percent_ = 0;
};

class ExecutorWithoutStallsTest : public ExecutorStallsTest {
 protected:
  ExecutorWithoutStallsTest() : ExecutorStallsTest(false) {}
};

// The owner places work by this state; each message costs bandwidth.
TEST_F(ExecutorStallsTest, StatusIsSentOnceOnStallAndOnceOnRecovery) {
  StartRuns();
  Stall();
  EXPECT_EQ(StalledSent(), (std::vector<bool>{true}));
  EXPECT_THAT(logged_["runner_stalled"], SizeIs(1));
  ListFor(seconds(2), 20);
  EXPECT_EQ(StalledSent(), (std::vector<bool>{true, false}));
  EXPECT_THAT(logged_["runner_progresses"], SizeIs(1));
  EXPECT_EQ(executor_->counts().stalls, 1);
}

// Without serving tasks, polls take up to a second unless stalls are detected.
TEST_F(ExecutorStallsTest, RunsWithoutPaceAreDetectedInTime) {
  Register("incarnation-1");
  Attach(1);
  Start(kRun, 1);
  AnswerAll(starts_);
  AnswerPoll({{kRun, 0, 1000}});  // Sent before the run began.
  EXPECT_EQ(last_poll_.wait, seconds(1));
  for (int i = 0; i < 12; ++i) {
    AdvanceTime(milliseconds(200));
    AnswerPoll({{kRun, std::min(10 * i, 60), 1000}});
    EXPECT_LE(last_poll_.wait, milliseconds(250));
  }
  EXPECT_TRUE(executor_->status().stalled);
}

// Guards against a stall that begins before any run was seen to progress.
TEST_F(ExecutorStallsTest, RunThatProgressedBeforeItsFirstListingIsDetected) {
  for (const bool resumed : {false, true}) {
    SCOPED_TRACE(resumed);
    Register(resumed ? "incarnation-2" : "incarnation-1");
    Attach(1 + resumed);
    ::beamhill::StartRuns starts;
    starts.epoch = executor_->epoch();
    starts.incarnation = executor_->status().incarnation;
    starts.workflow = kRun.task.workflow;
    starts.runs = {{kRun.task.index, kRun.run, resumed ? "half" : "", ""}};
    executor_->OnMessage(kLink, starts);
    AnswerAll(starts_);
    for (int i = 0; i < 8; ++i) {
      AdvanceTime(milliseconds(200));
      AnswerPoll({{kRun, 30, 1000}});
    }
    EXPECT_EQ(executor_->status().stalled, !resumed);
  }
}

// Guards against runs that were first listed a second after their start, with
// all that they had gained before a stall in it.
TEST_F(ExecutorStallsTest, RunnerIsPolledOnceAStartIsAnswered) {
  Register("incarnation-1");
  Attach(1);
  ASSERT_THAT(polls_, SizeIs(1));
  ASSERT_EQ(polls_.front().first.wait, seconds(1));
  Start(kRun, 1);
  AnswerAll(starts_);
  ASSERT_THAT(polls_, SizeIs(2));
  EXPECT_EQ(polls_.back().first.wait, milliseconds(0));
  Start({{"w", 0, 0, 2}, 1}, 1);
  AnswerAll(starts_);
  EXPECT_THAT(polls_, SizeIs(2));  // One is enough.
}

// Guards against a stall that begins before the runs do.
TEST_F(ExecutorStallsTest, RunThatExceedsItsProgressBoundIsDetected) {
  Register("incarnation-1");
  Attach(1);
  Start(kRun, 1);
  AnswerAll(starts_);
  const auto list_for = [&](Duration time) {
    for (const TimePoint end = now_ + time; now_ < end;) {
      AdvanceTime(milliseconds(200));
      AnswerPoll({{kRun, 0, 2000}});
    }
  };
  list_for(seconds(3));
  EXPECT_FALSE(executor_->status().stalled);
  EXPECT_THAT(logged_["runner_without_progress"], SizeIs(1));
  EXPECT_GE(executor_->WithoutProgress(), seconds(2));
  const std::vector<RunProgressBound> bounds = {{kRun, seconds(2)}};
  for (const ProgressBounds& outdated :
       {ProgressBounds{0, "incarnation-1", bounds},
        ProgressBounds{1, "incarnation-0", bounds}}) {
    executor_->OnMessage(kLink, outdated);
  }
  list_for(seconds(1));
  EXPECT_FALSE(executor_->status().stalled);
  executor_->OnMessage(kLink, ProgressBounds{1, "incarnation-1", bounds});
  list_for(milliseconds(400));
  EXPECT_TRUE(executor_->status().stalled);
}

// Registrations are renewed every second and don't tell of stalls.
TEST_F(ExecutorStallsTest, RenewedRegistrationKeepsTheState) {
  StartRuns();
  Stall();
  sent_.clear();
  Register("incarnation-1");
  EXPECT_TRUE(executor_->status().stalled);
  EXPECT_THAT(Sent<VmStatus>(), IsEmpty());
  executor_->OnMessage(kLink, ::beamhill::Attach{"b", 2});
  AnswerPoll({{kServing, 100, 30000}});  // The last one for epoch 1.
  AnswerPoll({{kServing, 100, 30000}});
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_TRUE(Sent<VmInventory>()[0].status.stalled);
}

// Otherwise the first answer that lists a probe came up to a second after its
// start, and the owner stops a probe after 1.5 s.
TEST_F(ExecutorStallsTest, StalledVmWithoutRunsIsPolledForItsProbe) {
  StartRuns();
  Stall();
  AdvanceTime(milliseconds(200));
  AnswerPoll({}, {{1, kServing, RunEndKind::kStopped, ""},
                  {2, kRun, RunEndKind::kStopped, ""}});
  executor_->OnMessage(kLink, EndsAcknowledged{1, "incarnation-1", 2});
  for (int i = 0; i < 8; ++i) {
    AdvanceTime(milliseconds(200));
    AnswerPoll({});
  }
  ASSERT_TRUE(executor_->status().stalled);
  EXPECT_EQ(last_poll_.wait, milliseconds(250));
}

TEST_F(ExecutorStallsTest, NewIncarnationIsNotStalled) {
  StartRuns();
  Stall();
  sent_.clear();
  Register("incarnation-2");
  EXPECT_EQ(StalledSent(), (std::vector<bool>{false}));
  AnswerPoll();  // For the earlier incarnation.
  AnswerPoll();
  EXPECT_EQ(StalledSent(), (std::vector<bool>{false}));
}

// All VMs share what the owner learns from the samples.
TEST_F(ExecutorStallsTest, NoInterferenceIsReportedFromAStall) {
  StartRuns();
  Stall();
  for (int i = 0; i < 6; ++i) {  // One normal sample does not end the stall.
    ListFor(milliseconds(200), 45, 0);
    ListFor(milliseconds(200), 30000, 0);
  }
  ASSERT_TRUE(executor_->status().stalled);
  EXPECT_THAT(Sent<VmInterference>(), Not(IsEmpty()));
  EXPECT_THAT(Sent<VmInterference>(),
              Each(Field(&VmInterference::serving, IsEmpty())));
  ListFor(seconds(1), 20);
  EXPECT_THAT(Sent<VmInterference>().back().serving, SizeIs(1));
}

TEST_F(ExecutorStallsTest, SampleAboveFiftyTimesItsTargetIsNotReported) {
  StartRuns();
  ListFor(seconds(2), 2501);
  EXPECT_FALSE(executor_->status().stalled);
  EXPECT_THAT(Sent<VmInterference>(),
              Each(Field(&VmInterference::serving, IsEmpty())));
  sent_.clear();
  ListFor(seconds(2), 2499);
  EXPECT_THAT(Sent<VmInterference>(),
              Each(Field(&VmInterference::serving, SizeIs(1))));
}

// A runner that warms up is slow.
TEST_F(ExecutorStallsTest, ColdRunnerIsNotStalled) {
  StartRuns();
  VmStatus status = executor_->status();
  status.cold = seconds(3);
  executor_->OnRunnerRegistered(status, RunnerClock(1000));
  Stall();
  EXPECT_FALSE(executor_->status().stalled);
  Stall();
  EXPECT_TRUE(executor_->status().stalled);
}

// Other deployments must see no change.
TEST_F(ExecutorWithoutStallsTest, NothingIsDetected) {
  StartRuns();
  executor_->OnMessage(
      kLink, ProgressBounds{1, "incarnation-1", {{kRun, milliseconds(1)}}});
  Stall();
  EXPECT_THAT(Sent<VmStatus>(), IsEmpty());
  EXPECT_THAT(Sent<VmInterference>(),
              Each(Field(&VmInterference::serving, SizeIs(1))));
  EXPECT_THAT(logged_["runner_stalled"], IsEmpty());
  EXPECT_EQ(executor_->counts().stalls, 0);
}

}  // namespace
}  // namespace beamhill
