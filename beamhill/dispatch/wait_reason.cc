#include "beamhill/dispatch/wait_reason.h"

namespace beamhill {

std::string_view ObstacleName(Obstacle obstacle) {
  switch (obstacle) {
    case Obstacle::kNone:
      return "none";
    case Obstacle::kRoom:
      return "room";
    case Obstacle::kReserved:
      return "reserved";
    case Obstacle::kOffline:
      return "offline";
    case Obstacle::kService:
      return "service";
    case Obstacle::kEvacuated:
      return "evacuated";
    case Obstacle::kStalled:
      return "stalled";
    case Obstacle::kTrial:
      return "trial";
    case Obstacle::kBackOff:
      return "back_off";
    case Obstacle::kLease:
      return "lease";
    case Obstacle::kLabel:
      return "label";
    case Obstacle::kBestEffort:
      return "best_effort";
    case Obstacle::kQuarantine:
      return "quarantine";
    case Obstacle::kAdvice:
      return "advice";
    case Obstacle::kPerVmLimit:
      return "per_vm_limit";
  }
  return "";
}

std::string_view WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kNotStored:
      return "not_stored";
    case WaitReason::kInherited:
      return "inherited";
    case WaitReason::kBackOff:
      return "back_off";
    case WaitReason::kSuspect:
      return "suspect";
    case WaitReason::kReserved:
      return "reserved";
    case WaitReason::kNoVm:
      return "no_vm";
  }
  return "";
}

}  // namespace beamhill
