// A program that a test runs as a process of its own, with a log file.
//
//   ChildProcess child({"/path/to/program", "settings.yaml"}, "child.log",
//                      ChildProcess::Logged::kOutputAndErrors);
//   child.Start();
//   child.Signal(SIGTERM);
#ifndef BEAMHILL_TESTING_CHILD_PROCESS_H_
#define BEAMHILL_TESTING_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace beamhill {

class ChildProcess {
 public:
  // What goes to the log; the rest goes where the test's own goes.
  enum class Logged { kOutput, kOutputAndErrors };

  ChildProcess() = default;
  // `command` begins with the program's path. Doesn't start it.
  ChildProcess(std::vector<std::string> command, std::string log,
               Logged logged);

  // The log is appended to. That the program can't be started is an error of
  // the test, which ends.
  void Start();
  // Does nothing to one that isn't started. Waits for the end of one that it
  // kills.
  void Signal(int signal_number);
  // Whether it is started and not seen to have ended, by Ended() or a kill.
  bool started() const { return pid_ != 0; }
  // Whether it isn't running; looks for its end without waiting.
  bool Ended();

 private:
  std::vector<std::string> command_;
  std::string log_;
  Logged logged_ = Logged::kOutput;
  pid_t pid_ = 0;  // 0: not started, or seen to have ended.
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_CHILD_PROCESS_H_
