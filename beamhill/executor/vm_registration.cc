#include "beamhill/executor/vm_registration.h"

#include <algorithm>
#include <utility>

#include "beamhill/table/row_names.h"

namespace beamhill {
namespace {

// After a call that failed, doubled each time; a part of it is drawn.
constexpr Duration kFirstPause = std::chrono::milliseconds(200);
constexpr Duration kLongestPause = std::chrono::milliseconds(6400);
// Without a word of an owner for so long, the row may be missing.
constexpr Duration kUnowned = std::chrono::seconds(3);
// And is looked at this often while that lasts.
constexpr Duration kLookInterval = std::chrono::seconds(10);
// Removals of a row, each after a look, while it is not known to be gone.
constexpr int kMostRemovals = 3;

}  // namespace

VmRegistration::VmRegistration(const VmRecord& record, Table table,
                               VmRegistrationHooks hooks)
    : key_(rows::kExecutors + record.vm),
      earlier_key_(rows::kLegacyExecutors + record.vm),
      value_(EncodeRecord(record)),
      table_(std::move(table)),
      hooks_(std::move(hooks)) {}

void VmRegistration::Tick() {
  if (busy_ || withdrawn_ || hooks_.now() < next_look_) return;
  if (stored() && hooks_.since_owner() < kUnowned) return;
  Look();
}

void VmRegistration::Look() {
  busy_ = true;
  table_.read({key_},
              lifetime_.Guard([this](const Result<std::vector<Row>>& rows) {
                busy_ = false;
                if (withdrawn_) {
                  RemoveRows();
                  return;
                }
                if (!IsOk(rows)) {
                  TryAgain(ErrorOf(rows).message);
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
  if (version_ != row.version) hooks_.log("vm_registered", "as it was");
  version_ = row.version;
  OnStored();
}

// Under the version that was read: a write of an earlier process that takes
// effect late must not bring its address back.
void VmRegistration::Store(uint64_t version) {
  busy_ = true;
  version_ = 0;
  Transaction transaction;
  transaction.writes.push_back({key_, version, value_});
  table_.commit(std::move(transaction),
                lifetime_.Guard([this](const CommitAnswer& answer) {
                  busy_ = false;
                  if (withdrawn_) {
                    RemoveRows();
                    return;
                  }
                  if (answer.result != CommitResult::kCommitted) {
                    TryAgain("not stored");
                    return;
                  }
                  version_ = answer.versions.front();
                  hooks_.log("vm_registered", "stored");
                  OnStored();
                }));
}

void VmRegistration::OnStored() {
  pause_ = Duration(0);
  next_look_ = hooks_.now() + kLookInterval;
}

void VmRegistration::TryAgain(const std::string& why) {
  pause_ = std::clamp(pause_ * 2, kFirstPause, kLongestPause);
  const Duration pause = std::chrono::duration_cast<Duration>(
      pause_ * (0.5 + hooks_.random() / 2));
  hooks_.log("vm_not_registered",
             why + "; again in " +
                 std::to_string(static_cast<int64_t>(ToMillis(pause))) + " ms");
  next_look_ = hooks_.now() + pause;
}

void VmRegistration::Withdraw(std::function<void()> done) {
  withdrawn_ = true;
  on_withdrawn_ = std::move(done);
  // A call that is open may yet store the row.
  if (!busy_) RemoveRows();
}

void VmRegistration::RemoveRows() {
  RemoveRow(key_, kMostRemovals,
            [this] { RemoveRow(earlier_key_, kMostRemovals, on_withdrawn_); });
}

void VmRegistration::RemoveRow(const std::string& key, int tries,
                               std::function<void()> done) {
  table_.read({key}, lifetime_.Guard([this, key, tries, done = std::move(done)](
                                         const Result<std::vector<Row>>& rows) {
    const Row* row = IsOk(rows) ? &ValueOf(rows).front() : nullptr;
    const bool there = row != nullptr && row->version != 0;
    // A later process on the VM may have stored another address.
    const bool ours = there && (key == earlier_key_ || row->value == value_);
    if (!ours) {
      done();
      return;
    }
    Remove(key, row->version, tries, done);
  }));
}

// Under its version: should this take effect late, it can't remove what a later
// process on the VM has written.
void VmRegistration::Remove(const std::string& key, uint64_t version, int tries,
                            std::function<void()> done) {
  Transaction transaction;
  transaction.writes.push_back({key, version, std::nullopt});
  table_.commit(
      std::move(transaction),
      lifetime_.Guard([this, key, tries,
                       done = std::move(done)](const CommitAnswer& answer) {
        const bool removed = answer.result == CommitResult::kCommitted;
        hooks_.log("vm_unregistered",
                   key + (removed ? ", stored" : ", not known to be"));
        if (answer.result == CommitResult::kUnknown && tries > 1) {
          RemoveRow(key, tries - 1, done);
        } else {
          done();
        }
      }));
}

}  // namespace beamhill
