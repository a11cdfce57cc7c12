#include "beamhill/scheduler/job_repository.h"

#include <algorithm>
#include <utility>

#include "beamhill/scheduler/tombstone.h"

namespace beamhill {
namespace {

// Maximum number of open submission transactions. While answers arrive there is
// one, since the table processes the transactions of a partition one after
// another; one whose answer is lost stays open until its timeout.
constexpr int kMaxTransactions = 5;
// Delay after a refusal; doubles with each consecutive one.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);
// Latest end of a submission; callers wait for a few seconds.
constexpr Duration kSubmitTimeout = std::chrono::milliseconds(2200);
// After this long without any answer of the table, a read comes first. A read
// takes a few milliseconds, and what was not sent can still be refused.
constexpr Duration kMaxUncheckedSilence = std::chrono::milliseconds(300);
// Each workflow takes three of a transaction's 100 entries (the condition that
// its row does not exist, the row and its marker).
constexpr size_t kMaxBatch = 33;
// Of a batch's workflows in memory. In base64 their rows have at most four
// thirds of it; a transaction has a megabyte.
constexpr size_t kMaxBatchBytes = 500 * 1000;
// Memory of the pending submissions, of which a few copies exist.
constexpr size_t kMaxPendingBytes = 8 * 1000 * 1000;
// Of a caller that waits for the outcome.
constexpr size_t kCallbackBytes = 256;
// A workflow's row changes at most twice while a cancellation is under way: the
// workflow is stored, or forgotten and replaced by a tombstone.
constexpr int kMaxCancelAttempts = 4;

// Whether the table evaluated the transaction.
bool WasEvaluated(CommitResult result) {
  return result == CommitResult::kCommitted ||
         result == CommitResult::kConflict;
}

// Stores a cancellation of a workflow whose row has this version.
Transaction WriteCancellation(const std::string& workflow, uint64_t version) {
  Transaction transaction;
  transaction.checks.push_back({rows::kWorkflows + workflow, version});
  transaction.writes.push_back({rows::kCancels + workflow, kAnyVersion, ""});
  transaction.writes.push_back({rows::CancelMarker(workflow), kAnyVersion, ""});
  return transaction;
}

bool IsWorkflow(const Row& row) {
  return row.version != 0 && !IsTombstone(row);
}

// Decodes a workflow row; nullopt if the read failed, the row does not exist or
// it can't be decoded.
std::optional<Workflow> ParseWorkflowRow(const std::optional<Row>& row) {
  if (!row || !IsWorkflow(*row)) return std::nullopt;
  const Result<Workflow> workflow = DecodeRecord<Workflow>(row->value);
  if (!IsOk(workflow)) return std::nullopt;
  return ValueOf(workflow);
}

// Decodes a progress row; nullopt if it does not exist or can't be decoded.
std::optional<ProgressRecord> ParseProgressRow(const Row& row) {
  if (row.version == 0) return std::nullopt;
  const Result<ProgressRecord> record = DecodeRecord<ProgressRecord>(row.value);
  if (!IsOk(record)) return std::nullopt;
  return ValueOf(record);
}

// Returns the state of a stored workflow with this progress row.
WorkflowState StateFromRow(const Row& progress, bool cancelled) {
  const std::optional<ProgressRecord> record = ParseProgressRow(progress);
  const WorkflowState state = record ? record->state : WorkflowState::kQueued;
  const bool ended = state >= WorkflowState::kCompleted;
  return cancelled && !ended ? WorkflowState::kCancelled : state;
}

}  // namespace

JobRepository::JobRepository(Table table, std::function<TimePoint()> now,
                             std::function<Duration()> table_silence)
    : table_(std::move(table)),
      now_(std::move(now)),
      table_silence_(std::move(table_silence)) {}

void JobRepository::Submit(const Workflow& workflow,
                           std::function<void(SubmitResult)> done) {
  if (EncodeRecord(workflow).size() > table_.max_value_bytes) {
    done(SubmitResult::kTooLarge);
    return;
  }
  const auto it = FindSubmission(workflow.id);
  if (it == submissions_.end() && table_down_) {
    done(SubmitResult::kRefused);
    return;
  }
  const size_t bytes =
      kCallbackBytes + (it == submissions_.end() ? MemoryOf(workflow) : 0);
  if (!HasRoomFor(bytes)) {
    ++refused_for_memory_;
    // The submission that is pending under this id may be stored.
    done(it == submissions_.end() ? SubmitResult::kRefused
                                  : SubmitResult::kUnknown);
    return;
  }
  const Number number =
      it == submissions_.end() ? Add(workflow) : Number{it->first};
  AddCallback(submissions_.at(number), std::move(done));
  const bool none_open = open_ == 0 && !table_down_;
  if (CanSend() || (none_open && TableResponds())) SendPending();
  if (CheckDue()) CheckStored();
}

bool JobRepository::HasRoomFor(size_t bytes) const {
  return submissions_.empty() || pending_bytes_ + bytes <= kMaxPendingBytes;
}

void JobRepository::AddCallback(Submission& submission,
                                std::function<void(SubmitResult)> done) {
  submission.done.push_back(std::move(done));
  submission.bytes += kCallbackBytes;
  pending_bytes_ += kCallbackBytes;
}

JobRepository::Number JobRepository::Add(const Workflow& workflow) {
  Submission& submission = submissions_[++last_number_];
  submission.workflow = workflow;
  submission.bytes = MemoryOf(workflow);
  pending_bytes_ += submission.bytes;
  submission.added_at = now_();
  return last_number_;
}

std::map<JobRepository::Number, JobRepository::Submission>::iterator
JobRepository::FindSubmission(const std::string& workflow) {
  return std::find_if(submissions_.begin(), submissions_.end(),
                      [&workflow](const auto& entry) {
                        return entry.second.workflow.id == workflow;
                      });
}

std::vector<JobRepository::Number> JobRepository::PendingSubmissions() const {
  std::vector<Number> numbers;
  for (const auto& [number, submission] : submissions_) {
    numbers.push_back(number);
  }
  return numbers;
}

void JobRepository::SetTableDown(bool down) {
  table_down_ = down;
  if (!down) return;
  for (const Number number : PendingSubmissions()) {
    if (submissions_.at(number).open == 0) FinishIdle(number);
  }
}

void JobRepository::Tick() {
  const TimePoint now = now_();
  for (const Number number : PendingSubmissions()) {
    const Submission& submission = submissions_.at(number);
    if (!IsExpired(submission)) continue;
    Finish(number, submission.first_sent_at ? SubmitResult::kUnknown
                                            : SubmitResult::kRefused);
  }
  const bool overdue =
      open_ > 0 && now - last_sent_ >= answer_times_.ReplyTimeout();
  if (CanSend()) {
    SendPending();
  } else if (overdue && awaiting_answer_ && !check_in_flight_ &&
             !submissions_.empty()) {
    CheckStored();
  }
  if (CheckDue()) CheckStored();
}

bool JobRepository::IsExpired(const Submission& submission) const {
  const TimePoint since =
      submission.first_sent_at.value_or(submission.added_at);
  return now_() - since >= kSubmitTimeout;
}

bool JobRepository::TableResponds() const {
  return !awaiting_answer_ && table_silence_() < kMaxUncheckedSilence;
}

bool JobRepository::CheckDue() const {
  // A lost read has no answer until its call times out, so the next one does
  // not wait for it.
  const bool awaiting_open = open_ > 0 && awaiting_answer_;
  return !awaiting_open && !table_down_ && !TableResponds() &&
         !submissions_.empty() &&
         now_() - last_check_ >= answer_times_.ReplyTimeout();
}

bool JobRepository::CanSend() const {
  const TimePoint now = now_();
  if (table_down_ || open_ >= kMaxTransactions || now < retry_at_) return false;
  const bool timed_out =
      open_ == 0 && now - last_sent_ >= answer_times_.ReplyTimeout();
  return !awaiting_answer_ || timed_out;
}

// Reads do not queue behind writes, so this adds no load to a slow table. No
// new transaction is sent until something is answered, so that pending
// submissions can still be refused if the table proves to be down.
void JobRepository::CheckStored() {
  check_in_flight_ = true;
  last_check_ = now_();
  const Number number = submissions_.begin()->first;
  ReadRow(rows::kWorkflows + submissions_.begin()->second.workflow.id,
          [this, number, sent_at = now_()](const std::optional<Row>& row) {
            check_in_flight_ = false;
            OnStoredCheck(number, sent_at, row);
          });
}

void JobRepository::OnStoredCheck(Number number, TimePoint sent_at,
                                  const std::optional<Row>& row) {
  if (!row) return;
  const Duration latency = now_() - sent_at;
  const bool lost = answer_times_.ImpliesLostReply(latency);
  answer_times_.Add(latency);
  const bool exists = row->version != 0;
  if (exists && submissions_.count(number) > 0) FinishByRow(number, *row);
  // Unless the answer of an open transaction is awaited, any answer shows that
  // the table responds.
  if (open_ > 0 && awaiting_answer_ && !lost) return;
  awaiting_answer_ = false;
  if (CanSend()) SendPending();
}

void JobRepository::SendPending() {
  // If a transaction is lost in an outage, everything in it is of unknown
  // outcome, and callers can't retry that. So what was never sent waits until
  // the table responds.
  const bool responds = TableResponds();
  std::vector<Number> batch;
  size_t bytes = 0;
  for (const auto& [number, submission] : submissions_) {
    if (batch.size() == kMaxBatch) break;
    if (IsExpired(submission)) continue;  // Ended by the next Tick().
    if (!responds && !submission.first_sent_at) continue;
    bytes += submission.bytes;
    if (bytes > kMaxBatchBytes && !batch.empty()) break;
    batch.push_back(number);
  }
  if (!batch.empty()) Send(batch);
}

void JobRepository::Send(const std::vector<Number>& batch) {
  const TimePoint now = now_();
  Transaction transaction;
  for (const Number number : batch) {
    Submission& submission = submissions_.at(number);
    ++submission.open;
    if (!submission.first_sent_at) submission.first_sent_at = now;
    const Workflow& workflow = submission.workflow;
    transaction.writes.push_back(
        {rows::kWorkflows + workflow.id, 0, EncodeRecord(workflow)});
    transaction.writes.push_back(
        {rows::NewMarker(workflow.id), kAnyVersion, ""});
  }
  ++open_;
  awaiting_answer_ = true;
  last_sent_ = now;
  table_.commit(std::move(transaction),
                lifetime_.Guard([this, batch, now](const CommitAnswer& answer) {
                  --open_;
                  OnBatchAnswer(batch, now, answer);
                  if (CanSend()) SendPending();
                }));
}

void JobRepository::OnBatchAnswer(const std::vector<Number>& batch,
                                  TimePoint sent_at,
                                  const CommitAnswer& answer) {
  const CommitResult result = answer.result;
  if (WasEvaluated(result)) {
    answer_times_.Add(now_() - sent_at);
    retry_delay_ = Duration(0);
  }
  if (result == CommitResult::kNotApplied) {
    retry_delay_ = std::clamp(retry_delay_ * 2, kMinRetryDelay, kMaxRetryDelay);
    retry_at_ = now_() + retry_delay_;
  }
  if (result != CommitResult::kUnknown) awaiting_answer_ = false;
  // Excludes submissions that another transaction has ended meanwhile.
  std::vector<Number> remaining;
  for (const Number number : batch) {
    const auto it = submissions_.find(number);
    if (it == submissions_.end()) continue;
    --it->second.open;
    remaining.push_back(number);
  }
  if (result == CommitResult::kConflict) {
    OnConflict(remaining, answer.current_rows,
               /*sent_alone=*/batch.size() == 1);
    return;
  }
  for (const Number number : remaining) OnSubmissionAnswer(number, result);
}

void JobRepository::OnConflict(const std::vector<Number>& batch,
                               const std::vector<Row>& current_rows,
                               bool sent_alone) {
  for (const Number number : batch) {
    const std::string key =
        rows::kWorkflows + submissions_.at(number).workflow.id;
    const auto row =
        std::find_if(current_rows.begin(), current_rows.end(),
                     [&key](const Row& r) { return r.key == key; });
    if (row != current_rows.end()) {
      FinishByRow(number, *row);
    } else if (sent_alone) {
      Finish(number, SubmitResult::kUnknown);
    } else if (current_rows.empty()) {
      Send({number});
    }
  }
}

void JobRepository::OnSubmissionAnswer(Number number, CommitResult result) {
  Submission& submission = submissions_.at(number);
  switch (result) {
    case CommitResult::kCommitted:
      Finish(number, SubmitResult::kAccepted);
      return;
    case CommitResult::kConflict:
      return;  // See OnConflict().
    case CommitResult::kNotApplied:
      // A submission that an earlier transaction may have stored is sent again.
      if (submission.open == 0 && !submission.may_be_stored) FinishIdle(number);
      return;
    case CommitResult::kUnknown:
      submission.may_be_stored = true;
      if (table_down_ && submission.open == 0) FinishIdle(number);
      return;
  }
}

void JobRepository::FinishIdle(Number number) {
  Finish(number, submissions_.at(number).may_be_stored
                     ? SubmitResult::kUnknown
                     : SubmitResult::kRefused);
}

void JobRepository::FinishByRow(Number number, const Row& row) {
  Finish(number, IsTombstone(row) ? SubmitResult::kCancelled
                                  : SubmitResult::kAlreadyStored);
}

void JobRepository::FinishCancelled(const std::string& workflow) {
  const auto it = FindSubmission(workflow);
  if (it != submissions_.end()) Finish(it->first, SubmitResult::kCancelled);
}

void JobRepository::Finish(Number number, SubmitResult result) {
  pending_bytes_ -= submissions_.at(number).bytes;
  const auto done = std::move(submissions_.at(number).done);
  submissions_.erase(number);
  for (const auto& answer : done) answer(result);
}

void JobRepository::ReadRow(const std::string& key,
                            std::function<void(std::optional<Row>)> done) {
  table_.read(
      {key},
      lifetime_.Guard([done = std::move(done)](Result<std::vector<Row>> rows) {
        if (!IsOk(rows)) {
          done(std::nullopt);
          return;
        }
        done(std::move(ValueOf(rows).front()));
      }));
}

void JobRepository::Cancel(const std::string& workflow,
                           std::function<void(CancelResult)> done) {
  TryCancel(workflow, kMaxCancelAttempts, std::move(done));
}

void JobRepository::TryCancel(const std::string& workflow, int attempts,
                              std::function<void(CancelResult)> done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, attempts, done](const std::optional<Row>& row) {
            if (row) {
              StoreCancel(workflow, *row, attempts, done);
            } else {
              done(CancelResult::kUnknown);
            }
          });
}

