#include "beamhill/agent/runner_proxy.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

// A runner that takes longer is cut off even if no entry waits any more.
constexpr Duration kLongestRun = std::chrono::minutes(10);

}  // namespace

struct RunnerGate::Running {
  std::vector<Origin> origins;  // Who gets the answer; none once given up.
  std::string key;
  TimePoint began{};
  bool head_sent = false;
  bool keep = false;  // Whether the answer is short enough to be kept so far.
  std::shared_ptr<KeptAnswer> answer;
};

RunnerGate::RunnerGate(EventLoop& loop, const RunnerGateOptions& options,
                       Send send)
    : loop_(loop),
      options_(options),
      send_(std::move(send)),
      client_(loop, options.runner, options.connections),
      keys_(options.keep_keys, options.max_keys) {}

RunnerGate::~RunnerGate() = default;

RunnerReport RunnerGate::Report() const {
  RunnerReport report;
  report.in_progress = in_progress_ + static_cast<uint32_t>(waiting_.size());
  report.limit = options_.slots;
  report.ended = ended_;
  if (ended_ > 0) report.latency = latency_sum_ / ended_;
  report.draining = leaving_;
  return report;
}

void RunnerGate::ResetEnded() {
  reported_full_ = in_progress_ >= options_.slots;
  ended_ = 0;
  latency_sum_ = Duration(0);
}

void RunnerGate::Leave() {
  leaving_ = true;
  report_changed_ = true;
  for (const Waiting& waiting : std::exchange(waiting_, {})) {
    Refuse(waiting.origin, "the runner is leaving");
  }
}

void RunnerGate::Refuse(const Origin& origin, const std::string& reason) {
  ++counts_.refused;
  send_(origin.entry, ResponseEnd{origin.id, RequestOutcome::kNotRun, reason});
}

void RunnerGate::Replay(const Origin& origin, const KeptAnswer& answer) {
  HeaderList headers = answer.headers;
  headers.emplace_back("Beamhill-Repeated", "true");
  send_(origin.entry, ResponseStart{origin.id, answer.status, headers});
  send_(origin.entry, ResponseBytes{origin.id, answer.body});
  send_(origin.entry, ResponseEnd{origin.id, RequestOutcome::kRan, ""});
}

