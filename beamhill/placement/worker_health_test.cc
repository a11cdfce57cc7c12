#include "beamhill/placement/worker_health.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

TEST(WorkerHealth, WorkerThatFailsWhatOthersCompleteIsQuarantined) {
  WorkerHealth health;
  health.OnEnded("good", "job", false, kNow);
  for (int i = 0; i < 3; ++i) health.OnEnded("bad", "job", true, kNow);
  EXPECT_TRUE(health.IsQuarantined("bad"));
  EXPECT_FALSE(health.MayPlace("bad", 0, kNow));
  EXPECT_TRUE(health.MayPlace("good", 5, kNow));
}

TEST(WorkerHealth, JobThatFailsEverywhereQuarantinesNoWorker) {
  WorkerHealth health;
  for (int i = 0; i < 20; ++i) {
    health.OnEnded("vm-" + std::to_string(i % 5), "bad", true, kNow);
  }
  EXPECT_TRUE(health.Quarantined().empty());
  EXPECT_TRUE(health.FailsEverywhere("bad"));
  EXPECT_FALSE(health.MayStart("bad", 0, kNow));
  EXPECT_TRUE(health.MayStart("bad", 0, kNow + std::chrono::minutes(10)));
  EXPECT_FALSE(health.MayStart("bad", 1, kNow + std::chrono::minutes(10)));
}

TEST(WorkerHealth, WorkerIsQuarantinedBeforeAnyJobHasSucceeded) {
  WorkerHealth health;
  health.OnEnded("bad", "a", true, kNow);
  health.OnEnded("bad", "b", true, kNow);
  health.OnEnded("bad", "a", true, kNow);
  EXPECT_TRUE(health.IsQuarantined("bad"));
  EXPECT_FALSE(health.FailsEverywhere("a"));
}

TEST(WorkerHealth, QuarantinedWorkerIsProbedWithOneTaskAndReadmitted) {
  WorkerHealth health;
  health.OnEnded("good", "job", false, kNow);
  for (int i = 0; i < 3; ++i) health.OnEnded("bad", "job", true, kNow);
  const TimePoint later = kNow + seconds(10);
  EXPECT_TRUE(health.MayPlace("bad", 0, later));
  EXPECT_FALSE(health.MayPlace("bad", 1, later));
  health.OnEnded("bad", "job", true, later);
  EXPECT_FALSE(health.MayPlace("bad", 0, later + seconds(15)));
  EXPECT_TRUE(health.MayPlace("bad", 0, later + seconds(20)));
  health.OnEnded("bad", "job", false, later + seconds(21));
  EXPECT_TRUE(health.MayPlace("bad", 8, later + seconds(21)));
}

}  // namespace
}  // namespace beamhill
