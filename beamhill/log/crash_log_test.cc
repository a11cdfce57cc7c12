#include "beamhill/log/crash_log.h"

#include <gtest/gtest.h>

#include <csignal>

namespace beamhill {
namespace {

// Guards against a process that ends by a signal without any line in its log:
// a crash at each takeover was noticed only by a test that counts processes.
TEST(CrashLogDeathTest, FatalSignalIsLoggedAndEndsTheProcess) {
  EXPECT_EXIT(
      {
        std::signal(SIGSEGV, SIG_DFL);
        InstallCrashLog("scheduler-1", /*fd=*/2);
        std::raise(SIGSEGV);
      },
      testing::KilledBySignal(SIGSEGV),
      "\"process\":\"scheduler-1\",\"event\":\"crashed\",\"signal\":11}");
}

}  // namespace
}  // namespace beamhill
