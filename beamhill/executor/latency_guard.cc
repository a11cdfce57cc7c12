#include "beamhill/executor/latency_guard.h"

#include <algorithm>

namespace beamhill {
namespace {

// Ratio of tail to target above which a sample counts as an overrun. Below 1
// because a sample is rounded and averaged over half a second.
constexpr double kOverRatio = 0.95;
// A pause ends once the ratios of all tails are below this. A tail halves
// within 0.3 s once best-effort runs are paused.
constexpr double kClearRatio = 0.9;
// An overrun of this length starts a pause. A sample lags by up to a second,
// and a poll and the pace orders take a third of a second, so best-effort runs
// are paused at most 3.3 s after the tail rose. Where harm counts later, a
// later pause, such as after 2.6 s, would have no benefit.
constexpr Duration kMaxOverrun = std::chrono::milliseconds(2000);
// Where harm counts sooner, the time until harm is divided by this instead.
constexpr int kHarmAfterDivisor = 2;
// This and kMaxPause are timed from the last sample that shows an active
// best-effort run, so that the tails sampled after it reflect the pause.
constexpr Duration kMinPause = std::chrono::milliseconds(250);
// A tail of ten times its target falls below it within 1.1 s of the pause; one
// that is still up after this time has another cause.
constexpr Duration kMaxPause = std::chrono::milliseconds(1400);
// An overrun ends after this time without a sample over the target. It covers
// two samples, so that a single low one does not end an overrun.
constexpr Duration kOverrunEndsAfter = std::chrono::milliseconds(550);

}  // namespace

LatencyGuard::LatencyGuard(Duration harm_after)
    : pause_after_(std::min(kMaxOverrun, harm_after / kHarmAfterDivisor)) {}

void LatencyGuard::UpdateOverruns(const std::vector<ServingSample>& serving,
                                  TimePoint now) {
  for (const ServingSample& sample : serving) {
    if (sample.ratio() <= kOverRatio) continue;
    const auto entry = overruns_.emplace(sample.image, Overrun{now, now}).first;
    entry->second.last_over = now;
  }
  for (auto it = overruns_.begin(); it != overruns_.end();) {
    const bool ended = now - it->second.last_over >= kOverrunEndsAfter;
    it = ended ? overruns_.erase(it) : std::next(it);
  }
}

Duration LatencyGuard::LongestOverrun() const {
  Duration longest{};
  for (const auto& [image, overrun] : overruns_) {
    longest = std::max(longest, overrun.last_over - overrun.since);
  }
  return longest;
}

void LatencyGuard::Observe(const std::vector<ServingSample>& serving,
                           bool best_effort_active, TimePoint now) {
  UpdateOverruns(serving, now);
  if (!paused_) {
    if (overruns_.empty()) last_pause_ineffective_ = false;
    if (LongestOverrun() < pause_after_) return;
    paused_ = true;
    last_pause_ineffective_ = false;
    paused_since_ = now;
    return;
  }
  if (best_effort_active) paused_since_ = now;
  const bool clear = std::all_of(
      serving.begin(), serving.end(),
      [](const ServingSample& sample) { return sample.ratio() < kClearRatio; });
  const Duration paused_for = now - paused_since_;
  if (paused_for < kMinPause || (!clear && paused_for < kMaxPause)) return;
  paused_ = false;
  last_pause_ineffective_ = !clear;
  // Time before or during the pause does not count towards the next overrun.
  overruns_.clear();
}

}  // namespace beamhill
