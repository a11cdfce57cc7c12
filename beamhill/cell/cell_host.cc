#include "beamhill/cell/cell_host.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// Shortest time between two confirmation reads.
constexpr Duration kMinConfirmInterval = std::chrono::milliseconds(200);
// Must exceed the longest time that a cell can be without an owner.
constexpr Duration kGoneVmRetention = std::chrono::hours(24);

}  // namespace

CellHost::CellHost(const CellHostOptions& options, Table table,
                   CellHostHooks hooks)
    : options_(options), table_(std::move(table)), hooks_(std::move(hooks)) {}

CellHost::~CellHost() = default;

void CellHost::OnHello(const Hello& hello, TimePoint now) {
  agents_[hello.vm] = hello;
  loss_reports_.erase(hello.vm);
  gone_vms_.erase(hello.vm);
  if (owner_) owner_->OnHello(hello, now);
}

void CellHost::OnLinkDown(const std::string& vm, const Session& session) {
  const auto it = agents_.find(vm);
  if (it == agents_.end() || !(it->second.session == session)) return;
  agents_.erase(it);
  loss_reports_.erase(vm);
  if (owner_) owner_->OnLinkDown(vm, session);
}

void CellHost::OnAgentMessage(const std::string& vm, const Message& message,
                              TimePoint now) {
  if (const auto* lost = std::get_if<OwnerLost>(&message)) {
    LossReport& report = loss_reports_[vm];
    const bool continues_earlier =
        report.epoch == lost->epoch &&
        now < report.last + options_.loss_report_max_age;
    if (!continues_earlier) {
      report.first = now;
      // The owner may have released the cell; if so, the row shows it and
      // there is no need to wait for further reports.
      row_read_ = false;
    }
    report.last = now;
    report.epoch = lost->epoch;
    return;
  }
  if (!owner_) return;
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    owner_->OnHeartbeat(vm, *heartbeat, now);
  } else if (const auto* inventory = std::get_if<Inventory>(&message)) {
    owner_->OnInventory(vm, *inventory, now);
  } else if (const auto* outcomes = std::get_if<Outcomes>(&message)) {
    owner_->OnOutcomes(vm, *outcomes, now);
  } else if (const auto* report = std::get_if<RunnerReport>(&message)) {
    owner_->OnRunnerReport(vm, *report);
  } else if (const auto* request =
                 std::get_if<BatchEvictionRequest>(&message)) {
    owner_->OnBatchEvictionRequest(vm, *request, now);
  }
}

void CellHost::OnVmGone(const std::string& vm, TimePoint now) {
  for (auto it = gone_vms_.begin(); it != gone_vms_.end();) {
    it = now >= it->second + kGoneVmRetention ? gone_vms_.erase(it)
                                              : std::next(it);
  }
  gone_vms_[vm] = now;
  if (owner_) owner_->OnVmGone(vm, now);
}

void CellHost::OnVmLeaving(const std::string& vm, bool leaving) {
  gone_vms_.erase(vm);
  if (owner_) owner_->OnVmLeaving(vm, leaving);
}

void CellHost::OnWorkHint() { last_poll_ = TimePoint{}; }

std::vector<AgentMessage> CellHost::TakeMessages() {
  if (!owner_) return {};
  return owner_->TakeMessages();
}

std::vector<std::string> CellHost::TakeDroppedVms() {
  if (!owner_) return {};
  return owner_->TakeDroppedVms();
}

void CellHost::BackOff(TimePoint now) {
  retry_delay_ = retry_delay_ == Duration(0)
                     ? options_.first_retry
                     : std::min(retry_delay_ * 2, options_.max_retry);
  const double share = 0.5 + hooks_.random() / 2;
  retry_at_ = now + Duration(static_cast<Duration::rep>(
                        static_cast<double>(retry_delay_.count()) * share));
}

bool CellHost::IsOwnerReportedLost(TimePoint now) const {
  // A report about a predecessor says nothing about the row's owner, until that
  // one has had time to make itself known to the agents.
  const bool any_epoch = now >= row_epoch_since_ + options_.new_owner_grace;
  size_t reporting = 0;
  for (const auto& [vm, report] : loss_reports_) {
    const bool fresh = now < report.last + options_.loss_report_max_age;
    const bool sustained =
        now >= report.first + options_.loss_report_min_duration;
    const bool concerns_row_owner =
        any_epoch || report.epoch >= row_epoch_ || report.epoch == 0;
    if (fresh && sustained && concerns_row_owner) ++reporting;
  }
  return reporting * 2 > agents_.size();
}

