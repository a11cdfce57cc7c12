// Limits the rate of log lines with token buckets, so that frequent events
// don't use up the limit at the expense of rare ones: there are thousands of
// lines about single runs, while a failure is often explained by the only line
// about a change of owner.
//
// Each event has a bucket of its own; when that is empty, the event draws on
// one bucket that all events share. Reads no clock: the caller passes the time.
//
//   LogRateLimiter limiter(options);
//   if (limiter.Admit("run_ended", now)) Write(line);
//   for (auto& [event, count] : limiter.TakeDropped()) ...
#ifndef BEAMHILL_LOG_LOG_RATE_LIMITER_H_
#define BEAMHILL_LOG_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "beamhill/base/time.h"

namespace beamhill {

struct LogRateLimiterOptions {
  // Refill rates in lines per second, and bucket sizes in lines, of the shared
  // bucket and of the bucket of each event.
  double shared_lines_per_second = 300;
  double shared_burst = 900;
  double per_event_lines_per_second = 10;
  double per_event_burst = 40;
};

class LogRateLimiter {
 public:
  using Counts = std::map<std::string, uint64_t, std::less<>>;  // By event.

  explicit LogRateLimiter(const LogRateLimiterOptions& options);

  // Returns whether a line of the event may be written now. If not, counts it
  // as dropped.
  bool Admit(std::string_view event, TimePoint now);
  // Counts a line as dropped that was admitted but could not be written.
  void CountDropped(std::string_view event);

  // Number of lines dropped since construction.
  uint64_t dropped() const { return dropped_; }
  // Returns the lines dropped since the last call.
  Counts TakeDropped();

 private:
  struct TokenBucket {
    double tokens = 0;
    TimePoint refilled_at{};
    // Refills the bucket, then takes one token if there is one.
    bool Take(double per_second, double burst, TimePoint now);
  };

  LogRateLimiterOptions options_;
  TokenBucket shared_;
  std::map<std::string, TokenBucket, std::less<>> by_event_;
  uint64_t dropped_ = 0;
  Counts dropped_by_event_;
};

}  // namespace beamhill

#endif  // BEAMHILL_LOG_LOG_RATE_LIMITER_H_
