// The state of a cell that its owner keeps in the platform's table.
//
// A range row is written when a job is accepted, and again when it is cancelled
// or finished. A cell's snapshot row is written periodically, not for each
// task, so the write rate does not depend on the number of tasks.
//
//   CellSnapshot snapshot;
//   snapshot.epoch = ownership.epoch;
//   snapshot.roster = {"vm-1", "vm-2"};
//   snapshot.ranges.push_back(ledger.Progress());
#ifndef BEAMHILL_CELL_SNAPSHOT_H_
#define BEAMHILL_CELL_SNAPSHOT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "beamhill/work/work.h"

namespace beamhill {

// The tasks of a job that are assigned to a cell.
struct RangeRow {
  JobSpec job;
  TaskRange range;
  bool cancelled = false;
  // Tasks below this index may have been started by an owner whose durable
  // snapshot does not contain the job yet.
  uint32_t initial_window = 0;
};

// The latest checkpoint of a task that is not finished.
struct Checkpoint {
  uint32_t index = 0;
  Attempt attempt;   // The attempt that wrote it.
  std::string name;  // Of the stored object.
};

struct FailureCount {
  uint32_t index = 0;
  uint32_t failures = 0;
};

// The durable progress of one range.
struct RangeProgress {
  std::string job;
  std::vector<TaskRange> done;
  std::vector<TaskRange> failed;  // Failed finally; not retried.
  // No task at or above this index has been started by any owner.
  uint32_t window = 0;
  std::vector<Checkpoint> checkpoints;
  std::vector<FailureCount> failures;
};

struct CellSnapshot {
  // The writer's count of its snapshots. Together with `epoch`, it identifies
  // the snapshot of a commit whose answer was lost.
  uint64_t sequence = 0;
  uint64_t epoch = 0;
  // Every VM that may hold a task of the cell. An owner starts no task on a VM
  // until a snapshot with that VM in its roster is durable.
  std::vector<std::string> roster;
  std::vector<RangeProgress> ranges;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_SNAPSHOT_H_
