#include "beamhill/halls/evacuations.h"

#include <algorithm>

namespace beamhill {

bool Evacuations::Holds(const std::string& hall) const {
  return std::binary_search(halls.begin(), halls.end(), hall);
}

bool Evacuations::IsNewerThan(const Evacuations& other) const {
  if (!known || !other.known) return known;
  return version > other.version;
}

void EvacuationTracker::OnCurrent(uint64_t version) {
  OnCopy({true, version, {requested_.begin(), requested_.end()}});
}

void EvacuationTracker::OnCopy(const Evacuations& copy) {
  if (copy.IsNewerThan(newest_)) newest_ = copy;
}

}  // namespace beamhill
