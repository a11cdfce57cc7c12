// The part of Dispatcher that stores what changed, and tells executors which
// ends are durable.
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Entries of one transaction: the store takes 100, of which the owner's row
// and what was learned of pressure take one each. A workflow's progress comes
// with the removal of its marker; one that is forgotten has three rows.
constexpr size_t kMaxEntries = 94;
constexpr size_t kEntriesOfProgress = 2;
constexpr size_t kEntriesOfForgotten = 3;
constexpr size_t kMaxCommit = kMaxEntries / kEntriesOfProgress;

}  // namespace

void Dispatcher::Settle(const EndsByVm& ends) {
  for (const auto& [name, end] : ends) {
    Vm& vm = vms_[name];
    if (vm.status.incarnation != end.first || vm.settled >= end.second) {
      continue;
    }
    // Stays unsettled until the VM can be told.
    if (!vm.linked || !vm.answered) continue;
    vm.settled = end.second;
    Send(name, EndsAcknowledged{options_.epoch, end.first, end.second});
  }
}

Dispatcher::EndsByVm Dispatcher::UnsettledEnds() const {
  EndsByVm ends;
  for (const auto& [name, vm] : vms_) {
    if (vm.processed > vm.settled) {
      ends[name] = {vm.status.incarnation, vm.processed};
    }
  }
  return ends;
}

void Dispatcher::AddProgress(DispatchCommit& commit) {
  while (!dirty_.empty() && commit.progress.size() < kMaxCommit) {
    const std::string id = *dirty_.begin();
    dirty_.erase(dirty_.begin());
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->dirty = false;
    commit.progress.emplace_back(id, job->progress.Record(options_.epoch));
    in_commit_.push_back(id);
  }
}

void Dispatcher::AddForgotten(DispatchCommit& commit, TimePoint now) const {
  for (const auto& [id, job] : jobs_) {
    const size_t entries = kEntriesOfProgress * commit.progress.size() +
                           kEntriesOfForgotten * (commit.forgotten.size() + 1);
    if (entries > kMaxEntries) return;
    const bool stored =
        !job->dirty && job->stored_state == job->progress.state();
    // Its rows are what tells a later owner to stop a run that still goes on.
    const bool old = job->over_at && stored && job->held_runs == 0 &&
                     now - *job->over_at > options_.retention;
    if (old) commit.forgotten.push_back(id);
  }
}

std::optional<DispatchCommit> Dispatcher::TakeCommit(TimePoint now) {
  if (commit_out_) return std::nullopt;
  EndsByVm ends = UnsettledEnds();
  // Nothing that these ends changed waits to be stored.
  if (dirty_.empty()) Settle(ends);
  DispatchCommit commit;
  const bool all = dirty_.size() <= kMaxCommit;
  AddProgress(commit);
  AddForgotten(commit, now);
  if (commit.progress.empty() && commit.forgotten.empty()) return std::nullopt;
  if (all) settling_ = std::move(ends);
  forgetting_ = commit.forgotten;
  commit_out_ = true;
  return commit;
}

void Dispatcher::OnCommitted() {
  commit_out_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    Job* job = Find(id);
    if (job == nullptr) continue;
    job->opened = true;
    // A job that changed meanwhile is dirty again and shows its end later.
    if (!job->dirty) job->stored_state = job->progress.state();
  }
  for (const std::string& id : std::exchange(forgetting_, {})) jobs_.erase(id);
  Settle(std::exchange(settling_, {}));
}

void Dispatcher::OnCommitFailed() {
  commit_out_ = false;
  for (const std::string& id : std::exchange(in_commit_, {})) {
    if (Job* job = Find(id); job != nullptr) MarkDirty(*job);
  }
  forgetting_.clear();
  settling_.clear();
}

}  // namespace beamhill
