// Maintains the table row by which owners find a VM's executor.
//
// The VM has a row while something may run there: a new owner holds back work
// of earlier owners until each VM with a row has reported. An existing row is
// kept whatever the runner does, since an executor that has only restarted does
// not know what runs. A missing one is stored once the runner has registered.
// It is removed when the runner has announced its exit, was found gone and has
// not been replaced for 10 s.
//
// After a power failure all executors start at once, and most find their row
// unchanged. So the row is read first and written only if it differs, and
// failed calls are retried with exponential backoff and jitter: with 800 VMs
// the writes alone would keep one partition busy for seconds.
//
// Which owner is the latest is known only to processes that have heard of it:
// after a power failure neither the executor nor the runner has. An owner that
// was replaced, but has not noticed that yet, may be the first to reach them.
// So the owner's row is read once as well, and nothing new starts before.
//
// A removal by an earlier process of the VM can take effect late. The row is
// therefore checked again while no owner sends messages.
//
//   VmRegistration registration(record, table, hooks);
//   registration.Tick();                // every 100 ms
//   registration.OnRunnerRegistered(incarnation, [] { ... });
//   registration.Withdraw([] { ... });  // when the VM is shut down for good
#ifndef BEAMHILL_EXECUTOR_VM_REGISTRATION_H_
#define BEAMHILL_EXECUTOR_VM_REGISTRATION_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct VmRegistrationHooks {
  std::function<TimePoint()> now;
  std::function<double()> random;  // Uniform in [0, 1).
  // Time since the last message of an owner.
  std::function<Duration()> since_owner;
  // Whether the runner has announced its exit and has since been found gone.
  std::function<bool()> runner_is_gone;
  // Receives the epoch of the owner that the table names: once after the start
  // of this process, and again whenever a missing row was stored, before a
  // registration that waits is passed on.
  std::function<void(uint64_t epoch)> on_owner_epoch;
  std::function<void(const std::string& event, const std::string& detail)> log;
};

class VmRegistration {
 public:
  VmRegistration(const VmRecord& record, Table table,
                 VmRegistrationHooks hooks);

  void Tick();
  // Handles a registration of this incarnation of the runner, or its renewal,
  // which `pass_on` delivers to the executor. Calls `pass_on` at once, unless
  // the row is absent or may be removed by a call of this process: then once
  // the row is stored, so that nothing starts on a VM that a new owner would
  // not wait for. While it waits, a later registration replaces it.
  void OnRunnerRegistered(const std::string& incarnation,
                          std::function<void()> pass_on);
  // This incarnation has announced its exit: drops its registration if that
  // still waits.
  void OnRunnerLeaving(const std::string& incarnation);
  // Whether the row was correct when it was last read or written.
  bool stored() const { return state_ == RowState::kStored; }
  // Whether tasks may start on this VM, as far as the table is concerned: a new
  // owner finds it, since the row is stored, and owners that were replaced are
  // rejected, since `on_owner_epoch` has been called after the start of this
  // process and, if the row was missing while a runner was served, after that.
  bool ready_for_starts() const { return stored() && !owner_epoch_due_; }
  // How long the row has been stored, as far as this process knows: owners
  // can't find the VM before that. Zero while it is not stored.
  Duration StoredFor() const;
  // Removes the row and the one under the key of earlier versions, then calls
  // `done`, even if the table can't be reached. No row is written and no
  // registration is passed on afterwards.
  void Withdraw(std::function<void()> done);

 private:
  enum class RowState : uint8_t {
    // The table has not answered yet, or the row has another address.
    kUnknown,
    kStored,
    kAbsent,
    // A call of this process that stores or removes the row is in flight or had
    // an unknown outcome: the row may be absent.
    kChanging,
  };
  struct WaitingRegistration {
    std::string incarnation;
    std::function<void()> pass_on;
  };

  // Records since when the runner is gone.
  void NoteRunnerGone();
  // Whether the runner has been gone for so long that the row is removed.
  bool RemovalDue() const;
  void ReadOwnRow();
  void OnRow(const Row& row);
  // Stores the row if the VM has one under the key of earlier versions.
  void ReadLegacyRow();
  void OnAbsent();
  void Store(uint64_t version);
  void OnStored(uint64_t version);
  // Reads the owner's row, then passes the waiting registration on. An owner
  // that took over while the row was missing does not wait for this VM, so
  // earlier owners that are still linked must not start anything here.
  void ReadOwnerEpoch();
  void OnOwnerRow(const Row& row);
  // Removes both rows of a VM whose runner is gone.
  void RemoveUnusedRow();
  void OnRemoved(const CommitAnswer& answer);
  // Logs the event and delays the next call.
  void RetryLater(const std::string& event, const std::string& error);
  void RemoveRows();
  // Reads the row and removes that version of it if it belongs to this process.
  void RemoveRow(const std::string& key, int attempts_left,
                 std::function<void()> done);
  void Remove(const std::string& key, uint64_t version, int attempts_left,
              std::function<void()> done);

  std::string key_;
  std::string legacy_key_;
  std::string value_;
  Table table_;
  VmRegistrationHooks hooks_;
  bool call_in_flight_ = false;
  bool withdrawn_ = false;
  std::function<void()> on_withdrawn_;
  RowState state_ = RowState::kUnknown;
  uint64_t version_ = 0;  // Of the row, as last read or written; 0 for none.
  // The version that a removal with an unknown outcome would remove; 0 if there
  // was none.
  uint64_t late_removal_version_ = 0;
  // The latest registration, until the row is stored.
  std::optional<WaitingRegistration> waiting_;
  // The incarnation whose registration was passed on last.
  std::string served_incarnation_;
  // The owner's row must be read: this process has not done so yet, or the VM's
  // row was missing while a runner was served.
  bool owner_epoch_due_ = true;
  // A runner has registered and is not known to be gone: a missing row is to be
  // stored.
  bool runner_registered_ = false;
  std::optional<TimePoint> gone_since_;
  // Failed calls are repeated then; a stored row is checked then.
  TimePoint retry_at_{};
  TimePoint stored_at_{};  // Valid while the row is stored.
  TimePoint check_at_{};
  // When a row that an earlier process has stored is checked once more, even if
  // an owner is heard: a removal by that process may take effect late.
  std::optional<TimePoint> recheck_at_;
  Duration backoff_{};
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_VM_REGISTRATION_H_
