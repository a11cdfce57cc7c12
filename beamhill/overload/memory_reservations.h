// Decides whether there is memory for one more long-lived item, and keeps what
// was promised to items that have not arrived yet.
//
// An item may take at most half of what is left, so that small items still find
// room where large ones no longer do. Reads no clock and does no I/O; not
// thread-safe.
//
//   MemoryReservations reservations(/*limit=*/60'000'000);
//   if (!reservations.Reserve(id, bytes, in_use)) return Refuse();
//   reservations.Release(id);   // It has arrived and is in use, or won't come.
#ifndef BEAMHILL_OVERLOAD_MEMORY_RESERVATIONS_H_
#define BEAMHILL_OVERLOAD_MEMORY_RESERVATIONS_H_

#include <cstdint>
#include <map>
#include <string>

namespace beamhill {

class MemoryReservations {
 public:
  // `limit`, in bytes, is for reservations and for what is in use.
  explicit MemoryReservations(uint64_t limit) : limit_(limit) {}

  // Reserves memory for the item. Returns false if it would take more than half
  // of what is left beside `in_use`; an item that has a reservation keeps it.
  bool Reserve(const std::string& key, uint64_t bytes, uint64_t in_use);
  // Has no effect without a reservation.
  void Release(const std::string& key);

  uint64_t bytes() const { return bytes_; }  // Reserved.

 private:
  uint64_t limit_;
  uint64_t bytes_ = 0;
  std::map<std::string, uint64_t> reserved_;
};

}  // namespace beamhill

#endif  // BEAMHILL_OVERLOAD_MEMORY_RESERVATIONS_H_
