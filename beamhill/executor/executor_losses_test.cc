// Tests what an Executor reports about a runner that was lost or has exited.
#include "beamhill/executor/executor_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::HasSubstr;
using testing::IsEmpty;
using testing::Not;
using testing::SizeIs;

class ExecutorLossesTest : public ExecutorTest {
 protected:
  static RunRef Run(uint32_t index) { return {{"w", 0, 0, index}, 1}; }

  void StartAnswered(const RunRef& run, RunnerVerdict verdict) {
    Start(run, 1);
    ASSERT_THAT(starts_, Not(IsEmpty()));
    const auto done = starts_.back().second;
    starts_.pop_back();
    done({verdict, std::nullopt});
  }

  // Run(0) has been running for 2.5 s when its runner answers for the last
  // time.
  void RunOneForLong() {
    Register("incarnation-1");
    Attach(1);
    StartAnswered(Run(0), RunnerVerdict::kDone);
    AdvanceTime(milliseconds(2500));
    AnswerPoll({{Run(0), 50, 0}});
    AnswerPoll({{Run(0), 50, 0}});
  }

  void LosePolls() { AnswerPollsWith(RunnerVerdict::kNoAnswer); }

  void AnswerPollsWith(RunnerVerdict verdict) {
    RunnerView view;
    view.reply.verdict = verdict;
    for (auto& [call, done] : std::exchange(polls_, {})) done(view);
  }

  // Advances time by `time`, during which the runner answers all polls.
  void AdvanceAnsweringPolls(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      AdvanceTime(milliseconds(100));
      for (size_t open = polls_.size(); open > 0; --open) {
        AnswerPoll({{Run(0), 50, 0}});
      }
    }
  }

  // Calls `before_loss` and replaces the runner; returns the log line about its
  // loss, or an empty string if there is none.
  std::string LossAfter(const std::function<void()>& before_loss) {
    Register("incarnation-1");
    Attach(1);
    StartAnswered(Run(0), RunnerVerdict::kDone);
    before_loss();
    Register("incarnation-2");
    const auto& lines = logged_["runner_lost"];
    return lines.empty() ? "" : lines.back();
  }
};

// Of all runs on the runner, only those that had just begun can have crashed it
// as they started.
TEST_F(ExecutorLossesTest, LostRunnerIsLoggedWithTheRunsThatHadJustBegun) {
  RunOneForLong();
  StartAnswered(Run(1), RunnerVerdict::kDone);
  StartAnswered(Run(2), RunnerVerdict::kNoAnswer);  // It may have begun.
  StartAnswered(Run(3), RunnerVerdict::kUnreachable);
  StartAnswered(Run(4), RunnerVerdict::kNoRoom);
  AdvanceTime(seconds(3));
  Register("incarnation-2");
  ASSERT_THAT(logged_["runner_lost"], SizeIs(1));
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("incarnation-1"));
  EXPECT_THAT(logged_["runner_lost"][0],
              HasSubstr("begun: w.0.0.1/1 w.0.0.2/1"));
  EXPECT_EQ(executor_->counts().runners_lost, 1);
}

TEST_F(ExecutorLossesTest, RunnerThatAnnouncedItsExitIsNotLost) {
  EXPECT_THAT(LossAfter([] {}), HasSubstr("w.0.0.0/1"));
  logged_.clear();
  EXPECT_EQ(LossAfter([this] { executor_->OnRunnerLeaving("incarnation-1"); }),
            "");
}

// An owner that takes over while a runner fails does not know from its
// predecessor what had begun there.
TEST_F(ExecutorLossesTest, EachOwnerIsToldOfRunnersLostRecently) {
  RunOneForLong();
  StartAnswered(Run(1), RunnerVerdict::kDone);
  executor_->OnLinkDown(kLink);
  AdvanceTime(seconds(3));
  LosePolls();
  Register("incarnation-2");
  LosePolls();
  sent_.clear();
  Attach(2);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  ASSERT_THAT(Sent<VmInventory>()[0].past_incarnations, SizeIs(1));
  const PastIncarnation lost = Sent<VmInventory>()[0].past_incarnations[0];
  EXPECT_EQ(lost.incarnation, "incarnation-1");
  EXPECT_THAT(lost.just_begun, testing::ElementsAre(Run(1)));
  EXPECT_THAT(lost.others, testing::ElementsAre(Run(0)));
  AdvanceTime(seconds(31));
  LosePolls();
  sent_.clear();
  Attach(3);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].past_incarnations, IsEmpty());
}

