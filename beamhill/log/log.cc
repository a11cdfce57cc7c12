#include "beamhill/log/log.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <nlohmann/json.hpp>
#include <utility>

namespace beamhill {
namespace {

namespace logging = boost::log;
using Sink =
    logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

// Includes the newline. Writes of up to PIPE_BUF bytes to a pipe are atomic.
constexpr size_t kMaxLineBytes = PIPE_BUF;
// Longer strings are truncated if their line exceeds kMaxLineBytes.
constexpr size_t kMaxStringBytes = 600;

TimePoint Now() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

// Writes lines to a non-blocking descriptor. A line that doesn't fit into the
// pipe is lost, which last_write_ok tells.
class FdBackend : public logging::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit FdBackend(const LogOutput& output)
      : fd_(output.fd), limiter(output.rate_limit) {
    const int flags = fcntl(fd_, F_GETFL);
    fcntl(fd_, F_SETFL, flags | O_NONBLOCK);
  }

  // Boost.Log requires this name. NOLINTNEXTLINE(readability-identifier-naming)
  void consume(logging::record_view const&, const std::string& line) {
    const std::string bytes = line + "\n";
    last_write_ok = write(fd_, bytes.data(), bytes.size()) >= 0;
  }

 private:
  int fd_;

 public:
  LogRateLimiter limiter;
  bool last_write_ok = true;
};

// The backend is null until InitLog is called with a LogOutput.
struct LogState {
  std::string process = "beamhill";
  LogLevel level = LogLevel::kInfo;
  logging::sources::logger source;
  boost::shared_ptr<FdBackend> backend;
  TimePoint dropped_reported_at{};
  Duration dropped_report_interval{};
};

LogState& State() {
  static LogState state;
  return state;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "info";
}

std::string UtcNow() {
  const auto now = std::chrono::system_clock::now();
  const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          now.time_since_epoch())
                          .count() %
                      1000;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  char text[40];
  const size_t size = std::strftime(text, sizeof(text), "%FT%T", &utc);
  std::snprintf(text + size, sizeof(text) - size, ".%03dZ",
                static_cast<int>(millis));
  return text;
}

}  // namespace

void InitLog(std::string_view process, LogLevel level) {
  State().process = std::string(process);
  State().level = level;
  State().backend.reset();
  const auto backend =
      boost::make_shared<logging::sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(boost::make_shared<Sink>(backend));
}

void InitLog(std::string_view process, LogLevel level,
             const LogOutput& output) {
  LogState& state = State();
  state.process = std::string(process);
  state.level = level;
  state.backend = boost::make_shared<FdBackend>(output);
  state.dropped_reported_at = TimePoint{};
  state.dropped_report_interval = output.dropped_report_interval;
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(
      boost::make_shared<logging::sinks::synchronous_sink<FdBackend>>(
          state.backend));
}

uint64_t LogLinesDropped() {
  return State().backend ? State().backend->limiter.dropped() : 0;
}

void SetLogLevel(LogLevel level) { State().level = level; }

Result<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) return level;
  }
  return Error{ErrorCode::kInvalidArgument,
               "unknown log level: " + std::string(name),
               "use debug, info, warning or error"};
}

namespace {

using Line = nlohmann::ordered_json;

Line StartLine(LogLevel level, std::string_view event) {
  Line line;
  line["ts"] = UtcNow();
  line["level"] = LevelName(level);
  line["process"] = State().process;
  line["event"] = event;
  return line;
}

// Replaces invalid UTF-8, which nlohmann::json would reject.
std::string Serialize(const Line& line) {
  return line.dump(-1, ' ', false, Line::error_handler_t::replace);
}

void TruncateLongStrings(Line& line) {
  for (auto& value : line) {
    if (!value.is_string()) continue;
    const auto& text = value.get_ref<const std::string&>();
    if (text.size() <= kMaxStringBytes) continue;
    value = text.substr(0, kMaxStringBytes) + "... of " +
            std::to_string(text.size()) + " bytes";
  }
}

// Writes the line in at most kMaxLineBytes: first truncates its strings, and if
// that isn't enough, keeps only the fields that identify it.
void Write(Line line) {
  std::string text = Serialize(line);
  if (text.size() >= kMaxLineBytes) {
    TruncateLongStrings(line);
    text = Serialize(line);
  }
  if (text.size() >= kMaxLineBytes) {
    Line shortened;
    for (const char* key : {"ts", "level", "process", "event", "request"}) {
      if (line.contains(key)) shortened[key] = line[key];
    }
    shortened["cut_bytes"] = text.size();
    text = Serialize(shortened);
  }
  BOOST_LOG(State().source) << text;
}

// Writes the number of dropped lines by event, unless none were dropped or the
// last report was less than dropped_report_interval ago.
void ReportDropped(TimePoint now) {
  LogState& state = State();
  if (now - state.dropped_reported_at < state.dropped_report_interval) return;
  const LogRateLimiter::Counts dropped = state.backend->limiter.TakeDropped();
  if (dropped.empty()) return;
  state.dropped_reported_at = now;
  Line line = StartLine(LogLevel::kWarning, "log_lines_dropped");
  for (const auto& [event, count] : dropped) line[event] = count;
  Write(std::move(line));
}

}  // namespace

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (level < state.level) return;
  if (state.backend) {
    // Checked before the line is formatted, which is the most expensive step.
    const TimePoint now = Now();
    if (!state.backend->limiter.Admit(event, now)) return;
    ReportDropped(now);
  }
  Line line = StartLine(level, event);
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.key)] = value; },
               field.value);
  }
  Write(std::move(line));
  if (state.backend && !state.backend->last_write_ok) {
    state.backend->limiter.CountDropped(event);
  }
}

}  // namespace beamhill