bool CellHost::NeedsRowRead(TimePoint now) const {
  return !row_read_ || IsOwnerReportedLost(now);
}

void CellHost::Tick(TimePoint now) {
  if (owner_) {
    TickOwner(now);
    return;
  }
  if (releasing_ || claiming_ || agents_.empty() || now < retry_at_) return;
  if (!NeedsRowRead(now)) {
    claim_after_.reset();
    return;
  }
  if (!claim_after_) claim_after_ = now + hooks_.claim_delay();
  if (now < *claim_after_) return;
  claim_after_.reset();
  ReadRow();
}

void CellHost::ReadRow() {
  claiming_ = true;
  ++counts_.reads;
  const TimePoint sent_at = hooks_.now();
  table_.read({CellKey(cell())},
              lifetime_.Guard([this, sent_at](Result<std::vector<Row>> rows) {
                claiming_ = false;
                if (releasing_) return EndRelease();
                if (!IsOk(rows)) {
                  BackOff(hooks_.now());
                  return;
                }
                ResetBackOff();
                OnRow(ValueOf(rows).front(), sent_at);
              }));
}

void CellHost::OnRow(const Row& row, TimePoint sent_at) {
  CellRow current;
  if (row.version != 0 && !IsOk(DecodeRow(row.value, &current))) return;
  row_read_ = true;
  const bool newer = current.epoch > row_epoch_;
  row_epoch_ = current.epoch;
  if (newer) row_epoch_since_ = hooks_.now();
  const bool mine = current.owner == options_.entry &&
                    current.incarnation == options_.incarnation;
  if (mine && !current.released) {
    // An earlier claim took effect although its answer was lost.
    Ownership ownership;
    ownership.epoch = current.epoch;
    ownership.confirmed_at = sent_at;
    ownership.claimed_at = hooks_.now();
    ownership.inherited = current.epoch > 1;
    OnClaimed(row.version, ownership);
    return;
  }
  claimed_ = false;
  const bool owned_by_earlier_run = current.owner == options_.entry && !mine;
  const bool is_free =
      row.version == 0 || current.released || owned_by_earlier_run;
  // If the row names a newer owner, the loss reports may be about its
  // predecessor.
  const bool lost = !newer && IsOwnerReportedLost(hooks_.now());
  if (is_free || lost) Claim(row.version, current, row.version != 0);
}

void CellHost::Claim(uint64_t version, const CellRow& current, bool exists) {
  CellRow mine;
  mine.owner = options_.entry;
  mine.incarnation = options_.incarnation;
  mine.epoch = current.epoch + 1;
  Ownership ownership;
  ownership.epoch = mine.epoch;
  ownership.confirmed_at = hooks_.now();
  ownership.inherited = exists;
  ownership.released = current.released;
  claiming_ = true;
  ++counts_.row_writes;
  Transaction claim;
  claim.writes.push_back({CellKey(cell()), version, EncodeRow(mine)});
  table_.commit(
      std::move(claim),
      lifetime_.Guard([this, ownership](const CommitAnswer& answer) mutable {
        claiming_ = false;
        if (answer.result == CommitResult::kCommitted) {
          ResetBackOff();
          ownership.claimed_at = hooks_.now();
          OnClaimed(answer.versions.front(), ownership);
          return;
        }
        // The row shows whether the claim took effect.
        row_read_ = false;
        BackOff(hooks_.now());
        if (releasing_) EndRelease();
      }));
}

void CellHost::OnClaimed(uint64_t version, const Ownership& ownership) {
  claimed_ = true;
  row_version_ = version;
  row_epoch_ = ownership.epoch;
  row_epoch_since_ = hooks_.now();
  if (releasing_) return EndRelease();
  ++counts_.takeovers;
  Load(ownership);
}

// Reads the snapshot after the claim, when no earlier owner can change it any
// more: an owner's writes are conditional on the version of the cell's row.
void CellHost::Load(const Ownership& ownership) {
  claiming_ = true;
  counts_.reads += 2;
  const auto retry = [this] {
    claiming_ = false;
    row_read_ = false;  // Starts over by reading the claimed row.
    BackOff(hooks_.now());
    if (releasing_) EndRelease();
  };
  table_.read(
      {ProgressKey(cell())},
      lifetime_.Guard([this, ownership, retry](Result<std::vector<Row>> rows) {
        if (!IsOk(rows)) return retry();
        const Row progress = ValueOf(rows).front();
        table_.scan(RangePrefix(cell()),
                    lifetime_.Guard([this, ownership, retry, progress](
                                        Result<std::vector<Row>> ranges) {
                      if (!IsOk(ranges)) return retry();
                      claiming_ = false;
                      ResetBackOff();
                      if (releasing_) return EndRelease();
                      OnLoaded(ownership, progress, ValueOf(ranges));
                    }));
      }));
}

