// Dispatcher: follows the placement advisor, an external policy that allows
// only some runners for a step and issues tickets for them.
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Maximum number of runners per request: the advisor takes time for each.
constexpr size_t kRunnersPerRequest = 30;
// Delay after a request that was not answered, or that allowed no runner.
constexpr Duration kAdviceBackOff = std::chrono::milliseconds(400);

}  // namespace

// Returns whether the step's tasks may be placed now. If tickets are needed and
// no runner with room has a valid one, requests advice.
bool Dispatcher::HasAdvice(Job& job, const WorkflowProgress::OpenStep& open,
                           TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  if (!workflow.policy.needs_advice) return true;
  dispatch_internal::StepAdvice& advice = job.advice[{open.round, open.step}];
  std::vector<std::string> runners;
  for (const auto& [name, vm] : vms_) {
    if (FitObstacle(vm, name, job, workflow.steps[open.step], now) !=
        Obstacle::kNone) {
      continue;
    }
    if (dispatch_internal::TicketFor(job, open, vm.status.incarnation, now) !=
        nullptr) {
      return true;
    }
    if (runners.size() < kRunnersPerRequest) {
      runners.push_back(vm.status.incarnation);
    }
  }
  if (!advice.request_pending && now >= advice.retry_at && !runners.empty()) {
    advice.request_pending = true;
    advice_requests_.push_back(
        {{workflow.id, open.round, open.step, 0}, std::move(runners)});
  }
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
  const Duration ticket_lifetime =
      job->progress.workflow().policy.ticket_lifetime;
  for (const auto& [incarnation, text] : advice->tickets) {
    state.tickets[incarnation] = {text, now + ticket_lifetime};
  }
}

}  // namespace beamhill
