// Keeps the row under which owners find a VM's executor.
//
// After a loss of power every executor starts at the same moment, and most
// find their row as they would write it. So the row is read first and written
// only where it differs, and a table that refuses is asked again after a delay
// that grows and is drawn for each: at 800 VMs the writes alone would keep one
// partition busy for seconds.
//
// A removal by an earlier process of the VM can take effect late. While no
// owner is heard, the row is therefore looked at again.
//
//   VmRegistration registration(record, table, hooks);
//   registration.Tick();                  // each 100 ms
//   registration.Withdraw([] { ... });    // the VM goes for good
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
  // How long ago an owner was last heard.
  std::function<Duration()> since_owner;
  std::function<void(const std::string& event, const std::string& detail)> log;
};

class VmRegistration {
 public:
  VmRegistration(const VmRecord& record, Table table,
                 VmRegistrationHooks hooks);

  void Tick();
  // Whether the row stood in the table as it should when last looked at.
  bool stored() const { return version_ != 0; }
  // Removes the row, also one of an executor of an earlier version, then calls
  // `done`, whether or not the table has answered. Nothing is written after.
  void Withdraw(std::function<void()> done);

 private:
  void ReadOwnRow();
  void OnRow(const Row& row);
  void Store(uint64_t version);
  void OnStored();
  void RetryLater(const std::string& error);
  void RemoveRows();
  // Removes the row if it is this VM's, as it is when looked at.
  void RemoveRow(const std::string& key, int attempts_left,
                 std::function<void()> done);
  void Remove(const std::string& key, uint64_t version, int attempts_left,
              std::function<void()> done);

  std::string key_;
  std::string legacy_key_;
  std::string value_;
  Table table_;
  VmRegistrationHooks hooks_;
  bool call_in_flight_ = false;  // A call is open.
  bool withdrawn_ = false;
  std::function<void()> on_withdrawn_;
  uint64_t version_ = 0;  // Of the row as it should be; 0: not known to be so.
  TimePoint next_read_at_{};
  Duration backoff_{};
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_VM_REGISTRATION_H_
