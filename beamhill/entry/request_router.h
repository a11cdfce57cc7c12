// Routes callers' HTTP requests to agents and their responses back.
//
//   RequestRouter router(loop, metrics, {send, random});
//   router.OnHello(hello);                // for each agent that connects
//   router.Handle(std::move(exchange));   // GET /services/{service}/{path}
//
// Each request gets exactly one final response, as soon as its outcome is
// known. The header Beamhill-Outcome tells the outcome:
//   ran      the runner answered; this is its response
//   not-run  provably, no runner received the request; it is safe to repeat
//   unknown  the request may have run
//
// An Idempotency-Key has two replicas, the agents that record it. The secondary
// replica records the key first (KeyClaim); then the primary replica's runner
// executes the request. When either replica is lost, the other still recognizes
// a repeat of the key.
//
// Only a request that is provably not-run is retried on another runner, within
// the retry budget and its deadline. A response that arrives after its request
// was finished matches no pending request; it is dropped and counted.
#ifndef BEAMHILL_ENTRY_REQUEST_ROUTER_H_
#define BEAMHILL_ENTRY_REQUEST_ROUTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/messages/messages.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/routing/retry_budget.h"
#include "beamhill/routing/runner_table.h"
#include "beamhill/settings/settings_tree.h"

namespace beamhill {

// Returns the response to a request that was not run and may be sent again.
HttpResponse NotRunReply(const std::string& message);

class RequestRouter {
 public:
  struct Hooks {
    // Sends a message to the VM's agent. Returns false, without sending, when
    // there is no open link to the VM.
    std::function<bool(const std::string& vm, const Message& message)> send;
    // Returns a random number in [0, 1).
    std::function<double()> random;
  };

  RequestRouter(EventLoop& loop, Metrics& metrics, Hooks hooks);
  ~RequestRouter();

  // Handles a request whose path starts with /services/.
  void Handle(HttpExchange exchange);

  void OnHello(const Hello& hello);
  void OnLinkDown(const std::string& vm);
  void OnMessage(const std::string& vm, const Message& message);
  void OnSettings(const SettingValues& values);
  // Records the state of a VM in the platform's list.
  void OnListed(const std::string& vm, bool leaving) {
    runners_.OnListed(vm, leaving);
  }

  // Rejects new requests with outcome not-run; requests in progress finish.
  void Drain() { draining_ = true; }
  size_t in_progress() const { return pending_.size(); }
  const RunnerTable& runners() const { return runners_; }

 private:
  struct PendingRequest;
  struct ServicePath;

  // Splits the path; nullopt when it names no service.
  static std::optional<ServicePath> ParsePath(const HttpRequest& request);
  // Picks a runner and sends the request to it.
  void Dispatch(uint64_t id);
  // Picks the two runners of the request's key and claims the key.
  void DispatchWithKey(uint64_t id);
  void OnKeyClaimed(const std::string& vm, const KeyClaimed& claimed);
  void SendToRunner(uint64_t id, const std::string& vm);
  // Withdraws the key's claim for a request that provably did not run.
  void ReleaseKey(uint64_t id, const PendingRequest& pending);
  // Retries a request that provably did not run, or ends it as not-run.
  void RetryOrFinish(uint64_t id, const std::string& reason);
  void OnResponseStart(const std::string& vm, const ResponseStart& start);
  void OnResponseBytes(const std::string& vm, const ResponseBytes& bytes);
  void OnResponseEnd(const std::string& vm, const ResponseEnd& end);
  void OnDeadline(uint64_t id);
  // Returns the pending request if it is on that VM, otherwise null.
  PendingRequest* FindOnVm(const std::string& vm, uint64_t id);
  void FinishUnknown(uint64_t id, int status, const std::string& message);
  void FinishNotRun(uint64_t id, const std::string& message);
  // Forgets the request. `failed` counts as a failure of its runner.
  void Remove(uint64_t id, bool failed);

  EventLoop& loop_;
  Hooks hooks_;
  RunnerTable runners_;
  RetryBudget retry_budget_{20};  // Percent of requests, until settings arrive.
  // Default and upper limit of a request's deadline.
  Duration max_deadline_ = std::chrono::seconds(10);
  bool draining_ = false;
  std::map<uint64_t, std::unique_ptr<PendingRequest>> pending_;
  // Claims that were still unanswered when their request ended, by request ID.
  struct AbandonedClaim {
    std::string vm;
    std::string key;
  };
  std::map<uint64_t, AbandonedClaim> abandoned_claims_;
  uint64_t next_id_ = 1;
  Counter& ran_;
  Counter& not_run_;
  Counter& unknown_;
  Counter& retried_;
  Counter& late_answers_;
  LatencyHistogram& latency_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_REQUEST_ROUTER_H_
