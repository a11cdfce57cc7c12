// Structured logging: one JSON object per line, written through Boost.Log.
//
// Every line has the fields ts (UTC), level, process and event. Other fields
// have the same names in all processes: request, job, task, cell, epoch, vm,
// entry, error.
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

// A named value of a log line. The text of the key isn't copied, so it must
// outlive the call of Log.
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

// Logs to standard error without a rate limit. `process` is the value of the
// field of that name.
void InitLog(std::string_view process, LogLevel level);

// Where log lines go and how many are written. A line is dropped when it
// exceeds the rate limit or when the pipe is full because its reader is too
// slow. Dropped lines are counted by event and reported in lines of the event
// `log_lines_dropped`, at most once per `dropped_report_interval`. Lines are at
// most 4 KiB long, since writes of that size to a pipe are atomic; the strings
// of longer lines are truncated.
struct LogOutput {
  int fd = 2;
  LogRateLimiterOptions rate_limit;
  Duration dropped_report_interval = std::chrono::seconds(1);
};
// Logs to `output`. Makes its descriptor non-blocking, so that Log never
// blocks.
void InitLog(std::string_view process, LogLevel level, const LogOutput& output);
// Returns the number of lines dropped since the last InitLog; 0 without a rate
// limit.
uint64_t LogLinesDropped();
// Changes the level of all later lines.
void SetLogLevel(LogLevel level);
// Parses "debug", "info", "warning" or "error".
Result<LogLevel> ParseLogLevel(std::string_view name);

// Writes a line unless `level` is below the current level.
void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields = {});

}  // namespace beamhill

#endif  // BEAMHILL_LOG_LOG_H_
