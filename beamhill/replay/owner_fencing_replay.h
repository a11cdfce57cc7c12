// OwnerFencingReplay: plays one VM between two owners in virtual time, with a
// real Executor and VmRegistration, and looks for runs that the earlier owner
// begins after the later one has taken stock of the VM.
//
// The earlier owner acts on until it notices the claim or, if it is cut off
// from the table, until its authority ends. The later one claims the ownership,
// attaches, and decides by the VM's inventory what may start elsewhere. Both
// attach again whenever the executor restarts, after random delays. The
// executor and the runner restart, alone or together, and the table is away for
// one or all of them, in a random order.
//
//   const OwnerFencingOutcome outcome = ReplayOwnerFencing(/*seed=*/7);
#ifndef BEAMHILL_REPLAY_OWNER_FENCING_REPLAY_H_
#define BEAMHILL_REPLAY_OWNER_FENCING_REPLAY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace beamhill {

struct OwnerFencingOutcome {
  // Runs that the earlier owner began too late, with their times.
  std::vector<std::string> violations;
  std::vector<std::string> events;  // In order, with their times.
  uint64_t earlier_runs = 0;        // Begun by the earlier owner.
  uint64_t later_runs = 0;
  // Begun by the earlier owner although the later one had claimed, before it
  // has taken stock: allowed.
  uint64_t runs_after_claim = 0;
  uint64_t owners_refused = 0;  // As counted by executors.
  // Whether the owner of that time begins runs once all faults are over.
  bool recovered = false;
};

OwnerFencingOutcome ReplayOwnerFencing(uint64_t seed);

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_OWNER_FENCING_REPLAY_H_
