#include "beamhill/jobs/job_store.h"

#include <algorithm>
#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <optional>
#include <set>
#include <utility>

namespace beamhill {
namespace {

constexpr int kMaxAttempts = 5;
// Number of tasks of a part that its cell may start before its first progress
// snapshot contains the job.
constexpr uint32_t kInitialWindow = 64;

// Returns whether two rows hold the same submission. Placement and cancellation
// may differ between them.
bool SameSubmission(const JobRow& a, const JobRow& b) {
  JobRow left = a;
  JobRow right = b;
  left.parts.clear();
  right.parts.clear();
  left.cancelled = right.cancelled = false;
  return EncodeRow(left) == EncodeRow(right);
}

Error NotFound(const std::string& job) {
  return {ErrorCode::kNotFound, "no job " + job,
          "list the jobs with GET /v1/jobs"};
}

Error Undecided() {
  return {ErrorCode::kUnknownOutcome, "the platform's table did not answer",
          "repeat the call under the same key; it takes effect once"};
}

// Adds the task counts of one part, from the last snapshot of its cell.
void AddProgress(const Row& row, const std::string& job, JobStatus* status) {
  CellSnapshot snapshot;
  if (row.version == 0 || !IsOk(DecodeRow(row.value, &snapshot))) return;
  for (const RangeProgress& progress : snapshot.ranges) {
    if (progress.job != job) continue;
    status->done += IndexSet::FromRanges(progress.done).size();
    status->failed += IndexSet::FromRanges(progress.failed).size();
  }
}

}  // namespace

std::string JobIdFor(const std::string& team, const std::string& key) {
  const boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
  return "j-" + boost::uuids::to_string(generator(team + "\n" + key));
}

Result<std::vector<JobPart>> SplitOverCells(
    const JobSpec& job, const std::vector<CellCapacity>& cells,
    uint32_t min_tasks_per_part) {
  std::vector<CellCapacity> usable;
  for (const CellCapacity& cell : cells) {
    if (cell.largest_vm.Holds(job.each)) usable.push_back(cell);
  }
  if (usable.empty()) {
    return Error{ErrorCode::kInvalidArgument,
                 "no VM can hold one task of this job",
                 "ask for less processor, memory or accelerators a task"};
  }
  std::sort(usable.begin(), usable.end(),
            [](const CellCapacity& a, const CellCapacity& b) {
              return a.total.cpu_millis > b.total.cpu_millis;
            });
  const uint32_t max_parts = std::max(1U, job.tasks / min_tasks_per_part);
  // The job's ID selects the cells of a small job, so that small jobs are
  // spread over all cells.
  if (max_parts < usable.size()) {
    const size_t first = std::hash<std::string>()(job.id) % usable.size();
    std::rotate(usable.begin(),
                usable.begin() + static_cast<std::ptrdiff_t>(first),
                usable.end());
    usable.resize(max_parts);
  }
  int64_t total = 0;
  for (const CellCapacity& cell : usable) total += cell.total.cpu_millis;
  std::vector<JobPart> parts;
  uint32_t begin = 0;
  int64_t cpu_so_far = 0;
  for (const CellCapacity& cell : usable) {
    cpu_so_far += cell.total.cpu_millis;
    const auto end =
        static_cast<uint32_t>(static_cast<int64_t>(job.tasks) * cpu_so_far /
                              std::max<int64_t>(1, total));
    if (end > begin) parts.push_back({cell.cell, {begin, end}});
    begin = end;
  }
  return parts;
}

JobStore::JobStore(Table table) : table_(std::move(table)) {}
JobStore::~JobStore() = default;

void JobStore::Submit(const JobSpec& job, const std::vector<JobPart>& parts,
                      std::function<void(Result<JobAccepted>)> done) {
  JobRow row;
  row.job = job;
  row.parts = parts;
  TrySubmit(row, 1, std::move(done));
}

void JobStore::TrySubmit(const JobRow& row, int attempts,
                         std::function<void(Result<JobAccepted>)> done) {
  Transaction submit;
  submit.writes.push_back({JobKey(row.job.id), 0, EncodeRow(row)});
  for (const JobPart& part : row.parts) {
    RangeRow range;
    range.job = row.job;
    range.range = part.range;
    range.initial_window = part.range.begin + kInitialWindow;
    submit.writes.push_back(
        {RangeKey(part.cell, row.job.id), 0, EncodeRow(range)});
  }
  table_.commit(std::move(submit), lifetime_.Guard([this, row, attempts,
                                                    done = std::move(done)](
                                                       CommitAnswer answer) {
    switch (answer.result) {
      case CommitResult::kCommitted:
        return done(JobAccepted{row.job.id, attempts > 1});
      case CommitResult::kNotApplied:
        if (attempts > 1) return done(Undecided());
        return done(Error{ErrorCode::kUnavailable,
                          "the platform's table refused the write",
                          "try again; the job was not accepted"});
      case CommitResult::kUnknown:
        // Repeating the write is safe: it takes effect at most once.
        if (attempts >= kMaxAttempts) return done(Undecided());
        return TrySubmit(row, attempts + 1, done);
      case CommitResult::kConflict:
        break;
    }
    table_.read(
        {JobKey(row.job.id)},
        lifetime_.Guard([row, done](Result<std::vector<Row>> rows) {
          if (!IsOk(rows)) return done(Undecided());
          JobRow stored;
          const Row& found = ValueOf(rows).front();
          if (found.version == 0 || !IsOk(DecodeRow(found.value, &stored))) {
            return done(Undecided());
          }
          if (SameSubmission(stored, row)) {
            return done(JobAccepted{row.job.id, true});
          }
          done(Error{ErrorCode::kConflict, "the key was used for another job",
                     "use a new Idempotency-Key for a new job"});
        }));
  }));
}

void JobStore::Get(const std::string& job,
                   std::function<void(Result<JobStatus>)> done) {
  table_.read({JobKey(job)},
              lifetime_.Guard([this, job, done](Result<std::vector<Row>> rows) {
                if (!IsOk(rows)) return done(ErrorOf(rows));
                JobRow row;
                const Row& found = ValueOf(rows).front();
                if (found.version == 0 || !IsOk(DecodeRow(found.value, &row))) {
                  return done(NotFound(job));
                }
                JobStatus status;
                status.job = row.job;
                status.cancelled = row.cancelled;
                status.parts = static_cast<uint32_t>(row.parts.size());
                ReadProgress(status, row, done);
              }));
}

// Uses the final counts of each finished part, and the last snapshot of its
// cell for the others.
void JobStore::ReadProgress(JobStatus status, const JobRow& row,
                            std::function<void(Result<JobStatus>)> done) {
  std::vector<std::string> keys;
  for (const JobPart& part : row.parts) {
    keys.push_back(ResultKey(row.job.id, part.cell));
    keys.push_back(ProgressKey(part.cell));
  }
  table_.read(keys, lifetime_.Guard([status, job = row.job.id, done](
                                        Result<std::vector<Row>> rows) mutable {
    if (!IsOk(rows)) return done(ErrorOf(rows));
    const std::vector<Row>& found = ValueOf(rows);
    for (size_t i = 0; i + 1 < found.size(); i += 2) {
      PartResult result;
      const bool finished =
          found[i].version != 0 && IsOk(DecodeRow(found[i].value, &result));
      if (!finished) {
        AddProgress(found[i + 1], job, &status);
        continue;
      }
      ++status.parts_finished;
      status.done += result.done;
      status.failed += result.failed;
      status.evictions += result.evictions;
    }
    done(status);
  }));
}

void JobStore::List(std::function<void(Result<std::vector<JobRow>>)> done) {
  table_.scan("jobs/", lifetime_.Guard([done](Result<std::vector<Row>> rows) {
    if (!IsOk(rows)) return done(ErrorOf(rows));
    std::vector<JobRow> jobs;
    for (const Row& row : ValueOf(rows)) {
      JobRow job;
      if (IsOk(DecodeRow(row.value, &job))) jobs.push_back(job);
    }
    done(std::move(jobs));
  }));
}

void JobStore::Cancel(const std::string& job,
                      std::function<void(Status)> done) {
  TryCancel(job, 1, std::move(done));
}

void JobStore::TryCancel(const std::string& job, int attempts,
                         std::function<void(Status)> done) {
  if (attempts > kMaxAttempts) return done(Undecided());
  // After the first try, an earlier write may have taken effect.
  const auto read_error = [attempts](const Error& error) {
    return attempts > 1 ? Undecided() : error;
  };
  table_.read({JobKey(job)}, lifetime_.Guard([this, job, attempts, read_error,
                                              done](Result<std::vector<Row>>
                                                        rows) {
    if (!IsOk(rows)) return done(read_error(ErrorOf(rows)));
    const Row job_row = ValueOf(rows).front();
    JobRow row;
    if (job_row.version == 0 || !IsOk(DecodeRow(job_row.value, &row))) {
      return done(NotFound(job));
    }
    if (row.cancelled) return done(Ok{});
    std::vector<std::string> keys;
    for (const JobPart& part : row.parts) {
      keys.push_back(RangeKey(part.cell, job));
    }
    table_.read(keys, lifetime_.Guard([this, job, attempts, read_error, done,
                                       row, job_row](Result<std::vector<Row>>
                                                         ranges) mutable {
      if (!IsOk(ranges)) return done(read_error(ErrorOf(ranges)));
      row.cancelled = true;
      Transaction cancel;
      cancel.writes.push_back({JobKey(job), job_row.version, EncodeRow(row)});
      for (const Row& range_row : ValueOf(ranges)) {
        RangeRow range;
        if (range_row.version == 0) continue;  // Already finished.
        if (!IsOk(DecodeRow(range_row.value, &range))) continue;
        range.cancelled = true;
        cancel.writes.push_back(
            {range_row.key, range_row.version, EncodeRow(range)});
      }
      table_.commit(
          std::move(cancel),
          lifetime_.Guard([this, job, attempts, done](CommitAnswer answer) {
            if (answer.result == CommitResult::kCommitted) {
              return done(Ok{});
            }
            // The reply was lost, or a part finished in the meantime.
            TryCancel(job, attempts + 1, done);
          }));
    }));
  }));
}

}  // namespace beamhill
