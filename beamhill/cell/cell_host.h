// Manages ownership of one cell in one entry process: claims the cell when it
// has no live owner and, while it owns the cell, drives the CellOwner against
// the platform's table.
//
// Claiming a cell needs no delay for safety: agents refuse older epochs, and
// the CellOwner itself waits for the inventories of the VMs. The delays only
// protect a healthy owner from being replaced. A host claims a cell that has
// no owner, that its owner released, that an earlier incarnation of this entry
// owned, or whose owner more than half of the agents linked to this entry
// report as lost.
//
//   CellHost host(options, table, hooks);
//   host.OnHello(hello, now);
//   host.OnAgentMessage("vm-3", message, now);
//   host.Tick(now);
//   for (AgentMessage& m : host.TakeMessages()) ...
#ifndef BEAMHILL_CELL_CELL_HOST_H_
#define BEAMHILL_CELL_CELL_HOST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/cell/cell_owner.h"
#include "beamhill/cell/rows.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct CellHostOptions {
  CellOwnerOptions owner;
  std::string entry;         // This entry's name.
  uint64_t incarnation = 0;  // Of this entry process.
  // How often the range rows are scanned for new jobs and cancellations.
  Duration poll_interval = std::chrono::seconds(1);
  // An agent's OwnerLost messages count once they have continued for the
  // minimum duration, each at most the maximum age after the one before, and
  // only while the last one is no older than that.
  Duration loss_report_min_duration = std::chrono::milliseconds(1500);
  Duration loss_report_max_age = std::chrono::milliseconds(2500);
  // How long after a newer owner is first read from the cell's row loss reports
  // about its predecessors are ignored, since the agents may not have heard
  // from it yet.
  Duration new_owner_grace = std::chrono::seconds(10);
  // Backoff after failed table calls: each call is delayed by a random time
  // between half of the current delay and all of it. The delay starts at
  // `first_retry` and doubles with each failure up to `max_retry`.
  Duration first_retry = std::chrono::milliseconds(200);
  Duration max_retry = std::chrono::seconds(10);
};

struct CellHostHooks {
  std::function<TimePoint()> now;
  // Uniform in [0, 1).
  std::function<double()> random;
  // Returns the delay before a claim of the cell. It should grow with the
  // number of cells that this entry owns, so that cells spread over entries.
  std::function<Duration()> claim_delay;
};

struct CellHostCounts {
  uint64_t reads = 0;       // Read and scan calls to the table.
  uint64_t row_writes = 0;  // Rows in commits, whatever their result.
  uint64_t takeovers = 0;
  uint64_t lost_ownerships = 0;
};

class CellHost {
 public:
  CellHost(const CellHostOptions& options, Table table, CellHostHooks hooks);
  ~CellHost();
  CellHost(const CellHost&) = delete;
  CellHost& operator=(const CellHost&) = delete;

  void OnHello(const Hello& hello, TimePoint now);
  void OnLinkDown(const std::string& vm, const Session& session);
  void OnAgentMessage(const std::string& vm, const Message& message,
                      TimePoint now);
  // The platform's list no longer shows a VM that it showed before.
  void OnVmGone(const std::string& vm, TimePoint now);
  // The platform's list shows the VM, as leaving or not.
  void OnVmLeaving(const std::string& vm, bool leaving);
  // Makes the next Tick of an owner scan for new range rows, without waiting
  // for the poll interval.
  void OnWorkHint();
  // Claims the cell if there is reason to, or does an owner's periodic work:
  // confirms the ownership, saves the snapshot, polls ranges and finishes them.
  void Tick(TimePoint now);

  // Stops acting as owner and releases the cell, also when a claim is still in
  // progress. Calls `done` once the release is durable or has failed.
  void Release(std::function<void()> done);

  // See CellOwner; empty while the cell is not owned.
  std::vector<AgentMessage> TakeMessages();
  std::vector<std::string> TakeDroppedVms();

