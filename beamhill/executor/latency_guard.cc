#include "beamhill/executor/latency_guard.h"

#include <algorithm>

namespace beamhill {
namespace {

// Tail over target above which time counts towards a rest. Below 1, since a
// sample is an average over half a second, and rounded.
constexpr double kOverRatio = 0.95;
// A rest ends when all tails are below this part of their targets; a tail
// falls to half of itself in 0.3 s once fillers rest.
constexpr double kClearRatio = 0.9;
// With up to a second by which a sample trails, and a third of one for a look
// and the orders, fillers rest 3.3 s after the tail went up at the latest. No
// longer where harm counts later: resting after 2.6 s earned no more.
constexpr Duration kMaxOverrun = std::chrono::milliseconds(2000);
// Where harm counts sooner, this part of that time.
constexpr int kHarmAfterDivisor = 2;
// Counted, as the longest one, from when no filler is seen at work: so a tail
// that is seen then is of the rest, or falls with it.
constexpr Duration kMinPause = std::chrono::milliseconds(250);
// A tail ten times its target has fallen below it 1.1 s after the fillers
// stopped: one that is up after this is not up by their doing.
constexpr Duration kMaxPause = std::chrono::milliseconds(1400);
// An overrun has ended when no sample was over for so long: two samples, so
// that a single one does not hide that it goes on.
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
  // The next overrun counts from its own beginning.
  overruns_.clear();
}

}  // namespace beamhill
