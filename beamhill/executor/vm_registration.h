// Maintains the table row by which owners find a VM's executor.
//
// After a power failure all executors start at once, and most find their row
// unchanged. So the row is read first and written only if it differs, and
// failed calls are retried with exponential backoff and jitter: with 800 VMs
// the writes alone would keep one partition busy for seconds.
//
// A removal by an earlier process of the VM can take effect late. The row is
// therefore checked again while no owner sends messages.
//
//   VmRegistration registration(record, table, hooks);
//   registration.Tick();                // every 100 ms
//   registration.Withdraw([] { ... });  // when the VM is shut down for good
#ifndef BEAMHILL_EXECUTOR_VM_REGISTRATION_H_
#define BEAMHILL_EXECUTOR_VM_REGISTRATION_H_

#include <cstdint>
#include <functional>
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
  std::function<void(const std::string& event, const std::string& detail)> log;
};

class VmRegistration {
 public:
  VmRegistration(const VmRecord& record, Table table,
                 VmRegistrationHooks hooks);

  void Tick();
  // Whether the row was correct when it was last read or written.
  bool stored() const { return version_ != 0; }
  // Removes the row and the one under the key of earlier versions, then calls
  // `done`, even if the table can't be reached. No row is written afterwards.
  void Withdraw(std::function<void()> done);

 private:
  void ReadOwnRow();
  void OnRow(const Row& row);
  void Store(uint64_t version);
  void OnStored();
  void RetryLater(const std::string& error);
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
  uint64_t version_ = 0;  // Of the correct row; 0 if it is not known to exist.
  TimePoint next_read_at_{};
  Duration backoff_{};
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_VM_REGISTRATION_H_
