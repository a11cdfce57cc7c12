#include "beamhill/dispatch/pending_stops.h"

#include <algorithm>

namespace beamhill {
namespace {

// Exceeds the time that a runner takes to stop a run and its executor to report
// the end.
constexpr Duration kRepeatInterval = std::chrono::seconds(1);

}  // namespace

void PendingStops::Add(const RunRef& run, TimePoint now) {
  stops_.emplace(run, Stop{now, std::nullopt, true});
}

void PendingStops::MakeAllDue() {
  for (auto& [run, stop] : stops_) stop.due = true;
}

std::vector<RunRef> PendingStops::Runs() const {
  std::vector<RunRef> runs;
  runs.reserve(stops_.size());
  for (const auto& [run, stop] : stops_) runs.push_back(run);
  return runs;
}

std::vector<DueStop> PendingStops::TakeDue(TimePoint now) {
  std::vector<DueStop> due;
  for (auto& [run, stop] : stops_) {
    const bool overdue = stop.sent_at && now - *stop.sent_at >= kRepeatInterval;
    if (!stop.due && !overdue) continue;
    due.push_back({run, stop.sent_at.has_value()});
    stop.due = false;
    stop.sent_at = now;
  }
  return due;
}

Duration PendingStops::OldestAge(TimePoint now) const {
  TimePoint first = now;
  for (const auto& [run, stop] : stops_) first = std::min(first, stop.since);
  return now - first;
}

}  // namespace beamhill
