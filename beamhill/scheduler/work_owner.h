// What a scheduler process does while it owns the deployment's work: loads
// what is stored, keeps a link to each VM's executor, drives the Dispatcher
// and stores what it decides.
//
//   WorkOwner owner(loop, table, keeper, options, hooks);
//   owner.OnWorkflowStored(workflow);
#ifndef BEAMHILL_SCHEDULER_WORK_OWNER_H_
#define BEAMHILL_SCHEDULER_WORK_OWNER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/ownership_keeper.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/scheduler/dialed_peer.h"
#include "beamhill/scheduler/job_desk.h"
#include "beamhill/table/table.h"

namespace beamhill {

// Asks the placement advisor; `done` gets nothing when no answer came.
using AdvisorHook = std::function<void(
    const AdviceRequest&, std::function<void(std::optional<Advice>)> done)>;

// The newest that is known of the data halls to be emptied.
using EvacuationsHook = std::function<const Evacuations&()>;

struct WorkOwnerOptions {
  uint64_t epoch = 0;
  Duration lease_term = std::chrono::seconds(5);
  Duration inherited_bound{};
  bool first = false;  // No owner came before.
  // How often new VMs are looked for in the table.
  Duration vm_scan_interval = std::chrono::milliseconds(1500);
  // And for rows of executors of an earlier version, which come only while an
  // upgrade is under way.
  Duration earlier_vm_scan_interval = std::chrono::seconds(15);
  // How often missed notices of submissions and cancellations are: see
  // kStartOrderTtl.
  Duration notice_scan_interval = std::chrono::milliseconds(800);
  // Least time between the beginnings of two transactions.
  Duration commit_interval = std::chrono::milliseconds(40);
};

// Figures that outlive one ownership.
struct WorkOwnerMetrics {
  LatencyHistogram* commit = nullptr;
  Counter* starts = nullptr;
};

class WorkOwner {
 public:
  WorkOwner(EventLoop& loop, Table table, OwnershipKeeper& keeper,
            const WorkOwnerOptions& options, AdvisorHook advisor,
            EvacuationsHook evacuations, WorkOwnerMetrics metrics);
  ~WorkOwner();
  WorkOwner(const WorkOwner&) = delete;
  WorkOwner& operator=(const WorkOwner&) = delete;

  // Whether what was stored is loaded; before that nothing is decided.
  bool loaded() const { return dispatcher_ != nullptr; }
  // Notices of what peers or this process stored.
  void OnWorkflowStored(const Workflow& workflow);
  void OnCancelStored(const std::string& workflow);

  // Nothing when it isn't known here, or nothing is loaded yet.
  std::optional<WorkflowState> StateOf(const std::string& workflow) const;
  std::optional<uint64_t> WaitingIn(const std::string& queue) const;

  // Starts nothing more and stores what is decided by now, then calls `done`.
  // What ends later is reported again to the next owner.
  void Quiesce(std::function<void()> done);

  // For how long the oldest workflow of which VMs still hold runs has been
  // over; zero without any.
  Duration OldestOrphan() const;
  // For how long the oldest stop that no VM has confirmed has been decided;
  // zero without any.
  Duration OldestStop() const;
  // Null before it is loaded.
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  std::string Dump() const;

 private:
  struct VmPeer {
    VmRecord record;
    std::unique_ptr<DialedPeer> peer;
    Timer reattach;  // While its work is not all known here.
    // Its row is one that executors of this version write.
    bool registered = false;
  };
  struct Loading;

  // In work_owner_vms.cc.
  void ScanVms();
  void ScanEarlierVms();
  void OnVmRows(const std::vector<Row>& rows);
  void OnEarlierVmRows(const std::vector<Row>& rows);
  void ConnectUnlessKnown(const VmRecord& record);
  void Connect(const VmRecord& record);
  void OnVmMessage(const std::string& vm, const DispatchMessage& message);
  // Breaks links without a sign of life, and logs which came and went.
  void CheckLinks();

  // In work_owner_log.cc.
  void LogSummary();
  void LogOrphans();
  void LogPressureNews();

  void Load();
  void LoadNext(std::shared_ptr<Loading> loading);
  // From here on it is loaded().
  void CreateDispatcher(const Loading& loading, TimePoint now);
  void AddLoadedWorkflows(const Loading& loading, TimePoint now);
  void OnLoaded(const Loading& loading);
  void ScanNotices();
  void OnArrivalRows(const std::vector<Row>& rows);
  void LoadWorkflow(const std::string& id);
  void Add(const Workflow& workflow,
           const std::optional<ProgressRecord>& record);
  void TickSoon();
  void Tick();
  void Flush();
  void MaybeCommit();
  void AskAdvisor();
  void OnCommitted(bool committed, TimePoint sent_at);
  // Tells the Dispatcher what it may do by now, and logs when the authority of
  // the ownership is over and when it is back.
  void RefreshAuthority();
  std::vector<RowWrite> WritesOf(const DispatchCommit& commit);

  EventLoop& loop_;
  Table table_;
  OwnershipKeeper& keeper_;
  WorkOwnerOptions options_;
  AdvisorHook advisor_;
  EvacuationsHook evacuations_;
  WorkOwnerMetrics metrics_;
  JobDesk desk_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::map<std::string, VmPeer> vms_;
  // Since the last log lines about them.
  std::vector<std::string> linked_;
  std::vector<std::string> unlinked_;
  std::set<std::string> loading_workflows_;
  std::set<std::string> early_cancels_;  // Of workflows not added yet.
  std::set<std::string> stale_markers_;  // To remove with the next commit.
  bool scanning_vms_ = false;
  bool scanning_notices_ = false;
  bool quiet_ = false;
  TimePoint quiet_since_{};
  // A transaction that was made since has taken effect.
  bool quiet_stored_ = false;
  std::function<void()> on_quiet_;
  TimePoint commit_after_{};
  TimePoint pressure_stored_at_{};
  uint64_t starts_counted_ = 0;
  bool has_authority_ = true;
  Timer tick_soon_;
  bool tick_pending_ = false;
  Timer tick_;
  Timer vm_scan_;
  Timer earlier_vm_scan_;
  Timer notice_scan_;
  Timer summary_;
  Timer reload_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_WORK_OWNER_H_
