// Benchmark of placement, throttling and eviction in a simulated hall, in
// virtual time. The simulation has interference between batch classes and the
// service that policies can't see, late and noisy latency reports, load shifts,
// bursts of a class with strong interference, wrong declared run times, and a
// worker that fails its tasks.
//
//   PolicyResult r = RunPolicyBench({HallShape::kTsagaanTal, /*seed=*/7,
//                                    HallPolicy::kBeamhill});
#ifndef BEAMHILL_TESTING_POLICY_BENCH_H_
#define BEAMHILL_TESTING_POLICY_BENCH_H_

#include <cstdint>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// Example deployment whose VM size, latency and policy weights are used.
enum class HallShape : uint8_t { kTsagaanTal, kPetalRun };

enum class HallPolicy : uint8_t {
  kFirstFit,     // The first VM with enough free cores.
  kLeastLoaded,  // The VM with the most free cores.
  kBeamhill,     // The product's policy.
  kOracle,       // The product's policy with exact, immediate information.
};
const char* HallPolicyName(HallPolicy policy);

struct PolicyBenchOptions {
  HallShape shape = HallShape::kTsagaanTal;
  uint64_t seed = 1;
  HallPolicy policy = HallPolicy::kBeamhill;
  Duration length = std::chrono::hours(1);
};

struct PolicyResult {
  // Latency of the service's requests.
  double p50_ms = 0;
  double p99_ms = 0;
  double p999_ms = 0;
  // Batch work done, less the work lost to evictions, in core seconds.
  double throughput = 0;
  uint64_t evictions = 0;
  // Work lost to evictions and failures, in core seconds.
  double lost_work = 0;
};

PolicyResult RunPolicyBench(const PolicyBenchOptions& options);

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_POLICY_BENCH_H_
