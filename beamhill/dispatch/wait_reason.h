// Why tasks wait and VMs don't take them, for decisions, logs and metrics
// alike.
//
//   Log("task_waits", WaitReasonName(WaitReason::kInherited));
#ifndef BEAMHILL_DISPATCH_WAIT_REASON_H_
#define BEAMHILL_DISPATCH_WAIT_REASON_H_

#include <array>
#include <cstdint>
#include <string_view>

namespace beamhill {

// Why a VM can't take a task of a step at present.
enum class Obstacle : uint8_t {
  kNone,
  kRoom,        // Its tasks leave too little.
  kReserved,    // Its room is reserved for a long-running task.
  kOffline,     // No link, inventory, lease or runner, or it drains.
  kService,     // Its runner belongs to another service.
  kEvacuated,   // Its data hall is being evacuated.
  kStalled,     // Its tasks make no progress.
  kTrial,       // A suspect of another workflow is on trial there.
  kBackOff,     // It refused a start a moment ago.
  kLease,       // Its lease is about to expire.
  kLabel,       // It lacks the required label.
  kBestEffort,  // Its services leave best-effort tasks too little.
  kQuarantine,  // It failed most of its tasks.
  kAdvice,      // The placement advisor has not allowed it.
  kPerVmLimit,  // It runs as many tasks of the step as it may.
};
std::string_view ObstacleName(Obstacle obstacle);

// Why a task that runs until it is cancelled does not run.
enum class WaitReason : uint8_t {
  kNotStored,  // Its workflow is not stored under this owner's epoch yet.
  kInherited,  // VMs of an earlier owner have not reported yet.
  kBackOff,    // It failed or was refused a moment ago.
  kSuspect,    // It may crash runners and waits for a trial.
  kReserved,   // A VM is reserved for it and can't take it yet.
  kNoVm,       // No VM is reserved for it.
};
inline constexpr std::array kWaitReasons = {
    WaitReason::kNotStored, WaitReason::kInherited, WaitReason::kBackOff,
    WaitReason::kSuspect,   WaitReason::kReserved,  WaitReason::kNoVm};
std::string_view WaitReasonName(WaitReason reason);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_WAIT_REASON_H_
