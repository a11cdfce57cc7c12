// Tracks the state of every task of one range for the owner of its cell.
//
// Memory grows with the number of tasks that were started and are not final,
// not with the size of the range: final tasks are stored as index ranges, and
// tasks that were never started as a cursor.
//
//   RangeLedger ledger(row, /*inherited=*/false, nullptr);
//   if (auto task = ledger.NextStartable(now)) {
//     ledger.OnStarted(task->index, "vm-7", attempt);
//   }
#ifndef BEAMHILL_CELL_RANGE_LEDGER_H_
#define BEAMHILL_CELL_RANGE_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/cell/snapshot.h"
#include "beamhill/work/work.h"

namespace beamhill {

class RangeLedger {
 public:
  // `inherited`: an earlier owner may have started tasks of the range, so that
  // those below the window are unknown and not startable until RequeueUnknown.
  // `progress` is the range's part of the last durable snapshot, or null.
  RangeLedger(const RangeRow& row, bool inherited,
              const RangeProgress* progress);

  struct Startable {
    uint32_t index = 0;
    std::string checkpoint;
  };
  // Returns the next task that may be started now: a requeued one if there is
  // any, otherwise the next never started one below the durable window.
  std::optional<Startable> NextStartable(TimePoint now) const;
  // Whether the durable window should be moved ahead, since the tasks below it
  // will soon all have been started.
  bool NeedsWiderWindow() const;

  // Requires that `index` was returned by NextStartable.
  void OnStarted(uint32_t index, const std::string& vm, Attempt attempt);

  struct OutcomeEffect {
    bool changed = false;  // Progress() changed and must be made durable.
    // The VM that still runs a later attempt of a task that is now final.
    std::optional<std::string> stop_on;
    Attempt stop_attempt;
  };
  // Applies the end of an attempt on `vm`, current or not.
  OutcomeEffect OnOutcome(const std::string& vm, const TaskOutcome& outcome,
                          TimePoint now);

  // The inventory of `vm` contains the task as running. Returns whether the
  // attempt is current; if not, it must be stopped there.
  bool OnReportedRunning(const std::string& vm, uint32_t index,
                         Attempt attempt);
  // Requeues the tasks running on `vm` except for `reported`, the indexes in
  // the VM's inventory.
  void RequeueUnreported(const std::string& vm,
                         const std::set<uint32_t>& reported);
  // Requeues all unknown tasks, once every VM that could run one is reconciled.
  void RequeueUnknown();

  // Drops all queued tasks. The caller must stop the running ones.
  void Cancel();

  // Whether every task is done, has failed finally, or is cancelled and
  // stopped.
  bool IsFinished() const;

  // Returns the progress to make durable, with the window moved ahead.
  RangeProgress Progress() const;
  // Progress with this window is durable: tasks below it may be started.
  void OnWindowDurable(uint32_t window);

  const JobSpec& job() const { return job_; }
  TaskRange range() const { return range_; }
  bool cancelled() const { return cancelled_; }
  uint64_t done() const { return done_.size(); }
  uint64_t failed() const { return failed_.size(); }
  uint64_t evictions() const { return evictions_; }
  size_t running() const { return running_; }
  size_t unknown() const { return unknown_; }

  struct Running {
    uint32_t index = 0;
    std::string vm;
    Attempt attempt;
  };
  std::vector<Running> RunningTasks() const;

 private:
  // An unknown task may be running on a VM that is not reconciled.
  enum class State : uint8_t { kUnknown, kQueued, kRunning };
  struct Record {
    State state = State::kQueued;
    std::string vm;
    Attempt attempt;  // The latest known one.
    std::string checkpoint;
    Attempt checkpoint_attempt;
    uint32_t failures = 0;
    uint32_t losses = 0;     // Attempts that ended as OutcomeKind::kLost.
    TimePoint not_before{};  // Earliest next start while queued.
  };

  bool IsFinal(uint32_t index) const;
  void SetState(uint32_t index, Record& record, State state);
  void EraseRecord(uint32_t index);
  // Moves the task to `*into`, which is `done_` or `failed_`.
  void Finalize(uint32_t index, IndexSet* into);
  void OnFailed(uint32_t index, Record& record, TimePoint now);
  void OnLost(uint32_t index, Record& record, TimePoint now);
  // Requeues the task, to be started no earlier than `not_before`.
  void RequeueAt(uint32_t index, Record& record, TimePoint not_before);
  void KeepCheckpoint(Record& record, const TaskOutcome& outcome);

  JobSpec job_;
  TaskRange range_;
  bool cancelled_ = false;
  IndexSet done_;
  IndexSet failed_;
  // The tasks that were started or inherited and are not final, by index.
  std::map<uint32_t, Record> records_;
  // The records in State::kQueued, by `not_before`.
  std::set<std::pair<TimePoint, uint32_t>> queued_;
  uint32_t next_new_ = 0;        // The first task that was never started.
  uint32_t durable_window_ = 0;  // Tasks below it may be started.
  size_t running_ = 0;
  size_t unknown_ = 0;
  uint64_t evictions_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_RANGE_LEDGER_H_
