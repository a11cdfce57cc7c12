#include "beamhill/executor/recent_starts.h"

#include <algorithm>
#include <cstddef>

namespace beamhill {
namespace {

// Keeps a line well below the 4 KiB that a log line may have.
constexpr size_t kMostNames = 12;

}  // namespace

void RecentStarts::OnHeard(TimePoint sent_at) {
  for (auto it = asked_.begin(); it != asked_.end();) {
    it = sent_at - it->second > kCrashWindow ? asked_.erase(it) : std::next(it);
  }
}

std::vector<RunRef> RecentStarts::Runs() const {
  std::vector<RunRef> runs;
  for (const auto& [run, asked_at] : asked_) runs.push_back(run);
  return runs;
}

std::string RunNames(const std::vector<RunRef>& runs) {
  std::string names;
  for (size_t i = 0; i < std::min(runs.size(), kMostNames); ++i) {
    if (i > 0) names += " ";
    names += runs[i].task.ToString() + "/" + std::to_string(runs[i].run);
  }
  if (runs.size() > kMostNames) {
    names += " and " + std::to_string(runs.size() - kMostNames) + " more";
  }
  return names.empty() ? "none" : names;
}

}  // namespace beamhill
