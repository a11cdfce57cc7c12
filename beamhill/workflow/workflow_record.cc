// WorkflowProgress: its stored record.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {
namespace {

// Upper bounds of the bytes of an encoded number, of the index of a task, and
// of the numbers and sizes that each part of a record begins with.
constexpr size_t kNumberBytes = 9;
constexpr size_t kIndexBytes = 5;
constexpr size_t kFrameBytes = 24;
// A larger record takes a bit for each task.
constexpr size_t kMaxBytesWithRanges = 10'000;
// 100,000 tasks take 12,500 bytes. Each run may be of another task and step.
static_assert(12'500 +
                  kMaxKeptRuns * (kFrameBytes + kFrameBytes + kNumberBytes) +
                  kFrameBytes <=
              kMaxProgressRecordBytes);

}  // namespace

size_t EncodedSizeBound(const ProgressRecord& record) {
  size_t bytes = kFrameBytes + record.done_bitmap.size();
  for (const StepRecord& step : record.steps) {
    bytes += kFrameBytes + step.done_ranges.size() * kIndexBytes;
    for (const auto* list : {&step.failures, &step.crashes}) {
      for (const StepRecord::RunsOfTask& task : *list) {
        bytes += kFrameBytes + task.runs.size() * kNumberBytes;
      }
    }
  }
  return bytes;
}

void WorkflowProgress::Restore(const ProgressRecord& record) {
  RestoreDone(record.done_bitmap);
  for (const StepRecord& stored : record.steps) {
    if (stored.round >= workflow_.rounds() ||
        stored.step >= workflow_.steps.size()) {
      continue;
    }
    std::vector<Task>& tasks = TasksOf(stored.round, stored.step);
    for (size_t i = 0; i + 1 < stored.done_ranges.size(); i += 2) {
      const uint32_t end = std::min<uint32_t>(
          stored.done_ranges[i + 1], static_cast<uint32_t>(tasks.size()));
      for (uint32_t index = stored.done_ranges[i]; index < end; ++index) {
        MarkDone({workflow_.id, stored.round, stored.step, index},
                 tasks[index]);
      }
    }
    for (const StepRecord::RunsOfTask& failed : stored.failures) {
      if (failed.index >= tasks.size()) continue;
      Task& task = tasks[failed.index];
      task.failed_runs = failed.runs;
      if (task.phase != Phase::kDone) kept_runs_ += failed.runs.size();
      for (const uint64_t run : failed.runs) task.run = std::max(task.run, run);
    }
    for (const StepRecord::RunsOfTask& crashed : stored.crashes) {
      if (crashed.index >= tasks.size()) continue;
      Task& task = tasks[crashed.index];
      task.crashed_runs = crashed.runs;
      if (task.phase != Phase::kDone) kept_runs_ += crashed.runs.size();
      for (const uint64_t run : crashed.runs) {
        task.run = std::max(task.run, run);
      }
    }
  }
  begun_ = record.state != WorkflowState::kQueued;
  state_ = record.state;
}

ProgressRecord WorkflowProgress::Record(uint64_t epoch) const {
  ProgressRecord record;
  record.opened_by_epoch = epoch;
  record.state = state_;
  if (state_ == WorkflowState::kCompleted ||
      state_ == WorkflowState::kCancelled) {
    return record;
  }
  const auto add_steps = [&](bool ranges) {
    for (uint32_t round = 0; round < workflow_.rounds(); ++round) {
      for (uint32_t step = 0; step < workflow_.steps.size(); ++step) {
        StepRecord stored = RecordStep(round, step, ranges);
        if (!stored.done_ranges.empty() || !stored.failures.empty() ||
            !stored.crashes.empty()) {
          record.steps.push_back(std::move(stored));
        }
      }
    }
  };
  add_steps(/*ranges=*/true);
  if (EncodedSizeBound(record) <= kMaxBytesWithRanges) return record;
  record.steps.clear();
  add_steps(/*ranges=*/false);
  record.done_bitmap = DoneBitmap();
  return record;
}

StepRecord WorkflowProgress::RecordStep(uint32_t round, uint32_t step,
                                        bool ranges) const {
  StepRecord stored;
  stored.round = round;
  stored.step = step;
  const std::vector<Task>& tasks = TasksOf(round, step);
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const bool done = tasks[i].phase == Phase::kDone;
    // Failures of tasks that are done have no effect on what is still to do.
    if (!tasks[i].failed_runs.empty() && (ranges || !done)) {
      stored.failures.push_back({i, tasks[i].failed_runs});
    }
    if (!done) {
      if (!tasks[i].crashed_runs.empty()) {
        stored.crashes.push_back({i, tasks[i].crashed_runs});
      }
      continue;
    }
    if (!ranges) continue;
    if (!stored.done_ranges.empty() && stored.done_ranges.back() == i) {
      ++stored.done_ranges.back();
    } else {
      stored.done_ranges.push_back(i);
      stored.done_ranges.push_back(i + 1);
    }
  }
  return stored;
}

std::string WorkflowProgress::DoneBitmap() const {
  std::string bitmap;
  size_t bit = 0;
  for (const std::vector<Task>& tasks : tasks_) {
    for (const Task& task : tasks) {
      if (bit % 8 == 0) bitmap.push_back('\0');
      if (task.phase == Phase::kDone) {
        bitmap.back() = static_cast<char>(bitmap.back() | (1 << (bit % 8)));
      }
      ++bit;
    }
  }
  return bitmap;
}

void WorkflowProgress::RestoreDone(const std::string& bitmap) {
  size_t bit = 0;
  for (uint32_t round = 0; round < workflow_.rounds(); ++round) {
    for (uint32_t step = 0; step < workflow_.steps.size(); ++step) {
      std::vector<Task>& tasks = TasksOf(round, step);
      for (uint32_t index = 0; index < tasks.size(); ++index, ++bit) {
        if (bit / 8 >= bitmap.size()) return;
        const auto byte = static_cast<unsigned char>(bitmap[bit / 8]);
        if ((byte >> (bit % 8) & 1) == 0) continue;
        MarkDone({workflow_.id, round, step, index}, tasks[index]);
      }
    }
  }
}

}  // namespace beamhill
