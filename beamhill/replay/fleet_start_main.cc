// Prints what a start of everything at once costs, for ways to lay out the VMs'
// rows: beamhill-fleet-start --schedulers 184 --vms 800.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "beamhill/replay/fleet_start.h"

namespace beamhill {
namespace {

struct Layout {
  const char* name;
  std::function<std::string(const std::string& key)> partition_of;
};

std::vector<Layout> Layouts() {
  constexpr size_t kSpreadOver = 16;
  const TimedTableOptions usual;
  const auto spread = [usual](const std::string& key) {
    const std::string partition = usual.partition_of(key);
    if (partition != "vms") return partition;
    return partition +
           std::to_string(std::hash<std::string>()(key) % kSpreadOver);
  };
  return {{"one for all rows", [](const std::string&) { return "all"; }},
          {"one for the VMs", usual.partition_of},
          {"16 for the VMs", spread}};
}

void Print(const Layout& layout, const char* before,
           const FleetStartOutcome& outcome) {
  std::printf(
      "%-18s %-16s owner_ms %6.0f vms_read %5zu registered_ms %6.0f claims "
      "%3zu "
      "transactions %5llu refused %5llu\n",
      layout.name, before, ToMillis(outcome.owner_loaded), outcome.vms_loaded,
      ToMillis(outcome.all_registered), outcome.claims,
      static_cast<unsigned long long>(outcome.table.transactions),
      static_cast<unsigned long long>(outcome.table.refused));
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command("Starts a whole deployment in virtual time.", ' ',
                         "1");
  TCLAP::ValueArg<uint64_t> seed("", "seed", "Seed.", false, 1, "n", command);
  TCLAP::ValueArg<size_t> schedulers("", "schedulers", "Schedulers.", false,
                                     184, "n", command);
  TCLAP::ValueArg<size_t> vms("", "vms", "VMs.", false, 800, "n", command);
  command.parse(argc, argv);
  FleetStartOptions options;
  options.seed = seed.getValue();
  options.schedulers = schedulers.getValue();
  options.vms = vms.getValue();
  for (const Layout& layout : Layouts()) {
    options.table.partition_of = layout.partition_of;
    options.rows_before = RowsBefore::kNone;
    Print(layout, "first start", PlayFleetStart(options));
    options.rows_before = RowsBefore::kOtherAddresses;
    Print(layout, "other addresses", PlayFleetStart(options));
    options.rows_before = RowsBefore::kAsTheyWere;
    Print(layout, "rows as they were", PlayFleetStart(options));
  }
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
