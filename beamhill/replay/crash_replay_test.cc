// A task of a quick workflow took down each runner that started it, 10 ms after
// its start. The runner came back 3 s later as another incarnation, and the
// owner let the task's run go as lapsed and started the task on the next
// runner, since only runs that a runner lists as failed counted as attempts. On
// 11 VMs runners registered 272 times in 115 s, two tasks were started 21 times
// by their last owner alone, and 10 to 30 other runs were lost with each
// runner.
//
// So a task that takes its runners down is to be given up, whoever owns the
// work meanwhile, and nothing else is.
#include "beamhill/replay/crash_replay.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users count the third start after the third loss as one too many.
constexpr uint32_t kMostStartsAfterThree = 2;

void ExpectGivenUp(const CrashLoad& load) {
  const CrashOutcome outcome = PlayCrashes(load);
  SCOPED_TRACE(outcome.ToString());
  EXPECT_LE(outcome.most_starts_after_three, kMostStartsAfterThree);
  EXPECT_EQ(outcome.crashing_not_given_up, 0U);
  EXPECT_EQ(outcome.given_up, 0U);
  EXPECT_EQ(outcome.unfinished, 0U);
}

TEST(CrashReplayTest, TaskThatTakesItsRunnersDownIsGivenUp) {
  CrashLoad load;
  load.crashing = 2;
  ExpectGivenUp(load);
}

TEST(CrashReplayTest, ItIsGivenUpWhoeverOwnsTheWork) {
  CrashLoad load;
  load.crashing = 2;
  load.owner_for = seconds(4);
  ExpectGivenUp(load);
}

TEST(CrashReplayTest, EightSuchTasksAtOnceTakeNoOthersAlong) {
  CrashLoad load;
  load.crashing = 8;
  ExpectGivenUp(load);
}

TEST(CrashReplayTest, NothingIsGivenUpForRunnersLostOtherwise) {
  for (const uint64_t seed : {1, 2, 3}) {
    CrashLoad load;
    load.seed = seed;
    load.other_losses_per_s = 0.5;
    load.unstable_vms = 3;
    const CrashOutcome outcome = PlayCrashes(load);
    SCOPED_TRACE(outcome.ToString());
    EXPECT_EQ(outcome.given_up, 0U);
    EXPECT_EQ(outcome.unfinished, 0U);
  }
}

}  // namespace
}  // namespace beamhill
