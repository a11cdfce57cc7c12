// Prints how long a simultaneous start of all processes takes, for several
// layouts of the VM rows over partitions:
//
//   beamhill-fleet-start --schedulers 184 --vms 800
//
// Each line shows when the owner had read the stored rows and how many VMs it
// read, when all VMs were registered, and the ownership claims, transactions
// and refused calls until then.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "beamhill/replay/fleet_start.h"

namespace beamhill {
namespace {

struct PartitionLayout {
  const char* name;
  std::function<std::string(const std::string& key)> partition_of;
};

std::vector<PartitionLayout> PartitionLayouts() {
  constexpr size_t kVmPartitions = 16;
  const TimedTableOptions defaults;
  const auto spread = [defaults](const std::string& key) {
    const std::string partition = defaults.partition_of(key);
    if (partition != "vms") return partition;
    return partition +
           std::to_string(std::hash<std::string>()(key) % kVmPartitions);
  };
  return {{"single partition", [](const std::string&) { return "all"; }},
          {"one for VM rows", defaults.partition_of},
          {"16 for VM rows", spread}};
}

void Print(const PartitionLayout& layout, const char* initial_rows,
           const FleetStartOutcome& outcome) {
  std::printf(
      "%-18s %-16s owner_ms %6.0f vms_read %5zu registered_ms %6.0f claims "
      "%3zu "
      "transactions %5llu refused %5llu\n",
      layout.name, initial_rows, ToMillis(outcome.owner_load_time),
      outcome.vms_loaded, ToMillis(outcome.registration_time), outcome.claims,
      static_cast<unsigned long long>(outcome.table.transactions),
      static_cast<unsigned long long>(outcome.table.refused));
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Simulates the simultaneous start of all processes of a deployment.", ' ',
      "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed of the random numbers.",
                                 false, 1, "n", command);
  TCLAP::ValueArg<size_t> schedulers("", "schedulers", "Number of schedulers.",
                                     false, 184, "n", command);
  TCLAP::ValueArg<size_t> vms("", "vms", "Number of VMs.", false, 800, "n",
                              command);
  command.parse(argc, argv);
  FleetStartOptions options;
  options.seed = seed.getValue();
  options.schedulers = schedulers.getValue();
  options.vms = vms.getValue();
  for (const PartitionLayout& layout : PartitionLayouts()) {
    options.table.partition_of = layout.partition_of;
    options.initial_vm_rows = InitialVmRows::kNone;
    Print(layout, "first start", SimulateFleetStart(options));
    options.initial_vm_rows = InitialVmRows::kChangedAddresses;
    Print(layout, "new addresses", SimulateFleetStart(options));
    options.initial_vm_rows = InitialVmRows::kUnchanged;
    Print(layout, "unchanged rows", SimulateFleetStart(options));
  }
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
