#include "beamhill/config/config.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace beamhill {
namespace {

std::string WriteFile(const std::string& text) {
  const std::string path =
      testing::TempDir() + "config_test_" +
      testing::UnitTest::GetInstance()->current_test_info()->name() + ".yaml";
  std::ofstream(path) << text;
  return path;
}

TEST(Config, ReadsValuesAndDefaults) {
  Result<Config> loaded =
      Config::Load(WriteFile("name: a\nrunner:\n  slots: 8\n  timeout: 2s\n"
                             "entries: [10.0.0.1:7000, 10.0.0.2:7000]\n"));
  ASSERT_TRUE(IsOk(loaded));
  Config& config = ValueOf(loaded);
  EXPECT_EQ(config.Text("name"), "a");
  EXPECT_EQ(config.Int("runner.slots", 1, 10), 8);
  EXPECT_EQ(config.Int("runner.connections", 1, 100, 64), 64);
  EXPECT_EQ(config.Time("runner.timeout", std::chrono::milliseconds(1),
                        std::chrono::seconds(5)),
            std::chrono::seconds(2));
  EXPECT_EQ(config.SocketAddressList("entries").size(), 2U);
  EXPECT_TRUE(IsOk(config.Finish()));
  EXPECT_EQ(config.effective().at("runner.connections"), "64");
}

TEST(Config, ReportsEveryErrorWithLineKeyAndRange) {
  Result<Config> loaded = Config::Load(
      WriteFile("slots: many\ntimeout: -2s\nnmae: x\naddress: nowhere\n"));
  Config& config = ValueOf(loaded);
  config.Int("slots", 1, 10);
  config.Time("timeout", Duration(0), std::chrono::seconds(5));
  config.Text("name");
  config.SocketAddress("address");
  const Status status = config.Finish();
  ASSERT_FALSE(IsOk(status));
  const std::string text = ErrorOf(status).message;
  for (const char* expected :
       {":1: slots: 'many' is not a whole number from 1 to 10",
        ":2: timeout: '-2s' is not a duration from 0ms to 5000ms",
        ": name: missing", ":3: nmae: unknown key", ":4: address: "}) {
    EXPECT_NE(text.find(expected), std::string::npos) << expected << text;
  }
}

// A template that repeats a line for each entry leaves a key without a value if
// there is none; that must not keep a process from starting.
TEST(Config, ListOfTextsMayBeMissingOrEmpty) {
  Result<Config> loaded =
      Config::Load(WriteFile("none:\nsome:\n  - \"a\"\n  - b\nwrong: a\n"));
  Config& config = ValueOf(loaded);
  EXPECT_TRUE(config.TextList("absent").empty());
  EXPECT_TRUE(config.TextList("none").empty());
  EXPECT_EQ(config.TextList("some"), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(config.TextList("wrong").empty());
  const Status status = config.Finish();
  ASSERT_FALSE(IsOk(status));
  const std::string text = ErrorOf(status).message;
  EXPECT_NE(text.find(":5: wrong: must be a list"), std::string::npos) << text;
  EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 1) << text;
}

TEST(Config, ReportsTheLineOfMalformedYaml) {
  const Result<Config> loaded = Config::Load(WriteFile("a: [1\nb: 2\n"));
  ASSERT_FALSE(IsOk(loaded));
  EXPECT_NE(ErrorOf(loaded).message.find("line"), std::string::npos);
}

}  // namespace
}  // namespace beamhill