void JobRepository::StoreCancel(const std::string& workflow, const Row& row,
                                int attempts,
                                std::function<void(CancelResult)> done) {
  const bool stored = IsWorkflow(row);
  const auto on_answer = [this, workflow, stored, attempts,
                          done](const CommitAnswer& answer) {
    if (answer.result == CommitResult::kConflict && attempts > 1) {
      TryCancel(workflow, attempts - 1, done);
      return;
    }
    if (answer.result != CommitResult::kCommitted) {
      done(CancelResult::kUnknown);
      return;
    }
    if (!stored) FinishCancelled(workflow);
    done(stored ? CancelResult::kCancelled : CancelResult::kNoSuchJob);
  };
  table_.commit(stored ? WriteCancellation(workflow, row.version)
                       : WriteTombstone(workflow, row.version),
                lifetime_.Guard(on_answer));
}

void JobRepository::Load(const std::string& workflow, LoadDone done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, done](const std::optional<Row>& row) {
            std::optional<Workflow> stored = ParseWorkflowRow(row);
            if (!stored) {
              done(std::nullopt, std::nullopt);
              return;
            }
            LoadRecord(workflow, std::move(*stored), done);
          });
}

void JobRepository::LoadRecord(const std::string& id, Workflow workflow,
                               LoadDone done) {
  ReadRow(rows::kProgress + id,
          [workflow = std::move(workflow),
           done = std::move(done)](const std::optional<Row>& progress) {
            if (!progress) {
              done(std::nullopt, std::nullopt);
              return;
            }
            done(workflow, ParseProgressRow(*progress));
          });
}

// Reads three rows in sequence: the cancellation, the workflow and its
// progress.
void JobRepository::StoredState(const std::string& workflow, StateDone done) {
  ReadRow(rows::kCancels + workflow,
          [this, workflow, done](const std::optional<Row>& cancel) {
            if (!cancel) {
              done({false, std::nullopt});
              return;
            }
            ReadStateIfStored(workflow, cancel->version != 0, done);
          });
}

void JobRepository::ReadStateIfStored(const std::string& workflow,
                                      bool cancelled, StateDone done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, cancelled, done](const std::optional<Row>& stored) {
            if (!stored) {
              done({false, std::nullopt});
            } else if (!IsWorkflow(*stored)) {
              done({true, std::nullopt});
            } else {
              ReadProgressState(workflow, cancelled, done);
            }
          });
}

void JobRepository::ReadProgressState(const std::string& workflow,
                                      bool cancelled, StateDone done) {
  ReadRow(rows::kProgress + workflow,
          [cancelled, done = std::move(done)](const std::optional<Row>& row) {
            if (!row) {
              done({false, std::nullopt});
              return;
            }
            done({true, StateFromRow(*row, cancelled)});
          });
}

}  // namespace beamhill
