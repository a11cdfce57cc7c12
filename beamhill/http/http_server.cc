#include "beamhill/http/http_server.h"

#include <map>
#include <utility>

#include "beamhill/event/tcp_listener.h"
#include "beamhill/http/internal/http_connection.h"
#include "beamhill/http/internal/http_text.h"
#include "beamhill/overload/connection_limiter.h"

namespace beamhill {

using http_internal::HttpConnection;

namespace {

// The part of the memory for clients that requests may take while they are
// handled; the rest is for those being received.
constexpr size_t kHandlingDivisor = 2;
// A response that is sent in pieces protects its connection from being closed
// until its client leaves more than this unread.
constexpr size_t kMaxExemptOutput = 1024 * 1024;

}  // namespace

// The connections of a server and its requests. Shared with the exchanges,
// which may outlive both their connections and the server.
class HttpServer::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(EventLoop& loop, const HttpServerLimits& limits, Handler handler)
      : loop_(loop),
        limits_(limits),
        handler_(std::move(handler)),
        limiter_(limits.total) {}

  void Accept(int fd);
  // Returns null if the connection is closed.
  HttpConnection* Find(uint64_t id);
  // Called once for each exchange, when it is destroyed.
  void OnExchangeDone(size_t bytes);
  // Closes all connections and ignores the replies of open exchanges.
  void Close() { connections_.clear(); }

  ListenerCounts counts() const;

 private:
  HttpConnection::Hooks HooksFor(uint64_t id);
  void OnRequest(uint64_t id, HttpRequest request);
  bool CanHandle(size_t bytes) const;
  HttpResponse Refusal();
  void OnChange(uint64_t id);
  void OnClosed(uint64_t id);
  void CloseExcess();

  EventLoop& loop_;
  const HttpServerLimits limits_;
  Handler handler_;
  ConnectionLimiter limiter_;
  ListenerCounts counts_;
  uint64_t last_id_ = 0;
  std::map<uint64_t, std::unique_ptr<HttpConnection>> connections_;
  std::map<uint64_t, HttpConnection::Phase> phases_;  // As last seen.
  size_t open_requests_ = 0;
  size_t request_bytes_ = 0;  // Memory of the open requests.
  bool closing_excess_ = false;
};

// One request. At most one of a connection's exchanges is open, so that the
// connection's next response is the exchange's.
struct HttpExchange::State {
  std::weak_ptr<HttpServer::Core> core;
  uint64_t connection = 0;
  HttpRequest request;
  size_t bytes = 0;  // As counted by the server.
  bool started = false;
  bool replied = false;

  // The connection, unless it or the server is gone.
  HttpConnection* Connection() const {
    const auto server = core.lock();
    return server ? server->Find(connection) : nullptr;
  }

  ~State() {
    if (HttpConnection* open = Connection(); open != nullptr && !replied) {
      if (started) {
        open->EndResponse();
      } else {
        constexpr int kInternalServerError = 500;
        open->Respond({kInternalServerError, {}, ""});
      }
    }
    if (const auto server = core.lock()) server->OnExchangeDone(bytes);
  }
};

void HttpServer::Core::Accept(int fd) {
  const uint64_t id = ++last_id_;
  limiter_.Add(id, BootClock::now());
  phases_[id] = HttpConnection::Phase::kIdle;
  connections_[id] =
      std::make_unique<HttpConnection>(loop_, fd, limits_, HooksFor(id));
  CloseExcess();
}

HttpConnection::Hooks HttpServer::Core::HooksFor(uint64_t id) {
  HttpConnection::Hooks hooks;
  hooks.on_request = [this, id](HttpRequest request) {
    OnRequest(id, std::move(request));
  };
  hooks.on_rejected = [this] { ++counts_.requests_rejected; };
  hooks.on_change = [this, id] { OnChange(id); };
  hooks.on_timeout = [this] { ++counts_.closed_for_time; };
  hooks.on_closed = [this, id] { OnClosed(id); };
  return hooks;
}

HttpConnection* HttpServer::Core::Find(uint64_t id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : it->second.get();
}

// A request alone is always handled, however large.
bool HttpServer::Core::CanHandle(size_t bytes) const {
  return open_requests_ == 0 ||
         (open_requests_ < limits_.total.max_connections &&
          request_bytes_ + bytes <= limits_.total.max_bytes / kHandlingDivisor);
}

HttpResponse HttpServer::Core::Refusal() {
  ++counts_.requests_refused;
  if (limits_.refusal) return limits_.refusal();
  constexpr int kServiceUnavailable = 503;
  return {kServiceUnavailable, {{"Retry-After", "1"}}, ""};
}

