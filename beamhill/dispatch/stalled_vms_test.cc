#include "beamhill/dispatch/stalled_vms.h"

#include <gtest/gtest.h>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kBegin{std::chrono::hours(1)};
const RunRef kRun{{"a", 0, 0, 0}, 1};

// Guards against probes that come ever more often, and against a VM that is
// never probed again.
TEST(StalledVmsTest, DelayOfProbesGrowsWithFailuresOnly) {
  StalledVms stalls;
  EXPECT_TRUE(stalls.Report("vm-1", "one", true, kBegin));
  EXPECT_FALSE(stalls.Report("vm-1", "one", true, kBegin + milliseconds(500)));
  TimePoint now = kBegin;
  for (const int delay : {1000, 2000, 4000, 4000}) {
    EXPECT_FALSE(stalls.ProbeIsDue("vm-1", now + milliseconds(delay - 1)));
    now += milliseconds(delay);
    EXPECT_TRUE(stalls.ProbeIsDue("vm-1", now));
    stalls.BeginProbe("vm-1", kRun, now);
    EXPECT_FALSE(stalls.ProbeIsDue("vm-1", now));
    EXPECT_FALSE(stalls.ProbeHasFailed("vm-1", now + milliseconds(1499)));
    now += milliseconds(1500);
    EXPECT_TRUE(stalls.ProbeHasFailed("vm-1", now));
    stalls.EndProbe("vm-1", now);
  }
  stalls.Report("vm-1", "one", false, now);
  stalls.Report("vm-1", "one", true, now);
  stalls.BeginProbe("vm-1", kRun, now + milliseconds(1000));
  stalls.EndProbe("vm-1", now + milliseconds(1200));
  EXPECT_TRUE(stalls.ProbeIsDue("vm-1", now + milliseconds(2200)));
}

// Guards against a replaced runner that inherits the state of its predecessor.
TEST(StalledVmsTest, ClearedStatusOrNewIncarnationForgetsEverything) {
  StalledVms stalls;
  EXPECT_FALSE(stalls.Report("vm-1", "one", false, kBegin));
  stalls.Report("vm-1", "one", true, kBegin);
  stalls.BeginProbe("vm-1", kRun, kBegin + milliseconds(1000));
  const TimePoint later = kBegin + milliseconds(2000);
  EXPECT_TRUE(stalls.Report("vm-1", "two", true, later));
  EXPECT_FALSE(stalls.ProbeOn("vm-1"));
  EXPECT_EQ(stalls.Age("vm-1", later), Duration(0));
  EXPECT_FALSE(stalls.ProbeIsDue("vm-1", later));
  EXPECT_TRUE(stalls.Report("vm-1", "two", false, later));
  EXPECT_FALSE(stalls.Avoids("vm-1"));
}

// Guards against a false detection everywhere that brings all work to a halt.
TEST(StalledVmsTest, MoreThanAThirdStalledAreNotAvoided) {
  StalledVms stalls;
  stalls.Report("vm-1", "one", true, kBegin);
  EXPECT_FALSE(stalls.Compare(1, 3));
  EXPECT_TRUE(stalls.Avoids("vm-1"));
  EXPECT_TRUE(stalls.Compare(2, 5));
  EXPECT_FALSE(stalls.Compare(3, 5));
  EXPECT_FALSE(stalls.Avoids("vm-1"));
  EXPECT_TRUE(stalls.Has("vm-1"));
  EXPECT_TRUE(stalls.Compare(1, 5));
  EXPECT_TRUE(stalls.Avoids("vm-1"));
}

// Guards against a common fault of a small service that is hidden by the VMs of
// a large one, and against one that keeps the others' work on stalled VMs.
TEST(StalledVmsTest, ServicesAreComparedOneByOne) {
  StalledVms stalls;
  stalls.Report("vm-1", "one", true, kBegin, "small");
  stalls.Report("vm-2", "one", true, kBegin, "large");
  EXPECT_TRUE(stalls.Compare(1, 2, "small"));
  EXPECT_FALSE(stalls.Compare(1, 60, "large"));
  EXPECT_FALSE(stalls.Avoids("vm-1"));
  EXPECT_TRUE(stalls.Avoids("vm-2"));
  EXPECT_TRUE(stalls.Compare(0, 0, "small"));
  EXPECT_TRUE(stalls.Avoids("vm-1"));
}

}  // namespace
}  // namespace beamhill
