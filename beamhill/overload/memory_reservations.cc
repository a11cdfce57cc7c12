#include "beamhill/overload/memory_reservations.h"

namespace beamhill {

bool MemoryReservations::Reserve(const std::string& key, uint64_t bytes,
                                 uint64_t in_use) {
  if (reserved_.count(key) > 0) return true;
  const uint64_t taken = in_use + bytes_;
  const uint64_t left = taken < limit_ ? limit_ - taken : 0;
  if (bytes > left / 2) return false;
  reserved_.emplace(key, bytes);
  bytes_ += bytes;
  return true;
}

void MemoryReservations::Release(const std::string& key) {
  const auto it = reserved_.find(key);
  if (it == reserved_.end()) return;
  bytes_ -= it->second;
  reserved_.erase(it);
}

}  // namespace beamhill
