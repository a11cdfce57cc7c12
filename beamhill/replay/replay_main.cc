// Plays drawn load against the decisions and prints what callers got, a line
// for each seed: beamhill-replay --seeds 6 --vms 15 --filling 1.7.
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdio>

#include "beamhill/replay/load_replay.h"

namespace beamhill {
namespace {

void Print(uint64_t seed, const ReplayOutcome& outcome) {
  std::printf(
      "%4llu filling %.3f quick %.3f unfinished %zu idle_s %.1f harm %.4f "
      "longest_harm_s %.1f worked %.0f moved %llu\n",
      static_cast<unsigned long long>(seed), outcome.Earned(true),
      outcome.Earned(false), outcome.Unfinished(),
      ToMillis(outcome.LongestIdle()) / 1000,
      outcome.harm_seconds / std::max(outcome.serving_seconds, 1.0),
      ToMillis(outcome.longest_harm) / 1000, outcome.filled_core_seconds,
      static_cast<unsigned long long>(outcome.counts.moved));
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Replays drawn load in virtual time.", ' ', "1");
  TCLAP::ValueArg<uint64_t> first("", "first", "First seed.", false, 1, "n",
                                  command);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "How many seeds.", false, 3, "n",
                                  command);
  TCLAP::ValueArg<uint32_t> vms("", "vms", "VMs.", false, 15, "n", command);
  TCLAP::ValueArg<double> filling("", "filling", "Filling workflows a second.",
                                  false, 1.7, "rate", command);
  TCLAP::ValueArg<double> quick("", "quick", "Quick workflows a second.", false,
                                3.9, "rate", command);
  TCLAP::ValueArg<uint32_t> serving("", "serving", "Serving steps.", false, 1,
                                    "n", command);
  TCLAP::ValueArg<double> burst("", "burst", "Factor of the burst.", false, 1.4,
                                "factor", command);
  TCLAP::ValueArg<double> traffic("", "traffic", "Seconds of arrivals.", false,
                                  30, "s", command);
  TCLAP::ValueArg<double> drain("", "drain", "Seconds after these.", false, 14,
                                "s", command);
  command.parse(argc, argv);
  double sum = 0;
  std::map<std::string, double> owner;
  for (uint64_t i = 0; i < seeds.getValue(); ++i) {
    ReplayLoad load;
    load.seed = first.getValue() + i;
    load.vms = vms.getValue();
    load.filling.per_s = filling.getValue();
    load.quick.per_s = quick.getValue();
    load.serving_steps = serving.getValue();
    load.burst = burst.getValue();
    load.traffic = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(traffic.getValue()));
    load.drain = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(drain.getValue()));
    const ReplayOutcome outcome = PlayLoad(load);
    Print(load.seed, outcome);
    sum += outcome.Earned(true);
    const double played = traffic.getValue() + drain.getValue();
    for (const auto& [part, seconds] : outcome.owner_seconds) {
      owner[part] += seconds / played / static_cast<double>(seeds.getValue());
    }
  }
  std::printf("mean filling %.4f\n",
              sum / static_cast<double>(seeds.getValue()));
  for (const auto& [part, share] : owner) {
    std::printf("owner %s %.4f of a core\n", part.c_str(), share);
  }
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
