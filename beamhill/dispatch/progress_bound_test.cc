#include "beamhill/dispatch/progress_bound.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::IsEmpty;
using testing::SizeIs;

constexpr TimePoint kBegin{std::chrono::hours(1)};

class ProgressBoundTest : public testing::Test {
 protected:
  static Workflow MakeWorkflow(uint32_t tasks, Duration declared) {
    Workflow workflow;
    workflow.id = "w";
    workflow.steps.resize(1);
    workflow.steps[0].tasks = tasks;
    workflow.steps[0].each = {500, 100, 0};
    workflow.steps[0].declared_run = declared;
    return workflow;
  }
  void StartAll(const Workflow& workflow) {
    progress_.emplace(workflow);
    for (uint32_t i = 0; i < workflow.steps[0].tasks; ++i) {
      progress_->OnStarted({"w", 0, 0, i}, 1, "vm-1", kBegin);
    }
  }
  void End(uint32_t index, Duration after) {
    progress_->OnEnded({"w", 0, 0, index}, 1, RunEndKind::kDone, "",
                       kBegin + after);
  }
  std::vector<OverdueRun> Overdue(Duration after) {
    return FindOverdueRuns(*progress_, reliable_, kBegin + after);
  }

  std::optional<Duration> MaxTime() {
    return MaxTimePerPercent(*progress_, 0, reliable_);
  }

  bool reliable_ = false;
  std::optional<WorkflowProgress> progress_;
};

// A task of a step takes up to seven times as long as the others, and a VM may
// be slow by a factor of six.
TEST_F(ProgressBoundTest, OtherTasksOfTheStepBoundAPercent) {
  StartAll(MakeWorkflow(4, seconds(1)));
  End(0, seconds(2));
  EXPECT_THAT(Overdue(seconds(7)), IsEmpty()) << "one end is an accident";
  End(1, seconds(4));
  EXPECT_THAT(Overdue(milliseconds(4999)), IsEmpty());
  const auto overdue = Overdue(seconds(5));
  ASSERT_THAT(overdue, SizeIs(2));
  EXPECT_EQ(overdue[0].run, (RunRef{{"w", 0, 0, 2}, 1}));
  EXPECT_EQ(overdue[0].vm, "vm-1");
  EXPECT_EQ(overdue[0].cpu_per_percent, milliseconds(2500));
  EXPECT_GE(ToMillis(*MaxTime()), 4000 * 7 * 6 / 100);
}

// Restoring a checkpoint takes longer than a short task.
TEST_F(ProgressBoundTest, ShortTasksGetASecond) {
  StartAll(MakeWorkflow(3, seconds(1)));
  End(0, milliseconds(100));
  End(1, milliseconds(100));
  EXPECT_EQ(MaxTime(), seconds(1));
}

TEST_F(ProgressBoundTest, TasksAwayFromTheirDataMayBeSlow) {
  Workflow workflow = MakeWorkflow(3, seconds(1));
  workflow.steps[0].preferred_rack = "r1";
  StartAll(workflow);
  End(0, seconds(2));
  End(1, seconds(2));
  EXPECT_EQ(MaxTime(), milliseconds(7500));
}

// A percent of a task that takes 100 times its estimate takes as long as was
// estimated for the whole task, and six times as long on a slow VM.
TEST_F(ProgressBoundTest, EstimatesMayBeWrongByAFactorOf100) {
  for (const Duration declared : {milliseconds(10), milliseconds(1200),
                                  milliseconds(2000), milliseconds(120000)}) {
    const Workflow workflow = MakeWorkflow(1, declared);
    StartAll(workflow);
    const Duration percent = 100 * declared / 100;
    EXPECT_GT(ToMillis(*MaxTime()), ToMillis(6 * percent));
    EXPECT_GE(ToMillis(*MaxTime()), 8000);
  }
}

// Guards against a stall that holds all tasks of a step, so that none of them
// is done elsewhere.
TEST_F(ProgressBoundTest, ReliableExpectationsBoundAPercentSooner) {
  reliable_ = true;
  StartAll(MakeWorkflow(1, seconds(1)));
  EXPECT_EQ(MaxTime(), milliseconds(1500));
  StartAll(MakeWorkflow(1, milliseconds(10)));
  EXPECT_EQ(MaxTime(), seconds(1));
}

// Otherwise tasks that are far longer than expected would move again and again.
TEST_F(ProgressBoundTest, BoundGrowsWithEachMove) {
  for (reliable_ = true;; reliable_ = false) {
    StartAll(MakeWorkflow(2, seconds(2)));
    const Duration first = *MaxTime();
    progress_->At({"w", 0, 0, 1}).stall_moves = 1;
    EXPECT_EQ(*MaxTime(), 8 * first);
    progress_->At({"w", 0, 0, 1}).stall_moves = 9;
    EXPECT_EQ(*MaxTime(), 512 * first);
    if (!reliable_) break;
  }
}

TEST_F(ProgressBoundTest, NothingIsKnownOfThese) {
  StartAll(MakeWorkflow(1, Duration(0)));
  EXPECT_EQ(MaxTime(), std::nullopt);
  Workflow workflow = MakeWorkflow(2, seconds(1));
  workflow.steps[0].gang = true;
  StartAll(workflow);
  EXPECT_EQ(MaxTime(), std::nullopt);
  workflow.steps[0].gang = false;
  workflow.steps[0].long_running = true;
  StartAll(workflow);
  EXPECT_THAT(Overdue(seconds(100)), IsEmpty());
}

}  // namespace
}  // namespace beamhill
