// HTTP/1.1 server on libevent's buffered sockets; requests are parsed by
// Boost.Beast.
//
// Whatever its clients send or leave unread, the server keeps HttpServerLimits:
// over all connections together it closes those that have been at a request,
// idle or unread for the longest time, so that others are still served.
//
//   auto server = HttpServer::Listen(loop, "127.0.0.1", 0, limits,
//                                    [](HttpExchange exchange) {
//     exchange.Reply({200, {{"Content-Type", "text/plain"}}, "hello\n"});
//   });
#ifndef BEAMHILL_HTTP_HTTP_SERVER_H_
#define BEAMHILL_HTTP_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_types.h"
#include "beamhill/overload/listener_limits.h"

namespace beamhill {

class TcpListener;

// One received request and the handle for replying to it. Destroying the
// exchange before a reply sends status 500, so that the client does not wait
// for a response that never comes.
class HttpExchange {
 public:
  struct State;

  explicit HttpExchange(std::unique_ptr<State> state);
  HttpExchange(HttpExchange&& other) noexcept;
  HttpExchange& operator=(HttpExchange&& other) noexcept;
  ~HttpExchange();

  const HttpRequest& request() const;

  // Sends a complete response. No other reply call may follow.
  void Reply(const HttpResponse& response);

  // Send a response in pieces: status and headers, any number of body chunks,
  // then the end of the body.
  void StartReply(int status, const HttpHeaders& headers);
  void SendChunk(std::string_view bytes);
  void EndReply();
  // Closes the client's connection without completing a started reply, so that
  // the client can't take a truncated response for a complete one.
  void AbortReply();

  // Bytes accepted by SendChunk and not yet written to the socket.
  size_t BufferedBytes() const;

 private:
  std::unique_ptr<State> state_;
};

struct HttpServerLimits {
  // Of one request. Larger ones get status 431 or 413.
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  // Of a connection without a request, and of a client that reads nothing.
  Duration idle_timeout = std::chrono::seconds(60);
  // From the first byte of a request to its last.
  Duration request_timeout = std::chrono::seconds(30);
  // Memory that handling a request takes for each byte of its body, beside the
  // body, as where it is parsed and copied.
  size_t handling_bytes_per_body_byte = 0;
  // Over all connections. As many requests are handled at a time as there may
  // be connections; others get status 503.
  ListenerLimits total;
  int socket_buffer_bytes = kSocketBufferBytes;
  // Returns the response to a request that is refused for want of capacity and
  // has not been handled. May be empty: then it is 503 with Retry-After: 1.
  std::function<HttpResponse()> refusal;
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;

  // Starts a server that calls `handler` for each request. Port 0 binds any
  // free port; port() returns it. Fails with kUnavailable when the address
  // can't be bound.
  static Result<std::unique_ptr<HttpServer>> Listen(
      EventLoop& loop, const std::string& ip, uint16_t port,
      const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return port_; }

  // Stops accepting connections; requests on open connections are still served.
  void StopAccepting();

  ListenerCounts counts() const;

 private:
  friend struct HttpExchange::State;
  class Core;

  HttpServer(std::shared_ptr<Core> core, std::unique_ptr<TcpListener> listener);

  std::shared_ptr<Core> core_;
  std::unique_ptr<TcpListener> listener_;  // Null after StopAccepting().
  uint16_t port_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_SERVER_H_
