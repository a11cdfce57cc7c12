// The agent process, which runs on each VM next to its runner and its worker.
//
// It keeps a link to every entry of its region, starts and stops tasks on the
// worker, forwards requests to the runner and serves an HTTP API to operators.
//
//   auto agent = Agent::Start(loop, settings);
//   if (!IsOk(agent)) return ErrorOf(agent);
//   ValueOf(agent)->set_on_drained([&] { loop.Stop(); });
//   loop.Run();
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
#include "beamhill/metrics/metrics.h"
#include "beamhill/platform/http_worker.h"
#include "beamhill/settings/settings_tree.h"

namespace beamhill {

// Contents of an agent's settings file.
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
  RunnerProxyOptions runner;
  ProcessResources resources;
  // All keys with the values in use, without secrets, for the state dump.
  std::map<std::string, std::string> effective;
};

// Reads and validates an agent's settings file. The error names each key that
// is missing, unknown or out of range.
Result<AgentSettings> ReadAgentSettings(const std::string& file);

class Agent {
 public:
  // Listens for operators and connects to all entries. Fails if the operators'
  // address is not available.
  static Result<std::unique_ptr<Agent>> Start(EventLoop& loop,
                                              const AgentSettings& settings);
  ~Agent();

  // Refuses new requests, reports that to every entry, completes the requests
  // in progress, then calls the hook. Tasks keep running under their leases.
  void Drain();
  void set_on_drained(std::function<void()> hook) {
    on_drained_ = std::move(hook);
  }

  uint16_t operators_port() const { return operators_->port(); }

 private:
  struct EntryLink {
    std::string name;  // "ip:port"; the entry's own name comes with Welcome.
    Address address;
    std::unique_ptr<Link> link;
    bool handshake_done = false;  // The entry has accepted the Hello.
    Duration redial_delay{};      // Delay before the next dial, before jitter.
    Timer redial;
  };

  Agent(EventLoop& loop, const AgentSettings& settings);
  Status Listen();
  void Dial(EntryLink& entry);
  void ScheduleRedial(EntryLink& entry);
  void OnOpen(EntryLink& entry);
  void OnClose(EntryLink& entry);
  void OnFrame(EntryLink& entry, std::string_view frame);
  void Send(const std::string& entry, const Message& message);
  void OnSettings(const ActiveSettings& settings);
  ActiveSettings CurrentSettings() const;
  // Passes the core's commands to the worker and its messages to the entries.
  void Flush();
  void PollWorkerTasks();
  void Tick();
  // While draining: calls the hook once no request is in progress and none can
  // still be on its way.
  void ExitIfIdle();
  // Sends the runner's load to all entries if it has changed, if the report
  // interval is over, or if `force` is set.
  void SendRunnerReport(bool force);
  void HandleOperator(HttpExchange exchange);
  std::string StateDump() const;

  EventLoop& loop_;
  AgentSettings settings_;
  std::mt19937_64 random_;
  uint64_t incarnation_;
  std::unique_ptr<AgentCore> core_;
  std::unique_ptr<HttpWorker> worker_;
  std::unique_ptr<RunnerProxy> proxy_;
  Metrics metrics_;
  std::unique_ptr<HttpServer> operators_;
  std::map<std::string, EntryLink> entries_;
  bool list_pending_ = false;
  std::optional<StopSequence> stop_;  // Set while draining.
  std::function<void()> on_drained_;
  uint64_t settings_revision_ = 0;
  SettingValues active_values_;
  uint64_t bytes_sent_ = 0;
  uint64_t bytes_received_ = 0;
  uint64_t messages_sent_ = 0;
  uint64_t messages_received_ = 0;
  TimePoint started_at_;
  TimePoint last_report_at_{};
  // Requests that ended since the last latency sample given to the core.
  uint32_t ended_since_sample_ = 0;
  Duration latency_sum_since_sample_{};
  TimePoint last_sample_{};
  Timer tick_timer_;
  Timer list_timer_;
  Timer flush_timer_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_AGENT_H_
