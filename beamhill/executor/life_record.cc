#include "beamhill/executor/life_record.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace beamhill {
namespace {

// Keeps a line well below the 4 KiB that a log line may have.
constexpr size_t kMostNames = 12;

}  // namespace

void LifeRecord::OnAnswered(TimePoint sent_at) {
  for (auto it = asked_.begin(); it != asked_.end();) {
    it = sent_at - it->second > kCrashWindow ? asked_.erase(it) : std::next(it);
  }
}

void LifeRecord::OnView(const RunnerView& view, TimePoint sent_at) {
  OnAnswered(sent_at);
  ended_ = view.ended;
  for (const RunEnd& end : ended_) asked_.erase(end.run);
  running_.clear();
  for (const RunningRun& running : view.running) running_.insert(running.run);
}

PastLife LifeRecord::Describe(const std::string& life, bool announced) const {
  PastLife past;
  past.life = life;
  past.announced = announced;
  past.ended = ended_;
  for (const auto& [run, asked_at] : asked_) past.just_begun.push_back(run);
  std::set_difference(running_.begin(), running_.end(), past.just_begun.begin(),
                      past.just_begun.end(), std::back_inserter(past.others));
  return past;
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
