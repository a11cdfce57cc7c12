#include "beamhill/workflow/workflow.h"

#include <algorithm>

namespace beamhill {
namespace {

// Limits that keep a single submission from exhausting an entry's memory.
constexpr uint32_t kMaxTasksPerStep = 10'000;
constexpr size_t kMaxSteps = 100;
constexpr uint32_t kMaxRounds = 1'000;
constexpr uint64_t kMaxTasksPerWorkflow = 100'000;

Error Invalid(const std::string& message) {
  return {ErrorCode::kInvalidArgument, message, "correct the workflow"};
}

std::optional<Error> CheckStep(const Workflow& workflow, size_t number) {
  const WorkflowStep& step = workflow.steps[number];
  const std::string name = "step " + std::to_string(number);
  if (step.tasks == 0 || step.tasks > kMaxTasksPerStep) {
    return Invalid(name + " must have 1 to " +
                   std::to_string(kMaxTasksPerStep) + " tasks");
  }
  if (step.each.cpu_millis < 0 || step.each.memory_mib < 0 ||
      step.each.accelerators < 0) {
    return Invalid(name + " requests a negative amount of a resource");
  }
  for (const uint32_t earlier : step.after) {
    if (earlier >= number) {
      return Invalid(name + " may only wait for earlier steps");
    }
  }
  return std::nullopt;
}

}  // namespace

std::string TaskRef::ToString() const {
  return workflow + "." + std::to_string(round) + "." + std::to_string(step) +
         "." + std::to_string(index);
}

std::optional<Error> CheckWorkflow(const Workflow& workflow) {
  if (workflow.steps.empty() || workflow.steps.size() > kMaxSteps) {
    return Invalid("a workflow must have 1 to " + std::to_string(kMaxSteps) +
                   " steps");
  }
  if (workflow.repetitions > kMaxRounds) {
    return Invalid("a workflow may have at most " + std::to_string(kMaxRounds) +
                   " repetitions");
  }
  uint64_t tasks = 0;
  for (size_t i = 0; i < workflow.steps.size(); ++i) {
    if (auto error = CheckStep(workflow, i)) return error;
    tasks += workflow.steps[i].tasks;
  }
  if (tasks * workflow.rounds() > kMaxTasksPerWorkflow) {
    return Invalid("a workflow may have at most " +
                   std::to_string(kMaxTasksPerWorkflow) +
                   " tasks over all rounds");
  }
  return std::nullopt;
}

size_t MemoryOf(const Workflow& workflow) {
  size_t bytes = sizeof(workflow) + workflow.id.size() + workflow.queue.size() +
                 workflow.service.size() + workflow.payload.size();
  for (const WorkflowStep& step : workflow.steps) {
    bytes += sizeof(step) + step.after.size() * sizeof(step.after[0]) +
             step.required_label.size() + step.preferred_rack.size() +
             step.image.size();
  }
  return bytes;
}

Duration CriticalPath(const Workflow& workflow,
                      const std::function<Duration(size_t step)>& step_time) {
  std::vector<Duration> ends(workflow.steps.size());
  Duration longest{};
  for (size_t i = 0; i < workflow.steps.size(); ++i) {
    Duration begin{};
    for (const uint32_t earlier : workflow.steps[i].after) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[i] = begin + step_time(i);
    longest = std::max(longest, ends[i]);
  }
  return longest;
}

}  // namespace beamhill
