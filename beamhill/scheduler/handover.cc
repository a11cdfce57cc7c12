#include "beamhill/scheduler/handover.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beamhill {
namespace {

constexpr double kOwnerCores = 0.25;
constexpr double kOwnerLinkMbps = 50;
// A running scheduler of higher capacity reads the owner row within this time.
constexpr Duration kMaxClaimDelay = std::chrono::milliseconds(600);
// A claim takes about 10 ms from reading a free row to its answer. With a slot
// of this length per scheduler, the first of N equal schedulers claims after
// about 8 ms, and one or two others claim before they see its claim.
constexpr Duration kClaimSlot = std::chrono::milliseconds(8);
// If fewer peers are known, they may not be all. If more are known and only a
// few of them are left, their delays would be too far apart.
constexpr size_t kMinSlots = 15;
constexpr size_t kMaxSlots = 75;
// For an unknown number of schedulers: most draw a delay near this value, a few
// a short one.
constexpr Duration kMaxExponentialDelay = std::chrono::milliseconds(120);
constexpr double kAssumedMaxPeers = 1000;
// A recovering table may answer some peer first. If it answers the owner as
// well, the owner's next call is answered within this time.
constexpr Duration kMinPeerAnsweredFor = std::chrono::milliseconds(250);
// An older heartbeat may no longer describe the peer.
constexpr Duration kMaxHeartbeatAge = std::chrono::milliseconds(800);
// The owner calls the table at least every 400 ms, so by then a second call has
// gone unanswered.
constexpr Duration kHandOverSilence = std::chrono::milliseconds(1000);
// An owner of insufficient capacity hands over to a host of this many times its
// capacity, but not right after it took over: each handover pauses the work for
// about 0.3 s.
constexpr double kMinCapacityRatio = 2;
constexpr Duration kMinOwnershipTime = std::chrono::seconds(2);

// Returns a delay for an unknown number of schedulers. The density of the
// delays grows exponentially, so the first of N comes earlier the larger N is,
// and the number of schedulers that claim at about the same time does not grow
// with N. After Nonnenmacher and Biersack, "Scalable feedback for large groups"
// (1999).
Duration ExponentialClaimDelay(double chance) {
  const double part = 1 + std::log(1 - chance) / std::log(kAssumedMaxPeers);
  return std::chrono::duration_cast<Duration>(std::max(part, 0.0) *
                                              kMaxExponentialDelay);
}

}  // namespace

double HostCapacity(double cores, double link_mbps) {
  return std::min(cores / kOwnerCores, link_mbps / kOwnerLinkMbps);
}

Duration ClaimDelay(double host_capacity) {
  const double missing = 1 - std::clamp(host_capacity, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(missing * kMaxClaimDelay);
}

Duration RandomizedClaimDelay(double host_capacity, size_t others,
                              double chance) {
  if (others == 0 || others > kMaxSlots) {
    return ClaimDelay(host_capacity) + ExponentialClaimDelay(chance);
  }
  const auto slots = static_cast<Duration::rep>(std::max(others, kMinSlots));
  return ClaimDelay(host_capacity) +
         std::chrono::duration_cast<Duration>(chance * slots * kClaimSlot);
}

std::optional<size_t> BestSuccessor(const std::vector<PeerView>& peers,
                                    Duration max_table_silence) {
  std::optional<size_t> best;
  const auto rank = [&](size_t i) {
    // Capacity above 1 is no advantage.
    return std::pair(std::min(peers[i].host_capacity, 1.0),
                     -(peers[i].table_silence + peers[i].since_heartbeat));
  };
  for (size_t i = 0; i < peers.size(); ++i) {
    const PeerView& peer = peers[i];
    const bool answered =
        peer.table_silence + peer.since_heartbeat < max_table_silence;
    if (peer.since_heartbeat >= kMaxHeartbeatAge || !answered) continue;
    if (!best || rank(i) > rank(*best)) best = i;
  }
  return best;
}

bool ShouldHandOver(const OwnerView& owner, const PeerView& peer) {
  if (owner.table_silence >= kHandOverSilence) {
    // Leaves peers of higher capacity time to be answered as well.
    return owner.peer_answered_for >=
           kMinPeerAnsweredFor + ClaimDelay(peer.host_capacity);
  }
  return owner.host_capacity < 1 && owner.owned_for >= kMinOwnershipTime &&
         peer.host_capacity >= kMinCapacityRatio * owner.host_capacity;
}

}  // namespace beamhill