// Its runs are given up then and start again elsewhere.
TEST_F(ExecutorLossesTest, RunnerThatIsSilentBeyondItsLeaseIsLost) {
  Register("incarnation-1");
  Attach(1);
  AnswerPoll();
  StartAnswered(Run(0), RunnerVerdict::kDone);
  AdvanceTime(seconds(12));
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(milliseconds(200));
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(2));
  ASSERT_THAT(Sent<VmInventory>()[1].past_incarnations, SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[1].past_incarnations[0].just_begun,
              testing::ElementsAre(Run(0)));
  Register("incarnation-2");
  EXPECT_EQ(executor_->counts().runners_lost, 1);
}

// The owner has given up these runs. If the stops were kept, the age of the
// oldest stop would raise a false alarm permanently.
TEST_F(ExecutorLossesTest, StopsOfARunnerThatIsSilentBeyondItsLeaseAreDropped) {
  Register("incarnation-1");
  Attach(1);
  AnswerPoll();
  StartAnswered(Run(0), RunnerVerdict::kDone);
  executor_->OnMessage(kLink, StopRuns{1, "incarnation-1", {Run(0)}});
  for (int i = 0; i < 120; ++i) {
    for (auto& [call, done] : std::exchange(stops_, {})) {
      done({RunnerVerdict::kUnreachable, std::nullopt});
    }
    LosePolls();
    AdvanceTime(milliseconds(100));
  }
  EXPECT_GE(executor_->OldestStop(), seconds(12));
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(milliseconds(200));
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(2));
  EXPECT_EQ(executor_->OldestStop(), Duration(0));
  const uint64_t stops = executor_->counts().stops;
  AdvanceTime(seconds(3));
  EXPECT_EQ(executor_->counts().stops, stops);
}

// No owner was attached to receive the first report.
TEST_F(ExecutorLossesTest, ExitWithoutAnOwnerIsReportedToTheNextOwner) {
  RunOneForLong();
  executor_->OnLinkDown(kLink);
  executor_->OnRunnerLeaving("incarnation-1");
  for (int i = 0; i < 10; ++i) {
    AnswerPollsWith(RunnerVerdict::kUnreachable);
    AdvanceTime(milliseconds(100));
  }
  ASSERT_TRUE(executor_->runner_is_gone());
  sent_.clear();
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(seconds(6));  // More than a lease and its margin.
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_EQ(Sent<VmInventory>()[0].status.incarnation, "");
}

// A new owner held back all work of the earlier one until the leases of the
// executor's start were over, though nothing could run on the VM.
TEST_F(ExecutorLossesTest, OwnerOfAVmWhoseRunnerIsGoneIsAnsweredAtOnce) {
  RunOneForLong();
  executor_->OnRunnerLeaving("incarnation-1");
  for (int i = 0; i < 10; ++i) {
    AnswerPollsWith(RunnerVerdict::kUnreachable);
    AdvanceTime(milliseconds(100));
  }
  ASSERT_TRUE(executor_->runner_is_gone());
  sent_.clear();
  executor_->OnMessage(kLink, ::beamhill::Attach{"b", 2});
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_EQ(Sent<VmInventory>()[0].epoch, 2);
  EXPECT_THAT(Sent<VmInventory>()[0].running, IsEmpty());
  EXPECT_THAT(Sent<VmInventory>()[0].past_incarnations, SizeIs(1));
  AdvanceTime(seconds(10));
  EXPECT_THAT(Sent<VmInventory>(), SizeIs(1));
}

// The runner was only delayed, answers again, and crashes as the next run
// begins.
TEST_F(ExecutorLossesTest, RunnerThatRecoversAfterSilenceCanBeLostAgain) {
  Register("incarnation-1");
  Attach(1);
  AnswerPoll();
  StartAnswered(Run(0), RunnerVerdict::kDone);
  AdvanceTime(seconds(12));
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(milliseconds(200));
  LosePolls();
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AnswerPoll();
  executor_->OnMessage(kLink, RenewLease{1, now_, seconds(5)});
  StartAnswered(Run(1), RunnerVerdict::kDone);
  Register("incarnation-2");
  LosePolls();
  sent_.clear();
  Attach(2);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  ASSERT_THAT(Sent<VmInventory>()[0].past_incarnations, SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].past_incarnations[0].just_begun,
              testing::ElementsAre(Run(1)));
}

