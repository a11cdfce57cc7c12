#include "beamhill/log/crash_log.h"

#include <unistd.h>

#include <csignal>
#include <cstddef>
#include <string>

namespace beamhill {
namespace {

constexpr int kFatalSignals[] = {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};
constexpr int kFirstTwoDigitSignal = 10;

int log_fd = -1;
// The line up to the signal's number. Never freed: a signal may arrive at any
// time.
const std::string* line_start = nullptr;

// Calls only functions that are allowed in a signal handler.
void WriteCrashLine(int signal_number) {
  char end[] = "00}\n";
  end[0] = static_cast<char>('0' + signal_number / kFirstTwoDigitSignal);
  end[1] = static_cast<char>('0' + signal_number % kFirstTwoDigitSignal);
  const bool two_digits = signal_number >= kFirstTwoDigitSignal;
  const size_t skip = two_digits ? 0 : 1;
  // Nothing can be done about a failure here.
  if (write(log_fd, line_start->data(), line_start->size()) < 0) return;
  if (write(log_fd, end + skip, sizeof(end) - 1 - skip) < 0) return;
}

// The handler is reset when it is called, so the signal ends the process.
void OnFatalSignal(int signal_number) {
  WriteCrashLine(signal_number);
  raise(signal_number);
}

}  // namespace

void InstallCrashLog(std::string_view process, int fd) {
  log_fd = fd;
  delete line_start;
  line_start =
      new std::string(R"({"level":"error","process":")" + std::string(process) +
                      R"(","event":"crashed","signal":)");
  struct sigaction action = {};
  action.sa_handler = &OnFatalSignal;
  action.sa_flags = static_cast<int>(SA_RESETHAND) | SA_NODEFER;
  sigemptyset(&action.sa_mask);
  for (const int signal_number : kFatalSignals) {
    struct sigaction present = {};
    sigaction(signal_number, nullptr, &present);
    if (present.sa_handler != SIG_DFL) continue;
    sigaction(signal_number, &action, nullptr);
  }
}

}  // namespace beamhill
