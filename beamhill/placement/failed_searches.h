// Searches for a VM that failed in one pass over the waiting tasks. They spare
// the pass searches that can't succeed either.
//
// A failed search rules out another one only if each VM that admits the other
// one would have admitted it, too: it asked for no more, and had every right
// that the other one has.
//
//   FailedSearches failed;
//   failed.Add(search);
//   if (failed.RuleOut(next)) return nullptr;
#ifndef BEAMHILL_PLACEMENT_FAILED_SEARCHES_H_
#define BEAMHILL_PLACEMENT_FAILED_SEARCHES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/work/work.h"

namespace beamhill {

// What makes VMs admit some tasks and not others. Flags.
enum SearchRight : uint32_t {
  kUseReservedCapacity = 1U << 0,
  kProbeStalledVm = 1U << 1,
  kProbeVmStalledForLong = 1U << 2,
  kStartInQuarantine = 1U << 3,
  // Some VM may admit this task alone, by a reservation, a trial or a
  // guaranteed run.
  kOwnVm = 1U << 4,
};

struct VmSearch {
  std::string service;
  Resources need;
  // Of a best-effort task: which VMs it disturbs depends on its image, and how
  // many others make way on its rank. Lower ranks come first.
  bool best_effort = false;
  std::string image;
  double best_effort_rank = 0;
  uint32_t rights = 0;  // Of SearchRight.
};

class FailedSearches {
 public:
  void Add(VmSearch search) { searches_.push_back(std::move(search)); }
  bool RuleOut(const VmSearch& search) const;

  size_t size() const { return searches_.size(); }
  // Forgets all but the first `size`, for example when the room that was in
  // use during the later ones is free again.
  void Truncate(size_t size) { searches_.resize(size); }
  void Clear() { searches_.clear(); }

 private:
  std::vector<VmSearch> searches_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_FAILED_SEARCHES_H_
