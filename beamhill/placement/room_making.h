// Chooses which tasks to move so that a long-running one which fits on no VM
// finds room: there may be enough in all, but not enough on any single VM.
//
// Reads no clock and does no I/O.
//
//   std::vector<RoomOnVm> vms = ...;
//   const auto move = ChooseRoomMaker(vms, /*need=*/{4000, 1000, 0}, may_move);
//   if (move) Stop(vms[move->vm].name, vms[move->vm].tasks[move->task]);
#ifndef BEAMHILL_PLACEMENT_ROOM_MAKING_H_
#define BEAMHILL_PLACEMENT_ROOM_MAKING_H_

#include <cstddef>
#include <functional>
#include <optional>
#include <vector>

#include "beamhill/work/work.h"

namespace beamhill {

// A VM as a task that needs room may use it.
struct RoomOnVm {
  // What no long-running task uses. Short tasks there end by themselves.
  Resources room;
  // Requested by each long-running task on the VM.
  std::vector<Resources> tasks;
};

// The task to move, by its index and that of its VM.
struct RoomMaker {
  size_t vm = 0;
  size_t task = 0;
};

// Returns the smallest task, by processor time, without which its VM has room
// for `need`, among those for which `may_move` returns true; nullopt if there
// is none. `may_move` tells whether the task may be stopped and fits elsewhere;
// it is called for one task after the other until it agrees.
std::optional<RoomMaker> ChooseRoomMaker(
    const std::vector<RoomOnVm>& vms, const Resources& need,
    const std::function<bool(const RoomMaker& move)>& may_move);

// Returns which of the tasks, the cheapest to stop first, have to be stopped so
// that `need` fits beside the others, by their index; empty if all of them are
// not enough. `free` is what is unused, or about to be.
std::vector<size_t> ChooseTasksToStop(const Resources& free,
                                      const std::vector<Resources>& tasks,
                                      const Resources& need);

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_ROOM_MAKING_H_
