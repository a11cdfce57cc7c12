// beamhill-coordination: runs the coordination simulation for many seeds.
//   beamhill-coordination --seed 7 --faults "link cut,table down"
// Prints every violation with its seed, then the totals. Exits with 1 if there
// was a violation.
#include <tclap/CmdLine.h>

#include <iostream>
#include <sstream>

#include "beamhill/testing/coordination_sim.h"

namespace beamhill {
namespace {

// Keeps the given order: it decides which faults a seed draws.
std::vector<SimFault> ParseFaults(const std::string& list) {
  std::vector<SimFault> faults;
  std::istringstream in(list);
  for (std::string name; std::getline(in, name, ',');) {
    for (int i = 0; i < kSimFaults; ++i) {
      const auto fault = static_cast<SimFault>(i);
      if (name == SimFaultName(fault)) faults.push_back(fault);
    }
  }
  for (int i = 0; list.empty() && i < kSimFaults; ++i) {
    faults.push_back(static_cast<SimFault>(i));
  }
  return faults;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Simulates coordination in virtual time under faults.");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "first seed", false, 1, "number",
                                 cmd);
  TCLAP::ValueArg<uint64_t> steps(
      "", "steps", "run seeds until this many steps", false, 1, "count", cmd);
  TCLAP::ValueArg<std::string> faults(
      "", "faults", "fault names; all when empty", false, "", "a,b", cmd);
  TCLAP::ValueArg<int> interval("", "interval", "mean time between faults",
                                false, 6000, "ms", cmd);
  TCLAP::ValueArg<int> length("", "length",
                              "time during which faults are injected", false,
                              60, "seconds", cmd);
  TCLAP::ValueArg<int> defect("", "defect", "inject this defect; 0: none",
                              false, 0, "number", cmd);
  cmd.parse(argc, argv);
  SimReport sum;
  for (uint64_t i = 0; sum.steps < steps.getValue(); ++i) {
    SimOptions options;
    options.seed = seed.getValue() + i;
    options.faults = ParseFaults(faults.getValue());
    options.fault_interval = std::chrono::milliseconds(interval.getValue());
    options.length = std::chrono::seconds(length.getValue());
    options.defect = static_cast<SimDefect>(defect.getValue());
    const SimReport report = RunCoordinationSim(options);
    sum.steps += report.steps;
    sum.starts += report.starts;
    sum.done += report.done;
    sum.evicted += report.evicted;
    sum.row_writes += report.row_writes;
    sum.reads += report.reads;
    sum.takeovers += report.takeovers;
    for (const std::string& violation : report.violations) {
      std::cout << "seed " << options.seed << ": " << violation << "\n";
      sum.violations.push_back(violation);
    }
  }
  std::cout << "steps " << sum.steps << ", starts " << sum.starts << ", done "
            << sum.done << ", evicted " << sum.evicted << ", takeovers "
            << sum.takeovers << ", row writes " << sum.row_writes << ", reads "
            << sum.reads << ", violations " << sum.violations.size() << "\n";
  return sum.violations.empty() ? 0 : 1;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
