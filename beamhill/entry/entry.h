// The entry process. It serves callers' requests and the operators' HTTP API,
// holds links to agents and schedules the cells that it owns.
//
//   auto settings = ReadEntrySettings("entry.yaml");
//   auto entry = Entry::Start(loop, ValueOf(settings));
//   loop.Run();
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

// The process settings of an entry.
struct EntrySettings {
  std::string name;
  std::string region;
  Address callers;         // Listening address of the callers' HTTP server.
  Address operators;       // Listening address of the operators' HTTP server.
  Address agents;          // Listening address for links from agents.
  Address platform;        // Address of the platform's HTTP interface.
  std::string shared_key;  // Authenticates agents.
  std::string operators_token;
  Duration platform_timeout{};  // Of each call to the platform.
  CellOwnerOptions cell;
  ProcessResources resources;
  // All settings with defaults filled in and secrets removed, for the state
  // dump.
  std::map<std::string, std::string> effective;
};

// Reads and validates an entry's settings file. Fails with kInvalidArgument;
// the message names every invalid key.
Result<EntrySettings> ReadEntrySettings(const std::string& file);

class Entry {
 public:
  // Listens on all addresses and serves once the event loop runs. Fails when an
  // address can't be bound.
  static Result<std::unique_ptr<Entry>> Start(EventLoop& loop,
                                              const EntrySettings& settings);
  ~Entry();

  // Starts the shutdown: rejects new requests, lets those in progress finish,
  // releases the ownership of its cells, then calls the hook.
  void Drain();
  void set_on_drained(std::function<void()> hook) {
    on_drained_ = std::move(hook);
  }

  uint16_t callers_port() const { return callers_->port(); }
  uint16_t operators_port() const { return operators_->port(); }
  uint16_t agents_port() const { return links_->port(); }

 private:
  Entry(EventLoop& loop, const EntrySettings& settings);
  Status Listen();
  // Returns the host of the agent's cell, creating it for the first agent of
  // the cell.
  CellHost& FindOrCreateHost(const Hello& hello);
  // Recomputes hall_settings_ from the settings tree, except for halls with
  // newer settings adopted from agents.
  void RefreshHallSettings();
  // Applies settings reported by an agent if they are newer than the known
  // ones.
  void AdoptSettings(const Hello& hello, const ActiveSettings& settings);
  void OnHello(const Hello& hello);
  void OnAgentDisconnected(const Hello& hello);
  void OnMessage(const std::string& vm, const Message& message);
  void HandleCallerRequest(HttpExchange exchange);
  void TickCells();
  // Sends the messages and closes the links that the host has asked for.
  void FlushMessages(CellHost& host);
  void PollVms();
  void OnSettingsChange();
  // Sends the agent the settings of its hall.
  void PushSettings(const Hello& hello);
  // Releases all cells once no request is in progress.
  void ReleaseCellsWhenIdle();
  std::vector<CellCapacity> KnownCells() const;
  std::string StateDump() const;
  // Returns a random number in [0, 1).
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
  std::map<std::string, Hello> linked_agents_;  // By VM.
  std::map<std::string, std::unique_ptr<CellHost>> cells_;
  // Settings in force, by the hall's node in the settings tree.
  std::map<std::string, SettingValues> hall_settings_;
  // Latest revision adopted from an agent, by the hall's settings node. In
  // force while it is newer than the revision read from the table.
  std::map<std::string, uint64_t> adopted_revisions_;
  // VMs in the latest list from the platform.
  std::set<std::string> listed_vms_;
  bool listing_vms_ = false;  // A list call is in progress.
  bool draining_ = false;
  size_t pending_releases_ = 0;  // Cell releases that have not completed.
  std::function<void()> on_drained_;
  TimePoint started_at_;
  Timer cell_timer_;
  Timer settings_timer_;
  Timer vm_list_timer_;
  Timer drain_timer_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_ENTRY_H_
