#include "beamhill/config/process_resources.h"
#include "beamhill/entry/entry.h"

namespace beamhill {
namespace {

constexpr ProcessResources kDefaultResources{size_t{1000} * 1000 * 1000, 0};

}  // namespace

Result<EntrySettings> ReadEntrySettings(const std::string& file) {
  Result<Config> loaded = Config::Load(file);
  if (!IsOk(loaded)) return ErrorOf(loaded);
  Config& config = ValueOf(loaded);
  EntrySettings settings;
  settings.name = config.Text("name");
  settings.region = config.Text("region");
  settings.callers = config.SocketAddress("listen.callers");
  settings.operators = config.SocketAddress("listen.operators");
  settings.agents = config.SocketAddress("listen.agents");
  settings.platform = config.SocketAddress("platform.address");
  settings.platform_timeout =
      config.Time("platform.timeout", std::chrono::milliseconds(50),
                  std::chrono::minutes(1), std::chrono::seconds(2));
  settings.shared_key = config.Text("shared_key");
  settings.operators_token = config.Text("operators_token");
  settings.cell.agent_term =
      config.Time("cell.agent_term", std::chrono::seconds(5),
                  std::chrono::hours(1), settings.cell.agent_term);
  settings.cell.ownership_term =
      config.Time("cell.ownership_term", std::chrono::seconds(10),
                  std::chrono::hours(24), settings.cell.ownership_term);
  settings.cell.snapshot_interval =
      config.Time("cell.snapshot_interval", std::chrono::milliseconds(500),
                  std::chrono::minutes(10), settings.cell.snapshot_interval);
  settings.resources = ReadResources(config, "limits.", kDefaultResources);
  if (settings.cell.ownership_term < 2 * settings.cell.agent_term) {
    config.AddError("cell.ownership_term",
                    "must be at least twice cell.agent_term");
  }
  const Status status = config.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  settings.effective = config.effective();
  settings.effective["shared_key"] = "(set)";
  settings.effective["operators_token"] = "(set)";
  return settings;
}

}  // namespace beamhill
