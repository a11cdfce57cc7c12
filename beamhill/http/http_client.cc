#include "beamhill/http/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <map>
#include <utility>
#include <vector>

#include "beamhill/http/internal/evhttp_util.h"

namespace beamhill {
namespace {

constexpr size_t kMaxHeaderBytes = 64 * 1024;

evhttp_cmd_type MethodOf(const std::string& name) {
  static const std::map<std::string, evhttp_cmd_type> kMethods = {
      {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
      {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
      {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
      {"PATCH", EVHTTP_REQ_PATCH}};
  const auto it = kMethods.find(name);
  return it == kMethods.end() ? EVHTTP_REQ_GET : it->second;
}

}  // namespace

struct HttpClient::Impl {
  struct Pending {
    Impl* owner = nullptr;
    evhttp_connection* connection = nullptr;
    evhttp_request* raw = nullptr;
    Stream stream;
    Done done;
    Timer deadline;
    bool failed_after_connect = false;
  };

  Impl(EventLoop& l, Address s, size_t max)
      : loop(l), server(std::move(s)), max_connections(max) {}

  ~Impl() {
    for (auto& [key, pending] : open) {
      evhttp_connection_free(pending->connection);
    }
    for (evhttp_connection* connection : idle) {
      evhttp_connection_free(connection);
    }
    for (evhttp_connection* connection : dying) {
      evhttp_connection_free(connection);
    }
  }

  evhttp_connection* TakeConnection() {
    if (!idle.empty()) {
      evhttp_connection* connection = idle.back();
      idle.pop_back();
      return connection;
    }
    if (open.size() >= max_connections) return nullptr;
    evhttp_connection* connection = evhttp_connection_base_new(
        loop.base(), nullptr, server.ip.c_str(), server.port);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_max_headers_size(connection, kMaxHeaderBytes);
    return connection;
  }

  // Frees the connection outside of its own callbacks.
  void FreeLater(evhttp_connection* connection) {
    dying.push_back(connection);
    reaper = loop.After(Duration(0), [this] {
      for (evhttp_connection* c : dying) evhttp_connection_free(c);
      dying.clear();
    });
  }

  // Removes the call from the table and reports its outcome.
  void Finish(Pending* pending, HttpOutcome outcome, bool reuse) {
    const auto it = open.find(pending);
    const std::unique_ptr<Pending> owned = std::move(it->second);
    open.erase(it);
    if (reuse) {
      idle.push_back(owned->connection);
    } else {
      FreeLater(owned->connection);
    }
    owned->deadline.Cancel();
    owned->done(outcome);
  }

  static void OnError(evhttp_request_error, void* arg) {
    static_cast<Pending*>(arg)->failed_after_connect = true;
  }

  static int OnHead(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    if (pending->stream.on_head) {
      pending->stream.on_head(
          evhttp_request_get_response_code(raw),
          http_internal::ReadHeaders(evhttp_request_get_input_headers(raw)));
    }
    return 0;
  }

  static void OnChunk(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    pending->stream.on_bytes(
        http_internal::Drain(evhttp_request_get_input_buffer(raw)));
  }

  // evhttp reports a failed connect as a request with status 0 and no error
  // callback; any failure after the connect comes through the error callback.
  static void OnComplete(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    HttpOutcome outcome;
    const int status =
        raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
    if (status == 0) {
      const bool connect_failed =
          raw != nullptr && !pending->failed_after_connect;
      outcome.delivery =
          connect_failed ? HttpDelivery::kNotSent : HttpDelivery::kNoAnswer;
      pending->owner->Finish(pending, std::move(outcome), false);
      return;
    }
    outcome.delivery = HttpDelivery::kAnswered;
    outcome.response.status = status;
    outcome.response.headers =
        http_internal::ReadHeaders(evhttp_request_get_input_headers(raw));
    outcome.response.body =
        http_internal::Drain(evhttp_request_get_input_buffer(raw));
    const auto connection_header =
        FindHeader(outcome.response.headers, "Connection");
    const bool reuse = connection_header != "close";
    pending->owner->Finish(pending, std::move(outcome), reuse);
  }

  // Connections of a pool go silent together, when what lies between does; so
  // after one that did, the idle ones are not trusted with a call either.
  void DropIdle() {
    for (evhttp_connection* connection : std::exchange(idle, {})) {
      FreeLater(connection);
    }
  }

  void OnDeadline(Pending* pending) {
    evhttp_cancel_request(pending->raw);
    DropIdle();
    HttpOutcome outcome;
    outcome.timed_out = true;
    Finish(pending, std::move(outcome), false);
  }

  void Start(const HttpCall& call, Duration timeout, Stream stream, Done done) {
    evhttp_connection* connection = TakeConnection();
    if (connection == nullptr) {
      RefuseLater(std::move(done));
      return;
    }
    auto owned = std::make_unique<Pending>();
    Pending* pending = owned.get();
    pending->owner = this;
    pending->connection = connection;
    pending->stream = std::move(stream);
    pending->done = std::move(done);
    pending->raw = evhttp_request_new(&OnComplete, pending);
    evhttp_request_set_error_cb(pending->raw, &OnError);
    if (pending->stream.on_bytes) {
      evhttp_request_set_header_cb(pending->raw, &OnHead);
      evhttp_request_set_chunked_cb(pending->raw, &OnChunk);
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(pending->raw);
    const std::string host = call.host.empty()
                                 ? server.ip + ":" + std::to_string(server.port)
                                 : call.host;
    evhttp_add_header(headers, "Host", host.c_str());
    http_internal::AddHeaders(headers, call.headers);
    evbuffer_add(evhttp_request_get_output_buffer(pending->raw),
                 call.body.data(), call.body.size());
    open.emplace(pending, std::move(owned));
    pending->deadline =
        loop.After(timeout, [this, pending] { OnDeadline(pending); });
    evhttp_make_request(connection, pending->raw, MethodOf(call.method),
                        call.target.c_str());
  }

  void RefuseLater(Done done) {
    const uint64_t id = next_refusal++;
    refusals[id] = loop.After(Duration(0), [this, id, done = std::move(done)] {
      refusals.erase(id);
      HttpOutcome outcome;
      outcome.delivery = HttpDelivery::kNotSent;
      done(outcome);
    });
  }

  EventLoop& loop;
  Address server;
  size_t max_connections;
  std::map<Pending*, std::unique_ptr<Pending>> open;
  std::vector<evhttp_connection*> idle;
  std::vector<evhttp_connection*> dying;
  Timer reaper;
  std::map<uint64_t, Timer> refusals;
  uint64_t next_refusal = 0;
};

HttpClient::HttpClient(EventLoop& loop, Address server, size_t max_connections)
    : impl_(std::make_unique<Impl>(loop, std::move(server), max_connections)) {}
HttpClient::~HttpClient() = default;

void HttpClient::Fetch(const HttpCall& call, Duration timeout, Done done) {
  impl_->Start(call, timeout, Stream{}, std::move(done));
}

void HttpClient::Fetch(const HttpCall& call, Duration timeout, Stream stream,
                       Done done) {
  impl_->Start(call, timeout, std::move(stream), std::move(done));
}

size_t HttpClient::open_connections() const {
  return impl_->open.size() + impl_->idle.size();
}

}  // namespace beamhill
