// Which lines are written under load, and what a line may be.
#include "beamhill/log/log.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <sstream>

#include "beamhill/log/log_rate_limiter.h"

namespace beamhill {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};

// Found on the large site: 10,000 lines about runs a day were dropped, and with
// them the claims and hand-overs of the first 36 s.
TEST(LogBudgetTest, FrequentEventsDontCrowdOutRareOnes) {
  LogBudget budget({});
  int admitted = 0;
  for (int i = 0; i < 5000; ++i) {
    admitted += static_cast<int>(budget.Admit("run_ended", kStart));
  }
  EXPECT_EQ(admitted, 40 + 900);
  EXPECT_TRUE(budget.Admit("ownership_taken", kStart));
  EXPECT_EQ(budget.dropped(), 5000U - 940);
  EXPECT_EQ(budget.TakeDropped(),
            (LogBudget::Counts{{"run_ended", 5000 - 940}}));
  EXPECT_TRUE(budget.TakeDropped().empty());
}

TEST(LogBudgetTest, LinesOfASecondAreBounded) {
  LogBudget budget({});
  const auto flood = [&](TimePoint now) {
    int admitted = 0;
    for (int i = 0; i < 3000; ++i) {
      admitted += static_cast<int>(budget.Admit("run_ended", now));
    }
    return admitted;
  };
  flood(kStart);
  EXPECT_EQ(flood(kStart + std::chrono::seconds(1)), 310);
}

class LogLinesTest : public testing::Test {
 protected:
  LogLinesTest() {
    EXPECT_EQ(pipe(pipe_), 0);
    LogOutput output;
    output.fd = pipe_[1];
    output.report_dropped_every = Duration(0);
    InitLog("p", LogLevel::kInfo, output);
  }
  ~LogLinesTest() override {
    InitLog("p", LogLevel::kInfo);
    close(pipe_[0]);
    close(pipe_[1]);
  }
  LogLinesTest(const LogLinesTest&) = delete;
  LogLinesTest& operator=(const LogLinesTest&) = delete;

  std::string Written() {
    std::string bytes(1 << 16, '\0');
    const ssize_t size = read(pipe_[0], bytes.data(), bytes.size());
    bytes.resize(size < 0 ? 0 : static_cast<size_t>(size));
    return bytes;
  }

 private:
  int pipe_[2] = {-1, -1};
};

TEST_F(LogLinesTest, LongLinesAreCutAndStayJson) {
  Log(LogLevel::kInfo, "long",
      {{"request", "a1"}, {"detail", std::string(9000, 'x')}, {"n", 3}});
  const std::string line = Written();
  EXPECT_LE(line.size(), 4096U);
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  ASSERT_FALSE(parsed.is_discarded());
  EXPECT_EQ(parsed["request"], "a1");
  EXPECT_EQ(parsed["n"], 3);
}

// More lines at once than the budget lets through.
TEST_F(LogLinesTest, TellsWhatWasDropped) {
  for (int i = 0; i < 1500; ++i) Log(LogLevel::kInfo, "often");
  Written();
  Log(LogLevel::kInfo, "rare");
  std::istringstream lines(Written());
  std::string line;
  uint64_t reported = 0;
  while (std::getline(lines, line)) {
    const auto parsed = nlohmann::json::parse(line, nullptr, false);
    if (parsed.is_discarded()) continue;
    if (parsed["event"] == "log_lines_dropped") {
      reported += parsed["often"].get<uint64_t>();
    }
  }
  EXPECT_GT(reported, 500U);
}

}  // namespace
}  // namespace beamhill
