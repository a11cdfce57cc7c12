// Tests the rate limit and the length limit of log lines.
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

// Guards against one limit for all events: on a large deployment, 10,000 lines
// about runs were dropped per day, and with them those about the claims and
// handovers of the first 36 s.
TEST(LogRateLimiterTest, FrequentEventsDontSuppressRareOnes) {
  LogRateLimiter limiter({});
  int admitted = 0;
  for (int i = 0; i < 5000; ++i) {
    admitted += static_cast<int>(limiter.Admit("run_ended", kStart));
  }
  EXPECT_EQ(admitted, 40 + 900);
  EXPECT_TRUE(limiter.Admit("ownership_taken", kStart));
  EXPECT_EQ(limiter.dropped(), 5000U - 940);
  EXPECT_EQ(limiter.TakeDropped(),
            (LogRateLimiter::Counts{{"run_ended", 5000 - 940}}));
  EXPECT_TRUE(limiter.TakeDropped().empty());
}

TEST(LogRateLimiterTest, LimitsLinesPerSecond) {
  LogRateLimiter limiter({});
  const auto flood = [&](TimePoint now) {
    int admitted = 0;
    for (int i = 0; i < 3000; ++i) {
      admitted += static_cast<int>(limiter.Admit("run_ended", now));
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
    output.dropped_report_interval = Duration(0);
    InitLog("p", LogLevel::kInfo, output);
  }
  ~LogLinesTest() override {
    InitLog("p", LogLevel::kInfo);
    close(pipe_[0]);
    close(pipe_[1]);
  }
  LogLinesTest(const LogLinesTest&) = delete;
  LogLinesTest& operator=(const LogLinesTest&) = delete;

  // Returns up to 64 KiB written to the pipe since the last call.
  std::string ReadPipe() {
    std::string bytes(1 << 16, '\0');
    const ssize_t size = read(pipe_[0], bytes.data(), bytes.size());
    bytes.resize(size < 0 ? 0 : static_cast<size_t>(size));
    return bytes;
  }

 private:
  int pipe_[2] = {-1, -1};
};

TEST_F(LogLinesTest, LongLinesAreTruncatedAndStayJson) {
  Log(LogLevel::kInfo, "long",
      {{"request", "a1"}, {"detail", std::string(9000, 'x')}, {"n", 3}});
  const std::string line = ReadPipe();
  EXPECT_LE(line.size(), 4096U);
  const auto parsed = nlohmann::json::parse(line, nullptr, false);
  ASSERT_FALSE(parsed.is_discarded());
  EXPECT_EQ(parsed["request"], "a1");
  EXPECT_EQ(parsed["n"], 3);
}

TEST_F(LogLinesTest, ReportsDroppedLines) {
  for (int i = 0; i < 1500; ++i) Log(LogLevel::kInfo, "often");
  ReadPipe();
  Log(LogLevel::kInfo, "rare");
  std::istringstream lines(ReadPipe());
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
