// A program that a test runs as a child process, with a log file.
//
//   ChildProcess child({"/path/to/program", "settings.yaml"}, "child.log",
//                      ChildProcess::Capture::kOutputAndErrors);
//   child.Start();
//   child.Signal(SIGTERM);
#ifndef BEAMHILL_TESTING_CHILD_PROCESS_H_
#define BEAMHILL_TESTING_CHILD_PROCESS_H_

#include <sys/resource.h>
#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace beamhill {

class ChildProcess {
 public:
  // Streams written to the log; the others are inherited from the test.
  enum class Capture { kOutput, kOutputAndErrors };

  ChildProcess() = default;
  // `command` is the program's path and its arguments. Doesn't start it.
  ChildProcess(std::vector<std::string> command, std::string log,
               Capture capture);

  // From the next start on, the program may have so many descriptors open.
  void set_descriptor_limit(rlim_t limit) { descriptor_limit_ = limit; }

  // Starts the program, appending to the log. It inherits no descriptors but
  // the standard streams: a copy of a socket would keep a connection open that
  // the test closes. Ends the test process if the program can't be started.
  void Start();
  // Sends a signal; does nothing if the process isn't started. After SIGKILL,
  // waits until the process has ended.
  void Signal(int signal_number);
  // Whether the process was started and neither Ended() nor a SIGKILL sent by
  // Signal() has found its end.
  bool started() const { return pid_ != 0; }
  // 0 if it isn't started.
  pid_t pid() const { return pid_; }
  // Checks without waiting whether the process has ended or was never started.
  bool Ended();
  // How the process ended by itself, such as "signal 11": without a SIGTERM or
  // SIGKILL of Signal(), or by another signal after one. Empty if it did not,
  // as far as Ended() and Signal() have found. Returns each end once.
  std::string TakeUnexpectedEnd();

 private:
  // Records the end with this status, as waitpid reports it.
  void OnEnded(int status);

  std::vector<std::string> command_;
  std::string log_path_;
  Capture capture_ = Capture::kOutput;
  std::optional<rlim_t> descriptor_limit_;
  pid_t pid_ = 0;  // 0: not started, or known to have ended.
  bool stop_requested_ = false;
  std::string unexpected_end_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_CHILD_PROCESS_H_
