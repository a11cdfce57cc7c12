#include "beamhill/testing/child_process.h"

#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace beamhill {
namespace {

using testing::HasSubstr;
using testing::Not;

// Guards against ports that are taken for a moment, and connections that stay
// open, since a child process holds copies of the test's sockets: a soak run
// ended as its runner could not listen again while an executor was started.
TEST(ChildProcessTest, InheritsOnlyStandardStreams) {
  const std::string log =
      testing::TempDir() + "child_process_test." + std::to_string(getpid());
  const int inheritable = open("/dev/null", O_RDONLY);
  ASSERT_GE(inheritable, 0);
  ChildProcess child({"/bin/ls", "-l", "/proc/self/fd"}, log,
                     ChildProcess::Capture::kOutput);
  child.Start();
  while (!child.Ended()) usleep(1000);
  close(inheritable);
  std::ostringstream listed;
  listed << std::ifstream(log).rdbuf();
  unlink(log.c_str());
  EXPECT_THAT(listed.str(), HasSubstr(" 1 -> "));
  const std::string row = " " + std::to_string(inheritable) + " -> /dev/null";
  EXPECT_THAT(listed.str(), Not(HasSubstr(row)));
}

}  // namespace
}  // namespace beamhill
