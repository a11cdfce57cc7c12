// HTTP/1.1 server on evhttp.
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

struct evhttp;
struct evhttp_bound_socket;

namespace beamhill {

// The right and the duty to answer one request. Dropping it unanswered sends
// a 500, so that no caller is left waiting.
class HttpExchange {
 public:
  struct State;

  explicit HttpExchange(std::unique_ptr<State> state);
  HttpExchange(HttpExchange&& other) noexcept;
  HttpExchange& operator=(HttpExchange&& other) noexcept;
  ~HttpExchange();

  const HttpRequest& request() const;

  // Answers in one piece. No other reply call may follow.
  void Reply(const HttpResponse& response);

  // Answers in pieces: the head, any number of chunks, the end.
  void StartReply(int status, const HttpHeaders& headers);
  void SendChunk(std::string_view bytes);
  void EndReply();
  // Closes the caller's connection without completing a started reply, so
  // that a cut answer can't pass for a whole one.
  void AbortReply();

  // Bytes accepted by SendChunk and not yet taken by the caller.
  size_t BufferedBytes() const;

 private:
  std::unique_ptr<State> state_;
};

struct HttpServerLimits {
  size_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 1024 * 1024;
  Duration idle_timeout = std::chrono::seconds(60);
};

class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange)>;

  // Port 0 takes any free port; port() tells which.
  static Result<std::unique_ptr<HttpServer>> Listen(
      EventLoop& loop, const std::string& ip, uint16_t port,
      const HttpServerLimits& limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return port_; }

  // Refuses new connections from now on; open ones are served.
  void StopAccepting();

 private:
  HttpServer(evhttp* http, evhttp_bound_socket* socket, uint16_t port,
             std::unique_ptr<Handler> handler);

  evhttp* http_;
  evhttp_bound_socket* socket_;  // Null once it stopped accepting.
  uint16_t port_;
  std::unique_ptr<Handler> handler_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_SERVER_H_
