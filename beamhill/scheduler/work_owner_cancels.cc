// WorkOwner: cancellations of workflows, known ones and others.
#include <algorithm>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/log/log.h"
#include "beamhill/scheduler/work_owner.h"

namespace beamhill {

void WorkOwner::OnCancelStored(const std::string& workflow) {
  if (!dispatcher_) return;
  const auto state = dispatcher_->StateOf(workflow);
  if (!state) {
    pending_cancels_.insert(workflow);
    LoadWorkflow(workflow);
    return;
  }
  if (*state >= WorkflowState::kCompleted) {
    const bool is_new =
        stale_markers_.insert(rows::CancelMarker(workflow)).second;
    if (is_new) dispatcher_->Cancel(workflow, BootClock::now());
    return;
  }
  dispatcher_->Cancel(workflow, BootClock::now());
  ScheduleTick();
}

void WorkOwner::SettlePendingCancel(const std::string& workflow) {
  repository_.Cancel(workflow, [this, workflow](CancelResult result) {
    // The next scan of the markers finds it again.
    if (result == CancelResult::kUnknown) return;
    if (result == CancelResult::kNoSuchJob) pending_cancels_.erase(workflow);
    stale_markers_.insert(rows::CancelMarker(workflow));
  });
}

void WorkOwner::ScanTombstones() {
  if (removing_tombstones_ || !keeper_.MayAct()) return;
  table_.scan(
      rows::kCancels, lifetime_.Guard([this](Result<std::vector<Row>> rows) {
        if (!IsOk(rows) || removing_tombstones_) return;
        RemoveExpiredTombstones(
            tombstone_expiry_.OnScanned(ValueOf(rows), BootClock::now()));
      }));
}

void WorkOwner::RemoveExpiredTombstones(std::vector<Row> listings) {
  removing_tombstones_ = !listings.empty();
  if (listings.empty()) return;
  const size_t count = std::min(listings.size(), kMaxTombstonesPerRemoval);
  const auto rest = listings.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<Row> later(std::make_move_iterator(rest),
                         std::make_move_iterator(listings.end()));
  listings.erase(rest, listings.end());
  table_.commit(
      RemoveTombstones(listings),
      lifetime_.Guard(
          [this, count, later = std::move(later)](const CommitAnswer& answer) {
            if (answer.result != CommitResult::kCommitted) {
              // The next scan shows which of them are left.
              removing_tombstones_ = false;
              return;
            }
            Log(LogLevel::kInfo, "tombstones_removed", {{"count", count}});
            RemoveExpiredTombstones(later);
          }));
}

}  // namespace beamhill
