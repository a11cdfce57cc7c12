#include "beamhill/scheduler/work_owner.h"

#include <algorithm>
#include <utility>

#include "beamhill/config/config.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Messages that arrive together are handled in one tick.
constexpr Duration kTickDelay = std::chrono::milliseconds(2);
constexpr Duration kSummaryInterval = std::chrono::seconds(1);
constexpr Duration kReloadDelay = std::chrono::milliseconds(200);
// How often a transaction includes the learned interference: a few kilobytes.
constexpr Duration kStoreInterferenceInterval = std::chrono::seconds(2);
constexpr Duration kCommitRetryDelay = std::chrono::milliseconds(150);

UnixMillis UnixNow() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string StripPrefix(const std::string& key, const std::string& prefix) {
  return key.substr(prefix.size());
}

}  // namespace

// The stored rows, collected prefix by prefix.
struct WorkOwner::LoadedRows {
  std::vector<std::string> prefixes = {rows::kExecutors, rows::kLegacyExecutors,
                                       rows::kWorkflows, rows::kProgress,
                                       rows::kCancels,   rows::kLearned};
  std::map<std::string, std::vector<Row>> rows_by_prefix;

  // Returns each VM's name once.
  std::set<std::string> VmNames() const {
    std::set<std::string> names;
    for (const char* prefix : {rows::kExecutors, rows::kLegacyExecutors}) {
      for (const Row& row : rows_by_prefix.at(prefix)) {
        names.insert(StripPrefix(row.key, prefix));
      }
    }
    return names;
  }
};

WorkOwner::WorkOwner(EventLoop& loop, Table table, OwnershipKeeper& keeper,
                     const WorkOwnerOptions& options, AdvisorHook advisor,
                     EvacuationsHook evacuations, WorkOwnerMetrics metrics)
    : loop_(loop),
      table_(table),
      keeper_(keeper),
      options_(options),
      advisor_(std::move(advisor)),
      evacuations_(std::move(evacuations)),
      metrics_(metrics),
      repository_(table),
      reservations_(options.work_bytes),
      tombstone_expiry_(options.tombstone_retention) {
  Load();
}

WorkOwner::~WorkOwner() = default;

void WorkOwner::Load() { LoadNext(std::make_shared<LoadedRows>()); }

void WorkOwner::LoadNext(std::shared_ptr<LoadedRows> loaded_rows) {
  const size_t next = loaded_rows->rows_by_prefix.size();
  // Nothing may start before the evacuated data halls are known.
  if (next == loaded_rows->prefixes.size() && !evacuations_().known) {
    Log(LogLevel::kWarning, "evacuations_unknown", {{"epoch", options_.epoch}});
    reload_ = loop_.After(kReloadDelay,
                          [this, loaded_rows] { LoadNext(loaded_rows); });
    return;
  }
  if (next == loaded_rows->prefixes.size()) {
    OnLoaded(*loaded_rows);
    return;
  }
  const std::string prefix = loaded_rows->prefixes[next];
  table_.scan(prefix, lifetime_.Guard([this, loaded_rows,
                                       prefix](Result<std::vector<Row>> rows) {
    if (!IsOk(rows)) {
      Log(LogLevel::kWarning, "load_failed",
          {{"table", prefix}, {"error", ErrorOf(rows).message}});
      reload_ = loop_.After(kReloadDelay, [this] { Load(); });
      return;
    }
    loaded_rows->rows_by_prefix[prefix] = ValueOf(rows);
    LoadNext(loaded_rows);
  }));
}

void WorkOwner::CreateDispatcher(const LoadedRows& loaded_rows, TimePoint now) {
  DispatcherOptions options;
  options.epoch = options_.epoch;
  options.lease_term = options_.lease_term;
  options.inherited_bound = options_.inherited_bound;
  if (!options_.first) {
    const std::set<std::string> names = loaded_rows.VmNames();
    options.inherited_vms.assign(names.begin(), names.end());
  }
  dispatcher_ = Dispatcher::Create(
      options,
      [](const std::string& workflow, const std::string& event,
         const std::string& detail) {
        Log(LogLevel::kInfo, event,
            {{"request", workflow}, {"detail", detail}});
      },
      now);
}

