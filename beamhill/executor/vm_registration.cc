#include "beamhill/executor/vm_registration.h"

#include <algorithm>
#include <utility>

#include "beamhill/table/row_names.h"

namespace beamhill {
namespace {

// Backoff after failed calls: doubled each time, with jitter.
constexpr Duration kMinBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(6400);
// Without a message of an owner for this long, the row may be missing and is
// checked at kRowCheckInterval.
constexpr Duration kUnownedAfter = std::chrono::seconds(3);
constexpr Duration kRowCheckInterval = std::chrono::seconds(10);
// How long a runner must be gone until the row is removed. Releases replace
// runners within seconds and cause no writes. Exceeds a lease and its margin.
constexpr Duration kRunnerGoneBeforeRemoval = std::chrono::seconds(10);
// Attempts to remove a row while the outcome of the last one is unknown. Each
// reads the row first.
constexpr int kMaxRemovalAttempts = 3;

constexpr char kNotRegistered[] = "vm_not_registered";  // Event for the log.

}  // namespace

VmRegistration::VmRegistration(const VmRecord& record, Table table,
                               VmRegistrationHooks hooks)
    : key_(rows::kExecutors + record.vm),
      legacy_key_(rows::kLegacyExecutors + record.vm),
      value_(EncodeRecord(record)),
      table_(std::move(table)),
      hooks_(std::move(hooks)) {}

void VmRegistration::Tick() {
  NoteRunnerGone();
  const TimePoint now = hooks_.now();
  if (call_in_flight_ || withdrawn_ || now < retry_at_) return;
  if (state_ == RowState::kAbsent) {
    if (runner_registered_) Store(0);
    return;
  }
  if (stored() && (waiting_ || owner_epoch_due_)) {
    ReadOwnerEpoch();
    return;
  }
  if (stored() && RemovalDue()) {
    RemoveUnusedRow();
    return;
  }
  const bool found_by_owner = hooks_.since_owner() < kUnownedAfter;
  const bool recheck = recheck_at_ && now >= *recheck_at_;
  if (stored() && !recheck && (found_by_owner || now < check_at_)) return;
  if (recheck) recheck_at_.reset();
  ReadOwnRow();
}

void VmRegistration::OnRunnerRegistered(const std::string& incarnation,
                                        std::function<void()> pass_on) {
  NoteRunnerGone();
  if (withdrawn_) return;
  runner_registered_ = true;
  gone_since_.reset();
  const bool row_may_be_absent =
      state_ == RowState::kAbsent || state_ == RowState::kChanging;
  // The executor serves this incarnation already; its renewals tell whether it
  // drains.
  const bool served = incarnation == served_incarnation_;
  if ((!row_may_be_absent && !waiting_) || served) {
    waiting_.reset();
    served_incarnation_ = incarnation;
    pass_on();
    return;
  }
  waiting_ = WaitingRegistration{incarnation, std::move(pass_on)};
  Tick();
}

void VmRegistration::OnRunnerLeaving(const std::string& incarnation) {
  if (!waiting_ || waiting_->incarnation != incarnation) return;
  waiting_.reset();
  runner_registered_ = false;
  gone_since_ = hooks_.now();
}

void VmRegistration::NoteRunnerGone() {
  // A registration that waits has not reached the executor.
  if (waiting_ || gone_since_ || !hooks_.runner_is_gone()) return;
  runner_registered_ = false;
  served_incarnation_.clear();
  gone_since_ = hooks_.now();
}

bool VmRegistration::RemovalDue() const {
  return gone_since_ && hooks_.now() - *gone_since_ >= kRunnerGoneBeforeRemoval;
}

void VmRegistration::ReadOwnRow() {
  call_in_flight_ = true;
  table_.read({key_},
              lifetime_.Guard([this](const Result<std::vector<Row>>& rows) {
                call_in_flight_ = false;
                if (withdrawn_) {
                  RemoveRows();
                  return;
                }
                if (!IsOk(rows)) {
                  RetryLater(kNotRegistered, ErrorOf(rows).message);
                  return;
                }
                OnRow(ValueOf(rows).front());
              }));
}

void VmRegistration::OnRow(const Row& row) {
  if (row.version == 0) {
    const bool may_have_legacy_row = state_ == RowState::kUnknown;
    if (may_have_legacy_row && !runner_registered_) {
      ReadLegacyRow();
    } else {
      OnAbsent();
    }
    return;
  }
  if (row.value != value_) {
    state_ = RowState::kUnknown;
    Store(row.version);
    return;
  }
  // While the late removal can still take effect, the row does not count as
  // stored. A new version makes the late removal fail.
  if (row.version == late_removal_version_) {
    version_ = row.version;
    if (RemovalDue()) {
      RemoveUnusedRow();
    } else {
      Store(row.version);
    }
    return;
  }
  if (version_ != row.version) {
    hooks_.log("vm_registered", "row unchanged");
    recheck_at_ = hooks_.now() + kRowCheckInterval;
  }
  OnStored(row.version);
}

void VmRegistration::ReadLegacyRow() {
  call_in_flight_ = true;
  table_.read({legacy_key_},
              lifetime_.Guard([this](const Result<std::vector<Row>>& rows) {
                call_in_flight_ = false;
                if (withdrawn_) {
                  RemoveRows();
                } else if (!IsOk(rows)) {
                  RetryLater(kNotRegistered, ErrorOf(rows).message);
                } else if (ValueOf(rows).front().version != 0) {
                  Store(0);
                } else {
                  OnAbsent();
                }
              }));
}

void VmRegistration::OnAbsent() {
  state_ = RowState::kAbsent;
  version_ = 0;
  backoff_ = Duration(0);
  owner_epoch_due_ = owner_epoch_due_ || !served_incarnation_.empty();
  if (runner_registered_) Store(0);
}

// Writes on condition that the row still has the version read: a delayed write
// of an earlier process must not restore its address.
void VmRegistration::Store(uint64_t version) {
  call_in_flight_ = true;
  Transaction transaction;
  transaction.writes.push_back({key_, version, value_});
  table_.commit(std::move(transaction),
                lifetime_.Guard([this](const CommitAnswer& answer) {
                  call_in_flight_ = false;
                  if (withdrawn_) {
                    RemoveRows();
                    return;
                  }
                  if (answer.result != CommitResult::kCommitted) {
                    // Unless it was refused, the row must be read again.
                    if (state_ == RowState::kAbsent &&
                        answer.result != CommitResult::kNotApplied) {
                      state_ = RowState::kChanging;
                    }
                    RetryLater(kNotRegistered, "row not stored");
                    return;
                  }
                  hooks_.log("vm_registered", "row stored");
                  OnStored(answer.versions.front());
                }));
}

Duration VmRegistration::StoredFor() const {
  return stored() ? hooks_.now() - stored_at_ : Duration(0);
}

void VmRegistration::OnStored(uint64_t version) {
  if (!stored()) stored_at_ = hooks_.now();
  state_ = RowState::kStored;
  version_ = version;
  backoff_ = Duration(0);
  check_at_ = hooks_.now() + kRowCheckInterval;
  if (waiting_ || owner_epoch_due_) ReadOwnerEpoch();
}

void VmRegistration::ReadOwnerEpoch() {
  call_in_flight_ = true;
  table_.read({rows::kOwner},
              lifetime_.Guard([this](const Result<std::vector<Row>>& rows) {
                call_in_flight_ = false;
                if (withdrawn_) {
                  RemoveRows();
                } else if (!IsOk(rows)) {
                  RetryLater(kNotRegistered, ErrorOf(rows).message);
                } else {
                  OnOwnerRow(ValueOf(rows).front());
                }
              }));
}

void VmRegistration::OnOwnerRow(const Row& row) {
  if (!waiting_ && !owner_epoch_due_) return;
  if (row.version != 0) {
    const auto owner = DecodeRecord<OwnerRecord>(row.value);
    if (!IsOk(owner)) {
      RetryLater(kNotRegistered, ErrorOf(owner).message);
      return;
    }
    hooks_.on_owner_epoch(ValueOf(owner).epoch);
  }
  backoff_ = Duration(0);
  owner_epoch_due_ = false;
  if (!waiting_) return;
  const WaitingRegistration registration = *std::exchange(waiting_, {});
  served_incarnation_ = registration.incarnation;
  registration.pass_on();
}

void VmRegistration::RemoveUnusedRow() {
  call_in_flight_ = true;
  RemoveRow(legacy_key_, kMaxRemovalAttempts, [this] {
    call_in_flight_ = false;
    if (withdrawn_) {
      RemoveRows();
      return;
    }
    if (!RemovalDue()) return;  // A runner has registered meanwhile.
    call_in_flight_ = true;
    state_ = RowState::kChanging;
    Transaction transaction;
    transaction.writes.push_back({key_, version_, std::nullopt});
    table_.commit(
        std::move(transaction),
        lifetime_.Guard([this](const CommitAnswer& a) { OnRemoved(a); }));
  });
}

void VmRegistration::OnRemoved(const CommitAnswer& answer) {
  call_in_flight_ = false;
  if (answer.result == CommitResult::kUnknown) late_removal_version_ = version_;
  if (withdrawn_) {
    RemoveRows();
    return;
  }
  switch (answer.result) {
    case CommitResult::kCommitted:
      hooks_.log("vm_unregistered", key_ + " removed, its runner is gone");
      OnAbsent();
      return;
    case CommitResult::kNotApplied:
      // Nothing took effect, but an earlier removal of this version still can.
      if (version_ != late_removal_version_) OnStored(version_);
      break;
    case CommitResult::kConflict:
    case CommitResult::kUnknown:
      break;
  }
  RetryLater("vm_not_unregistered", "removal not confirmed");
}

void VmRegistration::RetryLater(const std::string& event,
                                const std::string& error) {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  const Duration delay = std::chrono::duration_cast<Duration>(
      backoff_ * (0.5 + hooks_.random() / 2));
  hooks_.log(event, error + "; retry in " +
                        std::to_string(static_cast<int64_t>(ToMillis(delay))) +
                        " ms");
  retry_at_ = hooks_.now() + delay;
}

void VmRegistration::Withdraw(std::function<void()> done) {
  withdrawn_ = true;
  on_withdrawn_ = std::move(done);
  // A call in flight may still store the row; its callback removes it.
  if (!call_in_flight_) RemoveRows();
}

void VmRegistration::RemoveRows() {
  RemoveRow(key_, kMaxRemovalAttempts, [this] {
    RemoveRow(legacy_key_, kMaxRemovalAttempts, on_withdrawn_);
  });
}

void VmRegistration::RemoveRow(const std::string& key, int attempts_left,
                               std::function<void()> done) {
  table_.read(
      {key}, lifetime_.Guard([this, key, attempts_left, done = std::move(done)](
                                 const Result<std::vector<Row>>& rows) {
        const Row* row = IsOk(rows) ? &ValueOf(rows).front() : nullptr;
        const bool exists = row != nullptr && row->version != 0;
        // A later process on the VM may have stored another address.
        const bool is_own =
            exists && (key == legacy_key_ || row->value == value_);
        if (!is_own) {
          done();
          return;
        }
        Remove(key, row->version, attempts_left, done);
      }));
}

// Removes the row on condition of its version: if this takes effect late, it
// can't remove a row that a later process on the VM has written.
void VmRegistration::Remove(const std::string& key, uint64_t version,
                            int attempts_left, std::function<void()> done) {
  Transaction transaction;
  transaction.writes.push_back({key, version, std::nullopt});
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, key, attempts_left,
                       done = std::move(done)](const CommitAnswer& answer) {
        const bool removed = answer.result == CommitResult::kCommitted;
        hooks_.log("vm_unregistered",
                   key + (removed ? " removed" : ", removal not confirmed"));
        if (answer.result == CommitResult::kUnknown && attempts_left > 1) {
          RemoveRow(key, attempts_left - 1, done);
        } else {
          done();
        }
      }));
}

}  // namespace beamhill