void CellHost::OnLoaded(const Ownership& ownership, const Row& progress,
                        const std::vector<Row>& ranges) {
  CellSnapshot snapshot;
  if (progress.version != 0 && !IsOk(DecodeRow(progress.value, &snapshot))) {
    // Starts over after the longest delay: an operator may repair the row.
    row_read_ = false;
    retry_at_ = hooks_.now() + options_.max_retry;
    return;
  }
  progress_version_ = progress.version;
  std::vector<RangeRow> parsed;
  range_versions_.clear();
  for (const Row& row : ranges) {
    RangeRow range;
    if (!IsOk(DecodeRow(row.value, &range))) continue;
    range_versions_[range.job.id] = row.version;
    parsed.push_back(std::move(range));
  }
  confirming_ = polling_ = saving_ = false;
  finishing_ranges_.clear();
  finished_ranges_.clear();
  loss_reports_.clear();
  owner_ = CellOwner::Create(options_.owner, ownership, snapshot, parsed);
  for (const auto& [vm, hello] : agents_) {
    owner_->OnHello(hello, hooks_.now());
  }
  for (const auto& [vm, since] : gone_vms_) owner_->OnVmGone(vm, hooks_.now());
}

void CellHost::LoseOwnership() {
  if (!owner_) return;
  owner_->OnOwnershipLost();
  owner_.reset();
  claimed_ = false;
  row_read_ = false;
  ++counts_.lost_ownerships;
}

void CellHost::TickOwner(TimePoint now) {
  owner_->Tick(now);
  if (now < retry_at_) return;
  if (owner_->NeedsConfirmation(now)) Confirm(now);
  if (owner_) Save(now);
  if (!owner_) return;
  if (now >= last_poll_ + options_.poll_interval) Poll(now);
  if (!owner_) return;
  for (const std::string& job : owner_->FinishedJobs()) FinishRange(job);
}

void CellHost::Confirm(TimePoint now) {
  if (confirming_ || now < last_confirm_ + kMinConfirmInterval) return;
  confirming_ = true;
  last_confirm_ = now;
  ++counts_.reads;
  table_.read({CellKey(cell())},
              lifetime_.Guard([this, now, epoch = row_epoch_](
                                  Result<std::vector<Row>> rows) {
                if (!owner_ || row_epoch_ != epoch) return;
                confirming_ = false;
                if (!IsOk(rows)) return BackOff(hooks_.now());
                ResetBackOff();
                if (ValueOf(rows).front().version != row_version_) {
                  return LoseOwnership();
                }
                owner_->OnOwnershipConfirmed(now);
              }));
}

void CellHost::Poll(TimePoint now) {
  if (polling_) return;
  polling_ = true;
  last_poll_ = now;
  ++counts_.reads;
  table_.scan(RangePrefix(cell()),
              lifetime_.Guard([this, now, epoch = row_epoch_](
                                  Result<std::vector<Row>> rows) {
                if (!owner_ || row_epoch_ != epoch) return;
                polling_ = false;
                if (!IsOk(rows)) return BackOff(hooks_.now());
                ResetBackOff();
                ReadRanges(ValueOf(rows), now);
              }));
}

void CellHost::ReadRanges(const std::vector<Row>& rows, TimePoint sent_at) {
  for (const Row& row : rows) {
    RangeRow range;
    if (!IsOk(DecodeRow(row.value, &range))) continue;
    if (finished_ranges_.count(range.job.id) > 0) continue;
    uint64_t& known = range_versions_[range.job.id];
    if (known == row.version) continue;
    known = row.version;
    owner_->OnRange(range);
  }
  for (auto it = finished_ranges_.begin(); it != finished_ranges_.end();) {
    it = it->second < sent_at ? finished_ranges_.erase(it) : std::next(it);
  }
}

