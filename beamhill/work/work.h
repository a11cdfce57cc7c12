// Value types for jobs and their tasks: resources, attempts and outcomes.
//
//   TaskId task{"valuation-7", 12};
//   Attempt second = Attempt::Make(/*epoch=*/3, /*sequence=*/41);
#ifndef BEAMHILL_WORK_WORK_H_
#define BEAMHILL_WORK_WORK_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// Units of `Resources::cpu_millis` in one core.
inline constexpr double kMillicoresPerCore = 1000;

// An amount of resources: the capacity of a VM, or the part of it granted to a
// task.
struct Resources {
  int64_t cpu_millis = 0;  // Millicores.
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  // Returns whether `part` fits into this amount in every dimension.
  bool Holds(const Resources& part) const;
  bool operator==(const Resources& other) const;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};
Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);

// Identifies a task by its job and its index in the job.
struct TaskId {
  std::string job;
  uint32_t index = 0;

  bool operator<(const TaskId& o) const {
    return std::tie(job, index) < std::tie(o.job, o.index);
  }
  bool operator==(const TaskId& o) const {
    return job == o.job && index == o.index;
  }
  // Returns "job#index".
  std::string ToString() const { return job + "#" + std::to_string(index); }
};

// Identifies and orders the attempts at running tasks of one cell. The owner's
// epoch forms the upper bits, so that the attempts of a new owner compare
// greater than those of all previous owners, without any record of them.
struct Attempt {
  static constexpr int kSequenceBits = 40;

  uint64_t value = 0;

  static Attempt Make(uint64_t epoch, uint64_t sequence) {
    return {(epoch << kSequenceBits) | sequence};
  }
  uint64_t epoch() const { return value >> kSequenceBits; }
  bool operator<(const Attempt& o) const { return value < o.value; }
  bool operator<=(const Attempt& o) const { return value <= o.value; }
  bool operator==(const Attempt& o) const { return value == o.value; }
};

enum class Urgency : uint8_t { kNormal, kUrgent };

// Latency-critical tasks run until cancelled; batch tasks run to their end.
enum class WorkKind : uint8_t { kBatch, kLatencyCritical };

// A job as submitted by a caller.
struct JobSpec {
  std::string id;
  std::string team;
  std::string work_class;  // Groups tasks that cause similar interference.
  Urgency urgency = Urgency::kNormal;
  WorkKind kind = WorkKind::kBatch;
  uint32_t tasks = 0;
  Resources each;  // Resources of each task.
  // Expected run time of a task, as declared by the caller.
  Duration declared_run{};
};

// The half-open range [begin, end) of task indexes of a job.
struct TaskRange {
  uint32_t begin = 0;
  uint32_t end = 0;

  uint32_t size() const { return end - begin; }
  bool Contains(uint32_t index) const { return index >= begin && index < end; }
};

enum class OutcomeKind : uint8_t {
  kDone,
  kFailed,   // The task ran and failed.
  kEvicted,  // Stopped on purpose; `checkpoint` holds its progress, if any.
  kRefused,  // The agent or worker did not start it; it has not run.
  kLost,     // Missing from the worker, although no stop was requested.
};

// The end of one attempt.
struct TaskOutcome {
  TaskId task;
  Attempt attempt;
  OutcomeKind kind = OutcomeKind::kDone;
  std::string checkpoint;  // Name of the stored object; empty if there is none.
  std::string reason;
};

// A task on a VM, as the VM's agent reports it.
struct RunningTask {
  TaskId task;
  Attempt attempt;
  Resources granted;
};

// Returns the lower-case name of an outcome, such as "done".
std::string_view OutcomeKindName(OutcomeKind kind);

// A set of task indexes, stored as sorted, disjoint, non-adjacent ranges, which
// is compact for the mostly contiguous indexes of completed tasks.
class IndexSet {
 public:
  // Adds an index. Returns false if the set contained it already.
  bool Add(uint32_t index);
  bool Contains(uint32_t index) const;
  // Number of indexes.
  uint64_t size() const { return size_; }
  const std::vector<TaskRange>& ranges() const { return ranges_; }
  // Creates a set from ranges, which must be sorted and disjoint.
  static IndexSet FromRanges(std::vector<TaskRange> ranges);

 private:
  std::vector<TaskRange> ranges_;
  uint64_t size_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_WORK_WORK_H_
