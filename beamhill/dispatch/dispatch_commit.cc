// Dispatcher: collects changes to store, and acknowledges ends once they are
// durable.
#include <algorithm>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Entries of a transaction: the table takes 100, of which the owner's row and
// the learned interference take one each. A workflow's progress comes with the
// removal of its marker row; a forgotten workflow has three rows.
constexpr size_t kMaxEntries = 94;
constexpr size_t kEntriesPerProgress = 2;
constexpr size_t kEntriesPerForgotten = 3;
constexpr size_t kMaxProgressPerCommit = kMaxEntries / kEntriesPerProgress;
// A transaction has a megabyte, of which records take four thirds in base64.
constexpr size_t kMaxProgressBytes = 500 * 1000;

}  // namespace

void Dispatcher::AcknowledgeEnds(const EndsByVm& ends) {
  for (const auto& [name, end] : ends) {
    Vm& vm = vms_[name];
    if (vm.status.incarnation != end.first ||
        vm.acknowledged_end >= end.second) {
      continue;
    }
    // Sent later, once the VM is reachable.
    if (!vm.linked || !vm.has_inventory) continue;
    vm.acknowledged_end = end.second;
    Send(name, EndsAcknowledged{options_.epoch, end.first, end.second});
  }
}

Dispatcher::EndsByVm Dispatcher::UnacknowledgedEnds() const {
  EndsByVm ends;
  for (const auto& [name, vm] : vms_) {
    if (vm.last_end > vm.acknowledged_end) {
      ends[name] = {vm.status.incarnation, vm.last_end};
    }
  }
  return ends;
}

void Dispatcher::AddProgress(DispatchCommit& commit) {
  size_t bytes = 0;
  auto next = dirty_.begin();
  while (next != dirty_.end() &&
         commit.progress.size() < kMaxProgressPerCommit &&
         bytes + kMaxProgressRecordBytes <= kMaxProgressBytes) {
    const std::string& id = *next++;
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->dirty = false;
    commit.progress.emplace_back(id, job->progress.Record(options_.epoch));
    bytes += EncodedSizeBound(commit.progress.back().second);
    in_commit_.push_back(id);
  }
  dirty_.erase(dirty_.begin(), next);
}

void Dispatcher::AddForgotten(DispatchCommit& commit, TimePoint now) const {
  for (const auto& [id, job] : jobs_) {
    const size_t entries = kEntriesPerProgress * commit.progress.size() +
                           kEntriesPerForgotten * (commit.forgotten.size() + 1);
    if (entries > kMaxEntries) return;
    const bool stored =
        !job->dirty && job->stored_state == job->progress.state();
    if (!job->over_at || !stored) continue;
    // Its rows tell a later owner to stop a run that still continues, and keep
    // a submission sent before a cancellation from being stored again.
    const TimePoint last_change = std::max(*job->over_at, job->cancelled_at);
    const bool old =
        job->held_runs == 0 && now - last_change > options_.retention;
    if (old) commit.forgotten.push_back(id);
  }
}

std::optional<DispatchCommit> Dispatcher::TakeCommit(TimePoint now) {
  if (commit_in_flight_) return std::nullopt;
  EndsByVm ends = UnacknowledgedEnds();
  // All changes made by these ends are stored already.
  if (dirty_.empty()) AcknowledgeEnds(ends);
  DispatchCommit commit;
  AddProgress(commit);
  const bool all = dirty_.empty();
  AddForgotten(commit, now);
  if (commit.progress.empty() && commit.forgotten.empty()) return std::nullopt;
  if (all) acknowledging_ = std::move(ends);
  forgetting_ = commit.forgotten;
  commit_in_flight_ = true;
  return commit;
}

void Dispatcher::OnCommitted() {
  commit_in_flight_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->opened = true;
    // A job that has changed since is dirty again; its new state counts later.
    if (job->dirty) continue;
    job->stored_state = job->progress.state();
    if (!job->progress.over()) continue;
    counts_.workflow_bytes -= job->progress.MemoryBytes();
    job->progress.ReleaseTasks();
    counts_.workflow_bytes += job->progress.MemoryBytes();
  }
  for (const std::string& id : std::exchange(forgetting_, {})) {
    const auto it = jobs_.find(id);
    if (it == jobs_.end()) continue;
    counts_.workflow_bytes -= it->second->progress.MemoryBytes();
    jobs_.erase(it);
  }
  AcknowledgeEnds(std::exchange(acknowledging_, {}));
}

void Dispatcher::OnCommitFailed() {
  commit_in_flight_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    if (Job* job = Find(id); job != nullptr) MarkDirty(*job);
  }
  forgetting_.clear();
  acknowledging_.clear();
}

}  // namespace beamhill
