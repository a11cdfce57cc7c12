#include "beamhill/scheduler/handover.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PeerView AnsweredPeer(double host_capacity, int silence_ms = 100) {
  return {milliseconds(50), milliseconds(silence_ms), host_capacity};
}

OwnerView Owner(double host_capacity, int silence_ms) {
  return {milliseconds(silence_ms), seconds(10), host_capacity, seconds(5)};
}

TEST(HandoverTest, ScarcestResourceLimitsCapacity) {
  EXPECT_DOUBLE_EQ(HostCapacity(0.25, 1000), 1);
  EXPECT_DOUBLE_EQ(HostCapacity(0.5, 10), 0.2);
  EXPECT_NEAR(HostCapacity(0.12, 200), 0.48, 1e-9);
}

TEST(HandoverTest, OnlyLowCapacityHostsDelayClaims) {
  EXPECT_EQ(ClaimDelay(1), Duration(0));
  EXPECT_EQ(ClaimDelay(4), Duration(0));
  EXPECT_GT(ClaimDelay(0.2), ClaimDelay(0.5));
  EXPECT_LE(ClaimDelay(0), milliseconds(600));
}

// Counts the schedulers whose delay ends before the first claim is visible,
// which takes 10 ms.
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
        delays.push_back(
            RandomizedClaimDelay(1, schedulers - 1, chance(random)));
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

// Guards against a handover to the first peer that a recovering table answers:
// in a deployment of hundreds of VMs, that peer may have low capacity.
TEST(HandoverTest, WaitsBeforeHandingOverToPeerJustAnswered) {
  OwnerView owner = Owner(2, 4500);
  owner.peer_answered_for = milliseconds(100);
  EXPECT_FALSE(ShouldHandOver(owner, AnsweredPeer(1)));
  owner.peer_answered_for = milliseconds(300);
  EXPECT_TRUE(ShouldHandOver(owner, AnsweredPeer(1)));
  EXPECT_FALSE(ShouldHandOver(owner, AnsweredPeer(0.4)));
}

TEST(HandoverTest, IgnoresUnreachablePeers) {
  EXPECT_FALSE(BestSuccessor({}, kMaxTableSilenceDegraded));
  EXPECT_FALSE(BestSuccessor({AnsweredPeer(1, 900)}, kMaxTableSilenceDegraded));
  PeerView no_heartbeat = AnsweredPeer(1);
  no_heartbeat.since_heartbeat = milliseconds(900);
  EXPECT_FALSE(BestSuccessor({no_heartbeat}, kMaxTableSilenceDegraded));
}

TEST(HandoverTest, PrefersCapacityThenLatestTableAnswer) {
  EXPECT_EQ(
      BestSuccessor({AnsweredPeer(0.2), AnsweredPeer(1.5), AnsweredPeer(0.5)},
                    kMaxTableSilenceDegraded),
      1);
  // Both have sufficient capacity; the second was answered later.
  EXPECT_EQ(BestSuccessor({AnsweredPeer(4, 500), AnsweredPeer(1, 20)},
                          kMaxTableSilenceDegraded),
            1);
}

// A planned stop while the table is healthy: peers of high capacity were last
// answered a second ago.
TEST(HandoverTest, HealthyTableAllowsOlderAnswersOfHighCapacityPeers) {
  const std::vector<PeerView> peers = {AnsweredPeer(0.2, 20),
                                       AnsweredPeer(2, 1400)};
  EXPECT_EQ(BestSuccessor(peers, kMaxTableSilenceHealthy), 1);
  EXPECT_EQ(BestSuccessor(peers, kMaxTableSilenceDegraded), 0);
}

TEST(HandoverTest, OwnerWithoutTableAnswersHandsOver) {
  EXPECT_FALSE(ShouldHandOver(Owner(1, 900), AnsweredPeer(1)));
  EXPECT_TRUE(ShouldHandOver(Owner(1, 1000), AnsweredPeer(0.2)));
}

TEST(HandoverTest, LowCapacityOwnerHandsOverToMuchHigherCapacity) {
  EXPECT_TRUE(ShouldHandOver(Owner(0.2, 0), AnsweredPeer(2)));
  EXPECT_FALSE(ShouldHandOver(Owner(0.2, 0), AnsweredPeer(0.3)));
  EXPECT_FALSE(ShouldHandOver(Owner(1, 0), AnsweredPeer(4)));
  OwnerView recent_owner = Owner(0.2, 0);
  recent_owner.owned_for = seconds(1);
  EXPECT_FALSE(ShouldHandOver(recent_owner, AnsweredPeer(2)));
}

}  // namespace
}  // namespace beamhill
