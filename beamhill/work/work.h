// The value types of work: resources, jobs, tasks, attempts and outcomes.
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

// Thousandths in a core, the unit of `Resources::cpu_millis`.
inline constexpr double kMillicoresPerCore = 1000;

// An amount of a VM's capacity, or of what a task may use of it.
struct Resources {
  int64_t cpu_millis = 0;  // Thousandths of a core.
  int64_t memory_mib = 0;
  int64_t accelerators = 0;

  // Whether `part` fits into this amount in every dimension.
  bool Holds(const Resources& part) const;
  bool operator==(const Resources& other) const;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
};
Resources operator+(Resources a, const Resources& b);
Resources operator-(Resources a, const Resources& b);

// One task: a position in its job.
struct TaskId {
  std::string job;
  uint32_t index = 0;

  bool operator<(const TaskId& o) const {
    return std::tie(job, index) < std::tie(o.job, o.index);
  }
  bool operator==(const TaskId& o) const {
    return job == o.job && index == o.index;
  }
  std::string ToString() const { return job + "#" + std::to_string(index); }
};

// Orders all tries at running tasks of one cell. The epoch of the owner is
// the upper part, so a new owner's attempts are above all of its
// predecessors' without any record of them.
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

// What a caller submits.
struct JobSpec {
  std::string id;
  std::string team;
  std::string work_class;  // Groups tasks that interfere alike.
  Urgency urgency = Urgency::kNormal;
  WorkKind kind = WorkKind::kBatch;
  uint32_t tasks = 0;
  Resources each;
  Duration declared_run{};
};

// The part [begin, end) of a job's tasks that one cell runs.
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
  kLost,     // The worker has it no longer, though nobody stopped it.
};

// How one attempt ended.
struct TaskOutcome {
  TaskId task;
  Attempt attempt;
  OutcomeKind kind = OutcomeKind::kDone;
  std::string checkpoint;  // The object's name; empty when there is none.
  std::string reason;
};

// One task on a VM, as the VM's agent knows it.
struct RunningTask {
  TaskId task;
  Attempt attempt;
  Resources granted;
};

std::string_view OutcomeKindName(OutcomeKind kind);

// A set of task indexes kept as sorted, disjoint, non-adjacent ranges; small
// for the mostly contiguous sets that progress consists of.
class IndexSet {
 public:
  // Adds one index. Returns false when it was there already.
  bool Add(uint32_t index);
  bool Contains(uint32_t index) const;
  uint64_t size() const { return size_; }
  const std::vector<TaskRange>& ranges() const { return ranges_; }
  // Requires sorted, disjoint ranges.
  static IndexSet FromRanges(std::vector<TaskRange> ranges);

 private:
  std::vector<TaskRange> ranges_;
  uint64_t size_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_WORK_WORK_H_
