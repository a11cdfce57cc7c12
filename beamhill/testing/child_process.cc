#include "beamhill/testing/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

#include "beamhill/base/error.h"

extern char** environ;

namespace beamhill {
namespace {

constexpr mode_t kLogMode = 0600;  // Only for the test's user.

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string log,
                           Capture capture)
    : command_(std::move(command)),
      log_path_(std::move(log)),
      capture_(capture) {}

void ChildProcess::Start() {
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (std::string& argument : command_) arguments.push_back(argument.data());
  arguments.push_back(nullptr);
  std::vector<int> streams = {STDOUT_FILENO};
  if (capture_ == Capture::kOutputAndErrors) streams.push_back(STDERR_FILENO);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : streams) {
    posix_spawn_file_actions_addopen(&actions, fd, log_path_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
  const int result = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CheckInvariant(result == 0, "the child process starts");
}

void ChildProcess::Signal(int signal_number) {
  if (pid_ == 0) return;
  kill(pid_, signal_number);
  if (signal_number != SIGKILL) return;
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool ChildProcess::Ended() {
  if (pid_ != 0 && waitpid(pid_, nullptr, WNOHANG) != 0) pid_ = 0;
  return pid_ == 0;
}

}  // namespace beamhill
