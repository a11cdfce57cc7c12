#include "beamhill/testing/worker_model.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// State of one task while the record is replayed.
struct TaskTrace {
  std::string running_on;
  Attempt attempt;
  bool done = false;
  std::string done_on;
  TimePoint done_at{};
  std::string last_checkpoint;
  std::string checkpointed_on;
  TimePoint checkpointed_at{};
};

}  // namespace

bool WorkRecord::WasUnreachable(const std::string& vm, TimePoint from,
                                TimePoint to) const {
  const auto spans = unreachable_.find(vm);
  if (spans == unreachable_.end()) return false;
  return std::any_of(
      spans->second.begin(), spans->second.end(),
      [&](const Span& span) { return span.from <= to && span.to >= from; });
}

std::vector<std::string> WorkRecord::Violations() const {
  std::vector<std::string> found;
  std::map<TaskId, TaskTrace> traces;
  const auto report = [&found](const WorkEvent& e, const std::string& what) {
    found.push_back(e.task.ToString() + " attempt " +
                    std::to_string(e.attempt.value) + " on " + e.vm + " at " +
                    std::to_string(ToMillis(e.at.time_since_epoch())) +
                    " ms: " + what);
  };
  // Workers record the end of a task only when they next advance, so events
  // are sorted by time first.
  std::vector<WorkEvent> events = events_;
  std::stable_sort(
      events.begin(), events.end(),
      [](const WorkEvent& a, const WorkEvent& b) { return a.at < b.at; });
  for (const WorkEvent& event : events) {
    TaskTrace& trace = traces[event.task];
    if (event.kind != WorkEventKind::kStarted) {
      if (trace.running_on != event.vm) report(event, "ended but not running");
      trace.running_on.clear();
      if (event.kind == WorkEventKind::kDone) {
        trace.done = true;
        trace.done_on = event.vm;
        trace.done_at = event.at;
      }
      if (event.kind == WorkEventKind::kCheckpointed) {
        trace.last_checkpoint = event.checkpoint;
        trace.checkpointed_on = event.vm;
        trace.checkpointed_at = event.at;
      }
      continue;
    }
    if (!trace.running_on.empty()) {
      report(event, "also runs on " + trace.running_on);
    }
    if (trace.done && !WasUnreachable(trace.done_on, trace.done_at, event.at)) {
      report(event, "was already done");
    }
    if (event.attempt <= trace.attempt) report(event, "attempt not newer");
    const bool checkpoint_unknown =
        WasUnreachable(trace.checkpointed_on, trace.checkpointed_at, event.at);
    if (event.checkpoint != trace.last_checkpoint && !checkpoint_unknown) {
      report(event, "resumed from '" + event.checkpoint + "' instead of '" +
                        trace.last_checkpoint + "'");
    }
    trace.running_on = event.vm;
    trace.attempt = event.attempt;
  }
  return found;
}

WorkerStartAnswer WorkerModel::Start(uint64_t agent,
                                     const WorkerCommand& command,
                                     TimePoint lease_end, TimePoint now,
                                     std::string* reason) {
  if (dead_ || agent != attached_) {
    *reason = "not the attached agent";
    return WorkerStartAnswer::kRefused;
  }
  const auto latest = latest_attempts_.find(command.task);
  if (latest != latest_attempts_.end() && latest->second == command.attempt) {
    return WorkerStartAnswer::kStarted;
  }
  if (latest != latest_attempts_.end() && command.attempt < latest->second) {
    *reason = "an older attempt";
    return WorkerStartAnswer::kRefused;
  }
  const auto present = tasks_.find(command.task);
  if (present != tasks_.end() &&
      present->second.listed.state == WorkerTaskState::kRunning) {
    *reason = "another attempt is running";
    return WorkerStartAnswer::kRefused;
  }
  if (now >= lease_end) {
    *reason = "lease over";
    return WorkerStartAnswer::kRefused;
  }
  latest_attempts_[command.task] = command.attempt;
  Entry entry;
  entry.listed = {command.task,
                  command.attempt,
                  WorkerTaskState::kRunning,
                  command.job.each,
                  "",
                  ""};
  entry.job = command.job;
  entry.resumed_from = command.checkpoint;
  entry.lease_end = lease_end;
  const Duration run =
      run_time ? run_time(command.task, command.job) : command.job.declared_run;
  entry.ends_failed = run < Duration(0) || fails_every_task_;
  entry.ends_at = now + (run < Duration(0) ? -run : run) * 100 / percent_;
  if (command.job.kind == WorkKind::kLatencyCritical && !entry.ends_failed) {
    entry.ends_at = TimePoint::max();
  }
  granted_ += command.job.each;
  overcommitted_ = overcommitted_ || !capacity_.Holds(granted_);
  tasks_[command.task] = std::move(entry);
  record_->Add({now, WorkEventKind::kStarted, vm_, command.task,
                command.attempt, command.checkpoint});
  return WorkerStartAnswer::kStarted;
}

