// Whose task starts next: the team with the smallest dominant share of the
// cell, within its quota.
//
// Pure. A team's share is the largest, over processors, memory and
// accelerators, of its running tasks' part of the cell. A quota is a share of
// each cell, so no cell needs to know what a team uses elsewhere.
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

// The largest share of `whole` that `part` takes in any dimension.
double DominantShare(const Resources& part, const Resources& whole);

class FairOrder {
 public:
  // `quota` is the largest share of a cell that a team may hold, in (0, 1].
  using Quota = std::function<double(const std::string& team)>;

  FairOrder(const Resources& capacity, Quota quota);

  void AddUsage(const std::string& team, const Resources& amount);
  // The team has work waiting.
  void AddWaiting(const std::string& team);
  // The team to serve next; it is not offered again unless AddWaiting is
  // called.
  std::optional<std::string> Next();
  // Whether the team may hold so much more.
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
