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
  Register("life-1");
  Attach(1);
  StartAnswered(Run(0), RunnerVerdict::kDone);
  Pass(milliseconds(2500));
  AnswerLook({{Run(0), 50, 0}});
  AnswerLook({{Run(0), 50, 0}});
  StartAnswered(Run(1), RunnerVerdict::kDone);
  StartAnswered(Run(2), RunnerVerdict::kNoAnswer);  // It may have begun.
  StartAnswered(Run(3), RunnerVerdict::kUnreachable);
  StartAnswered(Run(4), RunnerVerdict::kNoRoom);
  Pass(seconds(3));
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
  EXPECT_EQ(LossAfter([this] { executor_->OnRunnerLeft("life-1"); }), "");
}

}  // namespace
}  // namespace beamhill
