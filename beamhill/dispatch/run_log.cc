#include "beamhill/dispatch/run_log.h"

namespace beamhill {
namespace {

// Keeps lines below 4 KiB with VM names of the usual length.
constexpr size_t kMaxRunsPerLine = 60;

}  // namespace

void RunLog::Note(const char* event, const RunRef& run, const std::string& vm,
                  const std::string& note) {
  if (!hook_) return;
  const Key key{event, run.task.workflow, run.task.round, run.task.step, note};
  const auto known = line_of_.find(key);
  const bool fits = known != line_of_.end() &&
                    lines_[known->second].second.size() < kMaxRunsPerLine;
  if (!fits) {
    line_of_[key] = lines_.size();
    lines_.emplace_back(key, std::vector<LoggedRun>{});
  }
  lines_[line_of_[key]].second.push_back({run.task.index, run.run, vm});
}

void RunLog::Flush() {
  for (const auto& [key, entries] : lines_) {
    const auto& [event, workflow, round, step, note] = key;
    std::string detail = std::to_string(round) + "." + std::to_string(step);
    if (!note.empty()) detail += " " + note;
    detail += ":";
    for (const LoggedRun& entry : entries) {
      detail += " " + std::to_string(entry.index) + "/" +
                std::to_string(entry.run) + "@" + entry.vm;
    }
    hook_(workflow, event, detail);
  }
  lines_.clear();
  line_of_.clear();
}

}  // namespace beamhill