void WorkOwner::AddLoadedWorkflows(const LoadedRows& loaded_rows,
                                   TimePoint now) {
  std::map<std::string, ProgressRecord> records;
  for (const Row& row : loaded_rows.rows_by_prefix.at(rows::kProgress)) {
    auto record = DecodeRecord<ProgressRecord>(row.value);
    if (!IsOk(record)) {
      Log(LogLevel::kError, "bad_row",
          {{"key", row.key}, {"error", ErrorOf(record).message}});
      continue;
    }
    records[StripPrefix(row.key, rows::kProgress)] = ValueOf(record);
  }
  for (const Row& row : loaded_rows.rows_by_prefix.at(rows::kWorkflows)) {
    if (IsTombstone(row)) continue;
    const auto workflow = DecodeRecord<Workflow>(row.value);
    if (!IsOk(workflow)) {
      Log(LogLevel::kError, "bad_row",
          {{"key", row.key}, {"error", ErrorOf(workflow).message}});
      continue;
    }
    const auto record = records.find(ValueOf(workflow).id);
    dispatcher_->AddWorkflow(
        ValueOf(workflow),
        record == records.end() ? std::nullopt : std::optional(record->second),
        now);
    reservations_.Release(ValueOf(workflow).id);
  }
}

void WorkOwner::OnLoaded(const LoadedRows& loaded_rows) {
  const TimePoint now = BootClock::now();
  CreateDispatcher(loaded_rows, now);
  AddLoadedWorkflows(loaded_rows, now);
  for (const Row& row : loaded_rows.rows_by_prefix.at(rows::kCancels)) {
    dispatcher_->Cancel(StripPrefix(row.key, rows::kCancels), now);
  }
  for (const Row& row : loaded_rows.rows_by_prefix.at(rows::kLearned)) {
    const auto learned = DecodeRecord<InterferenceRecord>(row.value);
    if (IsOk(learned)) dispatcher_->RestoreInterference(ValueOf(learned));
  }
  Log(LogLevel::kInfo, "owner_loaded",
      {{"epoch", options_.epoch},
       {"workflows", dispatcher_->workflows()},
       {"vms", loaded_rows.VmNames().size()}});
  OnVmRows(loaded_rows.rows_by_prefix.at(rows::kExecutors));
  OnLegacyExecutorRows(loaded_rows.rows_by_prefix.at(rows::kLegacyExecutors));
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
  vm_scan_ = loop_.Every(options_.vm_scan_interval, [this] { ScanVms(); });
  legacy_executor_scan_ = loop_.Every(options_.legacy_executor_scan_interval,
                                      [this] { ScanLegacyExecutors(); });
  marker_scan_ =
      loop_.Every(options_.marker_scan_interval, [this] { ScanMarkers(); });
  tombstone_scan_ = loop_.Every(options_.tombstone_scan_interval,
                                [this] { ScanTombstones(); });
  summary_ = loop_.Every(kSummaryInterval, [this] {
    dispatcher_->SendInterferenceWeights();
    Flush();
    LogSummary();
  });
  ScanVms();
  ScanMarkers();
  Tick();
}

void WorkOwner::RefreshAuthority() {
  const bool may_act = keeper_.MayAct();
  const Authority owner_authority =
      quiescing_ ? Authority::kClosing : Authority::kFull;
  dispatcher_->SetAuthority(may_act ? owner_authority : Authority::kNone,
                            BootClock::now());
  if (may_act == had_authority_) return;
  had_authority_ = may_act;
  Log(may_act ? LogLevel::kInfo : LogLevel::kWarning,
      may_act ? "authority_back" : "authority_over",
      {{"epoch", options_.epoch},
       {"since_confirmed_ms", ToMillis(keeper_.SinceConfirmed())}});
}

void WorkOwner::ScanMarkers() {
  if (scanning_markers_) return;
  scanning_markers_ = true;
  table_.scan(rows::kArrivals,
              lifetime_.Guard([this](Result<std::vector<Row>> rows) {
                scanning_markers_ = false;
                if (IsOk(rows)) OnMarkerRows(ValueOf(rows));
              }));
}

