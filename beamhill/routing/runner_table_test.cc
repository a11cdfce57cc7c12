#include "beamhill/routing/runner_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

#include "beamhill/routing/retry_budget.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

class RunnerTableTest : public testing::Test {
 protected:
  RunnerTableTest()
      : table_([this] {
          return std::uniform_real_distribution<double>(0, 1)(random_);
        }) {
    for (const char* vm : {"a", "b", "c"}) table_.OnLinkUp(vm, "svc", 2);
  }

  std::mt19937_64 random_{20261202};
  RunnerTable table_;
};

TEST_F(RunnerTableTest, PicksNoRunnerOfAnotherServiceLeavingOrExcluded) {
  table_.OnLinkUp("d", "other", 8);
  table_.OnReport("a", {0, 2, 0, {}, true}, kNow);
  for (int i = 0; i < 50; ++i) EXPECT_EQ(table_.Pick("svc", {"b"}, kNow), "c");
  EXPECT_EQ(table_.Pick("none", {}, kNow), std::nullopt);
}

TEST_F(RunnerTableTest, CountsItsOwnRequestsInAdditionToTheReport) {
  table_.OnReport("a", {2, 2, 0, {}, false}, kNow);
  table_.OnSent("b");
  table_.OnSent("b");
  for (int i = 0; i < 50; ++i) EXPECT_EQ(table_.Pick("svc", {}, kNow), "c");
}

TEST_F(RunnerTableTest, PicksOldestReportWhenAllSeemFull) {
  table_.OnReport("b", {2, 2, 0, {}, false}, kNow);
  table_.OnReport("a", {2, 2, 0, {}, false}, kNow + milliseconds(1));
  table_.OnReport("c", {2, 2, 0, {}, false}, kNow + milliseconds(2));
  EXPECT_EQ(table_.Pick("svc", {}, kNow + milliseconds(3)), "b");
  EXPECT_EQ(table_.Pick("svc", {}, kNow + milliseconds(4)), "a");
}

TEST_F(RunnerTableTest, EjectsFailingRunnersUpToHalfOfTheService) {
  for (const char* vm : {"a", "b", "c"}) {
    for (int i = 0; i < 30; ++i) {
      table_.OnSent(vm);
      table_.OnEnded(vm, milliseconds(1), true, kNow);
    }
  }
  int ejected = 0;
  for (const auto& view : table_.Views(kNow)) ejected += view.ejected ? 1 : 0;
  EXPECT_EQ(ejected, 1);
  ejected = 0;
  for (const auto& view : table_.Views(kNow + seconds(60))) {
    ejected += view.ejected ? 1 : 0;
  }
  EXPECT_EQ(ejected, 0);
}

TEST_F(RunnerTableTest, OneKeyReplicaStaysWhenARunnerLeavesOrJoins) {
  for (int i = 0; i < 100; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const auto before = table_.KeyReplicas("svc", key, kNow);
    ASSERT_EQ(before.size(), 2U);
    const auto shares = [&](const RunnerTable& changed) {
      const auto after = changed.KeyReplicas("svc", key, kNow);
      return std::any_of(after.begin(), after.end(), [&](const auto& vm) {
        return std::find(before.begin(), before.end(), vm) != before.end();
      });
    };
    for (const char* vm : {"a", "b", "c"}) {
      RunnerTable without = table_;
      without.OnLinkDown(vm);
      EXPECT_TRUE(shares(without));
    }
    RunnerTable more = table_;
    more.OnLinkUp("d", "svc", 2);
    EXPECT_TRUE(shares(more));
  }
}

TEST_F(RunnerTableTest, KeyReplicasAreInDifferentHallsAndNotRecentlyStarted) {
  RunnerTable halls([] { return 0.5; });
  const TimePoint old = kNow - std::chrono::hours(1);
  halls.OnLinkUp("a", "svc", 2, "east", old);
  halls.OnLinkUp("b", "svc", 2, "east", old);
  halls.OnLinkUp("c", "svc", 2, "west", old);
  halls.OnLinkUp("new", "svc", 2, "north", kNow);
  for (int i = 0; i < 50; ++i) {
    const auto replicas = halls.KeyReplicas("svc", std::to_string(i), kNow);
    ASSERT_EQ(replicas.size(), 2U);
    EXPECT_NE(replicas[0] == "c", replicas[1] == "c");
  }
}

TEST(RetryBudget, AllowsThePercentageOfRequests) {
  RetryBudget budget(10);
  while (budget.TakeRetry()) {
  }
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest();
    if (budget.TakeRetry()) ++retries;
  }
  EXPECT_EQ(retries, 100);
}

}  // namespace
}  // namespace beamhill
