// The gate of one runner: its slots and connections, and its keys' memory.
//
// Every request to the runner comes through here, from any entry, so the
// limits hold without the entries' talking to each other. "Not run" is said
// only of a request that was never handed to the runner's connection.
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

struct RunnerGateOptions {
  std::string service;
  Address runner;
  uint32_t slots = 8;
  uint32_t connections = 64;
  Duration keep_keys = std::chrono::minutes(10);
  size_t max_keys = 50'000;
  size_t max_kept_answer = 16 * 1024;
  // When every slot is taken, up to a quarter as many requests wait so long
  // for one; what does not get one is refused as not-run.
  Duration longest_wait = std::chrono::milliseconds(50);
  // How long a repeat of a key that only the other keeper has seen waits for
  // the first request, which may be on its way.
  Duration repeat_wait = std::chrono::milliseconds(200);
};

struct RunnerGateCounts {
  uint64_t ran = 0;
  uint64_t refused = 0;
  uint64_t unknown = 0;
  uint64_t repeated_keys = 0;
  uint64_t abandoned = 0;
};

class RunnerGate {
 public:
  using Send =
      std::function<void(const std::string& entry, const Message& message)>;

  RunnerGate(EventLoop& loop, const RunnerGateOptions& options, Send send);
  ~RunnerGate();

  void OnRequest(const std::string& entry, const RequestStart& request);
  // Another runner is about to run the key; remember it.
  void OnKeyClaim(const std::string& entry, const KeyClaim& claim);
  void OnKeyRelease(const KeyRelease& release) { keys_.Abandon(release.key); }
  // The entry gave the request up. It goes on at the runner, whose slot stays
  // taken until it ends; its answer is dropped.
  void OnCancel(const std::string& entry, const RequestCancel& cancel);
  void OnEntryDown(const std::string& entry);

  // Refuses all new requests from now on.
  void Leave();
  bool idle() const { return in_progress_ == 0; }
  // Whether the last report said full and there is room now.
  bool has_new_room() const {
    return reported_full_ && in_progress_ < options_.slots;
  }

  RunnerReport Report() const;
  // Starts the next report's count of ended requests.
  void ResetEnded();
  // True once after the report has changed.
  bool TakeReportChanged() { return std::exchange(report_changed_, false); }
  const RunnerGateCounts& counts() const { return counts_; }
  size_t connections() const { return client_.open_connections(); }

 private:
  struct Origin {
    std::string entry;
    uint64_t id = 0;
  };
  struct Running;

  struct Waiting {
    Origin origin;
    RequestStart request;
    Timer timer;
  };

  void Refuse(const Origin& origin, const std::string& reason);
  // Repeats of a key whose first request has not come here.
  struct Parked {
    std::vector<Origin> origins;
    Timer timer;
  };
  void Park(const Origin& origin, const std::string& key);
  void GiveUpParked(const std::string& key);
  void Wait(const Origin& origin, const RequestStart& request);
  // Admits one request that has a slot.
  void Admit(const Origin& origin, const RequestStart& request);
  void AdmitWaiting();
  void Replay(const Origin& origin, const KeptAnswer& answer);
  void Forward(const Origin& origin, const RequestStart& request);
  void OnHead(uint64_t run, int status, const HttpHeaders& headers);
  void OnBytes(uint64_t run, std::string_view bytes);
  void OnEnd(uint64_t run, const HttpOutcome& outcome);
  void SendToAll(const Running& running, const Message& message);

  EventLoop& loop_;
  RunnerGateOptions options_;
  Send send_;
  HttpClient client_;
  KeyMemory keys_;
  std::map<uint64_t, std::unique_ptr<Running>> running_;
  std::map<std::string, uint64_t> run_of_key_;
  std::list<Waiting> waiting_;
  std::map<std::string, Parked> parked_;
  uint64_t next_run_ = 1;
  uint32_t in_progress_ = 0;
  bool leaving_ = false;
  bool report_changed_ = true;
  bool reported_full_ = false;
  uint32_t ended_ = 0;
  Duration latency_sum_{};
  RunnerGateCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_RUNNER_PROXY_H_