void WorkOwner::OnMarkerRows(const std::vector<Row>& rows) {
  const std::string new_prefix = rows::NewMarker("");
  const std::string cancel_prefix = rows::CancelMarker("");
  for (const Row& row : rows) {
    if (row.key.rfind(cancel_prefix, 0) == 0) {
      OnCancelStored(StripPrefix(row.key, cancel_prefix));
      continue;
    }
    const std::string id = StripPrefix(row.key, new_prefix);
    if (dispatcher_->Knows(id)) {
      reservations_.Release(id);
      const auto state = dispatcher_->StateOf(id);
      if (state >= WorkflowState::kCompleted) stale_markers_.insert(row.key);
      continue;
    }
    LoadWorkflow(id);
  }
}

void WorkOwner::LoadWorkflow(const std::string& id) {
  if (!loading_workflows_.insert(id).second) return;
  repository_.Load(id, [this, id](std::optional<Workflow> workflow,
                                  std::optional<ProgressRecord> record) {
    loading_workflows_.erase(id);
    reservations_.Release(id);
    if (workflow) {
      Add(*workflow, record);
    } else if (pending_cancels_.count(id) > 0) {
      SettlePendingCancel(id);
    }
  });
}

void WorkOwner::Add(const Workflow& workflow,
                    const std::optional<ProgressRecord>& record) {
  dispatcher_->AddWorkflow(workflow, record, BootClock::now());
  reservations_.Release(workflow.id);
  if (pending_cancels_.erase(workflow.id) > 0) {
    dispatcher_->Cancel(workflow.id, BootClock::now());
  }
  ScheduleTick();
}

void WorkOwner::OnWorkflowStored(const Workflow& workflow) {
  // While loading, the load or the next marker scan finds it.
  if (!dispatcher_) return;
  if (dispatcher_->Knows(workflow.id)) {
    reservations_.Release(workflow.id);
    return;
  }
  if (workflow.offered_to_epoch == options_.epoch && ReserveMemory(workflow)) {
    Add(workflow, std::nullopt);
  } else {
    // An earlier owner may have been notified too, so the stored record
    // decides. So it does if there is no memory for the workflow, since a peer
    // could report any.
    LoadWorkflow(workflow.id);
  }
}

bool WorkOwner::ReserveMemory(const Workflow& workflow) {
  if (dispatcher_ && dispatcher_->Knows(workflow.id)) return true;
  const uint64_t in_use =
      dispatcher_ ? dispatcher_->counts().workflow_bytes : 0;
  return reservations_.Reserve(workflow.id, ProgressMemoryOf(workflow), in_use);
}

void WorkOwner::ReleaseMemory(const std::string& workflow) {
  reservations_.Release(workflow);
}

uint64_t WorkOwner::WorkBytes() const {
  return reservations_.bytes() +
         (dispatcher_ ? dispatcher_->counts().workflow_bytes : 0);
}

std::optional<WorkflowState> WorkOwner::StateOf(
    const std::string& workflow) const {
  return dispatcher_ ? dispatcher_->StateOf(workflow) : std::nullopt;
}

std::optional<uint64_t> WorkOwner::WaitingIn(const std::string& queue) const {
  if (!dispatcher_) return std::nullopt;
  return dispatcher_->WaitingIn(queue);
}

void WorkOwner::ScheduleTick() {
  if (tick_pending_ || stopped_) return;
  tick_pending_ = true;
  scheduled_tick_ = loop_.After(kTickDelay, [this] { Tick(); });
}

void WorkOwner::Tick() {
  tick_pending_ = false;
  const TimePoint now = BootClock::now();
  RefreshAuthority();
  dispatcher_->OnConfirmed(keeper_.confirmed_at());
  dispatcher_->SetEvacuations(evacuations_());
  dispatcher_->Tick(now, UnixNow());
  const uint64_t starts = dispatcher_->counts().starts;
  metrics_.starts->Add(starts - starts_counted_);
  starts_counted_ = starts;
  MaybeCommit();
  RequestAdvice();
  Flush();
  CheckLinks();
}

void WorkOwner::RequestAdvice() {
  for (const AdviceRequest& request : dispatcher_->TakeAdviceRequests()) {
    advisor_(request, lifetime_.Guard([this, step = request.step](
                                          std::optional<Advice> advice) {
      dispatcher_->OnAdvice(step, advice, BootClock::now());
      ScheduleTick();
    }));
  }
}

