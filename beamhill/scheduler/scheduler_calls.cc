// Scheduler's handling of calls: stores them directly or through the owner, and
// answers queries from the owner's state or the table.
#include <string>
#include <utility>

#include "beamhill/log/log.h"
#include "beamhill/scheduler/scheduler.h"

namespace beamhill {
namespace {

constexpr Duration kCancelRelayTimeout = std::chrono::milliseconds(700);
// Exceeds the time after which the owner's repository ends a submission.
constexpr Duration kSubmitRelayTimeout = std::chrono::milliseconds(2500);
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

void Scheduler::QueryOwner(Question question,
                           std::function<void(std::optional<Answer>)> done) {
  if (!followed_.peer || !followed_.peer->is_open()) {
    done(std::nullopt);
    return;
  }
  question.id = call_ids_.Next();
  owner_queries_.Add(question.id, kQuestionTimeout, std::move(done));
  followed_.peer->Send(question);
}

void Scheduler::NotifyOwner(const Workflow& workflow) {
  if (owner_) {
    owner_->OnWorkflowStored(workflow);
  } else {
    Notify(WorkflowStored{workflow}, workflow.id);
  }
}

void Scheduler::SubmitLocally(const Workflow& workflow,
                              std::function<void(SubmitResult)> done) {
  if (!ReserveMemory(workflow)) {
    RefuseUnlessStored(workflow.id, std::move(done));
    return;
  }
  repository_.Submit(workflow, [this, workflow, done](SubmitResult result) {
    ReleaseMemory(workflow.id, result == SubmitResult::kAccepted ||
                                   result == SubmitResult::kAlreadyStored);
    if (result == SubmitResult::kAccepted) NotifyOwner(workflow);
    if (result == SubmitResult::kAlreadyStored) {
      // Possibly by a transaction of this process whose answer was lost: the
      // owner reads the epoch under which it was stored.
      Workflow stored = workflow;
      stored.offered_to_epoch = 0;
      NotifyOwner(stored);
    }
    done(result);
  });
}

void Scheduler::RefuseUnlessStored(const std::string& workflow,
                                   std::function<void(SubmitResult)> done) {
  repository_.StoredState(
      workflow, [this, done = std::move(done)](const StateResult& stored) {
        if (!stored.answered) {
          done(SubmitResult::kUnknown);
        } else if (stored.state) {
          done(SubmitResult::kAlreadyStored);
        } else {
          ++refused_for_work_;
          done(SubmitResult::kResourceExhausted);
        }
      });
}

bool Scheduler::ReserveMemory(const Workflow& workflow) {
  if (owner_) return owner_->ReserveMemory(workflow);
  return unconfirmed_.Reserve(workflow.id, ProgressMemoryOf(workflow),
                              /*in_use=*/0);
}

void Scheduler::ReleaseMemory(const std::string& workflow, bool stored) {
  if (owner_ && !stored) owner_->ReleaseMemory(workflow);
  // Otherwise until the owner confirms its notice.
  if (owner_ || !stored) unconfirmed_.Release(workflow);
}

void Scheduler::CancelLocally(const std::string& workflow,
                              std::function<void(CancelResult)> done) {
  repository_.Cancel(workflow, [this, workflow, done](CancelResult result) {
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
  return followed_.peer && followed_.peer->is_open() &&
         followed_.table_responds;
}

OwnerReachability Scheduler::CheckOwnerReachability() const {
  const TimePoint now = BootClock::now();
  return {followed_.peer && followed_.peer->is_open(),
          now - followed_.heartbeat_at, now - followed_.table_answer_at};
}

void Scheduler::Submit(Workflow workflow,
                       std::function<void(SubmitResult)> done) {
  workflow.offered_to_epoch = keeper_->epoch();
  const uint64_t number = call_ids_.Next();
  OpenSubmission& submission = submissions_[number];
  submission.since = BootClock::now();
  submission.workflow = std::move(workflow);
  submission.done = std::move(done);
  AdvanceSubmission(number);
}

void Scheduler::AdvanceSubmission(uint64_t number) {
  const auto it = submissions_.find(number);
  if (it == submissions_.end()) return;
  const Duration waited = BootClock::now() - it->second.since;
  if (const auto route = it->second.call.Next(CheckOwnerReachability(), waited);
      route) {
    // May erase the submission.
    StartAttempt(number, *route);
    AdvanceSubmission(number);
    return;
  }
  const auto outcome = it->second.call.outcome();
  if (!outcome) return;
  const auto done = std::move(it->second.done);
  submissions_.erase(it);
  done(*outcome);
}

void Scheduler::AdvanceSubmissions(bool owner_lost) {
  std::vector<uint64_t> numbers;
  for (auto& [number, submission] : submissions_) {
    if (owner_lost) submission.call.OnOwnerLost();
    numbers.push_back(number);
  }
  for (const uint64_t number : numbers) AdvanceSubmission(number);
}

void Scheduler::StartAttempt(uint64_t number, SubmitRoute route) {
  const Workflow& workflow = submissions_.at(number).workflow;
  if (route == SubmitRoute::kLocal) {
    SubmitLocally(workflow, [this, number](SubmitResult result) {
      OnSubmitResult(number, SubmitRoute::kLocal, result);
    });
    return;
  }
  const uint64_t id = call_ids_.Next();
  submissions_.at(number).relay = id;
  Relay(id, RelayedSubmit{id, workflow}, kSubmitRelayTimeout,
        [this, number, id](std::optional<uint8_t> result) {
          const auto it = submissions_.find(number);
          // A result of an earlier owner does not apply to a later one.
          if (it == submissions_.end() || it->second.relay != id) return;
          OnSubmitResult(number, SubmitRoute::kOwner,
                         result ? static_cast<SubmitResult>(*result)
                                : SubmitResult::kUnknown);
        });
}

void Scheduler::OnSubmitResult(uint64_t number, SubmitRoute route,
                               SubmitResult result) {
  const auto it = submissions_.find(number);
  if (it == submissions_.end()) return;  // The other route ended it.
  it->second.call.OnResult(route, result);
  AdvanceSubmission(number);
}

// Both routes may be tried one after the other, whatever the first result: a
// repeated cancellation has no further effect.
void Scheduler::Cancel(const std::string& workflow,
                       std::function<void(CancelResult)> done) {
  const auto relay = [this, workflow, done] {
    const uint64_t id = call_ids_.Next();
    Relay(id, RelayedCancel{id, workflow}, kCancelRelayTimeout,
          [done](std::optional<uint8_t> result) {
            done(result ? static_cast<CancelResult>(*result)
                        : CancelResult::kUnknown);
          });
  };
  if (!TableResponds() && CanRelay()) {
    relay();
    return;
  }
  CancelLocally(workflow, [this, relay, done](CancelResult result) {
    if (result != CancelResult::kUnknown || !CanRelay()) {
      done(result);
    } else {
      relay();
    }
  });
}

void Scheduler::Relay(uint64_t id, const DispatchMessage& call,
                      Duration timeout,
                      std::function<void(std::optional<uint8_t>)> done) {
  relays_.Add(id, timeout, std::move(done));
  followed_.peer->Send(call);
}

void Scheduler::HandleRelay(LinkId link, const RelayedSubmit& call) {
  if (CheckWorkflow(call.workflow)) {
    SendRelayResult(link, call.id,
                    static_cast<uint8_t>(SubmitResult::kRefused));
    return;
  }
  Workflow workflow = call.workflow;
  workflow.offered_to_epoch = keeper_->epoch();
  SubmitLocally(workflow, [this, link, id = call.id](SubmitResult result) {
    SendRelayResult(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::HandleRelay(LinkId link, const RelayedCancel& call) {
  CancelLocally(call.workflow, [this, link, id = call.id](CancelResult result) {
    SendRelayResult(link, id, static_cast<uint8_t>(result));
  });
}

void Scheduler::SendRelayResult(LinkId link, uint64_t id, uint8_t result) {
  const auto peer = peers_.find(link);
  if (peer == peers_.end()) {
    Log(LogLevel::kInfo, "relay_result_undeliverable",
        {{"call", id}, {"result", static_cast<uint64_t>(result)}});
    return;
  }
  peer->second.link->Send(EncodeDispatch(RelayedResult{id, result}));
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
  QueryOwner(question, [this, workflow, done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done({true, answer->state});
      return;
    }
    repository_.StoredState(workflow, done);
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
  QueryOwner(question, [done](std::optional<Answer> answer) {
    if (answer && answer->known) {
      done(answer->waiting);
    } else {
      done(std::nullopt);
    }
  });
}

}  // namespace beamhill
