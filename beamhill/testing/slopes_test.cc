// Bounds on the slopes of docs/CAPACITY.md. Covers only counts and bytes, which
// are deterministic.
#include <gtest/gtest.h>

#include "beamhill/testing/slope_cell.h"

namespace beamhill {
namespace {

constexpr int kAgents = 100;

TEST(Slopes, IdleAgentTrafficIsBounded) {
  SlopeCell cell(kAgents);
  const UsageTotals idle = cell.MeasureIdle();
  const double per_agent = kAgents * static_cast<double>(kIdleSeconds);
  EXPECT_LE(static_cast<double>(idle.messages) / per_agent, 2.1);
  EXPECT_LE(static_cast<double>(idle.bytes) / per_agent, 150);
}

TEST(Slopes, TrafficAndRowWritesPerStartAreBounded) {
  SlopeCell cell(kAgents);
  uint64_t starts = 0;
  const uint64_t snapshots = cell.snapshots();
  const UsageTotals load = cell.MeasureLoad(&starts);
  const auto n = static_cast<double>(starts);
  ASSERT_GT(starts, 10'000U);
  EXPECT_LE(static_cast<double>(load.bytes) / n, 200);
  EXPECT_LE(static_cast<double>(load.messages) / n, 0.6);
  EXPECT_LE(static_cast<double>(cell.snapshots() - snapshots) * 1000 / n, 1.0);
  EXPECT_LE(static_cast<double>(load.bytes) / kLoadSeconds / kAgents, 2'000)
      << "bytes per second at each agent; the limit is 4,096";
}

// The number of row writes must not depend on the number of starts.
TEST(Slopes, RowWritesDoNotGrowWithStarts) {
  SlopeCell small(30);
  SlopeCell large(300);
  uint64_t few = 0;
  uint64_t many = 0;
  small.MeasureLoad(&few);
  large.MeasureLoad(&many);
  ASSERT_GT(many, 5 * few);
  EXPECT_LE(large.snapshots(), small.snapshots() + 3);
}

}  // namespace
}  // namespace beamhill
