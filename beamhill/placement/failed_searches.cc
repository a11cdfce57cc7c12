#include "beamhill/placement/failed_searches.h"

#include <algorithm>

namespace beamhill {
namespace {

bool RulesOut(const VmSearch& failed, const VmSearch& search) {
  if ((search.rights & kOwnVm) != 0) return false;
  if ((search.rights & ~failed.rights) != 0) return false;
  if (failed.service != search.service ||
      failed.best_effort != search.best_effort) {
    return false;
  }
  if (search.best_effort &&
      (failed.image != search.image ||
       search.best_effort_rank < failed.best_effort_rank)) {
    return false;
  }
  return search.need.Holds(failed.need);
}

}  // namespace

bool FailedSearches::RuleOut(const VmSearch& search) const {
  return std::any_of(
      searches_.begin(), searches_.end(),
      [&](const VmSearch& failed) { return RulesOut(failed, search); });
}

}  // namespace beamhill
