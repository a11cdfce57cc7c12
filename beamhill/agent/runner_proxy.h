// Proxy of the VM's runner: limits concurrency and deduplicates requests by
// idempotency key.
//
// All entries send their requests to the runner through this one proxy, so the
// limits on slots and connections hold without coordination between entries.
// The outcome kNotRun is reported only for a request that was never handed to
// a connection of the runner.
//
//   RunnerProxy proxy(loop, options,
//                     [](const std::string& entry, const Message& message) {
//                       SendToEntry(entry, message);
//                     });
//   proxy.OnRequest("entry-1", request_start);
#ifndef BEAMHILL_AGENT_RUNNER_PROXY_H_
#define BEAMHILL_AGENT_RUNNER_PROXY_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/agent/idempotency_key_store.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_client.h"
#include "beamhill/messages/messages.h"

namespace beamhill {

struct RunnerProxyOptions {
  std::string service;
  Address runner;
  uint32_t slots = 8;         // Requests that the runner executes at a time.
  uint32_t connections = 64;  // Open connections to the runner.
  Duration key_retention = std::chrono::minutes(10);
  size_t max_keys = 50'000;
  size_t max_cached_response_bytes = 16 * 1024;
  // While all slots are in use, a queue of up to a quarter as many requests
  // waits for a free slot. A request that gets none in this time, or finds the
  // queue full, is refused with kNotRun.
  Duration max_slot_wait = std::chrono::milliseconds(50);
  // Each key has two replicas, the agents that record it. A request whose key
  // is known only to the other agent waits this long for the first request of
  // that key, which may still be on its way here.
  Duration max_repeat_wait = std::chrono::milliseconds(200);
};

// Totals since the start of the process.
struct RunnerProxyCounts {
  uint64_t ran = 0;
  uint64_t refused = 0;  // Not handed to the runner.
  uint64_t unknown = 0;  // Sent to the runner, without a complete response.
  uint64_t repeated_keys = 0;
  uint64_t abandoned = 0;  // Cancelled by the entry while in progress.
};

class RunnerProxy {
 public:
  // Sends a message to the named entry.
  using Send =
      std::function<void(const std::string& entry, const Message& message)>;

  RunnerProxy(EventLoop& loop, const RunnerProxyOptions& options, Send send);
  ~RunnerProxy();

  void OnRequest(const std::string& entry, const RequestStart& request);
  // As the key's secondary replica: records a key whose request is about to be
  // executed on the primary replica's runner, and replies with whether the key
  // was new here.
  void OnKeyClaim(const std::string& entry, const KeyClaim& claim);
  void OnKeyRelease(const KeyRelease& release) {
    keys_.MarkNotRun(release.key);
  }
  // Drops a request that its entry has abandoned. A request that the runner is
  // already executing continues and keeps its slot until it ends; its response
  // is not sent to the entry.
  void OnCancel(const std::string& entry, const RequestCancel& cancel);
  // Drops all requests of an entry whose link is down, like OnCancel().
  void OnEntryDown(const std::string& entry);

  // Refuses new and queued requests; those in progress continue.
  void Drain();
  bool idle() const { return in_progress_ == 0; }
  // Returns whether a slot is free although the last report said that all slots
  // are in use.
  bool has_freed_slot() const {
    return last_report_full_ && in_progress_ < options_.slots;
  }

  // Returns the load of the runner since the last StartReportInterval().
  RunnerReport Report() const;
  // Resets the figures of Report() that cover one report interval.
  void StartReportInterval();
  // Returns whether the report has changed since the last call.
  bool TakeReportChanged() { return std::exchange(report_changed_, false); }
  const RunnerProxyCounts& counts() const { return counts_; }
  size_t connections() const { return client_.open_connections(); }

 private:
  // Where a request came from: the entry and its request ID there.
  struct Origin {
    std::string entry;
    uint64_t id = 0;
  };
  struct Running;

  struct QueuedRequest {
    Origin origin;
    RequestStart request;
    Timer timer;
  };

  void Refuse(const Origin& origin, const std::string& reason);
  // Requests that wait for the first request of their key to arrive here.
  struct DeferredRepeats {
    std::vector<Origin> origins;
    Timer timer;
  };
  void DeferRepeat(const Origin& origin, const std::string& key);
  // Fails the repeats of `key` whose first request did not arrive in time.
  void FailDeferred(const std::string& key);
  void EnqueueRequest(const Origin& origin, const RequestStart& request);
  // Handles a request for which a slot is free: replays the response of a known
  // key, or forwards the request to the runner.
  void Admit(const Origin& origin, const RequestStart& request);
  void AdmitQueued();
  // Sends a cached response.
  void Replay(const Origin& origin, const CachedResponse& response);
  void Forward(const Origin& origin, const RequestStart& request);
  void OnResponseHead(uint64_t run, int status, const HttpHeaders& headers);
  void OnBytes(uint64_t run, std::string_view bytes);
  void OnEnd(uint64_t run, const HttpOutcome& outcome);
  void SendToOrigins(const Running& running, const Message& message);

  EventLoop& loop_;
  RunnerProxyOptions options_;
  Send send_;
  HttpClient client_;
  IdempotencyKeyStore keys_;
  std::map<uint64_t, std::unique_ptr<Running>> running_;  // By run number.
  std::map<std::string, uint64_t> run_by_key_;            // Runs in progress.
  std::list<QueuedRequest> queue_;
  std::map<std::string, DeferredRepeats> deferred_;  // By key.
  uint64_t next_run_ = 1;
  uint32_t in_progress_ = 0;
  bool draining_ = false;
  bool report_changed_ = true;
  bool last_report_full_ = false;
  uint32_t interval_ended_ = 0;
  Duration interval_latency_{};
  RunnerProxyCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_RUNNER_PROXY_H_
