#include "beamhill/testing/coordination_sim.h"

namespace beamhill {

const char* SimFaultName(SimFault fault) {
  static constexpr const char* kNames[kSimFaults] = {
      "load wave",      "wrong run times",
      "impossible job", "cancel wave",
      "failing worker", "eviction wave",
      "VM lost",        "rack lost",
      "entry killed",   "entry paused",
      "entry released", "agent killed",
      "agent paused",   "link cut",
      "link slow",      "entry cut from table",
      "table down",     "table slow",
      "answers lost"};
  return kNames[static_cast<int>(fault)];
}

const char* SimDefectName(SimDefect defect) {
  static constexpr const char* kNames[kSimDefects] = {
      "none",
      "epoch not checked",
      "session not checked",
      "lease counted from arrival",
      "lease never ends",
      "inventory partial",
      "acknowledged before durable",
      "unconfirmed owner accepted",
      "roster not saved",
      "window not saved",
      "unconditional writes",
      "ownership confirmed by a stale read",
      "earlier agent accepted",
      "live VM reported gone"};
  return kNames[static_cast<int>(defect)];
}

}  // namespace beamhill
