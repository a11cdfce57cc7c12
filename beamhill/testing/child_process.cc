#include "beamhill/testing/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <string>
#include <utility>

#include "beamhill/base/error.h"

extern char** environ;

namespace beamhill {
namespace {

constexpr mode_t kLogMode = 0600;  // Only for the test's user.

// Limits the descriptors of this process, and so of programs that it starts,
// for as long as this object exists. Without a limit it changes nothing.
class ScopedDescriptorLimit {
 public:
  explicit ScopedDescriptorLimit(std::optional<rlim_t> limit) {
    getrlimit(RLIMIT_NOFILE, &previous_);
    if (!limit) return;
    rlimit lowered = previous_;
    lowered.rlim_cur = *limit;
    CheckInvariant(setrlimit(RLIMIT_NOFILE, &lowered) == 0,
                   "the limit of descriptors can be set");
  }
  ~ScopedDescriptorLimit() { setrlimit(RLIMIT_NOFILE, &previous_); }
  ScopedDescriptorLimit(const ScopedDescriptorLimit&) = delete;
  ScopedDescriptorLimit& operator=(const ScopedDescriptorLimit&) = delete;

 private:
  rlimit previous_{};
};

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
  // Close-on-exec is not enough: exec closes such descriptors only after it has
  // let this process go on, which may listen on the port of a socket that it
  // has just closed.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const ScopedDescriptorLimit limit(descriptor_limit_);
  const int result = posix_spawn(&pid_, arguments[0], &actions, nullptr,
                                 arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  CheckInvariant(result == 0, "the child process starts");
  stop_requested_ = false;
}

void ChildProcess::OnEnded(int status) {
  pid_ = 0;
  const int signal_number = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
  const bool stopped_as_requested =
      stop_requested_ && (signal_number == 0 || signal_number == SIGTERM ||
                          signal_number == SIGKILL);
  if (stopped_as_requested) return;
  unexpected_end_ = signal_number != 0
                        ? "signal " + std::to_string(signal_number)
                        : "exit code " + std::to_string(WEXITSTATUS(status));
}

std::string ChildProcess::TakeUnexpectedEnd() {
  return std::exchange(unexpected_end_, "");
}

void ChildProcess::Signal(int signal_number) {
  if (Ended()) return;
  if (signal_number == SIGKILL || signal_number == SIGTERM) {
    stop_requested_ = true;
  }
  kill(pid_, signal_number);
  if (signal_number != SIGKILL) return;
  int status = 0;
  waitpid(pid_, &status, 0);
  OnEnded(status);
}

bool ChildProcess::Ended() {
  int status = 0;
  if (pid_ != 0 && waitpid(pid_, &status, WNOHANG) != 0) OnEnded(status);
  return pid_ == 0;
}

}  // namespace beamhill
