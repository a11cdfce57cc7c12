#include "beamhill/scheduler/work_owner.h"

#include <algorithm>
#include <utility>

#include "beamhill/config/config.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
// Several messages that arrive together are decided on together.
constexpr Duration kTickDelay = std::chrono::milliseconds(2);
constexpr Duration kSummaryInterval = std::chrono::seconds(1);
constexpr Duration kReloadPause = std::chrono::milliseconds(200);
// What was learned rides on a transaction this often; some kilobytes.
constexpr Duration kStorePressureInterval = std::chrono::seconds(2);
constexpr Duration kCommitRetry = std::chrono::milliseconds(150);

UnixMillis UnixNow() {
  return std::chrono::duration_cast<UnixMillis>(
      std::chrono::system_clock::now().time_since_epoch());
}

std::string After(const std::string& key, const std::string& prefix) {
  return key.substr(prefix.size());
}

}  // namespace

// What is stored, collected table by table.
struct WorkOwner::Loading {
  std::vector<std::string> prefixes = {
      rows::kExecutors, rows::kLegacyExecutors, rows::kWorkflows,
      rows::kProgress,  rows::kCancels,          rows::kLearned};
  std::map<std::string, std::vector<Row>> found;

  // Names of the VMs, each once.
  std::set<std::string> VmNames() const {
    std::set<std::string> names;
    for (const char* prefix : {rows::kExecutors, rows::kLegacyExecutors}) {
      for (const Row& row : found.at(prefix)) {
        names.insert(After(row.key, prefix));
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
      desk_(table) {
  Load();
}

WorkOwner::~WorkOwner() = default;

void WorkOwner::Load() { LoadNext(std::make_shared<Loading>()); }

void WorkOwner::LoadNext(std::shared_ptr<Loading> loading) {
  const size_t next = loading->found.size();
  // Nothing is started before it is known in which data halls nothing may be.
  if (next == loading->prefixes.size() && !evacuations_().known) {
    Log(LogLevel::kWarning, "evacuations_unknown", {{"epoch", options_.epoch}});
    reload_ = loop_.After(kReloadPause, [this, loading] { LoadNext(loading); });
    return;
  }
  if (next == loading->prefixes.size()) {
    OnLoaded(*loading);
    return;
  }
  const std::string prefix = loading->prefixes[next];
  table_.scan(prefix, lifetime_.Guard([this, loading,
                                       prefix](Result<std::vector<Row>> rows) {
    if (!IsOk(rows)) {
      Log(LogLevel::kWarning, "load_failed",
          {{"table", prefix}, {"error", ErrorOf(rows).message}});
      reload_ = loop_.After(kReloadPause, [this] { Load(); });
      return;
    }
    loading->found[prefix] = ValueOf(rows);
    LoadNext(loading);
  }));
}

void WorkOwner::CreateDispatcher(const Loading& loading, TimePoint now) {
  DispatcherOptions options;
  options.epoch = options_.epoch;
  options.lease_term = options_.lease_term;
  options.inherited_bound = options_.inherited_bound;
  if (!options_.first) {
    const std::set<std::string> names = loading.VmNames();
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

void WorkOwner::AddLoadedWorkflows(const Loading& loading, TimePoint now) {
  std::map<std::string, ProgressRecord> records;
  for (const Row& row : loading.found.at(rows::kProgress)) {
    auto record = DecodeRecord<ProgressRecord>(row.value);
    if (!IsOk(record)) {
      Log(LogLevel::kError, "bad_row",
          {{"key", row.key}, {"error", ErrorOf(record).message}});
      continue;
    }
    records[After(row.key, rows::kProgress)] = ValueOf(record);
  }
  for (const Row& row : loading.found.at(rows::kWorkflows)) {
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
  }
}

void WorkOwner::OnLoaded(const Loading& loading) {
  const TimePoint now = BootClock::now();
  CreateDispatcher(loading, now);
  AddLoadedWorkflows(loading, now);
  for (const Row& row : loading.found.at(rows::kCancels)) {
    dispatcher_->Cancel(After(row.key, rows::kCancels), now);
  }
  for (const Row& row : loading.found.at(rows::kLearned)) {
    const auto learned = DecodeRecord<PressureRecord>(row.value);
    if (IsOk(learned)) dispatcher_->RecallPressure(ValueOf(learned));
  }
  Log(LogLevel::kInfo, "owner_loaded",
      {{"epoch", options_.epoch},
       {"workflows", dispatcher_->workflows()},
       {"vms", loading.VmNames().size()}});
  OnVmRows(loading.found.at(rows::kExecutors));
  OnEarlierVmRows(loading.found.at(rows::kLegacyExecutors));
  tick_ = loop_.Every(kTickInterval, [this] { Tick(); });
  vm_scan_ = loop_.Every(options_.vm_scan_interval, [this] { ScanVms(); });
  earlier_vm_scan_ = loop_.Every(options_.earlier_vm_scan_interval,
                                 [this] { ScanEarlierVms(); });
  notice_scan_ =
      loop_.Every(options_.notice_scan_interval, [this] { ScanNotices(); });
  summary_ = loop_.Every(kSummaryInterval, [this] {
    dispatcher_->SendWeights();
    Flush();
    LogSummary();
  });
  ScanVms();
  ScanNotices();
  Tick();
}

void WorkOwner::RefreshAuthority() {
  const bool may_act = keeper_.MayAct();
  const Authority closing = quiet_ ? Authority::kClosing : Authority::kFull;
  dispatcher_->SetAuthority(may_act ? closing : Authority::kNone,
                            BootClock::now());
  if (may_act == has_authority_) return;
  has_authority_ = may_act;
  Log(may_act ? LogLevel::kInfo : LogLevel::kWarning,
      may_act ? "authority_back" : "authority_over",
      {{"epoch", options_.epoch},
       {"since_confirmed_ms", ToMillis(keeper_.SinceConfirmed())}});
}

void WorkOwner::ScanNotices() {
  if (scanning_notices_) return;
  scanning_notices_ = true;
  table_.scan(rows::kArrivals,
              lifetime_.Guard([this](Result<std::vector<Row>> rows) {
                scanning_notices_ = false;
                if (IsOk(rows)) OnArrivalRows(ValueOf(rows));
              }));
}

void WorkOwner::OnArrivalRows(const std::vector<Row>& rows) {
  const std::string new_prefix = rows::NewMarker("");
  const std::string cancel_prefix = rows::CancelMarker("");
  for (const Row& row : rows) {
    if (row.key.rfind(cancel_prefix, 0) == 0) {
      OnCancelStored(After(row.key, cancel_prefix));
      continue;
    }
    const std::string id = After(row.key, new_prefix);
    if (dispatcher_->Knows(id)) {
      const auto state = dispatcher_->StateOf(id);
      if (state >= WorkflowState::kCompleted) stale_markers_.insert(row.key);
      continue;
    }
    LoadWorkflow(id);
  }
}

void WorkOwner::LoadWorkflow(const std::string& id) {
  if (!loading_workflows_.insert(id).second) return;
  desk_.Load(id, [this, id](std::optional<Workflow> workflow,
                            std::optional<ProgressRecord> record) {
    loading_workflows_.erase(id);
    if (workflow) Add(*workflow, record);
  });
}

void WorkOwner::Add(const Workflow& workflow,
                    const std::optional<ProgressRecord>& record) {
  dispatcher_->AddWorkflow(workflow, record, BootClock::now());
  if (early_cancels_.erase(workflow.id) > 0) {
    dispatcher_->Cancel(workflow.id, BootClock::now());
  }
  TickSoon();
}

void WorkOwner::OnWorkflowStored(const Workflow& workflow) {
  // While loading, the load finds it.
  if (!dispatcher_ || dispatcher_->Knows(workflow.id)) return;
  if (workflow.offered_to == options_.epoch) {
    Add(workflow, std::nullopt);
  } else {
    // An earlier owner may have heard of it too: what is stored counts.
    LoadWorkflow(workflow.id);
  }
}

void WorkOwner::OnCancelStored(const std::string& workflow) {
  if (!dispatcher_) return;
  const auto state = dispatcher_->StateOf(workflow);
  if (!state) {
    early_cancels_.insert(workflow);
    return;
  }
  if (*state >= WorkflowState::kCompleted) {
    stale_markers_.insert(rows::CancelMarker(workflow));
    return;
  }
  dispatcher_->Cancel(workflow, BootClock::now());
  TickSoon();
}

std::optional<WorkflowState> WorkOwner::StateOf(
    const std::string& workflow) const {
  return dispatcher_ ? dispatcher_->StateOf(workflow) : std::nullopt;
}

std::optional<uint64_t> WorkOwner::WaitingIn(const std::string& queue) const {
  if (!dispatcher_) return std::nullopt;
  return dispatcher_->WaitingIn(queue);
}

void WorkOwner::TickSoon() {
  if (tick_pending_) return;
  tick_pending_ = true;
  tick_soon_ = loop_.After(kTickDelay, [this] { Tick(); });
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
  AskAdvisor();
  Flush();
  CheckLinks();
}

void WorkOwner::AskAdvisor() {
  for (const AdviceRequest& request : dispatcher_->TakeAdviceRequests()) {
    advisor_(request, lifetime_.Guard([this, step = request.step](
                                          std::optional<Advice> advice) {
      dispatcher_->OnAdvice(step, advice, BootClock::now());
      TickSoon();
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

std::vector<RowWrite> WorkOwner::WritesOf(const DispatchCommit& commit) {
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
  if (now - pressure_stored_at_ >= kStorePressureInterval) {
    pressure_stored_at_ = now;
    writes.push_back({rows::kInterference, kAnyVersion,
                      EncodeRecord(dispatcher_->LearnedPressure())});
  }
  constexpr size_t kMaxWrites = 98;  // Of 100; one is the owner's row.
  while (!stale_markers_.empty() && writes.size() < kMaxWrites) {
    remove(*stale_markers_.begin());
    stale_markers_.erase(stale_markers_.begin());
  }
  return writes;
}

void WorkOwner::MaybeCommit() {
  const TimePoint now = BootClock::now();
  if (keeper_.committing() || !keeper_.MayAct()) return;
  if (now < commit_after_ && !quiet_) return;
  if (quiet_stored_ && on_quiet_) {
    std::exchange(on_quiet_, nullptr)();
    return;
  }
  const auto commit = dispatcher_->TakeCommit(now);
  if (!commit && dispatcher_->WantsConfirmation(now)) {
    commit_after_ = now + options_.commit_interval;
    keeper_.Commit({}, lifetime_.Guard([this](bool) { TickSoon(); }));
    return;
  }
  if (!commit) {
    if (quiet_ && on_quiet_) std::exchange(on_quiet_, nullptr)();
    return;
  }
  commit_after_ = now + options_.commit_interval;
  keeper_.Commit(WritesOf(*commit),
                 lifetime_.Guard([this, now](bool committed) {
                   OnCommitted(committed, now);
                 }));
}

void WorkOwner::OnCommitted(bool committed, TimePoint sent_at) {
  const TimePoint now = BootClock::now();
  if (committed) {
    metrics_.commit->Record(now - sent_at);
    dispatcher_->OnCommitted();
    quiet_stored_ = quiet_ && sent_at >= quiet_since_;
  } else {
    Log(LogLevel::kWarning, "commit_failed", {{"epoch", options_.epoch}});
    dispatcher_->OnCommitFailed();
    commit_after_ = now + kCommitRetry;
  }
  Flush();
  TickSoon();
}

void WorkOwner::Quiesce(std::function<void()> done) {
  quiet_ = true;
  quiet_since_ = BootClock::now();
  on_quiet_ = std::move(done);
  if (!dispatcher_) std::exchange(on_quiet_, nullptr)();
}

}  // namespace beamhill
