// The agent process: one on each VM, beside its runner and its worker.
#ifndef BEAMHILL_AGENT_AGENT_H_
#define BEAMHILL_AGENT_AGENT_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "beamhill/agent/agent_core.h"
#include "beamhill/agent/runner_proxy.h"
#include "beamhill/base/error.h"
#include "beamhill/base/stop_sequence.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/link/link.h"
#include "beamhill/platform/http_worker.h"
#include "beamhill/settings/settings_tree.h"

namespace beamhill {

struct AgentSettings {
  std::string vm;
  std::string region;
  std::string hall;
  std::string rack;
  std::string cell;
  std::vector<Address> entries;
  std::string shared_key;
  Address operators;
  std::string operators_token;
  bool has_worker = false;
  Address platform;
  Resources capacity;
  bool has_runner = false;
  RunnerGateOptions runner;
  std::map<std::string, std::string> effective;  // For the state dump.
};

// Reads and validates all keys of an agent's settings file.
Result<AgentSettings> ReadAgentSettings(const std::string& file);

class Agent {
 public:
  static Result<std::unique_ptr<Agent>> Start(EventLoop& loop,
                                              const AgentSettings& settings);
  ~Agent();

  // Takes no new requests, says so on every link, finishes what is in
  // progress, then calls the hook. Tasks go on under their leases.
  void Leave();
  void set_on_left(std::function<void()> hook) { on_left_ = std::move(hook); }

  uint16_t operators_port() const { return operators_->port(); }

 private:
  struct EntryLink {
    std::string name;  // "ip:port", known before the entry's own name.
    Address address;
    std::unique_ptr<Link> link;
    bool welcomed = false;
    Duration retry{};
    Timer redial;
  };

  Agent(EventLoop& loop, const AgentSettings& settings);
  Status Listen();
  void Dial(EntryLink& entry);
  void RedialLater(EntryLink& entry);
  void OnOpen(EntryLink& entry);
  void OnClose(EntryLink& entry);
  void OnFrame(EntryLink& entry, std::string_view frame);
  void Send(const std::string& entry, const Message& message);
  void OnSettings(const ActiveSettings& settings);
  ActiveSettings SettingsNow() const;
  void Flush();
  void ListWorker();
  void Tick();
  // Ends once no request is open and none can be on its way.
  void EndIfQuiet();
  void ReportRunner(bool always);
  void HandleOperator(HttpExchange exchange);
  std::string StateDump() const;

  EventLoop& loop_;
  AgentSettings settings_;
  std::mt19937_64 random_;
  uint64_t incarnation_;
  std::unique_ptr<AgentCore> core_;
  std::unique_ptr<HttpWorker> worker_;
  std::unique_ptr<RunnerGate> gate_;
  std::unique_ptr<HttpServer> operators_;
  std::map<std::string, EntryLink> entries_;
  bool listing_ = false;
  std::optional<StopSequence> stop_;  // Set once it leaves.
  std::function<void()> on_left_;
  uint64_t settings_revision_ = 0;
  SettingValues in_force_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t messages_sent_ = 0;
  uint64_t messages_received_ = 0;
  TimePoint started_at_;
  TimePoint last_report_{};
  // Requests ended since the ladder last looked.
  uint32_t ended_ = 0;
  Duration latency_sum_{};
  TimePoint last_latency_{};
  Timer tick_;
  Timer list_tick_;
  Timer flush_soon_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_AGENT_H_
