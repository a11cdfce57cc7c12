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
// Attempts to remove a row while the outcome of the last one is unknown. Each
// reads the row first.
constexpr int kMaxRemovalAttempts = 3;

}  // namespace

VmRegistration::VmRegistration(const VmRecord& record, Table table,
                               VmRegistrationHooks hooks)
    : key_(rows::kExecutors + record.vm),
      legacy_key_(rows::kLegacyExecutors + record.vm),
      value_(EncodeRecord(record)),
      table_(std::move(table)),
      hooks_(std::move(hooks)) {}

void VmRegistration::Tick() {
  if (call_in_flight_ || withdrawn_ || hooks_.now() < next_read_at_) return;
  if (stored() && hooks_.since_owner() < kUnownedAfter) return;
  ReadOwnRow();
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
                  RetryLater(ErrorOf(rows).message);
                  return;
                }
                OnRow(ValueOf(rows).front());
              }));
}

void VmRegistration::OnRow(const Row& row) {
  if (row.version == 0 || row.value != value_) {
    Store(row.version);
    return;
  }
  if (version_ != row.version) hooks_.log("vm_registered", "row unchanged");
  version_ = row.version;
  OnStored();
}

// Writes on condition that the row still has the version read: a delayed write
// of an earlier process must not restore its address.
void VmRegistration::Store(uint64_t version) {
  call_in_flight_ = true;
  version_ = 0;
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
                    RetryLater("row not stored");
                    return;
                  }
                  version_ = answer.versions.front();
                  hooks_.log("vm_registered", "row stored");
                  OnStored();
                }));
}

void VmRegistration::OnStored() {
  backoff_ = Duration(0);
  next_read_at_ = hooks_.now() + kRowCheckInterval;
}

void VmRegistration::RetryLater(const std::string& error) {
  backoff_ = std::clamp(backoff_ * 2, kMinBackoff, kMaxBackoff);
  const Duration delay = std::chrono::duration_cast<Duration>(
      backoff_ * (0.5 + hooks_.random() / 2));
  hooks_.log("vm_not_registered",
             error + "; retry in " +
                 std::to_string(static_cast<int64_t>(ToMillis(delay))) + " ms");
  next_read_at_ = hooks_.now() + delay;
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
