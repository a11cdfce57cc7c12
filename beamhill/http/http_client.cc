#include "beamhill/http/http_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "beamhill/http/internal/evhttp_util.h"

namespace beamhill {
namespace {

constexpr size_t kMaxHeaderBytes = 64 * 1024;

evhttp_cmd_type ParseMethod(const std::string& name) {
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
  struct ConnectionDeleter {
    void operator()(evhttp_connection* raw) const {
      evhttp_connection_set_closecb(raw, nullptr, nullptr);
      evhttp_connection_free(raw);
    }
  };
  struct Connection {
    Impl* owner = nullptr;
    std::unique_ptr<evhttp_connection, ConnectionDeleter> raw;
    // Name of the process that answered the identity request on this
    // connection; empty when none was sent.
    std::string peer;
    // Set when the server closed the connection. evhttp would reconnect on the
    // next request, possibly to another process.
    bool closed = false;
  };
  using ConnectionPtr = std::unique_ptr<Connection>;

  struct Pending {
    Impl* owner = nullptr;
    ConnectionPtr connection;
    evhttp_request* raw = nullptr;
    Stream stream;
    Done done;
    // Set for an identity request only.
    std::function<std::string(const HttpResponse&)> parse_peer_name;
    Timer deadline;
    bool failed_after_connect = false;
  };

  Impl(EventLoop& l, Address s, size_t max)
      : loop(l), server(std::move(s)), max_connections(max) {}

  // Frees the connections before the pending calls that their callbacks use.
  ~Impl() {
    for (auto& [key, pending] : in_flight) pending->connection.reset();
  }

  ConnectionPtr Connect() {
    auto connection = std::make_unique<Connection>();
    connection->owner = this;
    connection->raw.reset(evhttp_connection_base_new(
        loop.base(), nullptr, server.ip.c_str(), server.port));
    evhttp_connection* raw = connection->raw.get();
    evhttp_connection_set_retries(raw, 0);
    evhttp_connection_set_max_headers_size(raw, kMaxHeaderBytes);
    evhttp_connection_set_closecb(raw, &OnClose, connection.get());
    return connection;
  }

  static void OnClose(evhttp_connection*, void* arg) {
    auto* connection = static_cast<Connection*>(arg);
    connection->closed = true;
    connection->owner->DropClosed(connection);
  }

  void DropClosed(Connection* connection) {
    const auto it = std::find_if(
        idle.begin(), idle.end(),
        [connection](const auto& entry) { return entry.get() == connection; });
    // A connection in use is freed when its call finishes.
    if (it == idle.end()) return;
    DeferFree(std::move(*it));
    idle.erase(it);
  }

  // Removes and returns the most recently used idle connection, or null when
  // there is none.
  ConnectionPtr TakeIdle() {
    if (idle.empty()) return nullptr;
    ConnectionPtr connection = std::move(idle.back());
    idle.pop_back();
    return connection;
  }

  // Like TakeIdle, but only returns a connection to `peer`. Frees the idle
  // connections to other processes that it passes over: these processes have
  // been replaced.
  ConnectionPtr TakeIdleForPeer(const std::string& peer) {
    while (ConnectionPtr connection = TakeIdle()) {
      if (connection->peer == peer) return connection;
      DeferFree(std::move(connection));
    }
    return nullptr;
  }

  // Returns null when the limit of calls in flight is reached.
  ConnectionPtr ConnectIfAllowed() {
    return in_flight.size() < max_connections ? Connect() : nullptr;
  }

  // Frees the connection from the event loop, since evhttp does not allow that
  // inside the connection's callbacks.
  void DeferFree(ConnectionPtr connection) {
    connections_to_free.push_back(std::move(connection));
    free_timer =
        loop.After(Duration(0), [this] { connections_to_free.clear(); });
  }

  // Reports the call's outcome and returns its connection to the pool, or frees
  // the connection when `reuse` is false or the server has closed it.
  void Finish(Pending* pending, HttpOutcome outcome, bool reuse) {
    const auto it = in_flight.find(pending);
    const std::unique_ptr<Pending> owned = std::move(it->second);
    in_flight.erase(it);
    ConnectionPtr connection = std::move(owned->connection);
    if (owned->parse_peer_name && outcome.delivery == HttpDelivery::kAnswered) {
      connection->peer = owned->parse_peer_name(outcome.response);
    }
    if (reuse && !connection->closed) {
      idle.push_back(std::move(connection));
    } else {
      DeferFree(std::move(connection));
    }
    owned->deadline.Cancel();
    owned->done(outcome);
  }

  static void OnError(evhttp_request_error, void* arg) {
    static_cast<Pending*>(arg)->failed_after_connect = true;
  }

  static int OnResponseHead(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    if (pending->stream.on_head) {
      pending->stream.on_head(
          evhttp_request_get_response_code(raw),
          http_internal::ReadHeaders(evhttp_request_get_input_headers(raw)));
    }
    return 0;
  }

  static void OnBodyChunk(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    pending->stream.on_bytes(
        http_internal::Drain(evhttp_request_get_input_buffer(raw)));
  }

  // evhttp reports a failed connect as a request with status 0 without calling
  // the error callback; it calls the error callback for every failure after the
  // connect.
  static void OnComplete(evhttp_request* raw, void* arg) {
    auto* pending = static_cast<Pending*>(arg);
    HttpOutcome outcome;
    const int status =
        raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
    if (status == 0) {
      outcome.connect_failed = raw != nullptr && !pending->failed_after_connect;
      outcome.delivery = outcome.connect_failed ? HttpDelivery::kNotSent
                                                : HttpDelivery::kNoAnswer;
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

  // Frees all idle connections. After a timeout, the network path is likely to
  // have failed for all of them, and each would cost another call its timeout.
  void DropIdle() {
    for (ConnectionPtr& connection : std::exchange(idle, {})) {
      DeferFree(std::move(connection));
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
    ConnectionPtr connection = TakeIdle();
    if (connection == nullptr) connection = ConnectIfAllowed();
    if (connection == nullptr) {
      DeferNotSent(std::move(done));
      return;
    }
    auto pending = std::make_unique<Pending>();
    pending->stream = std::move(stream);
    pending->done = std::move(done);
    Send(call, timeout, std::move(connection), std::move(pending));
  }

  void StartForPeer(const HttpPeerIdentity& peer, const HttpCall& call,
                    Duration timeout, Done done) {
    if (ConnectionPtr connection = TakeIdleForPeer(peer.name)) {
      SendOverConnection(std::move(connection), call, timeout, std::move(done));
      return;
    }
    ConnectionPtr connection = ConnectIfAllowed();
    if (connection == nullptr) {
      DeferNotSent(std::move(done));
      return;
    }
    const TimePoint deadline = BootClock::now() + timeout;
    auto identity_call = std::make_unique<Pending>();
    identity_call->parse_peer_name = peer.parse_peer_name;
    identity_call->done =
        [this, name = peer.name, parse_peer_name = peer.parse_peer_name, call,
         deadline, done = std::move(done)](HttpOutcome outcome) {
          const bool answered = outcome.delivery == HttpDelivery::kAnswered;
          outcome.delivery = HttpDelivery::kNotSent;
          if (!answered || parse_peer_name(outcome.response) != name) {
            done(outcome);
            return;
          }
          outcome.response = {};
          if (!SendToIdentifiedPeer(name, call, deadline, done)) done(outcome);
        };
    Send(peer.identity_request, timeout, std::move(connection),
         std::move(identity_call));
  }

  // Sends the call over the connection on which `peer` has just answered its
  // identity request; this is the most recently used idle one. Returns false
  // without sending when that connection is closed or the deadline has passed.
  bool SendToIdentifiedPeer(const std::string& peer, const HttpCall& call,
                            TimePoint deadline, const Done& done) {
    const TimePoint now = BootClock::now();
    if (now >= deadline) return false;
    ConnectionPtr connection = TakeIdleForPeer(peer);
    if (connection == nullptr) return false;
    SendOverConnection(std::move(connection), call, deadline - now, done);
    return true;
  }

  void SendOverConnection(ConnectionPtr connection, const HttpCall& call,
                          Duration timeout, Done done) {
    auto pending = std::make_unique<Pending>();
    pending->done = std::move(done);
    Send(call, timeout, std::move(connection), std::move(pending));
  }

  // Sends the request. `owned` carries the callbacks for its response.
  void Send(const HttpCall& call, Duration timeout, ConnectionPtr connection,
            std::unique_ptr<Pending> owned) {
    Pending* pending = owned.get();
    evhttp_connection* raw = connection->raw.get();
    pending->owner = this;
    pending->connection = std::move(connection);
    pending->raw = evhttp_request_new(&OnComplete, pending);
    evhttp_request_set_error_cb(pending->raw, &OnError);
    if (pending->stream.on_bytes) {
      evhttp_request_set_header_cb(pending->raw, &OnResponseHead);
      evhttp_request_set_chunked_cb(pending->raw, &OnBodyChunk);
    }
    evkeyvalq* headers = evhttp_request_get_output_headers(pending->raw);
    const std::string host = call.host.empty()
                                 ? server.ip + ":" + std::to_string(server.port)
                                 : call.host;
    evhttp_add_header(headers, "Host", host.c_str());
    http_internal::AddHeaders(headers, call.headers);
    evbuffer_add(evhttp_request_get_output_buffer(pending->raw),
                 call.body.data(), call.body.size());
    in_flight.emplace(pending, std::move(owned));
    pending->deadline =
        loop.After(timeout, [this, pending] { OnDeadline(pending); });
    evhttp_make_request(raw, pending->raw, ParseMethod(call.method),
                        call.target.c_str());
  }

  // Reports kNotSent from the event loop, so that `done` is never called from
  // inside Fetch.
  void DeferNotSent(Done done) {
    const uint64_t id = next_not_sent_id++;
    not_sent_timers[id] =
        loop.After(Duration(0), [this, id, done = std::move(done)] {
          not_sent_timers.erase(id);
          HttpOutcome outcome;
          outcome.delivery = HttpDelivery::kNotSent;
          done(outcome);
        });
  }

  EventLoop& loop;
  Address server;
  size_t max_connections;
  std::map<Pending*, std::unique_ptr<Pending>> in_flight;
  std::vector<ConnectionPtr> idle;
  std::vector<ConnectionPtr> connections_to_free;
  Timer free_timer;
  std::map<uint64_t, Timer> not_sent_timers;
  uint64_t next_not_sent_id = 0;
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

void HttpClient::FetchFrom(const HttpPeerIdentity& peer, const HttpCall& call,
                           Duration timeout, Done done) {
  impl_->StartForPeer(peer, call, timeout, std::move(done));
}

size_t HttpClient::open_connections() const {
  return impl_->in_flight.size() + impl_->idle.size();
}

}  // namespace beamhill