void HttpServer::Core::OnRequest(uint64_t id, HttpRequest request) {
  const size_t bytes =
      http_internal::MemoryOf(request) +
      limits_.handling_bytes_per_body_byte * request.body.capacity();
  if (!CanHandle(bytes)) {
    connections_.at(id)->Respond(Refusal());
    return;
  }
  auto state = std::make_unique<HttpExchange::State>();
  state->core = weak_from_this();
  state->connection = id;
  state->request = std::move(request);
  state->bytes = bytes;
  ++open_requests_;
  request_bytes_ += bytes;
  limiter_.SetRequestBytes(request_bytes_);
  handler_(HttpExchange(std::move(state)));
}

void HttpServer::Core::OnExchangeDone(size_t bytes) {
  --open_requests_;
  request_bytes_ -= bytes;
  limiter_.SetRequestBytes(request_bytes_);
}

void HttpServer::Core::OnChange(uint64_t id) {
  const HttpConnection* connection = Find(id);
  if (connection == nullptr) return;
  limiter_.SetBytes(id, connection->HeldBytes());
  HttpConnection::Phase& last = phases_.at(id);
  if (connection->phase() != last) {
    last = connection->phase();
    limiter_.BeginPhase(id, BootClock::now());
  }
  limiter_.SetExempt(id, last == HttpConnection::Phase::kHandling &&
                             connection->OutputBytes() <= kMaxExemptOutput);
  CloseExcess();
}

void HttpServer::Core::OnClosed(uint64_t id) {
  limiter_.Remove(id);
  phases_.erase(id);
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  loop_.DestroyLater(std::move(it->second));
  connections_.erase(it);
}

void HttpServer::Core::CloseExcess() {
  // The second holds when a connection that is closed here calls this.
  if (!limiter_.IsExceeded() || closing_excess_) return;
  closing_excess_ = true;
  while (const auto excess = limiter_.FindExcess(BootClock::now())) {
    HttpConnection& connection = *connections_.at(excess->id);
    if (excess->reason == ConnectionLimiter::Reason::kConnections) {
      ++counts_.closed_for_connections;
      connection.Close();
      continue;
    }
    ++counts_.closed_for_bytes;
    const bool answers =
        connection.phase() == HttpConnection::Phase::kReceiving;
    connection.Refuse(answers ? Refusal() : HttpResponse());
  }
  closing_excess_ = false;
}

ListenerCounts HttpServer::Core::counts() const {
  ListenerCounts counts = counts_;
  counts.connections = connections_.size();
  counts.bytes = limiter_.bytes();
  return counts;
}

HttpExchange::HttpExchange(std::unique_ptr<State> state)
    : state_(std::move(state)) {}
HttpExchange::HttpExchange(HttpExchange&& other) noexcept = default;
HttpExchange& HttpExchange::operator=(HttpExchange&& other) noexcept = default;
HttpExchange::~HttpExchange() = default;

const HttpRequest& HttpExchange::request() const { return state_->request; }

void HttpExchange::Reply(const HttpResponse& response) {
  CheckInvariant(!state_->replied && !state_->started,
                 "at most one reply per request");
  state_->replied = true;
  if (HttpConnection* connection = state_->Connection()) {
    connection->Respond(response);
  }
}

void HttpExchange::StartReply(int status, const HttpHeaders& headers) {
  CheckInvariant(!state_->replied && !state_->started,
                 "at most one reply per request");
  state_->started = true;
  if (HttpConnection* connection = state_->Connection()) {
    connection->StartResponse(status, headers);
  }
}

void HttpExchange::SendChunk(std::string_view bytes) {
  if (HttpConnection* connection = state_->Connection()) {
    connection->SendChunk(bytes);
  }
}

void HttpExchange::EndReply() {
  state_->replied = true;
  if (HttpConnection* connection = state_->Connection()) {
    connection->EndResponse();
  }
}

void HttpExchange::AbortReply() {
  state_->replied = true;
  if (HttpConnection* connection = state_->Connection()) connection->Close();
}

size_t HttpExchange::BufferedBytes() const {
  const HttpConnection* connection = state_->Connection();
  return connection == nullptr ? 0 : connection->OutputBytes();
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop, const std::string& ip, uint16_t port,
    const HttpServerLimits& limits, Handler handler) {
  auto core = std::make_shared<Core>(loop, limits, std::move(handler));
  auto listener =
      TcpListener::Listen(loop, ip, port, limits.socket_buffer_bytes,
                          [raw = core.get()](int fd) { raw->Accept(fd); });
  if (!IsOk(listener)) return ErrorOf(listener);
  return std::unique_ptr<HttpServer>(
      new HttpServer(std::move(core), std::move(ValueOf(listener))));
}

HttpServer::HttpServer(std::shared_ptr<Core> core,
                       std::unique_ptr<TcpListener> listener)
    : core_(std::move(core)),
      listener_(std::move(listener)),
      port_(listener_->port()) {}

HttpServer::~HttpServer() { core_->Close(); }

void HttpServer::StopAccepting() { listener_.reset(); }

ListenerCounts HttpServer::counts() const { return core_->counts(); }

}  // namespace beamhill
