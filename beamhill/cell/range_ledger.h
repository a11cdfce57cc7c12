// The state of every task of one range, as its cell's owner knows it.
//
// Memory grows with the tasks that are started and not final, not with the
// range: finished tasks are kept as index ranges and tasks that were never
// started as a cursor.
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
  // `inherited`: an earlier owner may have started tasks of the range, so
  // those below the window stay untouched until SettleUnknown. `progress` is
  // the range's part of the last durable snapshot, or null.
  RangeLedger(const RangeRow& row, bool inherited,
              const RangeProgress* progress);

  struct Startable {
    uint32_t index = 0;
    std::string checkpoint;
  };
  // The next task that may be started now: requeued ones first, then new
  // ones in order, below the durable window.
  std::optional<Startable> NextStartable(TimePoint now) const;
  // Whether new tasks wait only for a wider durable window.
  bool NeedsWiderWindow() const;

  // Requires that `index` was returned by NextStartable.
  void OnStarted(uint32_t index, const std::string& vm, Attempt attempt);

  struct OutcomeEffect {
    bool changed = false;  // To be made durable before it is settled.
    // Where a later attempt of a task that is now final still runs.
    std::optional<std::string> stop_on;
    Attempt stop_attempt;
  };
  OutcomeEffect OnOutcome(const std::string& vm, const TaskOutcome& outcome,
                          TimePoint now);

  // An inventory names the task as running. False: it must be stopped there.
  bool OnReportedRunning(const std::string& vm, uint32_t index,
                         Attempt attempt);
  // After an inventory of `vm`: its tasks that the inventory did not name go
  // back to the queue. `reported` holds the indexes it named.
  void RequeueUnreported(const std::string& vm,
                         const std::set<uint32_t>& reported);
  // No VM can hold a task that no inventory named.
  void SettleUnknown();

  // Cancels what is not running; the caller stops what is.
  void Cancel();

  // Every task is done, failed for good, or cancelled and stopped.
  bool IsFinished() const;

  // Progress to make durable, with the window moved ahead as needed.
  RangeProgress Progress() const;
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
  enum class State : uint8_t { kUnknown, kQueued, kRunning };
  struct Record {
    State state = State::kQueued;
    std::string vm;
    Attempt attempt;  // The latest known.
    std::string checkpoint;
    Attempt checkpoint_attempt;
    uint32_t failures = 0;
    uint32_t losses = 0;  // With its worker.
    TimePoint not_before{};
  };

  bool IsFinal(uint32_t index) const;
  void SetState(uint32_t index, Record& record, State state);
  void EraseRecord(uint32_t index);
  void Finalize(uint32_t index, IndexSet* into);
  void OnFailed(uint32_t index, Record& record, TimePoint now);
  void OnLost(uint32_t index, Record& record, TimePoint now);
  // Back to the queue, to be started no earlier than that.
  void QueueUntil(uint32_t index, Record& record, TimePoint not_before);
  void KeepCheckpoint(Record& record, const TaskOutcome& outcome);

  JobSpec job_;
  TaskRange range_;
  bool cancelled_ = false;
  IndexSet done_;
  IndexSet failed_;
  std::map<uint32_t, Record> records_;  // Started or requeued, not final.
  // Records in State::kQueued, by the time from which they may start.
  std::set<std::pair<TimePoint, uint32_t>> queued_;
  uint32_t next_new_ = 0;  // Never started from here on.
  uint32_t durable_window_ = 0;
  size_t running_ = 0;
  size_t unknown_ = 0;
  uint64_t evictions_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_RANGE_LEDGER_H_
