#include "beamhill/scheduler/job_desk.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Transactions of submissions that may be open at a time. While answers come it
// is one, since the table takes those of one partition one after another; each
// whose answer is lost stays open until its time-out.
constexpr int kMostOpen = 5;
// After a refusal, doubled with each in a row.
constexpr Duration kFirstPause = std::chrono::milliseconds(100);
constexpr Duration kLongestPause = std::chrono::milliseconds(800);
// The latest end of a submission that was sent: callers wait for some seconds.
constexpr Duration kGiveUpAfter = std::chrono::milliseconds(2200);
// Each workflow takes three of a transaction's 100 entries (the condition that
// it is new, its row and its marker) and up to some kilobytes of its megabyte.
constexpr size_t kMaxBatch = 33;

// Whether the table has looked at the transaction.
bool IsServed(CommitResult result) {
  return result == CommitResult::kCommitted ||
         result == CommitResult::kConflict;
}

CancelResult CancelResultOf(CommitResult result) {
  switch (result) {
    case CommitResult::kCommitted:
      return CancelResult::kCancelled;
    case CommitResult::kConflict:
      // The workflow's row never changes, so it was forgotten meanwhile.
      return CancelResult::kNoSuchJob;
    default:
      return CancelResult::kUnknown;
  }
}

// The workflow that the row holds; nothing when the read failed, or there is
// no such row, or it can't be read.
std::optional<Workflow> WorkflowIn(const std::optional<Row>& row) {
  if (!row || row->version == 0) return std::nullopt;
  const Result<Workflow> workflow = DecodeRecord<Workflow>(row->value);
  if (!IsOk(workflow)) return std::nullopt;
  return ValueOf(workflow);
}

// The record that the row holds; nothing when there is none, or it can't be
// read.
std::optional<ProgressRecord> RecordIn(const Row& row) {
  if (row.version == 0) return std::nullopt;
  const Result<ProgressRecord> record = DecodeRecord<ProgressRecord>(row.value);
  if (!IsOk(record)) return std::nullopt;
  return ValueOf(record);
}

// The state of a stored workflow whose row of progress is this one.
WorkflowState StateIn(const Row& progress, bool cancelled) {
  const std::optional<ProgressRecord> record = RecordIn(progress);
  const WorkflowState state = record ? record->state : WorkflowState::kQueued;
  const bool over = state >= WorkflowState::kCompleted;
  return cancelled && !over ? WorkflowState::kCancelled : state;
}

}  // namespace

JobDesk::JobDesk(Table table, std::function<TimePoint()> now)
    : table_(std::move(table)), now_(std::move(now)) {}

void JobDesk::Submit(const Workflow& workflow,
                     std::function<void(SubmitResult)> done) {
  const auto same = [&](const auto& entry) {
    return entry.second.workflow.id == workflow.id;
  };
  const auto it = std::find_if(submissions_.begin(), submissions_.end(), same);
  if (it == submissions_.end() && table_silent_) {
    done(SubmitResult::kRefused);
    return;
  }
  const Number number =
      it == submissions_.end() ? Add(workflow) : Number{it->first};
  submissions_.at(number).done.push_back(std::move(done));
  const bool none_open = open_ == 0 && !table_silent_;
  if (none_open || MaySend()) SendWaiting();
}

JobDesk::Number JobDesk::Add(const Workflow& workflow) {
  submissions_[++last_number_].workflow = workflow;
  return last_number_;
}

std::vector<JobDesk::Number> JobDesk::Waiting() const {
  std::vector<Number> numbers;
  for (const auto& [number, submission] : submissions_) {
    numbers.push_back(number);
  }
  return numbers;
}

void JobDesk::SetTableSilent(bool silent) {
  table_silent_ = silent;
  if (!silent) return;
  for (const Number number : Waiting()) {
    if (submissions_.at(number).open == 0) FinishAsKnown(number);
  }
}

void JobDesk::Tick() {
  const TimePoint now = now_();
  for (const Number number : Waiting()) {
    const auto first_sent = submissions_.at(number).first_sent;
    const bool late = first_sent && now - *first_sent >= kGiveUpAfter;
    if (late) Finish(number, SubmitResult::kUnknown);
  }
  const bool overdue =
      open_ > 0 && now - last_sent_ >= answer_times_.ReplyTimeout();
  if (MaySend()) {
    SendWaiting();
  } else if (overdue && unanswered_ && !looking_ && !submissions_.empty()) {
    Look();
  }
}

