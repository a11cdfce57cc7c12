// Runs the deployment's work while this process owns it: loads the stored
// state, keeps a link to each VM's executor, drives the Dispatcher and stores
// its decisions.
//
//   WorkOwner owner(loop, table, keeper, options, hooks);
//   owner.OnWorkflowStored(workflow);
#ifndef BEAMHILL_SCHEDULER_WORK_OWNER_H_
#define BEAMHILL_SCHEDULER_WORK_OWNER_H_

#include <functional>
#include <limits>
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
#include "beamhill/overload/memory_reservations.h"
#include "beamhill/scheduler/dialed_peer.h"
#include "beamhill/scheduler/job_repository.h"
#include "beamhill/scheduler/tombstone.h"
#include "beamhill/table/table.h"

namespace beamhill {

// Queries the placement advisor; `done` receives nullopt if there is no answer.
using AdvisorHook = std::function<void(
    const AdviceRequest&, std::function<void(std::optional<Advice>)> done)>;

// Returns the newest known set of data halls to evacuate.
using EvacuationsHook = std::function<const Evacuations&()>;

struct WorkOwnerOptions {
  uint64_t epoch = 0;
  Duration lease_term = std::chrono::seconds(5);
  Duration inherited_bound{};
  bool first = false;  // There was no previous owner.
  // How often the table is scanned for new VMs.
  Duration vm_scan_interval = std::chrono::milliseconds(1500);
  // How often it is scanned for rows of legacy executors (see
  // rows::kLegacyExecutors), which appear only during an upgrade.
  Duration legacy_executor_scan_interval = std::chrono::seconds(15);
  // How often it is scanned for submissions and cancellations whose notices
  // were lost; see kStartOrderTtl.
  Duration marker_scan_interval = std::chrono::milliseconds(800);
  // How long tombstones are kept (see TombstoneExpiry): as long as finished
  // workflows. How often the table is scanned for older ones.
  Duration tombstone_retention = DispatcherOptions{}.retention;
  Duration tombstone_scan_interval = std::chrono::seconds(30);
  // Minimum time between the starts of two transactions.
  Duration commit_interval = std::chrono::milliseconds(40);
  // Memory for workflows, in bytes.
  uint64_t work_bytes = std::numeric_limits<uint64_t>::max();
};

// Metrics that persist across ownerships.
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

  // Whether the stored state is loaded; nothing is decided before.
  bool loaded() const { return dispatcher_ != nullptr; }
  // Handle notices of what this process or a peer has stored.
  void OnWorkflowStored(const Workflow& workflow);
  void OnCancelStored(const std::string& workflow);

  // Reserves memory for a workflow that is about to be stored. Returns false if
  // it would take more than half of what the known ones leave. The reservation
  // ends once the workflow is known, or by ReleaseMemory.
  bool ReserveMemory(const Workflow& workflow);
  void ReleaseMemory(const std::string& workflow);
  // Memory of the known workflows and of those about to be stored.
  uint64_t WorkBytes() const;

  // Return nullopt for what is unknown here or not loaded yet.
  std::optional<WorkflowState> StateOf(const std::string& workflow) const;
  std::optional<uint64_t> WaitingIn(const std::string& queue) const;

  // Stores what has changed, if anything has and a transaction is due.
  void CommitIfDue();

  // Stops starting tasks, stores what has been decided so far, then calls
  // `done`. Runs that end later are reported again to the next owner.
  void Quiesce(std::function<void()> done);

  // Stops acting for good: nothing more is sent or stored, and `done` of
  // Quiesce is not called any more. May be called anywhere, also by `done`.
  void Stop();

  // Among finished workflows of which VMs still hold runs, the time since the
  // first one finished; zero if there is none.
  Duration OldestOrphan() const;
  // Age of the oldest stop that its VM has not confirmed; zero if there is
  // none.
  Duration OldestStop() const;
  // VMs that answer, but whose tasks make no progress.
  size_t StalledVmCount() const;
  // Number of workflows that wait until leases of an earlier owner are over.
  size_t InheritedWaiting() const;
  // As of the last log lines, once a second: long-running tasks that wait for
  // that reason for more than 2 s (of the first 100), and the longest wait.
  size_t WaitingTasks(WaitReason reason) const;
  Duration LongestWait() const { return longest_wait_; }
  // Cancellations of workflows that were not stored, as of the last scan.
  size_t tombstones() const { return tombstone_expiry_.size(); }
  // Null until loaded.
  const Dispatcher* dispatcher() const { return dispatcher_.get(); }
  std::string Dump() const;

