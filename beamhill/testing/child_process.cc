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

constexpr mode_t kLogMode = 0600;  // For the test's own user.

}  // namespace

ChildProcess::ChildProcess(std::vector<std::string> command, std::string log,
                           Logged logged)
    : command_(std::move(command)), log_(std::move(log)), logged_(logged) {}

void ChildProcess::Start() {
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (std::string& word : command_) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::vector<int> streams = {STDOUT_FILENO};
  if (logged_ == Logged::kOutputAndErrors) streams.push_back(STDERR_FILENO);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  for (const int fd : streams) {
    posix_spawn_file_actions_addopen(&actions, fd, log_.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  }
  const int result = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CheckInvariant(result == 0, "a process starts");
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
