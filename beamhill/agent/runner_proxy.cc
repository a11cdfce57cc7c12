#include "beamhill/agent/runner_proxy.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// A request that takes longer is aborted, even if no entry waits for it any
// more, so that it cannot hold its slot forever.
constexpr Duration kMaxRequestTime = std::chrono::minutes(10);

}  // namespace

struct RunnerProxy::Running {
  std::vector<Origin> origins;  // Receive the response; empty once abandoned.
  std::string key;
  TimePoint started_at{};
  bool head_sent = false;
  // The request has a key, and its response so far is within the size limit.
  bool cacheable = false;
  std::shared_ptr<CachedResponse> response;
};

RunnerProxy::RunnerProxy(EventLoop& loop, const RunnerProxyOptions& options,
                         Send send)
    : loop_(loop),
      options_(options),
      send_(std::move(send)),
      client_(loop, options.runner, options.connections),
      keys_(options.key_retention, options.max_keys) {}

RunnerProxy::~RunnerProxy() = default;

RunnerReport RunnerProxy::Report() const {
  RunnerReport report;
  report.in_progress = in_progress_ + static_cast<uint32_t>(queue_.size());
  report.limit = options_.slots;
  report.ended = interval_ended_;
  if (interval_ended_ > 0) report.latency = interval_latency_ / interval_ended_;
  report.draining = draining_;
  return report;
}

void RunnerProxy::StartReportInterval() {
  last_report_full_ = in_progress_ >= options_.slots;
  interval_ended_ = 0;
  interval_latency_ = Duration(0);
}

void RunnerProxy::Drain() {
  draining_ = true;
  report_changed_ = true;
  for (const QueuedRequest& queued : std::exchange(queue_, {})) {
    Refuse(queued.origin, "the runner is leaving");
  }
}

void RunnerProxy::Refuse(const Origin& origin, const std::string& reason) {
  ++counts_.refused;
  send_(origin.entry, ResponseEnd{origin.id, RequestOutcome::kNotRun, reason});
}

void RunnerProxy::Replay(const Origin& origin, const CachedResponse& response) {
  HeaderList headers = response.headers;
  headers.emplace_back("Beamhill-Repeated", "true");
  send_(origin.entry, ResponseStart{origin.id, response.status, headers});
  send_(origin.entry, ResponseBytes{origin.id, response.body});
  send_(origin.entry, ResponseEnd{origin.id, RequestOutcome::kRan, ""});
}

void RunnerProxy::OnRequest(const std::string& entry,
                            const RequestStart& request) {
  const Origin origin{entry, request.id};
  if (request.service != options_.service) {
    return Refuse(origin, "this runner serves " + options_.service);
  }
  const std::string& key = request.idempotency_key;
  if (!key.empty()) {
    // Repeats share the response of the request in progress, even while new
    // requests are refused.
    const auto running = run_by_key_.find(key);
    if (running != run_by_key_.end()) {
      Running& run = *running_.at(running->second);
      ++counts_.repeated_keys;
      if (!run.head_sent) {
        run.origins.push_back(origin);
        return;
      }
      send_(entry, ResponseEnd{request.id, RequestOutcome::kUnknown,
                               "the same key is being answered"});
      return;
    }
  }
  if (!key.empty() && !request.key_is_new && !keys_.ContainsKey(key)) {
    return DeferRepeat(origin, key);
  }
  if (draining_) return Refuse(origin, "the runner is leaving");
  if (in_progress_ >= options_.slots) return EnqueueRequest(origin, request);
  Admit(origin, request);
}

void RunnerProxy::DeferRepeat(const Origin& origin, const std::string& key) {
  ++counts_.repeated_keys;
  DeferredRepeats& deferred = deferred_[key];
  deferred.origins.push_back(origin);
  if (deferred.origins.size() > 1) return;
  deferred.timer =
      loop_.After(options_.max_repeat_wait, [this, key] { FailDeferred(key); });
}

