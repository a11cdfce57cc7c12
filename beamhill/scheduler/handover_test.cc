#include "beamhill/scheduler/handover.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerView Served(double host_capacity, int silence_ms = 100) {
  return {milliseconds(50), milliseconds(silence_ms), host_capacity};
}

OwnerView Owner(double host_capacity, int silence_ms) {
  return {milliseconds(silence_ms), seconds(10), host_capacity, seconds(5)};
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

// As counted by those that draw a delay below the first one's and the 10 ms
// that its claim takes to be seen.
TEST(HandoverTest, FewOfManySchedulersClaimAFreeRow) {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> chance(0, 1);
  for (const size_t schedulers : {3U, 11U, 55U, 75U}) {
    size_t claims = 0;
    constexpr size_t kRounds = 400;
    Duration first_sum{};
    for (size_t round = 0; round < kRounds; ++round) {
      std::vector<Duration> delays;
      for (size_t i = 0; i < schedulers; ++i) {
        delays.push_back(SpreadClaimDelay(1, schedulers - 1, chance(random)));
      }
      const Duration first = *std::min_element(delays.begin(), delays.end());
      first_sum += first;
      claims += static_cast<size_t>(std::count_if(
          delays.begin(), delays.end(),
          [&](Duration delay) { return delay < first + milliseconds(10); }));
    }
    EXPECT_LE(claims, kRounds * 5 / 2) << schedulers;
    EXPECT_LE(first_sum / kRounds, milliseconds(35)) << schedulers;
  }
}

// Found on the large site (trouble-3): the first peer that a silent store
// answered again was a weak one, and got the work.
TEST(HandoverTest, PeerThatIsJustServedGetsNothingYet) {
  OwnerView owner = Owner(2, 4500);
  owner.peer_served_for = milliseconds(100);
  EXPECT_FALSE(ShouldHandOver(owner, Served(1)));
  owner.peer_served_for = milliseconds(300);
  EXPECT_TRUE(ShouldHandOver(owner, Served(1)));
  EXPECT_FALSE(ShouldHandOver(owner, Served(0.4)));
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
