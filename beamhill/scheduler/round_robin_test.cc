#include "beamhill/scheduler/round_robin.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>

namespace beamhill {
namespace {

using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

TEST(RoundRobinTest, ReturnsBatchesAndWrapsAround) {
  const std::map<int, char> map = {{1, 'a'}, {2, 'b'}, {5, 'c'}};
  int cursor = 0;
  EXPECT_THAT(NextRoundRobin(map, cursor, 2), ElementsAre(1, 2));
  EXPECT_THAT(NextRoundRobin(map, cursor, 2), ElementsAre(5, 1));
  EXPECT_THAT(NextRoundRobin(map, cursor, 9), ElementsAre(2, 5, 1));
}

TEST(RoundRobinTest, EmptyMapReturnsNothing) {
  int cursor = 3;
  EXPECT_THAT(NextRoundRobin(std::map<int, char>(), cursor, 2), IsEmpty());
}

// Keys may be added and removed between calls.
TEST(RoundRobinTest, ContinuesAfterARemovedKey) {
  std::map<int, char> map = {{1, 'a'}, {2, 'b'}, {5, 'c'}};
  int cursor = 0;
  NextRoundRobin(map, cursor, 2);
  map.erase(2);
  EXPECT_THAT(NextRoundRobin(map, cursor, 1), ElementsAre(5));
}

// The owner of hundreds of schedulers tells each of them of all others within
// seconds, a few per heartbeat.
TEST(RoundRobinTest, ReturnsEveryKeyInOnePass) {
  std::map<int, char> map;
  for (int i = 0; i < 184; ++i) map[i] = 'x';
  std::set<int> seen;
  int cursor = 77;
  constexpr size_t kBatchSize = 8;
  for (int turn = 0; turn < 23; ++turn) {
    const auto batch = NextRoundRobin(map, cursor, kBatchSize);
    EXPECT_THAT(batch, SizeIs(kBatchSize));
    seen.insert(batch.begin(), batch.end());
  }
  EXPECT_THAT(seen, SizeIs(184));
}

}  // namespace
}  // namespace beamhill