bool JobDesk::MaySend() const {
  const TimePoint now = now_();
  if (table_silent_ || open_ >= kMostOpen || now < not_before_) return false;
  const bool timed_out =
      open_ == 0 && now - last_sent_ >= answer_times_.ReplyTimeout();
  return !unanswered_ || timed_out;
}

// Reads take no turn from writes, so that in a slow table this costs nothing;
// and nothing new is sent until something is answered, so that it can be
// refused truthfully if the table answers nobody.
void JobDesk::Look() {
  looking_ = true;
  const Number number = submissions_.begin()->first;
  ReadRow(rows::kWorkflows + submissions_.begin()->second.workflow.id,
          [this, number, sent_at = now_()](const std::optional<Row>& row) {
            looking_ = false;
            OnLook(number, sent_at, row);
          });
}

void JobDesk::OnLook(Number number, TimePoint sent_at,
                     const std::optional<Row>& row) {
  if (!row) return;
  const Duration took = now_() - sent_at;
  const bool lost = answer_times_.ImpliesLostReply(took);
  answer_times_.Add(took);
  const bool stored = row->version != 0;
  if (stored && submissions_.count(number) > 0) {
    Finish(number, SubmitResult::kAlreadyStored);
  }
  if (!lost || !unanswered_) return;
  unanswered_ = false;
  if (MaySend()) SendWaiting();
}

void JobDesk::SendWaiting() {
  std::vector<Number> batch;
  for (const auto& [number, submission] : submissions_) {
    if (batch.size() == kMaxBatch) break;
    batch.push_back(number);
  }
  if (!batch.empty()) Send(batch);
}

void JobDesk::Send(const std::vector<Number>& batch) {
  const TimePoint now = now_();
  Transaction transaction;
  for (const Number number : batch) {
    Submission& submission = submissions_.at(number);
    ++submission.open;
    if (!submission.first_sent) submission.first_sent = now;
    const Workflow& workflow = submission.workflow;
    transaction.writes.push_back(
        {rows::kWorkflows + workflow.id, 0, EncodeRecord(workflow)});
    transaction.writes.push_back(
        {rows::NewMarker(workflow.id), kAnyVersion, ""});
  }
  ++open_;
  unanswered_ = true;
  last_sent_ = now;
  table_.commit(std::move(transaction),
                lifetime_.Guard([this, batch, now](const CommitAnswer& answer) {
                  --open_;
                  OnSent(batch, now, answer);
                  if (MaySend()) SendWaiting();
                }));
}

void JobDesk::OnSent(const std::vector<Number>& batch, TimePoint sent_at,
                     const CommitAnswer& answer) {
  const CommitResult result = answer.result;
  if (IsServed(result)) {
    answer_times_.Add(now_() - sent_at);
    pause_ = Duration(0);
  }
  if (result == CommitResult::kNotApplied) {
    pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
    not_before_ = now_() + pause_;
  }
  if (result != CommitResult::kUnknown) unanswered_ = false;
  // Without those that another transaction has ended meanwhile.
  std::vector<Number> left;
  for (const Number number : batch) {
    const auto it = submissions_.find(number);
    if (it == submissions_.end()) continue;
    --it->second.open;
    left.push_back(number);
  }
  if (result == CommitResult::kConflict && batch.size() > 1) {
    OnBatchConflict(left, answer.current_rows);
    return;
  }
  for (const Number number : left) OnSentOne(number, result);
}

void JobDesk::OnBatchConflict(const std::vector<Number>& batch,
                              const std::vector<Row>& standing) {
  if (standing.empty()) {
    // Each by itself tells which.
    for (const Number number : batch) Send({number});
    return;
  }
  for (const Number number : batch) {
    const std::string key =
        rows::kWorkflows + submissions_.at(number).workflow.id;
    const bool stored =
        std::any_of(standing.begin(), standing.end(),
                    [&key](const Row& row) { return row.key == key; });
    if (stored) Finish(number, SubmitResult::kAlreadyStored);
  }
}

