#include "beamhill/scheduler/handover.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerView Served(double strength, int silence_ms = 100) {
  return {milliseconds(50), milliseconds(silence_ms), strength};
}

OwnerView Owner(double strength, int silence_ms) {
  return {milliseconds(silence_ms), seconds(10), strength};
}

TEST(HandoverTest, StrengthIsWhatIsScarcest) {
  EXPECT_DOUBLE_EQ(HostStrength(0.25, 1000), 1);
  EXPECT_DOUBLE_EQ(HostStrength(0.5, 10), 0.2);
  EXPECT_NEAR(HostStrength(0.12, 200), 0.48, 1e-9);
}

TEST(HandoverTest, OnlyWeakHostsLeaveTheRowToOthers) {
  EXPECT_EQ(ClaimDelay(1), Duration(0));
  EXPECT_EQ(ClaimDelay(4), Duration(0));
  EXPECT_GT(ClaimDelay(0.2), ClaimDelay(0.5));
  EXPECT_LE(ClaimDelay(0), milliseconds(600));
}

TEST(HandoverTest, PeersThatAreSilentOrCutOffAreNoChoice) {
  EXPECT_FALSE(BestServedPeer({}, kServedJustNow));
  EXPECT_FALSE(BestServedPeer({Served(1, 900)}, kServedJustNow));
  PeerView unheard = Served(1);
  unheard.heard_ago = milliseconds(900);
  EXPECT_FALSE(BestServedPeer({unheard}, kServedJustNow));
}

TEST(HandoverTest, StrongestPeerIsChosenThenTheOneServedLast) {
  EXPECT_EQ(
      BestServedPeer({Served(0.2), Served(1.5), Served(0.5)}, kServedJustNow),
      1);
  // Both have enough; the second was answered later.
  EXPECT_EQ(BestServedPeer({Served(4, 500), Served(1, 20)}, kServedJustNow), 1);
}

// A planned stop in calm times: strong peers were answered a second ago.
TEST(HandoverTest, StrongPeerIsChosenInCalmThoughAWeakOneWasServedLater) {
  const std::vector<PeerView> peers = {Served(0.2, 20), Served(2, 1400)};
  EXPECT_EQ(BestServedPeer(peers, kServedInCalm), 1);
  EXPECT_EQ(BestServedPeer(peers, kServedJustNow), 0);
}

TEST(HandoverTest, OwnerThatTheStoreDoesNotAnswerGivesWay) {
  EXPECT_FALSE(ShouldHandOver(Owner(1, 900), Served(1)));
  EXPECT_TRUE(ShouldHandOver(Owner(1, 1000), Served(0.2)));
}

TEST(HandoverTest, WeakOwnerGivesWayToAMuchStrongerPeer) {
  EXPECT_TRUE(ShouldHandOver(Owner(0.2, 0), Served(2)));
  EXPECT_FALSE(ShouldHandOver(Owner(0.2, 0), Served(0.3)));
  EXPECT_FALSE(ShouldHandOver(Owner(1, 0), Served(4)));
  OwnerView fresh = Owner(0.2, 0);
  fresh.owned_for = seconds(1);
  EXPECT_FALSE(ShouldHandOver(fresh, Served(2)));
}

}  // namespace
}  // namespace beamhill
