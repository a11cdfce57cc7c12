#include "beamhill/agent/idempotency_key_store.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::minutes;

constexpr TimePoint kNow{std::chrono::hours(1)};

TEST(IdempotencyKeyStore, StartsANewKeyOnce) {
  IdempotencyKeyStore keys(minutes(10), 10);
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kNew);
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kInProgress);
  keys.End("k", std::make_shared<CachedResponse>(), kNow);
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kAnswered);
}

TEST(IdempotencyKeyStore, KeyWithUnknownOutcomeIsNotRunAgain) {
  IdempotencyKeyStore keys(minutes(10), 10);
  keys.Begin("k", kNow);
  keys.End("k", nullptr, kNow);
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kUnknown);
}

TEST(IdempotencyKeyStore, KeyMarkedNotRunIsNewAgain) {
  IdempotencyKeyStore keys(minutes(10), 10);
  keys.Begin("k", kNow);
  keys.MarkNotRun("k");
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kNew);
}

TEST(IdempotencyKeyStore, ClaimedKeyIsNotRunLocally) {
  IdempotencyKeyStore keys(minutes(10), 10);
  EXPECT_TRUE(keys.Claim("k", kNow));
  EXPECT_FALSE(keys.Claim("k", kNow));
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kUnknown);
  keys.MarkNotRun("k");
  EXPECT_EQ(keys.Begin("k", kNow).state, KeyState::kNew);
}

TEST(IdempotencyKeyStore, ExpiryOfAnOldClaimKeepsAKeyUsedAgainSince) {
  IdempotencyKeyStore keys(minutes(10), 10);
  keys.Claim("k", kNow);
  keys.MarkNotRun("k");
  keys.Begin("k", kNow + minutes(5));
  keys.End("k", nullptr, kNow + minutes(6));
  EXPECT_EQ(keys.Begin("k", kNow + minutes(11)).state, KeyState::kUnknown);
}

TEST(IdempotencyKeyStore, RejectsNewKeysWhenFull) {
  IdempotencyKeyStore keys(minutes(10), 2);
  for (const char* key : {"a", "b"}) {
    keys.Begin(key, kNow);
    keys.End(key, nullptr, kNow);
  }
  EXPECT_EQ(keys.Begin("c", kNow).state, KeyState::kFull);
  EXPECT_EQ(keys.Begin("a", kNow).state, KeyState::kUnknown);
  EXPECT_EQ(keys.Begin("c", kNow + minutes(10)).state, KeyState::kNew);
}

}  // namespace
}  // namespace beamhill