void JobDesk::OnSentOne(Number number, CommitResult result) {
  Submission& submission = submissions_.at(number);
  switch (result) {
    case CommitResult::kCommitted:
      Finish(number, SubmitResult::kAccepted);
      return;
    case CommitResult::kConflict:
      Finish(number, SubmitResult::kAlreadyStored);
      return;
    case CommitResult::kNotApplied:
      // One that an earlier transaction may have stored is tried again.
      if (submission.open == 0 && !submission.unsure) FinishAsKnown(number);
      return;
    case CommitResult::kUnknown:
      submission.unsure = true;
      if (table_silent_ && submission.open == 0) FinishAsKnown(number);
      return;
  }
}

void JobDesk::FinishAsKnown(Number number) {
  Finish(number, submissions_.at(number).unsure ? SubmitResult::kUnknown
                                                : SubmitResult::kRefused);
}

void JobDesk::Finish(Number number, SubmitResult result) {
  const auto done = std::move(submissions_.at(number).done);
  submissions_.erase(number);
  for (const auto& answer : done) answer(result);
}

void JobDesk::ReadRow(const std::string& key,
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

void JobDesk::Cancel(const std::string& workflow,
                     std::function<void(CancelResult)> done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, done](const std::optional<Row>& stored) {
            if (!stored) {
              done(CancelResult::kUnknown);
            } else if (stored->version == 0) {
              done(CancelResult::kNoSuchJob);
            } else {
              StoreCancel(workflow, stored->version, done);
            }
          });
}

void JobDesk::StoreCancel(const std::string& workflow, uint64_t version,
                          std::function<void(CancelResult)> done) {
  Transaction transaction;
  transaction.checks.push_back({rows::kWorkflows + workflow, version});
  transaction.writes.push_back({rows::kCancels + workflow, kAnyVersion, ""});
  transaction.writes.push_back({rows::CancelMarker(workflow), kAnyVersion, ""});
  table_.commit(std::move(transaction),
                lifetime_.Guard([done = std::move(done)](CommitAnswer answer) {
                  done(CancelResultOf(answer.result));
                }));
}

void JobDesk::Load(const std::string& workflow, LoadDone done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, done](const std::optional<Row>& row) {
            std::optional<Workflow> stored = WorkflowIn(row);
            if (!stored) {
              done(std::nullopt, std::nullopt);
              return;
            }
            LoadRecord(workflow, std::move(*stored), done);
          });
}

void JobDesk::LoadRecord(const std::string& id, Workflow workflow,
                         LoadDone done) {
  ReadRow(rows::kProgress + id,
          [workflow = std::move(workflow),
           done = std::move(done)](const std::optional<Row>& progress) {
            if (!progress) {
              done(std::nullopt, std::nullopt);
              return;
            }
            done(workflow, RecordIn(*progress));
          });
}

// Three reads, one after another: whether it is cancelled, whether it is
// stored, and how far it is.
void JobDesk::StoredState(const std::string& workflow, StateDone done) {
  ReadRow(rows::kCancels + workflow,
          [this, workflow, done](const std::optional<Row>& cancel) {
            if (!cancel) {
              done({false, std::nullopt});
              return;
            }
            StateIfStored(workflow, cancel->version != 0, done);
          });
}

void JobDesk::StateIfStored(const std::string& workflow, bool cancelled,
                            StateDone done) {
  ReadRow(rows::kWorkflows + workflow,
          [this, workflow, cancelled, done](const std::optional<Row>& stored) {
            if (!stored) {
              done({false, std::nullopt});
            } else if (stored->version == 0) {
              done({true, std::nullopt});
            } else {
              StateByProgress(workflow, cancelled, done);
            }
          });
}

void JobDesk::StateByProgress(const std::string& workflow, bool cancelled,
                              StateDone done) {
  ReadRow(rows::kProgress + workflow,
          [cancelled, done = std::move(done)](const std::optional<Row>& row) {
            if (!row) {
              done({false, std::nullopt});
              return;
            }
            done({true, StateIn(*row, cancelled)});
          });
}

}  // namespace beamhill
