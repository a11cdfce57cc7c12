#include "beamhill/log/log_rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace beamhill {

bool LogRateLimiter::TokenBucket::Take(double per_second, double burst,
                                       TimePoint now) {
  const std::chrono::duration<double> elapsed = now - refilled_at;
  refilled_at = now;
  tokens = std::min(burst, tokens + elapsed.count() * per_second);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

LogRateLimiter::LogRateLimiter(const LogRateLimiterOptions& options)
    : options_(options) {}

bool LogRateLimiter::Admit(std::string_view event, TimePoint now) {
  auto bucket = by_event_.find(event);
  if (bucket == by_event_.end()) {
    const TokenBucket full{options_.per_event_burst, now};
    bucket = by_event_.emplace(std::string(event), full).first;
  }
  if (bucket->second.Take(options_.per_event_lines_per_second,
                          options_.per_event_burst, now) ||
      shared_.Take(options_.shared_lines_per_second, options_.shared_burst,
                   now)) {
    return true;
  }
  CountDropped(event);
  return false;
}

void LogRateLimiter::CountDropped(std::string_view event) {
  ++dropped_;
  ++dropped_by_event_[std::string(event)];
}

LogRateLimiter::Counts LogRateLimiter::TakeDropped() {
  return std::exchange(dropped_by_event_, {});
}

}  // namespace beamhill
