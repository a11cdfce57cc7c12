// The part of Scheduler that takes calls: it stores them here or through the
// owner, and answers from what the owner knows or the table holds.
#include <string>
#include <utility>

#include "beamhill/scheduler/scheduler.h"

namespace beamhill {
namespace {

constexpr Duration kRelayTimeout = std::chrono::milliseconds(700);
constexpr Duration kQuestionTimeout = std::chrono::milliseconds(400);

}  // namespace

void Scheduler::AnswerQuestion(Link& link, const Question& question) {
  Answer answer;
  answer.id = question.id;
  if (owner_ && keeper_->MayAct()) {
    if (question.workflow.empty()) {
      const auto waiting = owner_->WaitingIn(question.queue);
      answer.known = waiting.has_value();
      answer.waiting = waiting.value_or(0);
    } else if (const auto state = owner_->StateOf(question.workflow); state) {
      answer.known = true;
      answer.state = *state;
    }
  }
  link.Send(EncodeDispatch(answer));
}

void Scheduler::Ask(Question question,
                    std::function<void(std::optional<Answer>)> done) {
  if (!owner_peer_ || !owner_peer_->is_open()) {
    done(std::nullopt);
    return;
  }
  question.id = next_call_++;
  questions_.Add(question.id, kQuestionTimeout, std::move(done));
  owner_peer_->Send(question);
}

void Scheduler::TellOwner(const Workflow& workflow) {
  if (owner_) {
    owner_->OnWorkflowStored(workflow);
  } else {
    Notify(WorkflowStored{workflow}, workflow.id);
  }
}

void Scheduler::SubmitHere(const Workflow& workflow,
                           std::function<void(SubmitResult)> done) {
  desk_.Submit(workflow, [this, workflow, done](SubmitResult result) {
    if (result == SubmitResult::kAccepted) TellOwner(workflow);
    done(result);
  });
}

void Scheduler::CancelHere(const std::string& workflow,
                           std::function<void(CancelResult)> done) {
  desk_.Cancel(workflow, [this, workflow, done](CancelResult result) {
    if (result == CancelResult::kCancelled) {
      if (owner_) {
        owner_->OnCancelStored(workflow);
      } else {
        Notify(CancelStored{workflow}, CancelKey(workflow));
      }
    }
    done(result);
  });
}

bool Scheduler::CanRelay() const {
  return owner_peer_ && owner_peer_->is_open() && owner_store_answers_;
}

SubmitResult Scheduler::AfterRelay(SubmitResult here,
                                   std::optional<uint8_t> relayed) {
  if (!relayed) return SubmitResult::kUnknown;
  const auto there = static_cast<SubmitResult>(*relayed);
  const bool unsure = here == SubmitResult::kUnknown;
  return there == SubmitResult::kRefused && unsure ? here : there;
}

// Either way of storing a submission or a cancellation may be tried after the
// other whatever became of it: both change nothing the second time.
void Scheduler::Submit(Workflow workflow,
                       std::function<void(SubmitResult)> done) {
  workflow.offered_to = keeper_->epoch();
  const auto relay = [this, workflow, done](SubmitResult here) {
    const uint64_t id = next_call_++;
    Relay(id, RelayedSubmit{id, workflow},
          [here, done](std::optional<uint8_t> result) {
            done(AfterRelay(here, result));
          });
  };
  if (!StoreAnswers() && CanRelay()) {
    relay(SubmitResult::kRefused);
    return;
  }
  SubmitHere(workflow, [this, relay, done](SubmitResult result) {
    const bool stored = result == SubmitResult::kAccepted ||
                        result == SubmitResult::kAlreadyStored;
    if (stored || !CanRelay()) {
      done(result);
    } else {
      relay(result);
    }
  });
}

void Scheduler::Cancel(const std::string& workflow,
                       std::function<void(CancelResult)> done) {
  const auto relay = [this, workflow, done] {
    const uint64_t id = next_call_++;
    Relay(id, RelayedCancel{id, workflow},
          [done](std::optional<uint8_t> result) {
            done(result ? static_cast<CancelResult>(*result)
                        : CancelResult::kUnknown);
          });
  };
  if (!StoreAnswers() && CanRelay()) {
    relay();
    return;
  }
  CancelHere(workflow, [this, relay, done](CancelResult result) {
    if (result != CancelResult::kUnknown || !CanRelay()) {
      done(result);
    } else {
      relay();
    }
  });
}

void Scheduler::Relay(uint64_t id, const DispatchMessage& call,
                      std::function<void(std::optional<uint8_t>)> done) {
  relays_.Add(id, kRelayTimeout, std::move(done));
  owner_peer_->Send(call);
}

void Scheduler::ServeRelay(Link* link, const RelayedSubmit& call) {
  Workflow workflow = call.workflow;
  workflow.offered_to = keeper_->epoch();
  SubmitHere(workflow, [this, link, id = call.id](SubmitResult result) {
    AnswerRelay(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::ServeRelay(Link* link, const RelayedCancel& call) {
  CancelHere(call.workflow, [this, link, id = call.id](CancelResult result) {
    AnswerRelay(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::AnswerRelay(Link* link, uint64_t id, uint8_t result) {
  if (peers_.count(link) == 0) return;  // It has gone meanwhile.
  link->Send(EncodeDispatch(RelayedResult{id, result}));
}

void Scheduler::StateOf(const std::string& workflow,
                        std::function<void(StateResult)> done) {
  if (owner_ && keeper_->MayAct()) {
    if (const auto state = owner_->StateOf(workflow); state) {
      done({true, state});
      return;
    }
  }
  Question question;
  question.workflow = workflow;
  Ask(question, [this, workflow, done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done({true, answer->state});
      return;
    }
    desk_.StoredState(workflow, done);
  });
}

void Scheduler::WaitingIn(const std::string& queue,
                          std::function<void(std::optional<uint64_t>)> done) {
  if (owner_ && owner_->loaded()) {
    done(owner_->WaitingIn(queue));
    return;
  }
  Question question;
  question.queue = queue;
  Ask(question, [done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done(answer->waiting);
    } else {
      done(std::nullopt);
    }
  });
}

}  // namespace beamhill
