#include "beamhill/log/log_rate_limiter.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace beamhill {

bool LogBudget::Bucket::Take(double per_second, double burst, TimePoint now) {
  const std::chrono::duration<double> passed = now - refilled_at;
  refilled_at = now;
  tokens = std::min(burst, tokens + passed.count() * per_second);
  if (tokens < 1) return false;
  tokens -= 1;
  return true;
}

LogBudget::LogBudget(const LogBudgetOptions& options) : options_(options) {}

bool LogBudget::Admit(std::string_view event, TimePoint now) {
  auto own = own_.find(event);
  if (own == own_.end()) {
    const Bucket full{options_.own_burst, now};
    own = own_.emplace(std::string(event), full).first;
  }
  if (own->second.Take(options_.own_per_second, options_.own_burst, now) ||
      shared_.Take(options_.shared_per_second, options_.shared_burst, now)) {
    return true;
  }
  NoteDropped(event);
  return false;
}

void LogBudget::NoteDropped(std::string_view event) {
  ++dropped_;
  ++dropped_by_event_[std::string(event)];
}

LogBudget::Counts LogBudget::TakeDropped() {
  return std::exchange(dropped_by_event_, {});
}

}  // namespace beamhill
