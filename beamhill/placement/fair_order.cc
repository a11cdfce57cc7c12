#include "beamhill/placement/fair_order.h"

#include <algorithm>

namespace beamhill {

double DominantShare(const Resources& part, const Resources& whole) {
  const auto share = [](int64_t p, int64_t w) {
    return w == 0 ? 0.0 : static_cast<double>(p) / static_cast<double>(w);
  };
  return std::max({share(part.cpu_millis, whole.cpu_millis),
                   share(part.memory_mib, whole.memory_mib),
                   share(part.accelerators, whole.accelerators)});
}

FairOrder::FairOrder(const Resources& capacity, Quota quota)
    : capacity_(capacity), quota_(std::move(quota)) {}

void FairOrder::AddUsage(const std::string& team, const Resources& amount) {
  usage_[team] += amount;
}

double FairOrder::ShareOf(const std::string& team) const {
  const auto it = usage_.find(team);
  return it == usage_.end() ? 0 : DominantShare(it->second, capacity_);
}

void FairOrder::AddWaiting(const std::string& team) {
  waiting_.emplace(ShareOf(team), team);
}

std::optional<std::string> FairOrder::Next() {
  if (waiting_.empty()) return std::nullopt;
  std::string team = waiting_.top().second;
  waiting_.pop();
  return team;
}

bool FairOrder::WithinQuota(const std::string& team,
                            const Resources& more) const {
  const auto it = usage_.find(team);
  const Resources used = it == usage_.end() ? Resources{} : it->second;
  return DominantShare(used + more, capacity_) <= quota_(team);
}

}  // namespace beamhill
