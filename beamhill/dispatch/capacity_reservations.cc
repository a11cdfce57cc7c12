#include "beamhill/dispatch/capacity_reservations.h"

namespace beamhill {
namespace {

bool IsFor(const CapacityReservation& reservation, const std::string& workflow,
           uint32_t step) {
  return reservation.task.step == step && reservation.task.workflow == workflow;
}

// A task that needs none of a resource takes nothing, even where reservations
// exceed what is free.
bool FitsIn(int64_t free, int64_t need) { return need == 0 || need <= free; }

}  // namespace

const CapacityReservation* CapacityReservations::On(
    const std::string& vm) const {
  const auto it = by_vm_.find(vm);
  return it == by_vm_.end() ? nullptr : &it->second;
}

bool CapacityReservations::Admit(const std::string& vm, const Resources& free,
                                 const std::string& workflow, uint32_t step,
                                 const Resources& need, bool down) const {
  const CapacityReservation* reservation = On(vm);
  if (reservation == nullptr || IsFor(*reservation, workflow, step)) {
    return true;
  }
  if (down && !reservation->firm) return true;
  const Resources left = free - reservation->amount;
  return FitsIn(left.cpu_millis, need.cpu_millis) &&
         FitsIn(left.memory_mib, need.memory_mib) &&
         FitsIn(left.accelerators, need.accelerators);
}

}  // namespace beamhill
