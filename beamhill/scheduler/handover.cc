#include "beamhill/scheduler/handover.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace beamhill {
namespace {

constexpr double kCoresNeeded = 0.25;
constexpr double kLinkMbpsNeeded = 50;
// The longest that a weak host leaves a row to others: a stronger one that
// lives reads the row within this.
constexpr Duration kLongestClaimDelay = std::chrono::milliseconds(600);
// A claim takes some 10 ms from the reading of a free row to its answer. With
// this much for each scheduler, the first of N equal ones claims after some 8
// ms and one or two others claim before they read of it.
constexpr Duration kClaimSlot = std::chrono::milliseconds(8);
// Few that are known may not be all; for many, the times of those that are left
// of them would be too far apart.
constexpr size_t kLeastSlots = 15;
constexpr size_t kMostSlots = 75;
// Where there may be any number of others, most draw a time near the end of
// this and few an early one.
constexpr Duration kUnknownSpread = std::chrono::milliseconds(120);
constexpr double kMostOthers = 1000;
// A peer that is served may be the first of all when the store comes back; the
// owner's own next call is answered within this if the store answers it too.
constexpr Duration kServedLongEnough = std::chrono::milliseconds(250);
// What a peer said longer ago may no longer hold.
constexpr Duration kFreshHeartbeat = std::chrono::milliseconds(800);
// An owner asks the store at least each 400 ms, so that this is a second
// call without an answer.
constexpr Duration kCutOffAfter = std::chrono::milliseconds(1000);
// A weak owner gives way to a host of this many times its host capacity, but
// not before it has got somewhere: each change costs a pause of some 0.3 s.
constexpr double kMuchStronger = 2;
constexpr Duration kSettledAfter = std::chrono::seconds(2);

// How many claim at the first one's time must not grow with their number, which
// is not known: so the density of the times grows exponentially, by which the
// first of N comes the earlier the more there are. The timers of Nonnenmacher
// and Biersack, "Scalable feedback for large groups" (1999).
Duration DelayAmongUnknown(double chance) {
  const double part = 1 + std::log(1 - chance) / std::log(kMostOthers);
  return std::chrono::duration_cast<Duration>(std::max(part, 0.0) *
                                              kUnknownSpread);
}

}  // namespace

double HostStrength(double cores, double link_mbps) {
  return std::min(cores / kCoresNeeded, link_mbps / kLinkMbpsNeeded);
}

Duration ClaimDelay(double host_capacity) {
  const double missing = 1 - std::clamp(host_capacity, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(missing * kLongestClaimDelay);
}

Duration SpreadClaimDelay(double host_capacity, size_t others, double chance) {
  if (others == 0 || others > kMostSlots) {
    return ClaimDelay(host_capacity) + DelayAmongUnknown(chance);
  }
  const auto slots = static_cast<Duration::rep>(std::max(others, kLeastSlots));
  return ClaimDelay(host_capacity) +
         std::chrono::duration_cast<Duration>(chance * slots * kClaimSlot);
}

std::optional<size_t> BestServedPeer(const std::vector<PeerView>& peers,
                                     Duration served_within) {
  std::optional<size_t> best;
  const auto rank = [&](size_t i) {
    // More than enough counts for nothing.
    return std::pair(std::min(peers[i].host_capacity, 1.0),
                     -(peers[i].store_silence + peers[i].heard_ago));
  };
  for (size_t i = 0; i < peers.size(); ++i) {
    const PeerView& peer = peers[i];
    const bool served = peer.store_silence + peer.heard_ago < served_within;
    if (peer.heard_ago >= kFreshHeartbeat || !served) continue;
    if (!best || rank(i) > rank(*best)) best = i;
  }
  return best;
}

bool ShouldHandOver(const OwnerView& owner, const PeerView& peer) {
  if (owner.store_silence >= kCutOffAfter) {
    // A weak peer is left time for stronger ones to be served as well.
    return owner.peer_served_for >=
           kServedLongEnough + ClaimDelay(peer.host_capacity);
  }
  return owner.host_capacity < 1 && owner.owned_for >= kSettledAfter &&
         peer.host_capacity >= kMuchStronger * owner.host_capacity;
}

}  // namespace beamhill
