// Callers' requests: from HTTP to an agent and back.
//
// Each request gets one final answer, at once when its fate is known, with
// the header Beamhill-Outcome:
//   ran      the runner answered; this is its answer
//   not-run  proven: no runner saw it, it may be repeated
//   unknown  it may have run
// A request with a key is first claimed at the key's second keeper and then
// run by the first, so that the loss of either leaves one that knows it.
// Only what is proven not-run is tried on another runner, within the retry
// budget and the deadline. An answer that comes after its request was given
// up finds no request of its id and is counted.
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

class RequestRouter {
 public:
  struct Hooks {
    // False when the VM has no open link; the message was not handed over.
    std::function<bool(const std::string& vm, const Message& message)> send;
    std::function<double()> random;
  };

  RequestRouter(EventLoop& loop, Metrics& metrics, Hooks hooks);
  ~RequestRouter();

  // A request whose path starts with /services/.
  void Handle(HttpExchange exchange);

  void OnHello(const Hello& hello);
  void OnLinkDown(const std::string& vm);
  void OnMessage(const std::string& vm, const Message& message);
  void OnSettings(const SettingValues& values);
  // What the platform's list says of a VM.
  void OnListed(const std::string& vm, bool leaving) {
    runners_.OnListed(vm, leaving);
  }

  // Refuses new requests from now on, as proven not-run.
  void Drain() { draining_ = true; }
  size_t in_progress() const { return pending_.size(); }
  const RunnerTable& runners() const { return runners_; }

 private:
  struct Pending;
  struct Parsed;

  static std::optional<Parsed> Parse(const HttpRequest& request);
  void Start(uint64_t id);
  void StartKeyed(uint64_t id);
  void OnKeyClaimed(const std::string& vm, const KeyClaimed& claimed);
  void SendTo(uint64_t id, const std::string& vm);
  void ReleaseKey(uint64_t id, const Pending& pending);
  void RetryOrRefuse(uint64_t id, const std::string& reason);
  void OnResponseStart(const std::string& vm, const ResponseStart& start);
  void OnResponseBytes(const std::string& vm, const ResponseBytes& bytes);
  void OnResponseEnd(const std::string& vm, const ResponseEnd& end);
  void OnDeadline(uint64_t id);
  Pending* Find(const std::string& vm, uint64_t id);
  void FinishUnknown(uint64_t id, int status, const std::string& message);
  void FinishNotRun(uint64_t id, const std::string& message);
  void Remove(uint64_t id, bool failed);

  EventLoop& loop_;
  Hooks hooks_;
  RunnerTable runners_;
  RetryBudget retry_budget_{20};
  Duration longest_deadline_ = std::chrono::seconds(10);
  bool draining_ = false;
  std::map<uint64_t, std::unique_ptr<Pending>> pending_;
  // Claims whose requests were given up before the answer, by request.
  struct OpenClaim {
    std::string vm;
    std::string key;
  };
  std::map<uint64_t, OpenClaim> open_claims_;
  uint64_t next_id_ = 1;
  Counter& ran_;
  Counter& not_run_;
  Counter& unknown_;
  Counter& retried_;
  Counter& late_;
  LatencyHistogram& latency_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_REQUEST_ROUTER_H_
