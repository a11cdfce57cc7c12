#include "beamhill/scheduler/job_desk.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Transactions of submissions that may be open at a time. The store takes
// those of one part one after another, so that more only wait there.
constexpr int kMaxOpen = 1;
// Each workflow takes two of a transaction's 100 entries and up to some
// kilobytes of its megabyte.
constexpr size_t kMaxBatch = 40;

}  // namespace

namespace rows {

std::string NewMarker(const std::string& workflow) {
  return std::string(kArrivals) + "n-" + workflow;
}

std::string CancelMarker(const std::string& workflow) {
  return std::string(kArrivals) + "c-" + workflow;
}

}  // namespace rows

void JobDesk::Submit(const Workflow& workflow,
                     std::function<void(SubmitResult)> done) {
  waiting_.push_back({workflow, std::move(done)});
  SendWaiting();
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

void JobDesk::Cancel(const std::string& workflow,
                     std::function<void(CancelResult)> done) {
  const std::string key = rows::kWorkflows + workflow;
  table_.read({key}, lifetime_.Guard([this, workflow, key,
                                      done](Result<std::vector<Row>> found) {
    if (!IsOk(found)) {
      done(CancelResult::kUnknown);
      return;
    }
    const uint64_t version = ValueOf(found).front().version;
    if (version == 0) {
      done(CancelResult::kNoSuchJob);
      return;
    }
    Transaction transaction;
    transaction.checks.push_back({key, version});
    transaction.writes.push_back({rows::kCancels + workflow, kAnyVersion, ""});
    transaction.writes.push_back(
        {rows::CancelMarker(workflow), kAnyVersion, ""});
    table_.commit(std::move(transaction),
                  lifetime_.Guard([done](CommitAnswer answer) {
                    if (answer.result == CommitResult::kCommitted) {
                      done(CancelResult::kCancelled);
                    } else if (answer.result == CommitResult::kConflict) {
                      // Its row never changes, so it was forgotten meanwhile.
                      done(CancelResult::kNoSuchJob);
                    } else {
                      done(CancelResult::kUnknown);
                    }
                  }));
  }));
}

void JobDesk::Load(
    const std::string& workflow,
    std::function<void(std::optional<Workflow>, std::optional<ProgressRecord>)>
        done) {
  table_.read(
      {rows::kWorkflows + workflow},
      lifetime_.Guard([this, workflow, done](Result<std::vector<Row>> found) {
        if (!IsOk(found) || ValueOf(found).front().version == 0) {
          done(std::nullopt, std::nullopt);
          return;
        }
        Result<Workflow> stored =
            DecodeRecord<Workflow>(ValueOf(found).front().value);
        if (!IsOk(stored)) {
          done(std::nullopt, std::nullopt);
          return;
        }
        table_.read({rows::kProgress + workflow},
                    lifetime_.Guard([stored = ValueOf(stored),
                                     done](Result<std::vector<Row>> progress) {
                      if (!IsOk(progress)) {
                        done(std::nullopt, std::nullopt);
                        return;
                      }
                      const Row& row = ValueOf(progress).front();
                      std::optional<ProgressRecord> record;
                      if (row.version != 0) {
                        auto decoded = DecodeRecord<ProgressRecord>(row.value);
                        if (IsOk(decoded)) record = ValueOf(decoded);
                      }
                      done(stored, record);
                    }));
      }));
}

void JobDesk::StoredState(const std::string& workflow,
                          std::function<void(StateResult)> done) {
  table_.read(
      {rows::kCancels + workflow},
      lifetime_.Guard([this, workflow, done](Result<std::vector<Row>> row) {
        if (!IsOk(row)) {
          done({false, std::nullopt});
          return;
        }
        const bool cancelled = ValueOf(row).front().version != 0;
        table_.read(
            {rows::kWorkflows + workflow},
            lifetime_.Guard([this, workflow, cancelled,
                             done](Result<std::vector<Row>> found) {
              if (!IsOk(found)) {
                done({false, std::nullopt});
                return;
              }
              if (ValueOf(found).front().version == 0) {
                done({true, std::nullopt});
                return;
              }
              table_.read(
                  {rows::kProgress + workflow},
                  lifetime_.Guard(
                      [cancelled, done](Result<std::vector<Row>> progress) {
                        if (!IsOk(progress)) {
                          done({false, std::nullopt});
                          return;
                        }
                        WorkflowState state = WorkflowState::kQueued;
                        const Row& stored = ValueOf(progress).front();
                        const auto record =
                            DecodeRecord<ProgressRecord>(stored.value);
                        if (stored.version != 0 && IsOk(record)) {
                          state = ValueOf(record).state;
                        }
                        const bool over = state >= WorkflowState::kCompleted;
                        if (cancelled && !over) {
                          state = WorkflowState::kCancelled;
                        }
                        done({true, state});
                      }));
            }));
      }));
}

}  // namespace beamhill