void WorkOwner::Flush() {
  RefreshAuthority();
  for (const VmMessage& out : dispatcher_->TakeMessages()) {
    const auto it = vms_.find(out.vm);
    if (it != vms_.end()) it->second.peer->Send(out.message);
  }
}

std::vector<RowWrite> WorkOwner::BuildWrites(const DispatchCommit& commit) {
  std::vector<RowWrite> writes;
  const auto remove = [&writes](const std::string& key) {
    writes.push_back({key, kAnyVersion, std::nullopt});
  };
  for (const auto& [id, record] : commit.progress) {
    writes.push_back({rows::kProgress + id, kAnyVersion, EncodeRecord(record)});
    remove(rows::NewMarker(id));
    stale_markers_.erase(rows::NewMarker(id));
  }
  for (const std::string& id : commit.forgotten) {
    remove(rows::kWorkflows + id);
    remove(rows::kProgress + id);
    remove(rows::kCancels + id);
  }
  const TimePoint now = BootClock::now();
  if (now - interference_stored_at_ >= kStoreInterferenceInterval) {
    interference_stored_at_ = now;
    const std::string learned =
        EncodeRecord(dispatcher_->LearnedInterference());
    if (learned.size() <= table_.max_value_bytes) {
      writes.push_back({rows::kInterference, kAnyVersion, learned});
    } else {
      Log(LogLevel::kWarning, "interference_too_large",
          {{"bytes", learned.size()}});
    }
  }
  constexpr size_t kMaxWrites = 98;  // The limit is 100; one is the owner row.
  while (!stale_markers_.empty() && writes.size() < kMaxWrites) {
    remove(*stale_markers_.begin());
    stale_markers_.erase(stale_markers_.begin());
  }
  return writes;
}

void WorkOwner::CommitIfDue() {
  if (dispatcher_) MaybeCommit();
}

void WorkOwner::MaybeCommit() {
  const TimePoint now = BootClock::now();
  if (stopped_ || keeper_.committing() || !keeper_.MayAct()) return;
  if (now < next_commit_at_ && !quiescing_) return;
  if (quiesce_committed_ && on_quiesced_) {
    std::exchange(on_quiesced_, nullptr)();
    return;
  }
  const auto commit = dispatcher_->TakeCommit(now);
  if (!commit && dispatcher_->NeedsConfirmation(now)) {
    next_commit_at_ = now + options_.commit_interval;
    keeper_.Commit({}, lifetime_.Guard([this](bool) { ScheduleTick(); }));
    return;
  }
  if (!commit) {
    if (quiescing_ && on_quiesced_) std::exchange(on_quiesced_, nullptr)();
    return;
  }
  next_commit_at_ = now + options_.commit_interval;
  keeper_.Commit(BuildWrites(*commit),
                 lifetime_.Guard([this, now](bool committed) {
                   OnCommitted(committed, now);
                 }));
}

void WorkOwner::OnCommitted(bool committed, TimePoint sent_at) {
  const TimePoint now = BootClock::now();
  if (committed) {
    metrics_.commit->Record(now - sent_at);
    dispatcher_->OnCommitted();
    quiesce_committed_ = quiescing_ && sent_at >= quiesce_started_at_;
  } else {
    Log(LogLevel::kWarning, "commit_failed", {{"epoch", options_.epoch}});
    dispatcher_->OnCommitFailed();
    next_commit_at_ = now + kCommitRetryDelay;
  }
  Flush();
  ScheduleTick();
}

void WorkOwner::Stop() {
  stopped_ = true;
  lifetime_.End();
  on_quiesced_ = nullptr;
  vms_.clear();
  for (Timer* timer :
       {&scheduled_tick_, &tick_, &vm_scan_, &legacy_executor_scan_,
        &marker_scan_, &tombstone_scan_, &summary_, &reload_}) {
    timer->Cancel();
  }
}

void WorkOwner::Quiesce(std::function<void()> done) {
  quiescing_ = true;
  quiesce_started_at_ = BootClock::now();
  on_quiesced_ = std::move(done);
  if (!dispatcher_) std::exchange(on_quiesced_, nullptr)();
}

}  // namespace beamhill
