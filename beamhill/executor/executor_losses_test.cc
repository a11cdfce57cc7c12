// What an Executor tells of a runner that was lost.
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

  // Run(0) has been at work for 2.5 s when its runner is last heard.
  void RunOneForLong() {
    Register("life-1");
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

  // The runner answers all looks for so long.
  void AdvanceAnsweringPolls(Duration time) {
    for (Duration passed{}; passed < time; passed += milliseconds(100)) {
      AdvanceTime(milliseconds(100));
      for (size_t open = polls_.size(); open > 0; --open) {
        AnswerPoll({{Run(0), 50, 0}});
      }
    }
  }

  // The line about the loss of a runner that first says that it leaves, or not.
  std::string LossAfter(const std::function<void()>& last_word) {
    Register("life-1");
    Attach(1);
    StartAnswered(Run(0), RunnerVerdict::kDone);
    last_word();
    Register("life-2");
    const auto& lines = logged_["runner_lost"];
    return lines.empty() ? "" : lines.back();
  }
};

// Of all that was on the runner, only what had just begun can have taken it
// down as it started.
TEST_F(ExecutorLossesTest, NamesWhatHadJustBegunOnARunnerThatIsLost) {
  RunOneForLong();
  StartAnswered(Run(1), RunnerVerdict::kDone);
  StartAnswered(Run(2), RunnerVerdict::kNoAnswer);  // It may have begun.
  StartAnswered(Run(3), RunnerVerdict::kUnreachable);
  StartAnswered(Run(4), RunnerVerdict::kNoRoom);
  AdvanceTime(seconds(3));
  Register("life-2");
  ASSERT_THAT(logged_["runner_lost"], SizeIs(1));
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("life-1"));
  EXPECT_THAT(logged_["runner_lost"][0],
              HasSubstr("begun: w.0.0.1/1 w.0.0.2/1"));
  EXPECT_EQ(executor_->counts().runners_lost, 1);
}

TEST_F(ExecutorLossesTest, RunnerThatLeavesAsItSaidIsNotLost) {
  EXPECT_THAT(LossAfter([] {}), HasSubstr("w.0.0.0/1"));
  logged_.clear();
  EXPECT_EQ(LossAfter([this] { executor_->OnRunnerLeaving("life-1"); }), "");
}

// An owner that takes over as a runner goes down has not been told by its
// predecessor what had begun there.
TEST_F(ExecutorLossesTest, EachOwnerHearsOfRunnersLostOfLate) {
  RunOneForLong();
  StartAnswered(Run(1), RunnerVerdict::kDone);
  executor_->OnLinkDown(kLink);
  AdvanceTime(seconds(3));
  LosePolls();
  Register("life-2");
  LosePolls();
  sent_.clear();
  Attach(2);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  ASSERT_THAT(Sent<VmInventory>()[0].past_lives, SizeIs(1));
  const PastLife lost = Sent<VmInventory>()[0].past_lives[0];
  EXPECT_EQ(lost.life, "life-1");
  EXPECT_THAT(lost.just_begun, testing::ElementsAre(Run(1)));
  EXPECT_THAT(lost.others, testing::ElementsAre(Run(0)));
  AdvanceTime(seconds(31));
  LosePolls();
  sent_.clear();
  Attach(3);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].past_lives, IsEmpty());
}

// Its work is let go then, and begins anew elsewhere.
TEST_F(ExecutorLossesTest, RunnerThatIsSilentPastItsLeaseIsLost) {
  Register("life-1");
  Attach(1);
  AnswerPoll();
  StartAnswered(Run(0), RunnerVerdict::kDone);
  AdvanceTime(seconds(12));
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(milliseconds(200));
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(2));
  ASSERT_THAT(Sent<VmInventory>()[1].past_lives, SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[1].past_lives[0].just_begun,
              testing::ElementsAre(Run(0)));
  Register("life-2");
  EXPECT_EQ(executor_->counts().runners_lost, 1);
}

