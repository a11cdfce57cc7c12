// The entry process: callers' and operators' HTTP, links to agents, and the
// cells that this entry owns.
#ifndef BEAMHILL_ENTRY_ENTRY_H_
#define BEAMHILL_ENTRY_ENTRY_H_

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "beamhill/cell/cell_host.h"
#include "beamhill/config/config.h"
#include "beamhill/entry/agent_links.h"
#include "beamhill/entry/operator_api.h"
#include "beamhill/entry/request_router.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/jobs/job_store.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/platform/http_table.h"
#include "beamhill/settings/settings_store.h"

namespace beamhill {

struct EntrySettings {
  std::string name;
  std::string region;
  Address callers;
  Address operators;
  Address agents;
  Address platform;
  std::string shared_key;
  std::string operators_token;
  Duration platform_timeout{};
  CellOwnerOptions cell;
  std::map<std::string, std::string> effective;  // For the state dump.
};

// Reads and validates all keys of an entry's settings file.
Result<EntrySettings> ReadEntrySettings(const std::string& file);

class Entry {
 public:
  // Listens on all addresses; serves once the loop runs.
  static Result<std::unique_ptr<Entry>> Start(EventLoop& loop,
                                              const EntrySettings& settings);
  ~Entry();

  // Refuses new requests, finishes what is in progress, gives up its cells,
  // then calls the hook.
  void Drain();
  void set_on_drained(std::function<void()> hook) {
    drained_ = std::move(hook);
  }

  uint16_t callers_port() const { return callers_->port(); }
  uint16_t operators_port() const { return operators_->port(); }
  uint16_t agents_port() const { return links_->port(); }

 private:
  Entry(EventLoop& loop, const EntrySettings& settings);
  Status Listen();
  // The host of the agent's cell, made when the cell is new here.
  CellHost& HostOf(const Hello& hello);
  void RefreshHalls();
  void AdoptSettings(const Hello& hello, const ActiveSettings& settings);
  void OnHello(const Hello& hello);
  void OnDown(const Hello& hello);
  void OnMessage(const std::string& vm, const Message& message);
  void OnCallers(HttpExchange exchange);
  void TickCells();
  void Flush(CellHost& host);
  void PollVms();
  void OnSettingsChange();
  void PushSettings(const Hello& hello);
  void ReleaseWhenIdle();
  std::vector<CellCapacity> Cells() const;
  std::string StateDump() const;
  double Random();

  EventLoop& loop_;
  EntrySettings settings_;
  std::mt19937_64 random_;
  uint64_t incarnation_;
  Metrics metrics_;
  PlatformClient platform_;
  SettingsStore settings_store_;
  JobStore jobs_;
  RequestRouter router_;
  OperatorApi api_;
  std::unique_ptr<AgentLinks> links_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> operators_;
  std::map<std::string, Hello> agents_;  // By VM, linked now.
  std::map<std::string, std::unique_ptr<CellHost>> cells_;
  // Settings in force, by the hall's node in the tree.
  std::map<std::string, SettingValues> halls_;
  // Revisions taken from agents, later than any read from the table.
  std::map<std::string, uint64_t> adopted_;
  std::set<std::string> listed_vms_;
  bool listing_ = false;
  bool draining_ = false;
  size_t releases_open_ = 0;
  std::function<void()> drained_;
  TimePoint started_at_;
  Timer cell_tick_;
  Timer settings_tick_;
  Timer list_tick_;
  Timer drain_tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_ENTRY_H_