// The first request may have run on a runner that is lost. Claiming the key
// keeps that request from running here if it arrives later.
void RunnerProxy::FailDeferred(const std::string& key) {
  const auto it = deferred_.find(key);
  const std::vector<Origin> origins = std::move(it->second.origins);
  deferred_.erase(it);
  keys_.Claim(key, BootClock::now());
  for (const Origin& origin : origins) {
    send_(origin.entry,
          ResponseEnd{origin.id, RequestOutcome::kUnknown,
                      "the key was used before; its answer is not kept"});
  }
}

void RunnerProxy::EnqueueRequest(const Origin& origin,
                                 const RequestStart& request) {
  if (queue_.size() >= options_.slots / 4) {
    return Refuse(origin, "every slot of the runner is taken");
  }
  report_changed_ = true;
  queue_.push_back({origin, request, Timer()});
  const auto it = std::prev(queue_.end());
  const Duration wait = std::min(options_.max_slot_wait, request.deadline);
  it->timer = loop_.After(wait, [this, it] {
    const Origin timed_out = it->origin;
    queue_.erase(it);
    Refuse(timed_out, "every slot of the runner is taken");
  });
}

void RunnerProxy::AdmitQueued() {
  while (!queue_.empty() && in_progress_ < options_.slots) {
    const QueuedRequest next = std::move(queue_.front());
    queue_.pop_front();
    // Through OnRequest(), since another request with the same key may have
    // started in the meantime.
    OnRequest(next.origin.entry, next.request);
  }
}

void RunnerProxy::Admit(const Origin& origin, const RequestStart& request) {
  const std::string& key = request.idempotency_key;
  if (!key.empty()) {
    const KeyLookup lookup = keys_.Begin(key, BootClock::now());
    if (lookup.state == KeyState::kFull) {
      return Refuse(origin, "no room to remember another key");
    }
    if (lookup.state != KeyState::kNew) {
      ++counts_.repeated_keys;
      if (lookup.response != nullptr) return Replay(origin, *lookup.response);
      send_(origin.entry,
            ResponseEnd{origin.id, RequestOutcome::kUnknown,
                        "the key was used before; its answer is not kept"});
      return;
    }
  }
  Forward(origin, request);
}

void RunnerProxy::Forward(const Origin& origin, const RequestStart& request) {
  const uint64_t run = next_run_++;
  auto running = std::make_unique<Running>();
  running->origins.push_back(origin);
  running->key = request.idempotency_key;
  running->started_at = BootClock::now();
  running->cacheable = !running->key.empty();
  if (running->cacheable) {
    running->response = std::make_shared<CachedResponse>();
    run_by_key_[running->key] = run;
    const auto deferred = deferred_.find(running->key);
    if (deferred != deferred_.end()) {
      auto& repeats = deferred->second.origins;
      running->origins.insert(running->origins.end(), repeats.begin(),
                              repeats.end());
      deferred_.erase(deferred);
    }
  }
  running_.emplace(run, std::move(running));
  ++in_progress_;
  report_changed_ = true;
  HttpCall call{request.method, request.target,
                HttpHeaders(request.headers.begin(), request.headers.end()),
                request.body};
  HttpClient::Stream stream;
  stream.on_head = [this, run](int status, const HttpHeaders& headers) {
    OnResponseHead(run, status, headers);
  };
  stream.on_bytes = [this, run](std::string_view bytes) {
    OnBytes(run, bytes);
  };
  client_.Fetch(
      call, kMaxRequestTime, std::move(stream),
      [this, run](const HttpOutcome& outcome) { OnEnd(run, outcome); });
}

void RunnerProxy::SendToOrigins(const Running& running,
                                const Message& message) {
  for (const Origin& origin : running.origins) {
    Message copy = message;
    std::visit(
        [&origin](auto& m) {
          using T = std::decay_t<decltype(m)>;
          if constexpr (std::is_same_v<T, ResponseStart> ||
                        std::is_same_v<T, ResponseBytes> ||
                        std::is_same_v<T, ResponseEnd>) {
            m.id = origin.id;
          }
        },
        copy);
    send_(origin.entry, copy);
  }
}

