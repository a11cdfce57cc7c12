// beamhill-routing-bench: compares the product's choice of runners with
// baselines, in virtual time. Takes no arguments.
#include <iomanip>
#include <iostream>

#include "beamhill/testing/routing_bench.h"

namespace {

struct Scenario {
  const char* name;
  double load;
  bool one_slow;
  bool one_failing;
};

constexpr Scenario kScenarios[] = {
    {"load 0.7", 0.7, false, false},
    {"load 0.7, one runner 6 times slower", 0.7, true, false},
    {"load 0.7, one runner fails fast", 0.7, false, true},
    {"load 2.0", 2.0, false, false},
};

}  // namespace

int main() {
  using beamhill::RoutingPolicy;
  for (const Scenario& scenario : kScenarios) {
    std::cout << scenario.name << "\n"
              << std::left << std::setw(14) << "policy" << std::right
              << std::setw(9) << "p50 ms" << std::setw(9) << "p99 ms"
              << std::setw(10) << "goodput" << std::setw(10) << "errors"
              << std::setw(10) << "not-run"
              << "\n";
    for (const RoutingPolicy policy :
         {RoutingPolicy::kRandom, RoutingPolicy::kRoundRobin,
          RoutingPolicy::kLeastOfTwo, RoutingPolicy::kBeamhill}) {
      beamhill::RoutingBenchOptions options;
      options.policy = policy;
      options.load = scenario.load;
      options.one_slow = scenario.one_slow;
      options.one_failing = scenario.one_failing;
      const auto r = beamhill::RunRoutingBench(options);
      std::cout << std::left << std::setw(14)
                << beamhill::RoutingPolicyName(policy) << std::right
                << std::fixed << std::setprecision(3) << std::setw(9)
                << r.p50_ms << std::setw(9) << r.p99_ms << std::setw(10)
                << r.goodput << std::setw(10) << r.errors << std::setw(10)
                << r.not_run << "\n";
    }
  }
  return 0;
}
