// Benchmark of request routing in virtual time: several entries that share no
// state, and runners with a limited number of slots behind an admission gate.
// One runner may be slow, and one may fail every request at once.
//
//   RoutingResult r = RunRoutingBench({RoutingPolicy::kBeamhill, /*seed=*/7});
#ifndef BEAMHILL_TESTING_ROUTING_BENCH_H_
#define BEAMHILL_TESTING_ROUTING_BENCH_H_

#include <cstdint>

#include "beamhill/base/time.h"

namespace beamhill {

enum class RoutingPolicy : uint8_t {
  kRandom,
  kRoundRobin,
  // Power of two choices, by the entry's own requests in progress only.
  kLeastOfTwo,
  kBeamhill,
};
const char* RoutingPolicyName(RoutingPolicy policy);

struct RoutingBenchOptions {
  RoutingPolicy policy = RoutingPolicy::kBeamhill;
  uint64_t seed = 1;
  double load = 0.7;  // Offered load over the capacity of healthy runners.
  bool one_slow = false;
  bool one_failing = false;  // Answers at once with an error.
  int entries = 3;
  int runners = 11;
  uint32_t slots = 8;
  Duration length = std::chrono::seconds(60);
};

struct RoutingResult {
  double p50_ms = 0;  // Latency of successful requests.
  double p99_ms = 0;
  double goodput = 0;  // Rate of successful requests over healthy capacity.
  double errors = 0;   // Share of requests answered with an error.
  double not_run = 0;  // Share of requests refused as not-run.
  uint64_t over_slots = 0;  // Requests started beyond a runner's slots.
};

RoutingResult RunRoutingBench(const RoutingBenchOptions& options);

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_ROUTING_BENCH_H_
