#include "beamhill/executor/incarnation_record.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace beamhill {
namespace {

// Keeps a log line well below its limit of 4 KiB.
constexpr size_t kMaxNames = 12;

}  // namespace

void IncarnationRecord::OnAnswered(TimePoint sent_at) {
  for (auto it = starts_.begin(); it != starts_.end();) {
    it =
        sent_at - it->second > kCrashWindow ? starts_.erase(it) : std::next(it);
  }
}

void IncarnationRecord::OnPollReply(RunnerView view, TimePoint sent_at) {
  OnAnswered(sent_at);
  for (const RunEnd& end : view.ended) starts_.erase(end.run);
  last_view_ = std::move(view);
}

PastIncarnation IncarnationRecord::Describe(const std::string& incarnation,
                                            bool announced) const {
  PastIncarnation past;
  past.incarnation = incarnation;
  past.announced = announced;
  past.ended = last_view_.ended;
  for (const auto& [run, at] : starts_) past.just_begun.push_back(run);
  for (const RunningRun& running : last_view_.running) {
    if (starts_.count(running.run) == 0) past.others.push_back(running.run);
  }
  return past;
}

std::string RunNames(const std::vector<RunRef>& runs) {
  std::string names;
  for (size_t i = 0; i < std::min(runs.size(), kMaxNames); ++i) {
    if (i > 0) names += " ";
    names += runs[i].task.ToString() + "/" + std::to_string(runs[i].run);
  }
  if (runs.size() > kMaxNames) {
    names += " and " + std::to_string(runs.size() - kMaxNames) + " more";
  }
  return names.empty() ? "none" : names;
}

}  // namespace beamhill
