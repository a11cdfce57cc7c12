// Decides which team's task starts next by dominant resource fairness (DRF):
// the team with the smallest dominant share of the cell, within its quota.
//
// Reads no clock and does no I/O. A team's dominant share is the largest of its
// running tasks' shares of the cell's CPU, memory and accelerators. A quota is
// a share of each cell, so no cell needs to know what a team uses elsewhere.
//
//   FairOrder order(cell_capacity, quota);
//   order.AddUsage("team-a", granted);
//   order.AddWaiting("team-a"); order.AddWaiting("team-b");
//   while (auto team = order.Next()) {
//     ... order.AddUsage(*team, each); order.AddWaiting(*team); }
#ifndef BEAMHILL_PLACEMENT_FAIR_ORDER_H_
#define BEAMHILL_PLACEMENT_FAIR_ORDER_H_

#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/work/work.h"

namespace beamhill {

// Returns the largest share of `whole` that `part` takes in any dimension. A
// dimension that `whole` lacks counts as 0.
double DominantShare(const Resources& part, const Resources& whole);

// Tracks the teams' usage and orders those with waiting work.
class FairOrder {
 public:
  // `quota` is the largest share of a cell that a team may hold, in (0, 1].
  using Quota = std::function<double(const std::string& team)>;

  FairOrder(const Resources& capacity, Quota quota);

  void AddUsage(const std::string& team, const Resources& amount);
  // Adds a team that has waiting work, ranked by its present share.
  void AddWaiting(const std::string& team);
  // Removes and returns the team to serve next, nullopt if none is waiting.
  // Call AddWaiting again if it has more work.
  std::optional<std::string> Next();
  // Whether the team stays within its quota with `more` on top of its usage.
  bool WithinQuota(const std::string& team, const Resources& more) const;

 private:
  double ShareOf(const std::string& team) const;

  Resources capacity_;
  Quota quota_;
  std::map<std::string, Resources> usage_;
  using Waiting = std::pair<double, std::string>;
  std::priority_queue<Waiting, std::vector<Waiting>, std::greater<>> waiting_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_FAIR_ORDER_H_
