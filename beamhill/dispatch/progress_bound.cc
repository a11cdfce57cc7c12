#include "beamhill/dispatch/progress_bound.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beamhill {
namespace {

// Tasks of a step differ by a factor of 7, VMs by one of 6: together they stay
// below the 125 that this allows.
constexpr double kRunsPerPercent = 1.25;
// Away from the rack of its data a task takes up to three times as long, and
// the measured ones may have been there.
constexpr double kAwayFromDataFactor = 3;
// Allows for the restoration of a checkpoint and for small tasks.
constexpr Duration kMinTime = std::chrono::seconds(1);
// Allows for an expected run time that is wrong by a factor of 100 on a VM that
// is slow by a factor of 6.
constexpr double kExpectedRunsPerPercent = 10;
constexpr Duration kMinTimeByExpectation = std::chrono::seconds(8);
// Allows for one that is wrong by a factor of 10 on such a VM, or by one of 100
// on another VM.
constexpr double kReliableRunsPerPercent = 1.5;
// A task that has not progressed on another VM either is longer than expected.
constexpr double kFactorPerMove = 8;
constexpr uint32_t kMaxMovesCounted = 3;

Duration Multiply(Duration time, double factor) {
  return std::chrono::duration_cast<Duration>(time * factor);
}

uint32_t MostMoves(const WorkflowProgress& progress, uint32_t step) {
  uint32_t most = 0;
  for (uint32_t round = 0; round < progress.workflow().rounds(); ++round) {
    for (const WorkflowProgress::Task& task : progress.TasksOf(round, step)) {
      most = std::max(most, task.stall_moves);
    }
  }
  return most;
}

Duration MaxTimeByExpectation(const WorkflowProgress& progress, uint32_t step,
                              bool reliable) {
  const uint32_t moves = std::min(MostMoves(progress, step), kMaxMovesCounted);
  const double factor = std::pow(kFactorPerMove, moves);
  const Duration expected = progress.ExpectedRun(step);
  return reliable
             ? std::max(Multiply(expected, kReliableRunsPerPercent * factor),
                        kMinTime)
             : std::max(Multiply(expected, kExpectedRunsPerPercent * factor),
                        kMinTimeByExpectation);
}

void AppendOverdueRuns(const WorkflowProgress& progress, uint32_t round,
                       uint32_t step, Duration max_time, TimePoint now,
                       std::vector<OverdueRun>& overdue) {
  const Workflow& workflow = progress.workflow();
  const int64_t cpu_millis = workflow.steps[step].each.cpu_millis;
  const Duration cpu =
      Multiply(max_time, static_cast<double>(cpu_millis) / kMillicoresPerCore);
  const auto& tasks = progress.TasksOf(round, step);
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const WorkflowProgress::Task& task = tasks[i];
    if (task.phase != WorkflowProgress::Phase::kHeld) continue;
    if (now - task.held_since < max_time) continue;
    overdue.push_back(
        {{{workflow.id, round, step, i}, task.run}, task.vm, cpu});
  }
}

}  // namespace

std::optional<Duration> MaxTimePerPercent(const WorkflowProgress& progress,
                                          uint32_t step, bool reliable) {
  const WorkflowStep& spec = progress.workflow().steps[step];
  if (spec.long_running || spec.gang) return std::nullopt;
  if (const auto longest = progress.LongestMeasuredRun(step)) {
    const double away = spec.preferred_rack.empty() ? 1 : kAwayFromDataFactor;
    return std::max(Multiply(*longest, kRunsPerPercent * away), kMinTime);
  }
  if (progress.ExpectedRun(step) <= Duration(0)) return std::nullopt;
  return MaxTimeByExpectation(progress, step, reliable);
}

std::vector<OverdueRun> FindOverdueRuns(const WorkflowProgress& progress,
                                        bool reliable, TimePoint now) {
  std::vector<OverdueRun> overdue;
  const Workflow& workflow = progress.workflow();
  for (uint32_t step = 0; step < workflow.steps.size(); ++step) {
    std::optional<Duration> max_time;
    for (uint32_t round = 0; round < workflow.rounds(); ++round) {
      if (progress.StepDone(round, step)) continue;
      if (!max_time) max_time = MaxTimePerPercent(progress, step, reliable);
      if (!max_time) break;
      AppendOverdueRuns(progress, round, step, *max_time, now, overdue);
    }
  }
  return overdue;
}

}  // namespace beamhill
