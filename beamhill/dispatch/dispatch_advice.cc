// Dispatcher: follows the placement advisor, an external policy that allows
// only some runners for a step and issues tickets for them.
#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Maximum number of runners per request: the advisor takes time for each.
constexpr size_t kRunnersPerRequest = 30;
// Delay after a request that was not answered, or that allowed no runner.
constexpr Duration kAdviceBackOff = std::chrono::milliseconds(400);

bool HasWaitingTask(const WorkflowProgress& progress,
                    const WorkflowProgress::OpenStep& open) {
  const auto& tasks = progress.TasksOf(open.round, open.step);
  return std::any_of(tasks.begin(), tasks.end(), [](const auto& task) {
    return task.phase == WorkflowProgress::Phase::kWaiting;
  });
}

}  // namespace

// Returns whether the step's tasks may be placed now. If tickets are needed and
// no runner with room has a valid one, requests advice. What runners without
// room may do is asked for tasks that may have one reserved for them.
bool Dispatcher::HasAdvice(Job& job, const WorkflowProgress::OpenStep& open,
                           TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  if (!workflow.policy.needs_advice) return true;
  dispatch_internal::StepAdvice& advice = job.advice[{open.round, open.step}];
  const WorkflowStep& step = workflow.steps[open.step];
  const bool may_reserve =
      step.long_running && !step.gang && HasWaitingTask(job.progress, open);
  std::vector<std::string> runners;
  std::vector<std::string> refused;
  std::vector<std::string> without_room;
  for (const auto& [name, vm] : vms_) {
    const std::string& incarnation = vm.status.incarnation;
    if (FitObstacle(vm, name, job, step, now) != Obstacle::kNone) {
      if (may_reserve && advice.tickets.count(incarnation) == 0 &&
          advice.refused.count(incarnation) == 0 &&
          VmObstacle(vm, name, job, step, now) == Obstacle::kNone) {
        without_room.push_back(incarnation);
      }
      continue;
    }
    const Obstacle obstacle =
        dispatch_internal::StepObstacle(vm, job, open, now);
    if (obstacle == Obstacle::kNone) return true;
    if (obstacle == Obstacle::kPerVmLimit) continue;
    const bool in_vain = advice.refused.count(incarnation) > 0;
    (in_vain ? refused : runners).push_back(incarnation);
  }
  if (advice.request_pending || now < advice.retry_at) return false;
  if (runners.empty()) runners = std::move(without_room);
  // The advisor may have left out runners that it would allow.
  if (runners.empty()) runners = std::move(refused);
  if (runners.empty()) return false;
  runners.resize(std::min(runners.size(), kRunnersPerRequest));
  advice.request_pending = true;
  advice.asked = runners;
  advice_requests_.push_back(
      {{workflow.id, open.round, open.step, 0}, std::move(runners)});
  return false;
}

std::vector<AdviceRequest> Dispatcher::TakeAdviceRequests() {
  return std::exchange(advice_requests_, {});
}

void Dispatcher::OnAdvice(const TaskRef& step,
                          const std::optional<Advice>& advice, TimePoint now) {
  Job* job = Find(step.workflow);
  if (job == nullptr) return;
  dispatch_internal::StepAdvice& state = job->advice[{step.round, step.step}];
  state.request_pending = false;
  if (!advice || advice->tickets.empty()) state.retry_at = now + kAdviceBackOff;
  LogDecision(step.workflow, "advice",
              step.ToString() + ": " +
                  (advice ? std::to_string(advice->tickets.size()) + " runners"
                          : "no answer"));
  if (!advice) return;
  state.refused.insert(state.asked.begin(), state.asked.end());
  const Duration ticket_lifetime =
      job->progress.workflow().policy.ticket_lifetime;
  for (const auto& [incarnation, text] : advice->tickets) {
    state.tickets[incarnation] = {text, now + ticket_lifetime};
    state.refused.erase(incarnation);
  }
}

}  // namespace beamhill
