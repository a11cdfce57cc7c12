#include "beamhill/executor/stall_detector.h"

#include <algorithm>

namespace beamhill {
namespace {

// How long evidence must last.
constexpr Duration kMinStall = std::chrono::milliseconds(500);
constexpr uint64_t kMinPolls = 2;
// Under interference, tails are up to 15 times their target; in stalls they
// were 500 times it and more.
constexpr double kStallTailRatio = 50;
// Tails and CPU use cover the last half second, so measurements reflect a
// change only after this time.
constexpr Duration kMeasurementDelay = std::chrono::milliseconds(550);
// A run that uses more than this share of its requested CPU counts as active.
constexpr int64_t kActiveUsePercent = 5;
// In a stall, runs have used the CPU for this many percent of their work on
// average without gaining one. A run whose VM slows down to a sixth of its
// speed gains one after six at the latest, and one whose own work becomes seven
// times as expensive after seven.
constexpr double kMinLostPercent = 8;
// Limit for each run in that average, so that one run which makes no progress
// for reasons of its own does not outweigh the others.
constexpr double kMaxLostPercent = 12;
// Polls with normal tails that clear the state.
constexpr int kMinNormalPolls = 2;
constexpr int kDonePercent = 100;
// A run that is not listed this long after its start was sent, or after its
// bound was set, has not begun or is over.
constexpr Duration kUnlistedRetention = std::chrono::seconds(10);

// The likely moment of the state that the answer shows. It is later if the
// runner answered late, and earlier if it had an end to list and the answer was
// then handled late.
TimePoint StateTime(const StallPoll& poll) {
  return std::min(poll.answered_at, poll.sent_at + poll.wait);
}

}  // namespace

bool ExceedsInterference(const ServingSample& sample) {
  return sample.ratio() > kStallTailRatio;
}

bool StallDetector::NoteEnds(const std::vector<RunEnd>& ended) {
  bool progress = false;
  for (const RunEnd& end : ended) {
    // Ends are listed until they are acknowledged.
    if (end.kind != RunEndKind::kDone || end.number <= highest_done_) continue;
    highest_done_ = end.number;
    progress = true;
  }
  return progress;
}

bool StallDetector::NotePercent(RunState& run, int percent) const {
  if (percent <= run.percent) return false;
  if (!stalled()) {  // Else the CPU use since the last rise tells nothing.
    run.cpu_to_last_rise += run.cpu_since_last_rise;
    run.gained_percent += percent - run.percent;
  }
  run.cpu_since_last_rise = 0;
  run.percent = percent;
  return true;
}

void StallDetector::ObserveServing(const StallRow& row, const StallPoll& poll,
                                   const RunState& run, Sums& sums) {
  if (row.running->measurement <= 0) return;
  const bool high = ExceedsInterference(
      {"", std::chrono::milliseconds(row.running->measurement),
       row.tail_target});
  if (high) ++sums.high_samples;
  // A task that has not begun to serve may have a long tail without a stall.
  if (row.running->percent < kDonePercent) return;
  ++sums.serving;
  sums.all_samples_high = sums.all_samples_high && high;
  if (run.serving_since + kMeasurementDelay <= poll.sent_at) {
    ++sums.steady_samples;
  }
}

void StallDetector::ObserveFirstListing(const RunningRun& running,
                                        const StallPoll& poll,
                                        RunState& run) const {
  run.percent = running.percent;
  const auto start = starts_sent_.find(running.run);
  if (start == starts_sent_.end()) return;
  run.first_percent = running.percent;
  run.time_to_first_percent = poll.answered_at - start->second;
}

std::optional<double> StallDetector::LostPercent(const StallRow& row,
                                                 const RunState& run) {
  // Percentages are rounded down, so up to one percent of the gain may have
  // been made before it was first listed.
  const int gained = run.gained_percent + run.first_percent - 1;
  if (gained < 1) return std::nullopt;
  // No poll has measured the CPU use before the first listing, and the run may
  // have been paced since.
  const auto first_use =
      static_cast<double>(std::max(run.highest_measurement, row.cpu_millis));
  const double used =
      run.cpu_to_last_rise + first_use * ToMillis(run.time_to_first_percent);
  return used > 0 ? run.cpu_without_progress * gained / used : 0;
}

std::optional<bool> StallDetector::ExceedsBound(const RunRef& ref,
                                                const RunState& run) const {
  const auto bound = bounds_.find(ref);
  if (bound == bounds_.end()) return std::nullopt;
  const double cpu = kMillicoresPerCore * ToMillis(bound->second.cpu_time);
  return run.cpu_without_progress >= cpu;
}

void StallDetector::ObserveCpu(const StallRow& row, bool settled, bool rose,
                               const Elapsed& elapsed, RunState& run,
                               Sums& sums) const {
  const int64_t use = row.running->measurement;
  // CPU use is measured over half a second, so it may be of the time before a
  // change of the pace.
  if (!settled || rose) return;
  run.cpu_without_progress +=
      static_cast<double>(std::min(run.measurement, use)) *
      ToMillis(elapsed.at_least);
  run.time_without_progress += elapsed.at_least;
  const bool active =
      use > 0 && use * kDonePercent > row.cpu_millis * kActiveUsePercent;
  if (active) ++sums.active_runs;
  if (!active || row.running->percent >= kDonePercent) return;
  if (const std::optional<double> lost = LostPercent(row, run)) {
    sums.percent += std::min(*lost, kMaxLostPercent);
  } else if (const auto exceeds = ExceedsBound(row.running->run, run)) {
    ++sums.bounded_runs;
    if (*exceeds) sums.percent += kMinLostPercent;
  } else {
    return;
  }
  ++sums.runs;
  sums.longest = std::max(sums.longest, run.time_without_progress);
}

void StallDetector::ObserveRun(const StallRow& row, const StallPoll& poll,
                               const Elapsed& elapsed, Sums& sums) {
  const RunningRun& running = *row.running;
  const auto [it, added] = runs_.try_emplace(running.run);
  RunState& run = it->second;
  run.poll = polls_;
  const bool settled = poll.sent_at - row.pace_ordered_at >= kMeasurementDelay;
  if (added) {
    ObserveFirstListing(running, poll, run);
    starts_sent_.erase(running.run);
  } else {
    const int64_t use = std::max(run.measurement, running.measurement);
    run.cpu_since_last_rise +=
        static_cast<double>(use) * ToMillis(elapsed.at_most);
  }
  const bool rose = NotePercent(run, running.percent);
  sums.progress = sums.progress || rose;
  if (rose) {
    run.cpu_without_progress = 0;
    run.time_without_progress = Duration(0);
  }
  if (row.tail_target > Duration(0)) {
    if (running.percent >= kDonePercent) {
      run.serving_since = std::min(run.serving_since, poll.answered_at);
    }
    ObserveServing(row, poll, run, sums);
  } else {
    sums.may_progress = sums.may_progress || !row.paused;
    if (!added) ObserveCpu(row, settled, rose, elapsed, run, sums);
  }
  run.measurement = running.measurement;
  run.highest_measurement =
      std::max(run.highest_measurement, running.measurement);
}

void StallDetector::OnProgress() {
  const bool was_stalled = stalled();
  evidence_ = Evidence::kNone;
  polls_without_progress_ = 0;
  without_progress_ = Duration(0);
  polls_with_normal_tails_ = 0;
  tails_high_for_ = Duration(0);
  for (auto& [ref, run] : runs_) {
    run.cpu_without_progress = 0;
    run.time_without_progress = Duration(0);
    // CPU that was used during a stall is not part of what the work costs.
    if (was_stalled) run.cpu_since_last_rise = 0;
  }
}

void StallDetector::UpdateEvidence(const Sums& sums, const StallPoll& poll,
                                   const Elapsed& elapsed) {
  active_runs_ = sums.active_runs;
  judged_runs_ = sums.runs;
  const bool high =
      poll.warm && sums.steady_samples > 0 && sums.all_samples_high;
  if (sums.progress) {
    OnProgress();
    tails_high_ = high;
    return;
  }
  ++polls_without_progress_;
  without_progress_ =
      sums.active_runs > 0 ? without_progress_ + elapsed.at_least : Duration(0);
  tails_high_for_ =
      high && tails_high_ ? tails_high_for_ + elapsed.at_least : Duration(0);
  tails_high_ = high;
  const bool normal = sums.serving > 0 && sums.high_samples == 0;
  if (stalled()) {
    polls_with_normal_tails_ =
        normal && !sums.may_progress ? polls_with_normal_tails_ + 1 : 0;
    if (polls_with_normal_tails_ >= kMinNormalPolls) OnProgress();
    return;
  }
  if (polls_without_progress_ < kMinPolls) return;
  if (tails_high_for_ >= kMinStall) {
    evidence_ = Evidence::kTailLatencies;
  } else if (sums.bounded_runs > 0 && normal) {
    return;  // What is expected of runs may be wrong.
  } else if (sums.runs > 0 && sums.longest >= kMinStall &&
             sums.percent >= kMinLostPercent * sums.runs) {
    evidence_ = Evidence::kCpuWithoutProgress;
  }
}

void StallDetector::ForgetAbsentRuns(size_t listed) {
  if (runs_.size() == listed) return;
  for (auto it = runs_.begin(); it != runs_.end();) {
    if (it->second.poll == polls_) {
      ++it;
      continue;
    }
    bounds_.erase(it->first);
    it = runs_.erase(it);
  }
}

void StallDetector::OnStartSent(const RunRef& run, TimePoint now) {
  starts_sent_[run] = now;
}

void StallDetector::SetProgressBound(const RunRef& run, Duration cpu_time,
                                     TimePoint now) {
  bounds_[run] = {cpu_time, now};
}

void StallDetector::ForgetUnlistedRuns(TimePoint now) {
  for (auto it = starts_sent_.begin(); it != starts_sent_.end();) {
    const bool old = now - it->second >= kUnlistedRetention;
    it = old ? starts_sent_.erase(it) : std::next(it);
  }
  for (auto it = bounds_.begin(); it != bounds_.end();) {
    const bool old = now - it->second.set_at >= kUnlistedRetention;
    const bool listed = runs_.count(it->first) > 0;
    it = old && !listed ? bounds_.erase(it) : std::next(it);
  }
}

void StallDetector::Observe(const StallPoll& poll) {
  Sums sums;
  sums.progress = NoteEnds(*poll.ended);
  if (polls_ > 0 && poll.sent_at < sent_at_) {
    for (const StallRow& row : poll.rows) {
      const auto it = runs_.find(row.running->run);
      if (it == runs_.end()) continue;
      if (NotePercent(it->second, row.running->percent)) sums.progress = true;
    }
    if (sums.progress) OnProgress();
    return;
  }
  Elapsed elapsed;
  if (polls_ > 0) {
    // These differ after an answer that was late or was handled late.
    const Duration states = StateTime(poll) - state_at_;
    const Duration answers = poll.answered_at - answered_at_;
    elapsed = {std::max(std::min(states, answers), Duration(0)),
               std::max({states, answers, Duration(0)})};
  }
  ++polls_;
  state_at_ = StateTime(poll);
  sent_at_ = poll.sent_at;
  answered_at_ = poll.answered_at;
  for (const StallRow& row : poll.rows) ObserveRun(row, poll, elapsed, sums);
  ForgetAbsentRuns(poll.rows.size());
  ForgetUnlistedRuns(poll.answered_at);
  UpdateEvidence(sums, poll, elapsed);
}

}  // namespace beamhill
