#include "beamhill/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netdb.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>

#include "beamhill/http/internal/evhttp_util.h"

namespace beamhill {
namespace {

constexpr int kAllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

std::string DecodePath(const char* path) {
  if (path == nullptr) return "/";
  size_t size = 0;
  char* decoded = evhttp_uridecode(path, 0, &size);
  if (decoded == nullptr) return path;
  std::string result(decoded, size);
  free(decoded);
  return result;
}

HttpRequest ReadRequest(evhttp_request* raw) {
  HttpRequest request;
  request.method = MethodName(evhttp_request_get_command(raw));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(raw);
  const char* path = evhttp_uri_get_path(uri);
  request.raw_path = path == nullptr ? "/" : path;
  request.path = DecodePath(path);
  if (const char* query = evhttp_uri_get_query(uri); query != nullptr) {
    request.raw_query = query;
    evkeyvalq params{};
    if (evhttp_parse_query_str(query, &params) == 0) {
      for (evkeyval* kv = params.tqh_first; kv != nullptr;
           kv = kv->next.tqe_next) {
        request.query[kv->key] = kv->value;
      }
    }
    evhttp_clear_headers(&params);
  }
  request.headers =
      http_internal::ReadHeaders(evhttp_request_get_input_headers(raw));
  request.body = http_internal::Drain(evhttp_request_get_input_buffer(raw));
  return request;
}

}  // namespace

// Owns an evhttp request. evhttp keeps a request until its handler completes
// it, even after the client has disconnected, and frees it in the completing
// call. Every path therefore makes exactly one completing call; `raw` is null
// after it.
struct HttpExchange::State {
  evhttp_request* raw = nullptr;
  HttpRequest request;
  bool started = false;

  static std::unique_ptr<State> FromRaw(evhttp_request* raw) {
    auto state = std::make_unique<State>();
    state->raw = raw;
    state->request = ReadRequest(raw);
    return state;
  }

  void Complete(int status, std::string_view body) {
    evbuffer* out = evhttp_request_get_output_buffer(raw);
    evbuffer_add(out, body.data(), body.size());
    evhttp_send_reply(raw, status, nullptr, nullptr);
    raw = nullptr;
  }

  ~State() {
    if (raw == nullptr) return;
    if (started) {
      evhttp_send_reply_end(raw);
    } else {
      Complete(HTTP_INTERNAL, "");
    }
  }
};

HttpExchange::HttpExchange(std::unique_ptr<State> state)
    : state_(std::move(state)) {}
HttpExchange::HttpExchange(HttpExchange&& other) noexcept = default;
HttpExchange& HttpExchange::operator=(HttpExchange&& other) noexcept = default;
HttpExchange::~HttpExchange() = default;

const HttpRequest& HttpExchange::request() const { return state_->request; }

void HttpExchange::Reply(const HttpResponse& response) {
  CheckInvariant(state_->raw != nullptr && !state_->started,
                 "at most one reply per request");
  http_internal::AddHeaders(evhttp_request_get_output_headers(state_->raw),
                            response.headers);
  if (response.close) {
    evhttp_add_header(evhttp_request_get_output_headers(state_->raw),
                      "Connection", "close");
  }
  state_->Complete(response.status, response.body);
}

void HttpExchange::StartReply(int status, const HttpHeaders& headers) {
  CheckInvariant(state_->raw != nullptr && !state_->started,
                 "at most one reply per request");
  http_internal::AddHeaders(evhttp_request_get_output_headers(state_->raw),
                            headers);
  evhttp_send_reply_start(state_->raw, status, nullptr);
  state_->started = true;
}

void HttpExchange::SendChunk(std::string_view bytes) {
  if (bytes.empty()) return;
  evbuffer* buffer = evbuffer_new();
  evbuffer_add(buffer, bytes.data(), bytes.size());
  evhttp_send_reply_chunk(state_->raw, buffer);
  evbuffer_free(buffer);
}

void HttpExchange::EndReply() {
  evhttp_send_reply_end(state_->raw);
  state_->raw = nullptr;
}

void HttpExchange::AbortReply() {
  evhttp_connection* connection = evhttp_request_get_connection(state_->raw);
  if (connection != nullptr) {
    // EndReply frees the request but also writes the last-chunk marker.
    // Shutting down the socket first keeps that marker from reaching the
    // client.
    bufferevent* bev = evhttp_connection_get_bufferevent(connection);
    shutdown(bufferevent_getfd(bev), SHUT_RDWR);
  }
  EndReply();
}

size_t HttpExchange::BufferedBytes() const {
  evhttp_connection* connection = evhttp_request_get_connection(state_->raw);
  if (connection == nullptr) return 0;
  bufferevent* bev = evhttp_connection_get_bufferevent(connection);
  return evbuffer_get_length(bufferevent_get_output(bev));
}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    EventLoop& loop, const std::string& ip, uint16_t port,
    const HttpServerLimits& limits, Handler handler) {
  evhttp* http = evhttp_new(loop.base());
  if (http == nullptr) {
    return Error{ErrorCode::kInternal, "cannot create an HTTP server", ""};
  }
  evhttp_bound_socket* socket =
      evhttp_bind_socket_with_handle(http, ip.c_str(), port);
  if (socket == nullptr) {
    const std::string reason = std::strerror(errno);
    evhttp_free(http);
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + ip + ":" + std::to_string(port) + ": " + reason,
        "check that the address belongs to this VM and that no other "
        "process uses the port"};
  }
  evhttp_set_allowed_methods(http, kAllowedMethods);
  evhttp_set_max_headers_size(http,
                              static_cast<ev_ssize_t>(limits.max_header_bytes));
  evhttp_set_max_body_size(http,
                           static_cast<ev_ssize_t>(limits.max_body_bytes));
  evhttp_set_timeout(
      http, static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(
                                 limits.idle_timeout)
                                 .count()));
  sockaddr_storage address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(socket),
              reinterpret_cast<sockaddr*>(&address), &size);
  char port_text[NI_MAXSERV] = "0";
  getnameinfo(reinterpret_cast<sockaddr*>(&address), size, nullptr, 0,
              port_text, sizeof(port_text), NI_NUMERICSERV);
  auto owned = std::make_unique<Handler>(std::move(handler));
  evhttp_set_gencb(
      http,
      [](evhttp_request* raw, void* arg) {
        (*static_cast<Handler*>(arg))(
            HttpExchange(HttpExchange::State::FromRaw(raw)));
      },
      owned.get());
  return std::unique_ptr<HttpServer>(
      new HttpServer(http, socket, static_cast<uint16_t>(std::stoi(port_text)),
                     std::move(owned)));
}

HttpServer::HttpServer(evhttp* http, evhttp_bound_socket* socket, uint16_t port,
                       std::unique_ptr<Handler> handler)
    : http_(http), socket_(socket), port_(port), handler_(std::move(handler)) {}

void HttpServer::StopAccepting() {
  if (socket_ == nullptr) return;
  evhttp_del_accept_socket(http_, socket_);
  socket_ = nullptr;
}

HttpServer::~HttpServer() { evhttp_free(http_); }

}  // namespace beamhill
