// HTTP/1.1 client on evhttp: a pool of keep-alive connections to one server.
//
// The client never retries a request by itself. Its outcome distinguishes a
// request that provably was not sent (kNotSent) from one that the server may
// have processed (kNoAnswer).
//
//   HttpClient client(loop, {"127.0.0.1", 8080}, 64);
//   client.Fetch({"GET", "/healthz"}, std::chrono::seconds(1),
//                [](const HttpOutcome& outcome) { ... });
//
// A restarted process listens on the address of its predecessor, so an address
// does not identify a process. FetchFrom sends a call only over connections on
// which the expected process has already responded; such a connection can't
// reach another process, because it closes when its process ends.
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

// A network endpoint.
struct Address {
  std::string ip;  // Dotted decimal (IPv4).
  uint16_t port = 0;
};

struct HttpCall {
  std::string method;
  std::string target;  // Path and query, percent-encoded.
  HttpHeaders headers;
  std::string body;
  // Value of the Host header; empty for the server's address.
  std::string host = {};
};

// Identifies the process at the server's address that a call is meant for.
struct HttpPeerIdentity {
  std::string name;
  // Sent first on each new connection. It must be harmless to any process that
  // receives it.
  HttpCall identity_request;
  // Returns the name of the process that sent the response to
  // `identity_request`, or an empty string when the response does not tell.
  std::function<std::string(const HttpResponse&)> parse_peer_name;
};

// How far a call got.
enum class HttpDelivery {
  kAnswered,  // `response` holds the complete response.
  // No byte of the request reached the server's application. When FetchFrom
  // finds another process than the expected one, `response` holds its response
  // to the identity request.
  kNotSent,
  // The request was sent at least in part, and no complete response arrived.
  kNoAnswer,
};

struct HttpOutcome {
  HttpDelivery delivery = HttpDelivery::kNoAnswer;
  HttpResponse response;
  bool timed_out = false;
  // No connection could be opened, such as to a port on which nobody listens.
  // Other calls that were not sent don't show that the server is gone.
  bool connect_failed = false;
};

class HttpClient {
 public:
  // `max_connections` limits the calls in flight; further calls end as
  // kNotSent.
  HttpClient(EventLoop& loop, Address server, size_t max_connections);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  using Done = std::function<void(const HttpOutcome&)>;
  // Receives the status line and headers, then the body in pieces. The body of
  // the response passed to Done is then empty.
  struct Stream {
    std::function<void(int status, const HttpHeaders& headers)> on_head;
    std::function<void(std::string_view bytes)> on_bytes;
  };

  // Sends one request. Calls `done` exactly once, never from inside Fetch. When
  // the client is destroyed first, `done` is not called.
  void Fetch(const HttpCall& call, Duration timeout, Done done);
  void Fetch(const HttpCall& call, Duration timeout, Stream stream, Done done);

  // Like Fetch, but sends the call only to the process that `peer` identifies.
  // `timeout` covers the identity request and the call together.
  void FetchFrom(const HttpPeerIdentity& peer, const HttpCall& call,
                 Duration timeout, Done done);

  // Connections in the pool, idle or in use.
  size_t open_connections() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_CLIENT_H_