  bool owns() const { return owner_ != nullptr; }
  // Null while the cell is not owned.
  CellOwner* owner() { return owner_.get(); }
  const CellOwner* owner() const { return owner_.get(); }
  const std::string& cell() const { return options_.owner.cell; }
  const std::map<std::string, Hello>& agents() const { return agents_; }
  const CellHostCounts& counts() const { return counts_; }

 private:
  // One agent's uninterrupted series of OwnerLost messages.
  struct LossReport {
    TimePoint first{};
    TimePoint last{};
    uint64_t epoch = 0;
  };

  // Whether more than half of the linked agents report the owner as lost.
  bool IsOwnerReportedLost(TimePoint now) const;
  bool NeedsRowRead(TimePoint now) const;
  void ReadRow();
  // Claims the cell if its row, from a read sent at `sent_at`, permits it.
  void OnRow(const Row& row, TimePoint sent_at);
  // Writes this entry into the cell's row, provided that the row still has
  // `version`. `exists`: the row was written before.
  void Claim(uint64_t version, const CellRow& current, bool exists);
  // The cell's row, now with `version`, names this entry process as owner.
  void OnClaimed(uint64_t version, const Ownership& ownership);
  // Reads the cell's snapshot and range rows, then calls OnLoaded.
  void Load(const Ownership& ownership);
  // Creates the CellOwner, or retries later if the snapshot can't be decoded.
  void OnLoaded(const Ownership& ownership, const Row& progress,
                const std::vector<Row>& ranges);
  // Passes new and changed range rows to the owner.
  void ReadRanges(const std::vector<Row>& rows, TimePoint sent_at);

  void TickOwner(TimePoint now);
  // Reads the cell's row to confirm the ownership.
  void Confirm(TimePoint now);
  // Scans the cell's range rows.
  void Poll(TimePoint now);
  // Writes the owner's snapshot if one is due.
  void Save(TimePoint now);
  // Finds out by reading whether the snapshot with `sequence` was saved.
  void ResolveSave(TimePoint sent_at, uint64_t sequence);
  // Replaces the range's row by its result, in one transaction.
  void FinishRange(const std::string& job);
  void OnRangeFinished(const std::string& job);
  // Discards the owner: the cell's row has been changed by another process.
  void LoseOwnership();
  // Writes the released row if the cell is claimed, then calls release_done_.
  void EndRelease();
  // Delays the next table calls after a failure.
  void BackOff(TimePoint now);
  void ResetBackOff() { retry_delay_ = Duration(0); }

  CellHostOptions options_;
  Table table_;
  CellHostHooks hooks_;

  std::map<std::string, Hello> agents_;  // Linked to this entry, by VM.
  std::map<std::string, LossReport> loss_reports_;  // By VM.
  // VMs that the platform's list no longer shows, by the time of their
  // removal. Passed on to an owner that is loaded later.
  std::map<std::string, TimePoint> gone_vms_;

  // Whether the cell's row was read since something last suggested a change.
  bool row_read_ = false;
  // A read, claim or load on the way to ownership is in progress.
  bool claiming_ = false;
  std::optional<TimePoint> claim_after_;  // Set during the claim delay.
  TimePoint retry_at_{};
  Duration retry_delay_{};

  bool claimed_ = false;  // The cell's row names this entry process as owner.
  uint64_t row_version_ = 0;  // The version that this entry wrote.
  uint64_t row_epoch_ = 0;
  TimePoint row_epoch_since_{};  // When row_epoch_ was first read or written.
  uint64_t progress_version_ = 0;
  uint64_t snapshot_sequence_ = 0;
  std::unique_ptr<CellOwner> owner_;
  bool confirming_ = false;
  bool polling_ = false;
  bool saving_ = false;
  bool releasing_ = false;
  std::function<void()> release_done_;
  TimePoint last_poll_{};
  TimePoint last_confirm_{};
  std::map<std::string, uint64_t> range_versions_;  // Of the rows, by job.
  std::set<std::string> finishing_ranges_;  // Their jobs, during the commit.
  // Jobs whose range row was deleted, by the time of deletion. A poll sent
  // before that may still return the row, which must then be ignored.
  std::map<std::string, TimePoint> finished_ranges_;
  CellHostCounts counts_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_CELL_HOST_H_
