// beamhill-policy-bench: compares the product's placement, throttling and
// eviction with baselines and an oracle, in virtual time.
//   beamhill-policy-bench --seed 1000 --seeds 10
#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

#include "beamhill/testing/policy_bench.h"

namespace beamhill {
namespace {

// Averages over `seeds` seeds, except evictions, which are summed.
PolicyResult Mean(HallShape shape, HallPolicy policy, uint64_t seed,
                  uint64_t seeds) {
  PolicyResult sum;
  const auto n = static_cast<double>(seeds);
  for (uint64_t i = 0; i < seeds; ++i) {
    PolicyBenchOptions options;
    options.shape = shape;
    options.seed = seed + i;
    options.policy = policy;
    const PolicyResult r = RunPolicyBench(options);
    sum.p50_ms += r.p50_ms / n;
    sum.p99_ms += r.p99_ms / n;
    sum.p999_ms += r.p999_ms / n;
    sum.throughput += r.throughput / n;
    sum.evictions += r.evictions;
    sum.lost_work += r.lost_work / n;
  }
  return sum;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "Compares placement and eviction policies in a simulated hall.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "first seed", false, 1000,
                                 "number", cmd);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "number of seeds", false, 10,
                                  "count", cmd);
  cmd.parse(argc, argv);
  for (const HallShape shape : {HallShape::kTsagaanTal, HallShape::kPetalRun}) {
    std::cout << (shape == HallShape::kTsagaanTal ? "Tsagaan Tal" : "PetalRun")
              << ", seeds " << seed.getValue() << " to "
              << seed.getValue() + seeds.getValue() - 1 << "\n"
              << std::left << std::setw(14) << "policy" << std::right
              << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
              << std::setw(10) << "p99.9 ms" << std::setw(14) << "core hours"
              << std::setw(11) << "evictions" << std::setw(16)
              << "lost core min"
              << "\n";
    for (const HallPolicy policy :
         {HallPolicy::kFirstFit, HallPolicy::kLeastLoaded,
          HallPolicy::kBeamhill, HallPolicy::kOracle}) {
      const PolicyResult r =
          Mean(shape, policy, seed.getValue(), seeds.getValue());
      std::cout << std::left << std::setw(14) << HallPolicyName(policy)
                << std::right << std::fixed << std::setprecision(1)
                << std::setw(9) << r.p50_ms << std::setw(9) << r.p99_ms
                << std::setw(10) << r.p999_ms << std::setw(14)
                << r.throughput / 3600 << std::setw(11)
                << static_cast<double>(r.evictions) /
                       static_cast<double>(seeds.getValue())
                << std::setw(16) << r.lost_work / 60 << "\n";
    }
  }
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
