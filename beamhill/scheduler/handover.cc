#include "beamhill/scheduler/handover.h"

#include <algorithm>
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
// Of schedulers that know of no others, as at the first start: enough for some
// fifteen.
constexpr size_t kLeastOthers = 15;
constexpr Duration kWidestSpread = std::chrono::milliseconds(600);
// A peer that is served may be the first of all when the store comes back; the
// owner's own next call is answered within this if the store answers it too.
constexpr Duration kServedLongEnough = std::chrono::milliseconds(250);
// What a peer said longer ago may no longer hold.
constexpr Duration kFreshHeartbeat = std::chrono::milliseconds(800);
// An owner asks the store at least each 400 ms, so that this is a second
// call without an answer.
constexpr Duration kCutOffAfter = std::chrono::milliseconds(1000);
// A weak owner gives way to a host of this many times its strength, but not
// before it has got somewhere: each change costs a pause of some 0.3 s.
constexpr double kMuchStronger = 2;
constexpr Duration kSettledAfter = std::chrono::seconds(2);

}  // namespace

double HostStrength(double cores, double link_mbps) {
  return std::min(cores / kCoresNeeded, link_mbps / kLinkMbpsNeeded);
}

Duration ClaimDelay(double strength) {
  const double missing = 1 - std::clamp(strength, 0.0, 1.0);
  return std::chrono::duration_cast<Duration>(missing * kLongestClaimDelay);
}

Duration SpreadClaimDelay(double strength, size_t others, double chance) {
  const auto slots = static_cast<Duration::rep>(std::max(others, kLeastOthers));
  const Duration spread = std::min(kClaimSlot * slots, kWidestSpread);
  return ClaimDelay(strength) +
         std::chrono::duration_cast<Duration>(chance * spread);
}

std::optional<size_t> BestServedPeer(const std::vector<PeerView>& peers,
                                     Duration served_within) {
  std::optional<size_t> best;
  const auto rank = [&](size_t i) {
    // More than enough counts for nothing.
    return std::pair(std::min(peers[i].strength, 1.0),
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
           kServedLongEnough + ClaimDelay(peer.strength);
  }
  return owner.strength < 1 && owner.owned_for >= kSettledAfter &&
         peer.strength >= kMuchStronger * owner.strength;
}

}  // namespace beamhill