// The announcement of an exit does not tell which incarnation sent it, and may
// be delayed until the next one is running.
TEST_F(ExecutorLossesTest,
       DelayedExitAnnouncementDoesNotEndTheNextIncarnation) {
  Register("i-1/1");
  Register("i-1/2");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  sent_.clear();
  executor_->OnRunnerLeaving("i-1/2");
  AdvanceAnsweringPolls(seconds(3));
  EXPECT_THAT(Sent<VmInventory>(), IsEmpty());
  EXPECT_EQ(executor_->status().incarnation, "i-1/2");
  StartAnswered(Run(1), RunnerVerdict::kDone);
}

// The runner announces its exit and keeps answering for a while.
TEST_F(ExecutorLossesTest, LeavingRunnerIsForgottenOnceItStopsAnswering) {
  VmStatus status;
  status.incarnation = "i-1/1";
  status.draining = true;
  executor_->OnRunnerRegistered(status, RunnerClock(1000));
  Attach(1);
  sent_.clear();
  executor_->OnRunnerLeaving("i-1/1");
  AdvanceAnsweringPolls(seconds(2));
  EXPECT_THAT(Sent<VmInventory>(), IsEmpty());
  for (int i = 0; i < 10; ++i) {
    AnswerPollsWith(RunnerVerdict::kUnreachable);
    AdvanceTime(milliseconds(100));
  }
  EXPECT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_TRUE(executor_->runner_is_gone());
}

// Guards against tasks that run twice: a leaving runner that did not answer one
// poll was reported as empty while its lease was still valid.
TEST_F(ExecutorLossesTest, LeavingRunnerThatDoesNotAnswerMayStillRunItsTasks) {
  Register("i-1/1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  sent_.clear();
  executor_->OnRunnerLeaving("i-1/1");
  const auto lose_polls_for = [this](Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      AdvanceTime(milliseconds(100));
      LosePolls();
    }
  };
  lose_polls_for(seconds(5));
  EXPECT_THAT(Sent<VmInventory>(), IsEmpty());
  EXPECT_FALSE(executor_->runner_is_gone());
  lose_polls_for(seconds(3));
  EXPECT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_TRUE(executor_->runner_is_gone());
}

TEST_F(ExecutorLossesTest, LeavingRunnerIsPolledAgainForTheNextOwner) {
  Register("i-1/1");
  Attach(1);
  executor_->OnRunnerLeaving("i-1/1");
  AdvanceTime(milliseconds(700));
  executor_->OnMessage(kLink, ::beamhill::Attach{"b", 2});
  for (int i = 0; i < 10; ++i) {
    AnswerPollsWith(RunnerVerdict::kUnreachable);
    AdvanceTime(milliseconds(100));
  }
  EXPECT_TRUE(executor_->runner_is_gone());
}

// An executor that has just started can't tell which of two registrations was
// delayed.
TEST_F(ExecutorLossesTest,
       DelayedRegistrationDoesNotExcludeTheAnsweringIncarnation) {
  Register("i-1/2");
  Register("i-1/1");
  Attach(1);
  AnswerPollsWith(RunnerVerdict::kOtherIncarnation);
  Register("i-1/2");
  EXPECT_EQ(executor_->status().incarnation, "i-1/2");
  Register("i-1/2");
  Register("i-1/1");
  EXPECT_EQ(executor_->status().incarnation, "i-1/2");
}

// The run has begun on neither incarnation, so it is reported without waiting
// for the next registration.
TEST_F(ExecutorLossesTest, StartAnsweredByAnotherIncarnationIsReturnedAtOnce) {
  Register("i-1/1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kOtherIncarnation);
  ASSERT_THAT(Sent<RunReports>(), SizeIs(1));
  EXPECT_EQ(Sent<RunReports>()[0].not_begun[0].reason,
            NotBegunReason::kUnreachable);
  Register("i-1/2");
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("begun: none"));
}

// A runner crashes 10 ms after a task began and is back as another incarnation
// 3.2 s later. Before that one registers, it rejects a start meant for the
// earlier one. If the rejection counted as an answer of the earlier incarnation
// ("runner_lost ... last heard 5 ms ago"), only starts of the last second would
// be suspects. The task that crashed the runner would not be among them and
// would be started on further runners; one such task reached six.
TEST_F(ExecutorLossesTest, AnswerOfALaterIncarnationClearsNoSuspects) {
  Register("incarnation-1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  AdvanceTime(seconds(3));
  sent_.clear();
  StartAnswered(Run(1), RunnerVerdict::kOtherIncarnation);
  AdvanceTime(milliseconds(600));
  EXPECT_THAT(Sent<VmHeartbeat>(), IsEmpty());
  Register("incarnation-2");
  ASSERT_THAT(logged_["runner_lost"], SizeIs(1));
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("w.0.0.0/1"));
}

