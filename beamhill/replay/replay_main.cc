// Runs the load replay for several seeds and prints a line for each:
//
//   beamhill-replay --seeds 6 --vms 15 --filling 1.7
//
// A line shows the scores of the best-effort ("filling") and the quick
// workflows, the number of unfinished ones, the longest idle time of a
// workflow, the fraction of serving time over the latency target ("harm") and
// its longest stretch, the best-effort core-seconds ("worked"), and the number
// of runs moved. The last lines show the mean best-effort score and the owner's
// load by operation.
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
      static_cast<unsigned long long>(seed), outcome.Score(true),
      outcome.Score(false), outcome.Unfinished(),
      ToMillis(outcome.LongestIdle()) / 1000,
      outcome.violation_seconds / std::max(outcome.serving_seconds, 1.0),
      ToMillis(outcome.max_violation) / 1000, outcome.best_effort_core_seconds,
      static_cast<unsigned long long>(outcome.counts.moved));
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Simulates a random load in virtual time.", ' ', "1");
  TCLAP::ValueArg<uint64_t> first(
      "", "first", "First seed of the random numbers.", false, 1, "n", command);
  TCLAP::ValueArg<uint64_t> seeds("", "seeds", "Number of seeds.", false, 3,
                                  "n", command);
  TCLAP::ValueArg<uint32_t> vms("", "vms", "Number of VMs.", false, 15, "n",
                                command);
  TCLAP::ValueArg<double> best_effort(
      "", "filling", "Arrivals of best-effort workflows per second.", false,
      1.7, "rate", command);
  TCLAP::ValueArg<double> quick("", "quick",
                                "Arrivals of quick workflows per second.",
                                false, 3.9, "rate", command);
  TCLAP::ValueArg<uint32_t> serving("", "serving", "Number of serving steps.",
                                    false, 1, "n", command);
  TCLAP::ValueArg<double> burst_factor(
      "", "burst", "Factor of the best-effort arrival rate during the burst.",
      false, 1.4, "factor", command);
  TCLAP::ValueArg<double> arrival_phase(
      "", "traffic", "Duration of the arrivals.", false, 30, "s", command);
  TCLAP::ValueArg<double> drain_phase(
      "", "drain", "Duration of the replay after the last arrival.", false, 14,
      "s", command);
  command.parse(argc, argv);
  double score_sum = 0;
  std::map<std::string, double> owner_load;
  for (uint64_t i = 0; i < seeds.getValue(); ++i) {
    ReplayLoad load;
    load.seed = first.getValue() + i;
    load.vms = vms.getValue();
    load.best_effort_work.arrivals_per_s = best_effort.getValue();
    load.quick_work.arrivals_per_s = quick.getValue();
    load.serving_steps = serving.getValue();
    load.burst_factor = burst_factor.getValue();
    load.arrival_phase = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(arrival_phase.getValue()));
    load.drain_phase = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(drain_phase.getValue()));
    const ReplayOutcome outcome = RunLoadReplay(load);
    Print(load.seed, outcome);
    score_sum += outcome.Score(true);
    const double replay_seconds =
        arrival_phase.getValue() + drain_phase.getValue();
    for (const auto& [operation, seconds] : outcome.owner_wall_seconds) {
      owner_load[operation] +=
          seconds / replay_seconds / static_cast<double>(seeds.getValue());
    }
  }
  std::printf("mean filling %.4f\n",
              score_sum / static_cast<double>(seeds.getValue()));
  for (const auto& [operation, share] : owner_load) {
    std::printf("owner %s %.4f of a core\n", operation.c_str(), share);
  }
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
