// The part of Dispatcher that heeds a placement advisor: an outside policy
// that lets only some runners run a step, and hands out tickets for them.
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Runners that one question names: the advisor takes time for each.
constexpr size_t kAskedAtOnce = 30;
// After a question without an answer, or one that let nobody run the step.
constexpr Duration kAskAgain = std::chrono::milliseconds(400);
// A ticket is used only while so much of its time is left; an order takes a
// few milliseconds to its runner.
constexpr Duration kLeastTicket = std::chrono::milliseconds(150);

}  // namespace

const Dispatcher::Ticket* Dispatcher::TicketFor(
    const Job& job, const WorkflowProgress::OpenStep& open,
    const std::string& incarnation, TimePoint now) {
  const auto advice = job.advice.find({open.round, open.step});
  if (advice == job.advice.end()) return nullptr;
  const auto it = advice->second.tickets.find(incarnation);
  if (it == advice->second.tickets.end()) return nullptr;
  return it->second.until - now >= kLeastTicket ? &it->second : nullptr;
}

// Whether the step's tasks may be placed now. Where tickets are needed and no
// runner with room has a good one, asks for them.
bool Dispatcher::HasAdvice(Job& job, const WorkflowProgress::OpenStep& open,
                           TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  if (!workflow.policy.needs_advice) return true;
  StepAdvice& advice = job.advice[{open.round, open.step}];
  std::vector<std::string> without;
  for (const auto& [name, vm] : vms_) {
    if (!Fits(vm, name, job, workflow.steps[open.step], now)) continue;
    if (TicketFor(job, open, vm.status.incarnation, now) != nullptr) {
      return true;
    }
    if (without.size() < kAskedAtOnce) without.push_back(vm.status.incarnation);
  }
  if (!advice.asked && now >= advice.ask_after && !without.empty()) {
    advice.asked = true;
    advice_requests_.push_back(
        {{workflow.id, open.round, open.step, 0}, std::move(without)});
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
  StepAdvice& known = job->advice[{step.round, step.step}];
  known.asked = false;
  if (!advice || advice->tickets.empty()) known.ask_after = now + kAskAgain;
  Decide(step.workflow, "advice",
         step.ToString() + ": " +
             (advice ? std::to_string(advice->tickets.size()) + " runners"
                     : "none came"));
  if (!advice) return;
  const Duration life_of_ticket = job->progress.workflow().policy.ticket_life;
  for (const auto& [incarnation, text] : advice->tickets) {
    known.tickets[incarnation] = {text, now + life_of_ticket};
  }
}

}  // namespace beamhill
