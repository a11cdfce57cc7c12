#include "beamhill/placement/room_making.h"

#include <algorithm>

namespace beamhill {

std::optional<RoomMaker> ChooseRoomMaker(
    const std::vector<RoomOnVm>& vms, const Resources& need,
    const std::function<bool(const RoomMaker& move)>& may_move) {
  std::vector<RoomMaker> candidates;
  for (size_t vm = 0; vm < vms.size(); ++vm) {
    for (size_t task = 0; task < vms[vm].tasks.size(); ++task) {
      Resources room = vms[vm].room;
      room += vms[vm].tasks[task];
      if (room.Holds(need)) candidates.push_back({vm, task});
    }
  }
  const auto cpu = [&](const RoomMaker& move) {
    return vms[move.vm].tasks[move.task].cpu_millis;
  };
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [&](const RoomMaker& a, const RoomMaker& b) { return cpu(a) < cpu(b); });
  const auto chosen =
      std::find_if(candidates.begin(), candidates.end(), may_move);
  if (chosen == candidates.end()) return std::nullopt;
  return *chosen;
}

std::vector<size_t> ChooseTasksToStop(const Resources& free,
                                      const std::vector<Resources>& tasks,
                                      const Resources& need) {
  Resources room = free;
  std::vector<size_t> chosen;
  for (size_t i = 0; i < tasks.size() && !room.Holds(need); ++i) {
    room += tasks[i];
    chosen.push_back(i);
  }
  if (!room.Holds(need)) return {};
  // The later ones may have made some of the earlier ones unnecessary.
  const auto is_unnecessary = [&](size_t i) {
    if (!(room - tasks[i]).Holds(need)) return false;
    room -= tasks[i];
    return true;
  };
  chosen.erase(std::remove_if(chosen.begin(), chosen.end(), is_unnecessary),
               chosen.end());
  return chosen;
}

}  // namespace beamhill
