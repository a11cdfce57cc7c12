// HTTP/1.1 client on evhttp: a pool of kept-alive connections to one server.
//
// The client never repeats a request by itself and tells apart a request that
// provably never left (kNotSent) from one whose fate is open (kNoAnswer).
//
//   HttpClient client(loop, {"127.0.0.1", 8080}, 64);
//   client.Fetch({"GET", "/healthz"}, std::chrono::seconds(1),
//                [](const HttpOutcome& outcome) { ... });
#ifndef BEAMHILL_HTTP_HTTP_CLIENT_H_
#define BEAMHILL_HTTP_HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_types.h"

namespace beamhill {

// An IP number and a port.
struct Address {
  std::string ip;
  uint16_t port = 0;
};

struct HttpCall {
  std::string method;
  std::string target;  // Path with query, already encoded.
  HttpHeaders headers;
  std::string body;
  // Of the Host header; empty for the server's address.
  std::string host = {};
};

enum class HttpDelivery {
  kAnswered,  // `response` holds the whole answer.
  kNotSent,   // No byte of the request reached the server's application.
  kNoAnswer,  // Sent at least in part; no whole answer came.
};

struct HttpOutcome {
  HttpDelivery delivery = HttpDelivery::kNoAnswer;
  HttpResponse response;
  bool timed_out = false;
};

class HttpClient {
 public:
  // `max_connections` bounds the pool; calls beyond it end as kNotSent.
  HttpClient(EventLoop& loop, Address server, size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using Done = std::function<void(const HttpOutcome&)>;
  // Receives the head, then pieces of the body. Done's body is then empty.
  struct Stream {
    std::function<void(int status, const HttpHeaders& headers)> on_head;
    std::function<void(std::string_view bytes)> on_bytes;
  };

  // Calls `done` exactly once, never from inside Fetch. Calls that are open
  // when the client is destroyed are dropped without a call.
  void Fetch(const HttpCall& call, Duration timeout, Done done);
  void Fetch(const HttpCall& call, Duration timeout, Stream stream, Done done);

  size_t open_connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_CLIENT_H_
