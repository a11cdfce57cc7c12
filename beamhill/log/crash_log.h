// Reports the end of the process by a signal such as SIGSEGV in its log, which
// otherwise just stops.
//
//   InstallCrashLog("scheduler-1", /*fd=*/1);
#ifndef BEAMHILL_LOG_CRASH_LOG_H_
#define BEAMHILL_LOG_CRASH_LOG_H_

#include <string_view>

namespace beamhill {

// From now on, a fatal signal of the process's own making writes a line with
// the event `crashed` and the signal's number to `fd`, in the form of the other
// log lines but without a time, and then ends the process as it would have.
// Signals that have a handler already, such as that of a sanitizer, keep it.
void InstallCrashLog(std::string_view process, int fd);

}  // namespace beamhill

#endif  // BEAMHILL_LOG_CRASH_LOG_H_
