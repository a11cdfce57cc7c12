#include "beamhill/cell/range_ledger.h"

#include <algorithm>

namespace beamhill {
namespace {

// Failures after which a task is not retried.
constexpr uint32_t kMaxFailures = 5;
constexpr Duration kFirstRetryDelay = std::chrono::seconds(1);
constexpr Duration kMaxRetryDelay = std::chrono::minutes(5);
// Tasks between the next one to start and the end of a new durable window.
constexpr uint32_t kWindowLookahead = 1024;

Duration RetryDelay(uint32_t failures) {
  const uint32_t doublings = std::min<uint32_t>(failures - 1, 16);
  return std::min(kFirstRetryDelay * (int64_t{1} << doublings), kMaxRetryDelay);
}

}  // namespace

RangeLedger::RangeLedger(const RangeRow& row, bool inherited,
                         const RangeProgress* progress)
    : job_(row.job),
      range_(row.range),
      next_new_(row.range.begin),
      durable_window_(std::min(row.initial_window, row.range.end)) {
  if (progress != nullptr) {
    done_ = IndexSet::FromRanges(progress->done);
    failed_ = IndexSet::FromRanges(progress->failed);
    durable_window_ =
        std::clamp(progress->window, durable_window_, row.range.end);
  }
  durable_window_ = std::max(durable_window_, row.range.begin);
  if (inherited) {
    for (uint32_t i = range_.begin; i < durable_window_; ++i) {
      if (IsFinal(i)) continue;
      records_[i].state = State::kUnknown;
      ++unknown_;
    }
    next_new_ = durable_window_;
  }
  if (progress != nullptr) {
    for (const Checkpoint& checkpoint : progress->checkpoints) {
      const auto it = records_.find(checkpoint.index);
      if (it == records_.end()) continue;
      it->second.checkpoint = checkpoint.name;
      it->second.checkpoint_attempt = checkpoint.attempt;
      it->second.attempt = checkpoint.attempt;
    }
    for (const FailureCount& count : progress->failures) {
      const auto it = records_.find(count.index);
      if (it != records_.end()) it->second.failures = count.failures;
    }
  }
  if (row.cancelled) Cancel();
}

bool RangeLedger::IsFinal(uint32_t index) const {
  return done_.Contains(index) || failed_.Contains(index);
}

void RangeLedger::SetState(uint32_t index, Record& record, State state) {
  if (record.state == State::kQueued) queued_.erase({record.not_before, index});
  if (record.state == State::kRunning) --running_;
  if (record.state == State::kUnknown) --unknown_;
  record.state = state;
  if (state == State::kQueued) queued_.insert({record.not_before, index});
  if (state == State::kRunning) ++running_;
  if (state == State::kUnknown) ++unknown_;
}

void RangeLedger::EraseRecord(uint32_t index) {
  const auto it = records_.find(index);
  if (it == records_.end()) return;
  SetState(index, it->second, State::kQueued);
  queued_.erase({it->second.not_before, index});
  records_.erase(it);
}

void RangeLedger::Finalize(uint32_t index, IndexSet* into) {
  EraseRecord(index);
  into->Add(index);
}

std::optional<RangeLedger::Startable> RangeLedger::NextStartable(
    TimePoint now) const {
  if (cancelled_) return std::nullopt;
  if (!queued_.empty() && queued_.begin()->first <= now) {
    const uint32_t index = queued_.begin()->second;
    return Startable{index, records_.at(index).checkpoint};
  }
  if (next_new_ >= std::min(durable_window_, range_.end)) return std::nullopt;
  return Startable{next_new_, ""};
}

bool RangeLedger::NeedsWiderWindow() const {
  if (cancelled_ || durable_window_ >= range_.end) return false;
  return next_new_ + kWindowLookahead / 2 >= durable_window_;
}

void RangeLedger::OnStarted(uint32_t index, const std::string& vm,
                            Attempt attempt) {
  Record& record = records_[index];
  if (index == next_new_) ++next_new_;
  SetState(index, record, State::kRunning);
  record.vm = vm;
  record.attempt = attempt;
}

void RangeLedger::KeepCheckpoint(Record& record, const TaskOutcome& outcome) {
  if (outcome.checkpoint.empty()) return;
  if (outcome.attempt <= record.checkpoint_attempt) return;
  record.checkpoint = outcome.checkpoint;
  record.checkpoint_attempt = outcome.attempt;
}

void RangeLedger::OnFailed(uint32_t index, Record& record, TimePoint now) {
  ++record.failures;
  if (record.failures >= kMaxFailures) {
    Finalize(index, &failed_);
    return;
  }
  RequeueAt(index, record, now + RetryDelay(record.failures));
}

// A task that crashes its worker is reported as lost, never as failed, and
// would crash one worker after another. The other tasks on the worker are lost
// with it and can't be told from the cause, so that a loss doesn't count as a
// failure. Instead, repeated losses delay the next start with exponential
// backoff; the first one doesn't.
void RangeLedger::OnLost(uint32_t index, Record& record, TimePoint now) {
  ++record.losses;
  const bool again = record.losses > 1;
  RequeueAt(index, record, again ? now + RetryDelay(record.losses - 1) : now);
}

void RangeLedger::RequeueAt(uint32_t index, Record& record,
                            TimePoint not_before) {
  SetState(index, record, State::kUnknown);
  record.not_before = not_before;
  SetState(index, record, State::kQueued);
}

RangeLedger::OutcomeEffect RangeLedger::OnOutcome(const std::string& vm,
                                                  const TaskOutcome& outcome,
                                                  TimePoint now) {
  OutcomeEffect effect;
  const uint32_t index = outcome.task.index;
  if (!range_.Contains(index) || IsFinal(index)) return effect;
  const auto it = records_.find(index);
  if (it == records_.end()) return effect;
  Record& record = it->second;
  // The checkpoint is kept even if the task has been resumed since: until the
  // later attempt ends, it is the task's latest progress.
  if (outcome.kind == OutcomeKind::kEvicted) KeepCheckpoint(record, outcome);
  const bool is_current = record.state == State::kRunning && record.vm == vm &&
                          record.attempt == outcome.attempt;
  if (outcome.kind == OutcomeKind::kDone) {
    if (record.state == State::kRunning && !is_current) {
      effect.stop_on = record.vm;
      effect.stop_attempt = record.attempt;
    }
    Finalize(index, &done_);
    effect.changed = true;
    return effect;
  }
  if (record.state == State::kRunning && !is_current) return effect;
  if (record.state != State::kRunning && outcome.attempt < record.attempt) {
    return effect;
  }
  record.attempt = outcome.attempt;
  if (outcome.kind == OutcomeKind::kEvicted) {
    ++evictions_;
    effect.changed = true;
  }
  // An unknown task stays unknown: a later attempt may be running on a VM that
  // is not reconciled.
  if (record.state == State::kUnknown) return effect;
  if (outcome.kind == OutcomeKind::kFailed && is_current) {
    OnFailed(index, record, now);
    effect.changed = true;
  } else if (outcome.kind == OutcomeKind::kLost && is_current) {
    OnLost(index, record, now);
    effect.changed = true;
  } else {
    SetState(index, record, State::kQueued);
  }
  if (cancelled_) EraseRecord(index);
  return effect;
}

bool RangeLedger::OnReportedRunning(const std::string& vm, uint32_t index,
                                    Attempt attempt) {
  if (!range_.Contains(index) || IsFinal(index)) return false;
  const auto it = records_.find(index);
  if (it == records_.end()) return false;
  Record& record = it->second;
  if (record.state == State::kRunning) {
    if (record.vm == vm && record.attempt == attempt) return true;
    return false;
  }
  // The task was requeued, so the attempt on this VM is obsolete.
  if (record.state == State::kQueued) return false;
  SetState(index, record, State::kRunning);
  record.vm = vm;
  record.attempt = attempt;
  return true;
}

void RangeLedger::RequeueUnreported(const std::string& vm,
                                    const std::set<uint32_t>& reported) {
  std::vector<uint32_t> lost;
  for (const auto& [index, record] : records_) {
    if (record.state != State::kRunning || record.vm != vm) continue;
    if (reported.count(index) == 0) lost.push_back(index);
  }
  for (const uint32_t index : lost) {
    SetState(index, records_.at(index), State::kQueued);
    if (cancelled_) EraseRecord(index);
  }
}

void RangeLedger::RequeueUnknown() {
  std::vector<uint32_t> resolved;
  for (const auto& [index, record] : records_) {
    if (record.state == State::kUnknown) resolved.push_back(index);
  }
  for (const uint32_t index : resolved) {
    SetState(index, records_.at(index), State::kQueued);
    if (cancelled_) EraseRecord(index);
  }
}

void RangeLedger::Cancel() {
  cancelled_ = true;
  const auto queued = queued_;
  for (const auto& [not_before, index] : queued) EraseRecord(index);
}

bool RangeLedger::IsFinished() const {
  if (cancelled_) return records_.empty();
  return done_.size() + failed_.size() == range_.size();
}

RangeProgress RangeLedger::Progress() const {
  RangeProgress progress;
  progress.job = job_.id;
  progress.done = done_.ranges();
  progress.failed = failed_.ranges();
  const uint32_t left = range_.end - next_new_;
  progress.window =
      std::max(durable_window_, next_new_ + std::min(left, kWindowLookahead));
  for (const auto& [index, record] : records_) {
    if (!record.checkpoint.empty()) {
      progress.checkpoints.push_back(
          {index, record.checkpoint_attempt, record.checkpoint});
    }
    if (record.failures > 0) {
      progress.failures.push_back({index, record.failures});
    }
  }
  return progress;
}

void RangeLedger::OnWindowDurable(uint32_t window) {
  durable_window_ = std::max(durable_window_, std::min(window, range_.end));
}

std::vector<RangeLedger::Running> RangeLedger::RunningTasks() const {
  std::vector<Running> tasks;
  for (const auto& [index, record] : records_) {
    if (record.state != State::kRunning) continue;
    tasks.push_back({index, record.vm, record.attempt});
  }
  return tasks;
}

}  // namespace beamhill
