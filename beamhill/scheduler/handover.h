// Whether an owner should give the work to a peer, and to which.
//
// Pure. An owner that the store doesn't answer while it answers a peer holds
// everything up; one on a weak VM falls behind a deployment of many VMs.
//
//   const auto best = BestServedPeer(peers);
//   if (best && ShouldHandOver(own, peers[*best])) HandOverToPeer(*best);
#ifndef BEAMHILL_SCHEDULER_HANDOVER_H_
#define BEAMHILL_SCHEDULER_HANDOVER_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// What a VM has for an owner, relative to what an owner of some hundred VMs
// needs (a quarter of a core and 50 Mbit/s, from plays at 76 VMs): at 1 or
// above it has enough.
double HostStrength(double cores, double link_mbps);

// How long a host of that host capacity leaves a free row to stronger ones.
Duration ClaimDelay(double host_capacity);

// How long a scheduler that knows of so many others leaves a free row to them,
// by its host capacity and by chance: so that of any number one or two claim it
// at the same moment. One that knows of none may have just started beside
// hundreds. `chance` is uniform in [0, 1).
Duration SpreadClaimDelay(double host_capacity, size_t others, double chance);

// A peer, by its last heartbeat.
struct PeerView {
  Duration heard_ago{};
  Duration store_silence{};  // Since the store last answered it, then.
  double host_capacity = 1;
};

// The owner itself.
struct OwnerView {
  Duration store_silence{};
  Duration owned_for{};
  double host_capacity = 1;
  // For how long some peer has been served while this owner was not.
  Duration peer_served_for{};
};

// In calm times the store answers each scheduler's watch this often, and some.
inline constexpr Duration kServedInCalm = std::chrono::milliseconds(2200);
// When it may have stopped answering some a moment ago.
inline constexpr Duration kServedJustNow = std::chrono::milliseconds(700);

// The strongest peer that the store has answered within that time, by what was
// heard lately; among equals the one that it answered last.
std::optional<size_t> BestServedPeer(const std::vector<PeerView>& peers,
                                     Duration served_within);

// Whether the owner should give way to that peer, which the store answers.
bool ShouldHandOver(const OwnerView& owner, const PeerView& peer);

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_HANDOVER_H_
