// Decides whether the owner should hand over the work, and to which peer.
//
// An owner that the table does not answer, while it answers a peer, blocks all
// progress; an owner on a small VM falls behind in a deployment of many VMs.
// The functions are pure.
//
//   const auto best = BestSuccessor(peers, kMaxTableSilenceHealthy);
//   if (best && ShouldHandOver(own, peers[*best])) HandOverTo(*best);
#ifndef BEAMHILL_SCHEDULER_HANDOVER_H_
#define BEAMHILL_SCHEDULER_HANDOVER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// Returns the capacity of a VM for acting as owner: 1 for a quarter of a core
// and 50 Mbit/s, which the owner of 76 VMs uses and the owner of about a
// hundred VMs needs. The scarcer of the two decides; 1 or more is sufficient.
double HostCapacity(double cores, double link_mbps);

// Returns how long a scheduler on a host of this capacity leaves a free owner
// row to hosts of higher capacity; zero if the capacity is sufficient.
Duration ClaimDelay(double host_capacity);

// Returns how long a scheduler that knows `others` other schedulers waits
// before it claims a free owner row. Adds a random delay to ClaimDelay so that
// only one or two claim at the same time, however many there are. A scheduler
// that knows no others may have started together with hundreds of them.
// `chance` is uniform in [0, 1).
Duration RandomizedClaimDelay(double host_capacity, size_t others,
                              double chance);

// A peer as of its last heartbeat.
struct PeerView {
  Duration since_heartbeat{};
  // As of the heartbeat: time since the table last answered the peer.
  Duration table_silence{};
  double host_capacity = 1;
};

// The state of the owner itself.
struct OwnerView {
  Duration table_silence{};
  Duration owned_for{};
  double host_capacity = 1;
  // How long some peer has had recent answers from the table; see
  // BestSuccessor.
  Duration peer_answered_for{};
};

// Limit for `max_table_silence` while the table is healthy: it then answers
// each scheduler's watch within this time, with some margin.
inline constexpr Duration kMaxTableSilenceHealthy =
    std::chrono::milliseconds(2200);
// Limit while the table may have just stopped answering some schedulers.
inline constexpr Duration kMaxTableSilenceDegraded =
    std::chrono::milliseconds(700);

// Returns the index of the peer with the highest capacity among those with a
// recent heartbeat that the table answered within `max_table_silence`; nullopt
// if there is none. Capacities above 1 count as 1; ties go to the peer that the
// table answered last.
std::optional<size_t> BestSuccessor(const std::vector<PeerView>& peers,
                                    Duration max_table_silence);

// Returns whether the owner should hand over to `peer`, which the table
// answers.
bool ShouldHandOver(const OwnerView& owner, const PeerView& peer);

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_HANDOVER_H_