// Its owner has let them go; the oldest stop would be a false alarm for good.
TEST_F(ExecutorLossesTest, StopsOfARunnerThatIsSilentPastItsLeaseAreOver) {
  Register("life-1");
  Attach(1);
  AnswerPoll();
  StartAnswered(Run(0), RunnerVerdict::kDone);
  executor_->OnMessage(kLink, StopRuns{1, "life-1", {Run(0)}});
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

// The word of it went to nobody.
TEST_F(ExecutorLossesTest, RunnerThatLeftUnownedIsToldToTheNextOwner) {
  RunOneForLong();
  executor_->OnLinkDown(kLink);
  executor_->OnRunnerLeaving("life-1");
  for (int i = 0; i < 10; ++i) {
    AnswerPollsWith(RunnerVerdict::kUnreachable);
    AdvanceTime(milliseconds(100));
  }
  ASSERT_TRUE(executor_->runner_is_gone());
  sent_.clear();
  executor_->OnMessage(kLink, ::beamhill::Attach{"a", 1});
  AdvanceTime(seconds(6));  // A lease and its margin.
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  EXPECT_EQ(Sent<VmInventory>()[0].status.life, "");
}

// It was held up, answers once more, and goes down as the next run begins.
TEST_F(ExecutorLossesTest, RunnerThatWasOnlySilentIsLostOnceMore) {
  Register("life-1");
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
  Register("life-2");
  LosePolls();
  sent_.clear();
  Attach(2);
  ASSERT_THAT(Sent<VmInventory>(), SizeIs(1));
  ASSERT_THAT(Sent<VmInventory>()[0].past_lives, SizeIs(1));
  EXPECT_THAT(Sent<VmInventory>()[0].past_lives[0].just_begun,
              testing::ElementsAre(Run(1)));
}

// Its word that it ends names no start, and may have been held up on its way.
TEST_F(ExecutorLossesTest, LateLeaveOfAnEarlierStartDoesNotEndTheNext) {
  Register("i-1/1");
  Register("i-1/2");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  sent_.clear();
  executor_->OnRunnerLeaving("i-1/2");
  AdvanceAnsweringPolls(seconds(3));
  EXPECT_THAT(Sent<VmInventory>(), IsEmpty());
  EXPECT_EQ(executor_->status().life, "i-1/2");
  StartAnswered(Run(1), RunnerVerdict::kDone);
}

// It says that it ends, and takes its time.
TEST_F(ExecutorLossesTest, LeavingRunnerIsForgottenOnceItNoLongerAnswers) {
  VmStatus status;
  status.life = "i-1/1";
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

TEST_F(ExecutorLossesTest, LeavingRunnerIsAskedAgainForTheNextOwner) {
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

// An executor that has just started can't know which of two came late.
TEST_F(ExecutorLossesTest, LateRegistrationDoesNotKeepOutTheLifeThatAnswers) {
  Register("i-1/2");
  Register("i-1/1");
  Attach(1);
  AnswerPollsWith(RunnerVerdict::kOtherIncarnation);
  Register("i-1/2");
  EXPECT_EQ(executor_->status().life, "i-1/2");
  Register("i-1/2");
  Register("i-1/1");
  EXPECT_EQ(executor_->status().life, "i-1/2");
}

// It has begun on neither life, and need not wait for the next registration.
TEST_F(ExecutorLossesTest, StartThatMeetsAnotherLifeIsGivenBackAtOnce) {
  Register("i-1/1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kOtherIncarnation);
  ASSERT_THAT(Sent<RunReports>(), SizeIs(1));
  EXPECT_EQ(Sent<RunReports>()[0].not_begun[0].reason,
            NotBegunReason::kUnreachable);
  Register("i-1/2");
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("begun: none"));
}

// A runner went down 10 ms after a task began, and was back as another life
// 3.2 s later. Before that registered, a start for the earlier life reached it
// and was turned away; the executor took this for a sign of the life that was
// gone ("runner_lost ... last heard 5 ms ago") and named what it had asked for
// within the last second. The task that had taken the runner down was not among
// them, twice, and was started on six runners.
TEST_F(ExecutorLossesTest, AnswerOfALaterLifeClearsNothing) {
  Register("life-1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  AdvanceTime(seconds(3));
  sent_.clear();
  StartAnswered(Run(1), RunnerVerdict::kOtherIncarnation);
  AdvanceTime(milliseconds(600));
  EXPECT_THAT(Sent<VmHeartbeat>(), IsEmpty());
  Register("life-2");
  ASSERT_THAT(logged_["runner_lost"], SizeIs(1));
  EXPECT_THAT(logged_["runner_lost"][0], HasSubstr("w.0.0.0/1"));
}

}  // namespace
}  // namespace beamhill
