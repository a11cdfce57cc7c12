// Log lines as JSON objects, one a line, on standard error, by Boost.Log.
//
// Every line has ts (UTC), level, process and event; the other fields use the
// same names everywhere: request, job, task, cell, epoch, vm, entry, error.
//
//   InitLog("entry-1", LogLevel::kInfo);
//   Log(LogLevel::kInfo, "cell_taken", {{"cell", cell}, {"epoch", epoch}});
#ifndef BEAMHILL_LOG_LOG_H_
#define BEAMHILL_LOG_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

#include "beamhill/base/error.h"
#include "beamhill/log/log_rate_limiter.h"

namespace beamhill {

enum class LogLevel : uint8_t { kDebug, kInfo, kWarning, kError };

struct LogField {
  LogField(std::string_view k, std::string_view v)
      : key(k), value(std::string(v)) {}
  LogField(std::string_view k, const char* v) : key(k), value(std::string(v)) {}
  LogField(std::string_view k, const std::string& v) : key(k), value(v) {}
  LogField(std::string_view k, double v) : key(k), value(v) {}
  LogField(std::string_view k, bool v) : key(k), value(v) {}
  template <typename Integer,
            typename = std::enable_if_t<std::is_integral_v<Integer>>>
  LogField(std::string_view k, Integer v)
      : key(k), value(static_cast<int64_t>(v)) {}

  std::string_view key;
  std::variant<std::string, int64_t, double, bool> value;
};

void InitLog(std::string_view process, LogLevel level);

// Where lines go and how many. Lines beyond the budget, and lines that the
// reader of the pipe has left no room for, are dropped and counted by event; a
// line `log_lines_dropped` tells of them. Lines are at
// most 4 KiB: a pipe takes those whole or not at all. Longer texts are cut.
struct LogOutput {
  int fd = 2;
  LogBudgetOptions budget;
  Duration report_dropped_every = std::chrono::seconds(1);
};
// Never blocks: the descriptor is made non-blocking.
void InitLog(std::string_view process, LogLevel level, const LogOutput& output);
// Lines dropped since the start.
uint64_t LogLinesDropped();
// May be called at any time.
void SetLogLevel(LogLevel level);
Result<LogLevel> ParseLogLevel(std::string_view name);

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace beamhill

#endif  // BEAMHILL_LOG_LOG_H_
