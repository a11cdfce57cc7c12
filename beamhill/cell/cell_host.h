// One entry's part in one cell: decides when to take the cell, and while it
// owns it, drives the CellOwner against the platform's table.
//
// Taking the cell needs no waiting for safety: agents refuse an older epoch,
// and the CellOwner itself waits for VMs that have not answered. The host
// waits only to leave a healthy owner alone: it takes a cell that no one
// owns, that its owner released, that an earlier run of this entry owned, or
// whose owner most of the cell's agents report as lost.
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
  std::string entry;
  uint64_t incarnation = 0;
  // How often new range rows are looked for.
  Duration poll_interval = std::chrono::seconds(1);
  // How long loss reports must last, and how fresh each must be.
  Duration suspect_for = std::chrono::milliseconds(1500);
  Duration report_fresh_for = std::chrono::milliseconds(2500);
  // An owner that took the cell has so long until agents must have heard it.
  Duration unheard_for = std::chrono::seconds(10);
  // After a failed table call the next waits between half of this and all of
  // it, doubled each time up to the maximum.
  Duration first_retry = std::chrono::milliseconds(200);
  Duration max_retry = std::chrono::seconds(10);
};

struct CellHostHooks {
  std::function<TimePoint()> now;
  // Uniform in [0, 1).
  std::function<double()> random;
  // How long to hold back before taking a free cell; longer the more cells
  // this entry has, so that they spread.
  std::function<Duration()> claim_delay;
};

struct CellHostCounts {
  uint64_t reads = 0;
  uint64_t row_writes = 0;
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
  void OnVmGone(const std::string& vm, TimePoint now);
  void OnVmLeaving(const std::string& vm, bool leaving);
  // New range rows may be there; look soon.
  void OnWorkHint();
  void Tick(TimePoint now);

  // Stops acting and gives the cell up, also one whose claim is on its way.
  // `done` runs when that is durable or can't be done now.
  void Release(std::function<void()> done);

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
  struct LossReport {
    TimePoint first{};
    TimePoint last{};
    uint64_t epoch = 0;
  };

  bool OwnerLooksLost(TimePoint now) const;
  bool WantsRow(TimePoint now) const;
  void ReadRow();
  void OnRow(const Row& row, TimePoint sent_at);
  void Claim(uint64_t version, const CellRow& current, bool exists);
  void OnClaimed(uint64_t version, const Ownership& ownership);
  void Load(const Ownership& ownership);
  void OnLoaded(const Ownership& ownership, const Row& progress,
                const std::vector<Row>& ranges);
  void ReadRanges(const std::vector<Row>& rows, TimePoint sent_at);

  void TickOwner(TimePoint now);
  void Confirm(TimePoint now);
  void Poll(TimePoint now);
  void Save(TimePoint now);
  void ResolveSave(TimePoint sent_at, uint64_t sequence);
  void Finish(const std::string& job);
  void OnFinished(const std::string& job);
  void LoseOwnership();
  void EndRelease();
  void BackOff(TimePoint now);
  void OnTableWorks() { retry_ = Duration(0); }

  CellHostOptions options_;
  Table table_;
  CellHostHooks hooks_;

  std::map<std::string, Hello> agents_;  // Linked to this entry.
  std::map<std::string, LossReport> reports_;
  // VMs that the list dropped, and when; an owner that loads later is told.
  std::map<std::string, TimePoint> gone_;

  bool row_read_ = false;  // Since the last reason to look at it.
  bool busy_ = false;      // A claim or load is in progress.
  std::optional<TimePoint> claim_after_;
  TimePoint retry_at_{};
  Duration retry_{};

  bool claimed_ = false;  // The row says that the cell is ours.
  uint64_t row_version_ = 0;
  uint64_t row_epoch_ = 0;
  TimePoint row_epoch_since_{};  // When it was first read here.
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
  std::map<std::string, uint64_t> range_versions_;
  std::set<std::string> finishing_;
  // Jobs whose row is gone, and since when: a poll that was sent earlier may
  // still show it.
  std::map<std::string, TimePoint> finished_;
  CellHostCounts counts_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_CELL_CELL_HOST_H_
