#include "beamhill/scheduler/job_desk.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Transactions of submissions that may be open at a time. The store takes
// those of one part one after another, so that more only wait there.
constexpr int kMaxOpen = 1;
// Each workflow takes three of a transaction's 100 entries (the condition that
// it is new, its row and its marker) and up to some kilobytes of its megabyte.
constexpr size_t kMaxBatch = 33;

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

void JobDesk::Submit(const Workflow& workflow,
                     std::function<void(SubmitResult)> done) {
  if (table_silent_) {
    done(SubmitResult::kRefused);
    return;
  }
  waiting_.push_back({workflow, std::move(done)});
  SendWaiting();
}

void JobDesk::SetTableSilent(bool silent) {
  table_silent_ = silent;
  if (!silent) return;
  for (const Submission& submission : std::exchange(waiting_, {})) {
    submission.done(SubmitResult::kRefused);
  }
}

void JobDesk::SendWaiting() {
  while (!waiting_.empty() && open_ < kMaxOpen) {
    const size_t size = std::min(waiting_.size(), kMaxBatch);
    const auto end = waiting_.begin() + static_cast<std::ptrdiff_t>(size);
    std::vector<Submission> batch(waiting_.begin(), end);
    waiting_.erase(waiting_.begin(), end);
    Send(std::move(batch));
  }
}

void JobDesk::Send(std::vector<Submission> batch) {
  Transaction transaction;
  for (const Submission& submission : batch) {
    const Workflow& workflow = submission.workflow;
    transaction.writes.push_back(
        {rows::kWorkflows + workflow.id, 0, EncodeRecord(workflow)});
    transaction.writes.push_back(
        {rows::NewMarker(workflow.id), kAnyVersion, ""});
  }
  ++open_;
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, batch = std::move(batch)](CommitAnswer answer) {
        --open_;
        OnSent(batch, answer.result);
        SendWaiting();
      }));
}

void JobDesk::OnSent(const std::vector<Submission>& batch,
                     CommitResult result) {
  if (result == CommitResult::kConflict && batch.size() > 1) {
    // One of them is there already; each by itself tells which.
    for (const Submission& submission : batch) Send({submission});
    return;
  }
  for (const Submission& submission : batch) {
    switch (result) {
      case CommitResult::kCommitted:
        submission.done(SubmitResult::kAccepted);
        break;
      case CommitResult::kConflict:
        submission.done(SubmitResult::kAlreadyStored);
        break;
      case CommitResult::kNotApplied:
        submission.done(SubmitResult::kRefused);
        break;
      case CommitResult::kUnknown:
        submission.done(SubmitResult::kUnknown);
        break;
    }
  }
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