void WorkerModel::Renew(uint64_t agent, TimePoint lease_end, TimePoint now) {
  if (dead_ || agent != attached_) return;
  Advance(now);
  for (auto& [task, entry] : tasks_) {
    entry.lease_end = std::max(entry.lease_end, lease_end);
  }
}

void WorkerModel::EndEntry(Entry& entry, WorkerTaskState state,
                           WorkEventKind kind, TimePoint now) {
  if (entry.listed.state != WorkerTaskState::kRunning) return;
  entry.listed.state = state;
  granted_ -= entry.listed.granted;
  if (kind == WorkEventKind::kCheckpointed) {
    entry.listed.checkpoint = entry.listed.task.ToString() + "@" +
                              std::to_string(entry.listed.attempt.value);
  }
  record_->Add({now, kind, vm_, entry.listed.task, entry.listed.attempt,
                entry.listed.checkpoint});
}

void WorkerModel::Stop(uint64_t agent, const TaskId& task, Attempt attempt,
                       bool checkpoint, TimePoint now) {
  if (dead_ || agent != attached_) return;
  Advance(now);
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || !(it->second.listed.attempt == attempt)) return;
  EndEntry(it->second, WorkerTaskState::kEvicted,
           checkpoint ? WorkEventKind::kCheckpointed : WorkEventKind::kStopped,
           now);
}

void WorkerModel::Forget(uint64_t agent, const TaskId& task, Attempt attempt) {
  if (dead_ || agent != attached_) return;
  const auto it = tasks_.find(task);
  if (it == tasks_.end() || !(it->second.listed.attempt == attempt)) return;
  if (it->second.listed.state == WorkerTaskState::kRunning) return;
  tasks_.erase(it);
}

void WorkerModel::Throttle(uint64_t agent, int percent, TimePoint now) {
  if (dead_ || agent != attached_ || percent <= 0) return;
  Advance(now);
  for (auto& [task, entry] : tasks_) {
    const bool never_ends = entry.ends_at == TimePoint::max();
    if (entry.listed.state != WorkerTaskState::kRunning || never_ends) continue;
    entry.ends_at = now + (entry.ends_at - now) * percent_ / percent;
  }
  percent_ = percent;
}

std::vector<WorkerTask> WorkerModel::List() const {
  std::vector<WorkerTask> list;
  for (const auto& [task, entry] : tasks_) list.push_back(entry.listed);
  return list;
}

void WorkerModel::Advance(TimePoint now) {
  if (dead_) return;
  for (auto& [task, entry] : tasks_) {
    if (entry.listed.state != WorkerTaskState::kRunning) continue;
    if (entry.lease_end <= now && entry.lease_end <= entry.ends_at) {
      entry.listed.reason = "lease lapsed";
      EndEntry(entry, WorkerTaskState::kEvicted, WorkEventKind::kStopped,
               entry.lease_end);
    } else if (entry.ends_at <= now) {
      EndEntry(
          entry,
          entry.ends_failed ? WorkerTaskState::kFailed : WorkerTaskState::kDone,
          entry.ends_failed ? WorkEventKind::kFailed : WorkEventKind::kDone,
          entry.ends_at);
    }
  }
}

void WorkerModel::Kill(TimePoint now) {
  Advance(now);
  for (auto& [task, entry] : tasks_) {
    EndEntry(entry, WorkerTaskState::kEvicted, WorkEventKind::kLost, now);
  }
  tasks_.clear();
  dead_ = true;
}

size_t WorkerModel::running() const {
  return static_cast<size_t>(
      std::count_if(tasks_.begin(), tasks_.end(), [](const auto& entry) {
        return entry.second.listed.state == WorkerTaskState::kRunning;
      }));
}

}  // namespace beamhill
