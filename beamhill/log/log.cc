#include "beamhill/log/log.h"

#include <fcntl.h>
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

namespace beamhill {
namespace {

namespace logging = boost::log;
using Sink =
    logging::sinks::synchronous_sink<logging::sinks::text_ostream_backend>;

// Writes whole lines to a descriptor without ever waiting for its reader.
// A pipe takes a line of up to PIPE_BUF bytes whole or not at all.
class FdBackend : public logging::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit FdBackend(const LogOutput& output)
      : output_(output), tokens_(output.burst) {
    const int flags = fcntl(output.fd, F_GETFL);
    fcntl(output.fd, F_SETFL, flags | O_NONBLOCK);
  }

  // The library fixes the name. NOLINTNEXTLINE(readability-identifier-naming)
  void consume(logging::record_view const&, const std::string& line) {
    Refill();
    if (tokens_ < 1) {
      ++dropped;
      return;
    }
    tokens_ -= 1;
    const std::string bytes = line + "\n";
    if (write(output_.fd, bytes.data(), bytes.size()) < 0) ++dropped;
  }

  uint64_t dropped = 0;

 private:
  void Refill() {
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    tokens_ = std::min<double>(
        output_.burst, tokens_ + passed.count() * output_.lines_per_second);
  }

  LogOutput output_;
  double tokens_;
  std::chrono::steady_clock::time_point refilled_at_ =
      std::chrono::steady_clock::now();
};

struct LogState {
  std::string process = "beamhill";
  LogLevel level = LogLevel::kInfo;
  logging::sources::logger source;
  boost::shared_ptr<FdBackend> backend;
  uint64_t dropped_reported = 0;
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
  logging::core::get()->remove_all_sinks();
  logging::core::get()->add_sink(
      boost::make_shared<logging::sinks::synchronous_sink<FdBackend>>(
          state.backend));
}

uint64_t LogLinesDropped() {
  return State().backend ? State().backend->dropped : 0;
}

void SetLogLevel(LogLevel level) { State().level = level; }

Result<LogLevel> ParseLogLevel(std::string_view name) {
  for (const LogLevel level : {LogLevel::kDebug, LogLevel::kInfo,
                               LogLevel::kWarning, LogLevel::kError}) {
    if (LevelName(level) == name) return level;
  }
  return Error{ErrorCode::kInvalidArgument,
               "no such log level: " + std::string(name),
               "use debug, info, warning or error"};
}

void Log(LogLevel level, std::string_view event,
         std::initializer_list<LogField> fields) {
  LogState& state = State();
  if (level < state.level) return;
  nlohmann::ordered_json line;
  line["ts"] = UtcNow();
  line["level"] = LevelName(level);
  line["process"] = state.process;
  line["event"] = event;
  if (const uint64_t dropped = LogLinesDropped();
      dropped > state.dropped_reported) {
    line["lines_dropped"] = dropped - state.dropped_reported;
    state.dropped_reported = dropped;
  }
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { line[std::string(field.key)] = value; },
               field.value);
  }
  BOOST_LOG(state.source) << line.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace beamhill