 private:
  struct VmPeer {
    VmRecord record;
    DialedPeerPtr peer;
    Timer reattach;  // While it reports unknown work.
    // Whether its row was written by an executor of this version.
    bool registered = false;
  };
  struct LoadedRows;

  // Defined in work_owner_vms.cc.
  void ScanVms();
  void ScanLegacyExecutors();
  void OnVmRows(const std::vector<Row>& rows);
  void OnLegacyExecutorRows(const std::vector<Row>& rows);
  void ConnectIfChanged(const VmRecord& record);
  void Connect(const VmRecord& record);
  void OnVmMessage(const std::string& vm, const DispatchMessage& message);
  // Closes unresponsive links, and logs which have opened and closed.
  void CheckLinks();

  // Defined in work_owner_cancels.cc.

  // Handles a cancellation of a workflow that was not found, since it was
  // forgotten just after: stores a tombstone, then the marker can go.
  void SettlePendingCancel(const std::string& workflow);
  void ScanTombstones();
  // Removes the tombstones with these listings, some in each transaction.
  void RemoveExpiredTombstones(std::vector<Row> listings);

  // Defined in work_owner_log.cc.
  void LogSummary();
  void LogOrphans();
  // Logs which VMs hold back work of earlier owners, and until when.
  void LogInheritedWaiting(const DispatchSummary& summary);
  // Logs which long-running tasks wait, why, and for which VM.
  void LogWaitingTasks();
  void LogInterferenceChanges();

  void Load();
  void LoadNext(std::shared_ptr<LoadedRows> loaded_rows);
  // Makes loaded() true.
  void CreateDispatcher(const LoadedRows& loaded_rows, TimePoint now);
  void AddLoadedWorkflows(const LoadedRows& loaded_rows, TimePoint now);
  void OnLoaded(const LoadedRows& loaded_rows);
  void ScanMarkers();
  void OnMarkerRows(const std::vector<Row>& rows);
  void LoadWorkflow(const std::string& id);
  void Add(const Workflow& workflow,
           const std::optional<ProgressRecord>& record);
  void ScheduleTick();
  void Tick();
  void Flush();
  void MaybeCommit();
  void RequestAdvice();
  void OnCommitted(bool committed, TimePoint sent_at);
  // Updates what the Dispatcher may do, and logs when the owner's authority
  // ends and when it is back.
  void RefreshAuthority();
  std::vector<RowWrite> BuildWrites(const DispatchCommit& commit);

  EventLoop& loop_;
  Table table_;
  OwnershipKeeper& keeper_;
  WorkOwnerOptions options_;
  AdvisorHook advisor_;
  EvacuationsHook evacuations_;
  WorkOwnerMetrics metrics_;
  JobRepository repository_;
  std::unique_ptr<Dispatcher> dispatcher_;
  MemoryReservations reservations_;
  std::map<std::string, VmPeer> vms_;
  // Since the last log lines about them.
  std::vector<std::string> newly_linked_;
  std::vector<std::string> newly_unlinked_;
  std::set<std::string> loading_workflows_;
  std::set<std::string> pending_cancels_;  // Of workflows not added yet.
  std::set<std::string> stale_markers_;  // To be deleted with the next commits.
  TombstoneExpiry tombstone_expiry_;
  std::map<WaitReason, size_t> waiting_by_reason_;
  Duration longest_wait_{};
  bool scanning_vms_ = false;
  bool scanning_markers_ = false;
  bool removing_tombstones_ = false;
  bool stopped_ = false;
  bool quiescing_ = false;
  TimePoint quiesce_started_at_{};
  // Whether a transaction sent since then has taken effect.
  bool quiesce_committed_ = false;
  std::function<void()> on_quiesced_;
  TimePoint next_commit_at_{};
  TimePoint interference_stored_at_{};
  uint64_t starts_counted_ = 0;
  bool had_authority_ = true;
  Timer scheduled_tick_;
  bool tick_pending_ = false;
  Timer tick_;
  Timer vm_scan_;
  Timer legacy_executor_scan_;
  Timer marker_scan_;
  Timer tombstone_scan_;
  Timer summary_;
  Timer reload_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_WORK_OWNER_H_