// Guards against a double start: a new owner does not wait for a VM without a
// row, while the one before may still be linked to it.
TEST_F(ExecutorLossesTest, NothingStartsWhileOwnersCannotFindTheVm) {
  ready_for_starts_ = false;
  Register("incarnation-1");
  Attach(1);
  Start(kRun, 1);
  EXPECT_THAT(starts_, IsEmpty());
  ASSERT_THAT(Sent<RunReports>(), SizeIs(1));
  EXPECT_EQ(Sent<RunReports>()[0].not_begun[0].run, kRun);
  ready_for_starts_ = true;
  const RunRef next{kRun.task, 2};
  Start(next, 1);
  EXPECT_THAT(starts_, SizeIs(1));
}

// Guards against a task that runs again after it was done: the runner lists a
// limited number of ends at a time, and a run whose end was not listed yet was
// reported as never begun.
TEST_F(ExecutorLossesTest, RunWithoutAnyListedEndMayStillBeListed) {
  Register("incarnation-1");
  Attach(1);
  Start(kRun, 1);
  StartAnswered(kRun, RunnerVerdict::kNoAnswer);
  executor_->OnMessage(kLink, StopRuns{1, "incarnation-1", {kRun}});
  AnswerAll(stops_);
  const RunEnd first{1, {{"w", 0, 0, 1}, 1}, RunEndKind::kDone, ""};
  const RunEnd last{501, kRun, RunEndKind::kDone, ""};
  for (int i = 0; i < 4; ++i) {
    AdvanceTime(milliseconds(300));
    AnswerPoll({}, {first}, /*more_ends=*/true);
    AnswerAll(stops_);
  }
  for (const RunReports& reports : Sent<RunReports>()) {
    EXPECT_THAT(reports.not_begun, IsEmpty());
  }
  AdvanceTime(milliseconds(300));
  AnswerPoll({}, {last});
  EXPECT_THAT(Sent<RunReports>().back().ended, SizeIs(1));
}

TEST_F(ExecutorLossesTest, OwnerRefusedForTheEpochInTheTableIsLogged) {
  Register("incarnation-1");
  Attach(1);
  executor_->RejectOwnersBelow(2);
  EXPECT_FALSE(executor_->owned());
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  ASSERT_THAT(logged_["owner_refused"], SizeIs(2));
  EXPECT_EQ(logged_["owner_refused"][1],
            "epoch 1 is below 2, known from the table");
  EXPECT_EQ(executor_->counts().owners_refused, 2);
  Attach(3);
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 2});
  EXPECT_EQ(logged_["owner_refused"].back(),
            "epoch 2 is below 3, known from the owner itself");
}

// An executor that restarts while the table is away must continue to serve: the
// row of a VM with an active run is there.
TEST_F(ExecutorLossesTest, RunnerWithAnActiveRunKeepsServing) {
  ready_for_starts_ = false;
  Register("incarnation-1");
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AnswerPoll({{{{"w", 0, 0, 1}, 1}, 30, 1000}});
  executor_->OnMessage(kLink, RenewLease{1, now_, seconds(5)});
  Start(kRun, 1);
  EXPECT_THAT(starts_, SizeIs(1));
  Register("incarnation-2");
  AnswerPoll();
  AnswerPoll();
  Start({kRun.task, 3}, 1);
  EXPECT_THAT(starts_, SizeIs(1));  // The next one has no run yet.
}

// Guards against tasks that run twice: a runner that was silent beyond all its
// leases has been reported as empty to an owner whose epoch it does not know.
// Its ends don't show that it knows the latest owner's epoch.
TEST_F(ExecutorLossesTest, RunnerThatOnlyListsEndsWaitsForTheOwnersRow) {
  ready_for_starts_ = false;
  Register("incarnation-1");
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AnswerPoll({}, {{1, kRun, RunEndKind::kLapsed, ""}});
  executor_->OnMessage(kLink, RenewLease{1, now_, seconds(5)});
  Start({kRun.task, 2}, 1);
  EXPECT_THAT(starts_, IsEmpty());
  EXPECT_EQ(executor_->counts().not_ready, 1);
  ready_for_starts_ = true;
  Start({kRun.task, 3}, 1);
  EXPECT_THAT(starts_, SizeIs(1));
}

}  // namespace
}  // namespace beamhill