void CellHost::Save(TimePoint now) {
  if (saving_) return;
  std::optional<CellSnapshot> snapshot = owner_->TakeSnapshot(now);
  if (!snapshot) return;
  saving_ = true;
  snapshot->sequence = ++snapshot_sequence_;
  Transaction transaction;
  transaction.checks.push_back({CellKey(cell()), row_version_});
  transaction.writes.push_back(
      {ProgressKey(cell()), progress_version_, EncodeRow(*snapshot)});
  ++counts_.row_writes;
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, now, sequence = snapshot->sequence,
                       epoch = row_epoch_](const CommitAnswer& answer) {
        if (!owner_ || row_epoch_ != epoch) return;
        if (answer.result == CommitResult::kCommitted) {
          ResetBackOff();
          saving_ = false;
          progress_version_ = answer.versions.front();
          owner_->OnSnapshotDurable(now);
          return;
        }
        if (answer.result == CommitResult::kNotApplied) {
          saving_ = false;
          owner_->OnSnapshotFailed();
          BackOff(hooks_.now());
          return;
        }
        ResolveSave(now, sequence);
      }));
}

// After a conflict or a lost answer, the cell's row shows whether the cell is
// still owned, and the progress row whether the snapshot was written.
void CellHost::ResolveSave(TimePoint sent_at, uint64_t sequence) {
  ++counts_.reads;
  table_.read({CellKey(cell()), ProgressKey(cell())},
              lifetime_.Guard([this, sent_at, sequence, epoch = row_epoch_](
                                  Result<std::vector<Row>> rows) {
                if (!owner_ || row_epoch_ != epoch) return;
                saving_ = false;
                if (!IsOk(rows)) {
                  owner_->OnSnapshotFailed();
                  return BackOff(hooks_.now());
                }
                ResetBackOff();
                if (ValueOf(rows)[0].version != row_version_) {
                  return LoseOwnership();
                }
                const Row& progress = ValueOf(rows)[1];
                CellSnapshot stored;
                progress_version_ = progress.version;
                const bool is_ours = progress.version != 0 &&
                                     IsOk(DecodeRow(progress.value, &stored)) &&
                                     stored.epoch == owner_->epoch() &&
                                     stored.sequence == sequence;
                if (is_ours) {
                  owner_->OnSnapshotDurable(sent_at);
                } else {
                  owner_->OnSnapshotFailed();
                }
              }));
}

void CellHost::OnRangeFinished(const std::string& job) {
  owner_->ForgetRange(job);
  range_versions_.erase(job);
  finished_ranges_[job] = hooks_.now();
}

void CellHost::FinishRange(const std::string& job) {
  const auto ledger = owner_->ranges().find(job);
  const auto version = range_versions_.find(job);
  if (ledger == owner_->ranges().end()) return;
  if (version == range_versions_.end()) return;
  if (!finishing_ranges_.insert(job).second) return;
  PartResult result;
  result.done = ledger->second.done();
  result.failed = ledger->second.failed();
  result.evictions = ledger->second.evictions();
  result.cancelled = ledger->second.cancelled();
  Transaction transaction;
  transaction.checks.push_back({CellKey(cell()), row_version_});
  transaction.writes.push_back(
      {RangeKey(cell(), job), version->second, std::nullopt});
  transaction.writes.push_back({ResultKey(job, cell()), 0, EncodeRow(result)});
  counts_.row_writes += 2;
  table_.commit(
      std::move(transaction), lifetime_.Guard([this, job, epoch = row_epoch_](
                                                  const CommitAnswer& answer) {
        if (!owner_ || row_epoch_ != epoch) return;
        finishing_ranges_.erase(job);
        if (answer.result == CommitResult::kCommitted) {
          OnRangeFinished(job);
          return;
        }
        BackOff(hooks_.now());
        if (answer.result == CommitResult::kNotApplied) return;
        ++counts_.reads;
        table_.read({ResultKey(job, cell())},
                    lifetime_.Guard([this, job](Result<std::vector<Row>> rows) {
                      if (!owner_ || !IsOk(rows)) return;
                      if (ValueOf(rows).front().version == 0) return;
                      OnRangeFinished(job);
                    }));
      }));
}

void CellHost::Release(std::function<void()> done) {
  releasing_ = true;
  release_done_ = std::move(done);
  if (claiming_) return;
  if (owner_) {
    // No lease is granted and no task started from here on, so the next owner
    // need not wait for this owner's term to end.
    owner_->OnOwnershipLost();
    owner_.reset();
  }
  EndRelease();
}

void CellHost::EndRelease() {
  if (!claimed_) return release_done_();
  CellRow row;
  row.owner = options_.entry;
  row.incarnation = options_.incarnation;
  row.epoch = row_epoch_;
  row.released = true;
  Transaction transaction;
  transaction.writes.push_back({CellKey(cell()), row_version_, EncodeRow(row)});
  ++counts_.row_writes;
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([done = release_done_](const CommitAnswer&) { done(); }));
}

}  // namespace beamhill
