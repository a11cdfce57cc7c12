// Stores jobs in the platform's table: submits a job once per idempotency key,
// splits it over cells, and reads, lists and cancels jobs. Any entry can serve
// any call.
//
//   JobStore jobs(table);
//   jobs.Submit(spec, parts, [](Result<JobAccepted> accepted) { ... });
#ifndef BEAMHILL_JOBS_JOB_STORE_H_
#define BEAMHILL_JOBS_JOB_STORE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/base/lifetime.h"
#include "beamhill/cell/rows.h"
#include "beamhill/table/table.h"

namespace beamhill {

// Result of a successful submission.
struct JobAccepted {
  std::string job;
  bool repeated = false;  // The same submission was accepted before.
};

// A job and its progress. `done`, `failed` and `evictions` count over all
// parts; parts that are not finished contribute no evictions.
struct JobStatus {
  JobSpec job;
  bool cancelled = false;
  uint64_t done = 0;
  uint64_t failed = 0;
  uint64_t evictions = 0;
  uint32_t parts = 0;
  // Parts with final counts. The job is finished when this equals `parts`.
  uint32_t parts_finished = 0;
};

// Capacity of a cell, for splitting a job over cells.
struct CellCapacity {
  std::string cell;
  Resources total;
  Resources largest_vm;
};

// Derives the job's ID from the team and its idempotency key, so that a
// repeated submission finds the same row through any entry and after any
// failure.
std::string JobIdFor(const std::string& team, const std::string& key);

// Splits a job into parts in proportion to the processors of the cells. Uses at
// most as many cells as allow `min_tasks_per_part` tasks on average in each
// part, and at least one. Returns kInvalidArgument if no VM can hold one task.
Result<std::vector<JobPart>> SplitOverCells(
    const JobSpec& job, const std::vector<CellCapacity>& cells,
    uint32_t min_tasks_per_part);

// All callbacks run on the event loop, none once the store is destroyed.
class JobStore {
 public:
  explicit JobStore(Table table);
  ~JobStore();

  // Submits a job. Errors: kConflict if the key was used for another
  // submission; kUnavailable if the table refused the write; kUnknownOutcome if
  // the table did not tell whether it took effect, where repeating the call is
  // safe.
  void Submit(const JobSpec& job, const std::vector<JobPart>& parts,
              std::function<void(Result<JobAccepted>)> done);
  // Returns a job with its progress, or kNotFound.
  void Get(const std::string& job, std::function<void(Result<JobStatus>)> done);
  void List(std::function<void(Result<std::vector<JobRow>>)> done);
  // Cancels a job. Idempotent. Calls `done` once the cancellation is durable;
  // cells act on it with their next poll of the table. Errors: kNotFound;
  // kUnknownOutcome if the cancellation may have taken effect; otherwise the
  // error of the table's read.
  void Cancel(const std::string& job, std::function<void(Status)> done);

 private:
  // `attempts` includes this attempt.
  void TrySubmit(const JobRow& row, int attempts,
                 std::function<void(Result<JobAccepted>)> done);
  void TryCancel(const std::string& job, int attempts,
                 std::function<void(Status)> done);
  void ReadProgress(JobStatus status, const JobRow& row,
                    std::function<void(Result<JobStatus>)> done);

  Table table_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_JOBS_JOB_STORE_H_
