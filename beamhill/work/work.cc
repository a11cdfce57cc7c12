#include "beamhill/work/work.h"

#include <algorithm>
#include <utility>

namespace beamhill {

bool Resources::Holds(const Resources& part) const {
  return part.cpu_millis <= cpu_millis && part.memory_mib <= memory_mib &&
         part.accelerators <= accelerators;
}

bool Resources::operator==(const Resources& other) const {
  return cpu_millis == other.cpu_millis && memory_mib == other.memory_mib &&
         accelerators == other.accelerators;
}

Resources& Resources::operator+=(const Resources& other) {
  cpu_millis += other.cpu_millis;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  cpu_millis -= other.cpu_millis;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

Resources operator+(Resources a, const Resources& b) { return a += b; }
Resources operator-(Resources a, const Resources& b) { return a -= b; }

std::string_view OutcomeKindName(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kDone:
      return "done";
    case OutcomeKind::kFailed:
      return "failed";
    case OutcomeKind::kEvicted:
      return "evicted";
    case OutcomeKind::kRefused:
      return "refused";
    case OutcomeKind::kLost:
      return "lost";
  }
  return "unknown";
}

namespace {

// Returns the first range that ends at or after `index`.
std::vector<TaskRange>::const_iterator FirstEndingAt(
    const std::vector<TaskRange>& ranges, uint32_t index) {
  return std::lower_bound(
      ranges.begin(), ranges.end(), index,
      [](const TaskRange& r, uint32_t i) { return r.end < i; });
}

}  // namespace

bool IndexSet::Contains(uint32_t index) const {
  auto it = FirstEndingAt(ranges_, index);
  if (it != ranges_.end() && it->end == index) ++it;
  return it != ranges_.end() && it->Contains(index);
}

bool IndexSet::Add(uint32_t index) {
  if (Contains(index)) return false;
  ++size_;
  auto it =
      ranges_.begin() + (FirstEndingAt(ranges_, index) - ranges_.cbegin());
  const bool extends_left = it != ranges_.end() && it->end == index;
  auto next = extends_left ? it + 1 : it;
  const bool extends_right = next != ranges_.end() && next->begin == index + 1;
  if (extends_left && extends_right) {
    it->end = next->end;
    ranges_.erase(next);
  } else if (extends_left) {
    it->end = index + 1;
  } else if (extends_right) {
    next->begin = index;
  } else {
    ranges_.insert(it, TaskRange{index, index + 1});
  }
  return true;
}

IndexSet IndexSet::FromRanges(std::vector<TaskRange> ranges) {
  IndexSet set;
  for (const TaskRange& range : ranges) set.size_ += range.size();
  set.ranges_ = std::move(ranges);
  return set;
}

}  // namespace beamhill