void RunnerProxy::OnResponseHead(uint64_t run, int status,
                                 const HttpHeaders& headers) {
  Running& running = *running_.at(run);
  HeaderList kept_headers;
  for (const HttpHeader& header : headers) {
    if (!IsHopByHopHeader(header.first)) kept_headers.push_back(header);
  }
  running.head_sent = true;
  if (running.cacheable) {
    running.response->status = static_cast<uint32_t>(status);
    running.response->headers = kept_headers;
  }
  SendToOrigins(running,
                ResponseStart{0, static_cast<uint32_t>(status), kept_headers});
}

void RunnerProxy::OnBytes(uint64_t run, std::string_view bytes) {
  Running& running = *running_.at(run);
  if (running.cacheable) {
    running.response->body.append(bytes);
    if (running.response->body.size() > options_.max_cached_response_bytes) {
      running.cacheable = false;
      running.response.reset();
    }
  }
  SendToOrigins(running, ResponseBytes{0, std::string(bytes)});
}

void RunnerProxy::OnEnd(uint64_t run, const HttpOutcome& outcome) {
  const std::unique_ptr<Running> running = std::move(running_.at(run));
  running_.erase(run);
  --in_progress_;
  report_changed_ = true;
  const TimePoint now = BootClock::now();
  ++interval_ended_;
  interval_latency_ += now - running->started_at;
  if (!running->key.empty()) run_by_key_.erase(running->key);
  switch (outcome.delivery) {
    case HttpDelivery::kAnswered:
      ++counts_.ran;
      if (!running->head_sent) {
        SendToOrigins(
            *running,
            ResponseStart{
                0, static_cast<uint32_t>(outcome.response.status), {}});
      }
      if (!running->key.empty()) {
        keys_.End(running->key, running->response, now);
      }
      SendToOrigins(*running, ResponseEnd{0, RequestOutcome::kRan, ""});
      break;
    case HttpDelivery::kNotSent:
      ++counts_.refused;
      if (!running->key.empty()) keys_.MarkNotRun(running->key);
      SendToOrigins(*running, ResponseEnd{0, RequestOutcome::kNotRun,
                                          "the runner takes no connection"});
      break;
    case HttpDelivery::kNoAnswer:
      ++counts_.unknown;
      if (!running->key.empty()) keys_.End(running->key, nullptr, now);
      SendToOrigins(*running, ResponseEnd{0, RequestOutcome::kUnknown,
                                          "the runner gave no whole answer"});
      break;
  }
  AdmitQueued();
}

void RunnerProxy::OnKeyClaim(const std::string& entry, const KeyClaim& claim) {
  const bool is_new = keys_.Claim(claim.key, BootClock::now());
  send_(entry, KeyClaimed{claim.id, is_new});
}

void RunnerProxy::OnCancel(const std::string& entry,
                           const RequestCancel& cancel) {
  queue_.remove_if([&](const QueuedRequest& queued) {
    return queued.origin.entry == entry && queued.origin.id == cancel.id;
  });
  for (auto& [run, running] : running_) {
    auto& origins = running->origins;
    const auto it =
        std::find_if(origins.begin(), origins.end(), [&](const Origin& origin) {
          return origin.entry == entry && origin.id == cancel.id;
        });
    if (it == origins.end()) continue;
    origins.erase(it);
    ++counts_.abandoned;
    return;
  }
}

void RunnerProxy::OnEntryDown(const std::string& entry) {
  for (auto& [key, deferred] : deferred_) {
    auto& origins = deferred.origins;
    origins.erase(std::remove_if(origins.begin(), origins.end(),
                                 [&entry](const Origin& origin) {
                                   return origin.entry == entry;
                                 }),
                  origins.end());
  }
  queue_.remove_if([&entry](const QueuedRequest& queued) {
    return queued.origin.entry == entry;
  });
  for (auto& [run, running] : running_) {
    auto& origins = running->origins;
    origins.erase(std::remove_if(origins.begin(), origins.end(),
                                 [&entry](const Origin& origin) {
                                   return origin.entry == entry;
                                 }),
                  origins.end());
  }
}

}  // namespace beamhill
