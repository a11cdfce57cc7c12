// HTTP/1.1 client on evhttp: a pool of kept-alive connections to one server.
//
// The client never repeats a request by itself and tells apart a request that
// provably never left (kNotSent) from one whose fate is open (kNoAnswer).
//
//   HttpClient client(loop, {"127.0.0.1", 8080}, 64);
//   client.Fetch({"GET", "/healthz"}, std::chrono::seconds(1),
//                [](const HttpOutcome& outcome) { ... });
//
// A process that comes back at its address can't be told from the one before by
// the address. FetchFrom sends a call only over connections on which the
// process that is meant has answered, and a connection ends with its process.
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

// Which process at the server's address a call is meant for.
struct HttpPeerIdentity {
  std::string name;
  // Asked first on each new connection. It must do no harm to any process.
  HttpCall identity_request;
  // Names the process that gave this answer; empty where it doesn't tell.
  std::function<std::string(const HttpResponse&)> parse_peer_name;
};

enum class HttpDelivery {
  kAnswered,  // `response` holds the whole answer.
  // No byte of the request reached the server's application. Where another
  // process than the one meant is there, `response` is its answer to the
  // question.
  kNotSent,
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

  // As Fetch, for the process that is meant and no other. `timeout` holds for
  // the question and the call together.
  void FetchFrom(const HttpPeerIdentity& peer, const HttpCall& call,
                 Duration timeout, Done done);

  size_t open_connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_CLIENT_H_
