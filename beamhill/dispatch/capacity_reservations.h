// Capacity of VMs that is kept for tasks which wait. At most one reservation
// for each VM; tasks of the same step may use each other's.
//
//   CapacityReservations reservations;
//   reservations.Set("vm-3", reservation);
//   if (!reservations.Admit("vm-3", free, workflow, step, need, down))
//   continue;
#ifndef BEAMHILL_DISPATCH_CAPACITY_RESERVATIONS_H_
#define BEAMHILL_DISPATCH_CAPACITY_RESERVATIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "beamhill/base/time.h"
#include "beamhill/work/work.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

struct CapacityReservation {
  TaskRef task;
  Resources amount;
  TimePoint since{};
  std::optional<TimePoint> room_since;  // Since when the VM has had the room.
  // When short tasks were stopped for it.
  std::optional<TimePoint> stops_since;
  // Whether anything was stopped for it. Otherwise other long-running tasks
  // that are down may use it.
  bool firm = false;
  std::set<std::string> tried;  // VMs that were reserved before, in vain.
};

// By workflow and step, with the VM.
using ReservationsByStep =
    std::multimap<std::pair<std::string, uint32_t>,
                  std::pair<const std::string, CapacityReservation>>;

class CapacityReservations {
 public:
  using ByVm = std::map<std::string, CapacityReservation>;

  void Set(const std::string& vm, const CapacityReservation& reservation) {
    by_vm_[vm] = reservation;
  }
  // Returns all reservations and removes them.
  ByVm TakeAll() { return std::exchange(by_vm_, {}); }
  // Returns null if the VM has none.
  const CapacityReservation* On(const std::string& vm) const;
  // Whether a task of the step that needs `need` of the VM's `free` resources
  // leaves the VM's reservation alone, or may use it. `down` is true for
  // long-running tasks that have run before.
  bool Admit(const std::string& vm, const Resources& free,
             const std::string& workflow, uint32_t step, const Resources& need,
             bool down) const;

  bool empty() const { return by_vm_.empty(); }
  size_t size() const { return by_vm_.size(); }

 private:
  ByVm by_vm_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_CAPACITY_RESERVATIONS_H_