void RunnerGate::OnRequest(const std::string& entry,
                           const RequestStart& request) {
  const Origin origin{entry, request.id};
  if (request.service != options_.service) {
    return Refuse(origin, "this runner serves " + options_.service);
  }
  const std::string& key = request.idempotency_key;
  if (!key.empty()) {
    // A repeat is answered from memory even when the gate takes no new work.
    const auto running = run_of_key_.find(key);
    if (running != run_of_key_.end()) {
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
  if (!key.empty() && !request.key_is_new && !keys_.Knows(key)) {
    return Park(origin, key);
  }
  if (leaving_) return Refuse(origin, "the runner is leaving");
  if (in_progress_ >= options_.slots) return Wait(origin, request);
  Admit(origin, request);
}

void RunnerGate::Park(const Origin& origin, const std::string& key) {
  ++counts_.repeated_keys;
  Parked& parked = parked_[key];
  parked.origins.push_back(origin);
  if (parked.origins.size() > 1) return;
  parked.timer =
      loop_.After(options_.repeat_wait, [this, key] { GiveUpParked(key); });
}

// The first request did not come: it may have run on a runner that is gone.
// The key is remembered, so that a first request that comes yet does not run.
void RunnerGate::GiveUpParked(const std::string& key) {
  const auto it = parked_.find(key);
  const std::vector<Origin> origins = std::move(it->second.origins);
  parked_.erase(it);
  keys_.Claim(key, BootClock::now());
  for (const Origin& origin : origins) {
    send_(origin.entry,
          ResponseEnd{origin.id, RequestOutcome::kUnknown,
                      "the key was used before; its answer is not kept"});
  }
}

void RunnerGate::Wait(const Origin& origin, const RequestStart& request) {
  if (waiting_.size() >= options_.slots / 4) {
    return Refuse(origin, "every slot of the runner is taken");
  }
  report_changed_ = true;
  waiting_.push_back({origin, request, Timer()});
  const auto it = std::prev(waiting_.end());
  const Duration wait = std::min(options_.longest_wait, request.deadline);
  it->timer = loop_.After(wait, [this, it] {
    const Origin given_up = it->origin;
    waiting_.erase(it);
    Refuse(given_up, "every slot of the runner is taken");
  });
}

void RunnerGate::AdmitWaiting() {
  while (!waiting_.empty() && in_progress_ < options_.slots) {
    const Waiting next = std::move(waiting_.front());
    waiting_.pop_front();
    // Also a repeat of a key that has begun meanwhile is met as one.
    OnRequest(next.origin.entry, next.request);
  }
}

void RunnerGate::Admit(const Origin& origin, const RequestStart& request) {
  const std::string& key = request.idempotency_key;
  if (!key.empty()) {
    const KeyLookup lookup = keys_.Begin(key, BootClock::now());
    if (lookup.state == KeyState::kFull) {
      return Refuse(origin, "no room to remember another key");
    }
    if (lookup.state != KeyState::kNew) {
      ++counts_.repeated_keys;
      if (lookup.answer != nullptr) return Replay(origin, *lookup.answer);
      send_(origin.entry,
            ResponseEnd{origin.id, RequestOutcome::kUnknown,
                        "the key was used before; its answer is not "
                        "kept"});
      return;
    }
  }
  Forward(origin, request);
}

void RunnerGate::Forward(const Origin& origin, const RequestStart& request) {
  const uint64_t run = next_run_++;
  auto running = std::make_unique<Running>();
  running->origins.push_back(origin);
  running->key = request.idempotency_key;
  running->began = BootClock::now();
  running->keep = !running->key.empty();
  if (running->keep) {
    running->answer = std::make_shared<KeptAnswer>();
    run_of_key_[running->key] = run;
    const auto parked = parked_.find(running->key);
    if (parked != parked_.end()) {
      auto& repeats = parked->second.origins;
      running->origins.insert(running->origins.end(), repeats.begin(),
                              repeats.end());
      parked_.erase(parked);
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
    OnHead(run, status, headers);
  };
  stream.on_bytes = [this, run](std::string_view bytes) {
    OnBytes(run, bytes);
  };
  client_.Fetch(
      call, kLongestRun, std::move(stream),
      [this, run](const HttpOutcome& outcome) { OnEnd(run, outcome); });
}

void RunnerGate::SendToAll(const Running& running, const Message& message) {
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

void RunnerGate::OnHead(uint64_t run, int status, const HttpHeaders& headers) {
  Running& running = *running_.at(run);
  HeaderList kept;
  for (const HttpHeader& header : headers) {
    if (!IsHopByHopHeader(header.first)) kept.push_back(header);
  }
  running.head_sent = true;
  if (running.keep) {
    running.answer->status = static_cast<uint32_t>(status);
    running.answer->headers = kept;
  }
  SendToAll(running, ResponseStart{0, static_cast<uint32_t>(status), kept});
}

void RunnerGate::OnBytes(uint64_t run, std::string_view bytes) {
  Running& running = *running_.at(run);
  if (running.keep) {
    running.answer->body.append(bytes);
    if (running.answer->body.size() > options_.max_kept_answer) {
      running.keep = false;
      running.answer.reset();
    }
  }
  SendToAll(running, ResponseBytes{0, std::string(bytes)});
}

void RunnerGate::OnEnd(uint64_t run, const HttpOutcome& outcome) {
  const std::unique_ptr<Running> running = std::move(running_.at(run));
  running_.erase(run);
  --in_progress_;
  report_changed_ = true;
  const TimePoint now = BootClock::now();
  ++ended_;
  latency_sum_ += now - running->began;
  if (!running->key.empty()) run_of_key_.erase(running->key);
  switch (outcome.delivery) {
    case HttpDelivery::kAnswered:
      ++counts_.ran;
      if (!running->head_sent) {
        SendToAll(*running,
                  ResponseStart{
                      0, static_cast<uint32_t>(outcome.response.status), {}});
      }
      if (!running->key.empty()) {
        keys_.End(running->key, running->answer, now);
      }
      SendToAll(*running, ResponseEnd{0, RequestOutcome::kRan, ""});
      break;
    case HttpDelivery::kNotSent:
      ++counts_.refused;
      if (!running->key.empty()) keys_.Abandon(running->key);
      SendToAll(*running, ResponseEnd{0, RequestOutcome::kNotRun,
                                      "the runner takes no connection"});
      break;
    case HttpDelivery::kNoAnswer:
      ++counts_.unknown;
      if (!running->key.empty()) keys_.End(running->key, nullptr, now);
      SendToAll(*running, ResponseEnd{0, RequestOutcome::kUnknown,
                                      "the runner gave no whole answer"});
      break;
  }
  AdmitWaiting();
}

void RunnerGate::OnKeyClaim(const std::string& entry, const KeyClaim& claim) {
  const bool is_new = keys_.Claim(claim.key, BootClock::now());
  send_(entry, KeyClaimed{claim.id, is_new});
}

void RunnerGate::OnCancel(const std::string& entry,
                          const RequestCancel& cancel) {
  waiting_.remove_if([&](const Waiting& waiting) {
    return waiting.origin.entry == entry && waiting.origin.id == cancel.id;
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

void RunnerGate::OnEntryDown(const std::string& entry) {
  for (auto& [key, parked] : parked_) {
    auto& origins = parked.origins;
    origins.erase(std::remove_if(origins.begin(), origins.end(),
                                 [&entry](const Origin& origin) {
                                   return origin.entry == entry;
                                 }),
                  origins.end());
  }
  waiting_.remove_if([&entry](const Waiting& waiting) {
    return waiting.origin.entry == entry;
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
