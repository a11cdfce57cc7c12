// Tests how runs are combined into log lines.
#include "beamhill/dispatch/run_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace beamhill {
namespace {

using testing::ElementsAre;
using testing::SizeIs;

class RunLogTest : public testing::Test {
 protected:
  std::vector<std::string> lines_;
  DecisionHook hook_ = [this](const std::string& workflow,
                              const std::string& event,
                              const std::string& detail) {
    lines_.push_back(event + " " + workflow + " " + detail);
  };
  RunLog log_{hook_};
};

TEST_F(RunLogTest, RunsOfOneStepWithTheSameNoteShareALine) {
  log_.Note("run_ended", {{"w", 0, 1, 4}, 2}, "vm-3", "done");
  log_.Note("run_ended", {{"w", 0, 1, 5}, 1}, "vm-3", "failed");
  log_.Note("run_ended", {{"w", 0, 1, 7}, 1}, "vm-5", "done");
  EXPECT_THAT(lines_, SizeIs(0));
  log_.Flush();
  EXPECT_THAT(lines_, ElementsAre("run_ended w 0.1 done: 4/2@vm-3 7/1@vm-5",
                                  "run_ended w 0.1 failed: 5/1@vm-3"));
}

TEST_F(RunLogTest, LongLinesAreSplit) {
  for (uint32_t i = 0; i < 130; ++i) {
    log_.Note("run_ordered", {{"w", 0, 0, i}, 1}, "side-chingeltei-240", "");
  }
  log_.Flush();
  ASSERT_THAT(lines_, SizeIs(3));
  for (const std::string& line : lines_) EXPECT_LT(line.size(), 2000U);
}

}  // namespace
}  // namespace beamhill
