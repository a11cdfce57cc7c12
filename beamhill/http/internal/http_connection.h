// One client's connection to an HttpServer: receives one request at a time,
// parsed by Boost.Beast, and sends its response.
//
// Holds a bounded number of bytes whatever the client sends: while a request is
// handled or its response is sent, at most one buffer's worth of what the
// client sends ahead is read.
#ifndef BEAMHILL_HTTP_INTERNAL_HTTP_CONNECTION_H_
#define BEAMHILL_HTTP_INTERNAL_HTTP_CONNECTION_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/http/http_types.h"

namespace beamhill {
namespace http_internal {

// What of a request decides on the form of its response.
struct ResponseForm {
  bool keep_alive = true;
  bool chunked = true;  // The client takes a body in chunks (HTTP/1.1).
  bool has_body = true;
};

class HttpConnection {
 public:
  struct Impl;

  enum class Phase {
    kIdle,       // Waits for a request.
    kReceiving,  // Has received part of a request.
    kHandling,   // Waits for the response.
    kSending,    // Waits until the client has taken the response.
    // Waits until the client has read a response that is the last one: drops
    // what it still sends, since closing would discard the response.
    kLingering,
  };

  // All are called from the event loop, and none after the connection is
  // destroyed.
  struct Hooks {
    // A complete request. The phase is kHandling until a response is complete.
    std::function<void(HttpRequest)> on_request;
    // The request is malformed or too large and was answered.
    std::function<void()> on_rejected;
    // The phase or the number of held bytes has changed.
    std::function<void()> on_change;
    // A phase has taken too long; on_closed follows.
    std::function<void()> on_timeout;
    // The connection is closed and is to be destroyed, but not by this call.
    std::function<void()> on_closed;
  };

  // Takes ownership of the socket.
  HttpConnection(EventLoop& loop, int fd, const HttpServerLimits& limits,
                 Hooks hooks);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Sends a complete response. Requires kHandling.
  void Respond(const HttpResponse& response);
  // Send a response in pieces. Requires kHandling.
  void StartResponse(int status, const HttpHeaders& headers);
  void SendChunk(std::string_view bytes);
  void EndResponse();

  // Gives the request that is being received up, frees its memory and sends
  // the response as the last one. Closes the connection in other phases.
  void Refuse(const HttpResponse& response);
  // Closes the connection at once.
  void Close();

  Phase phase() const;
  // Memory held for what the client has sent and has not read, in bytes,
  // without a request that is being handled.
  size_t HeldBytes() const;
  // Bytes of responses that are not yet written to the socket.
  size_t OutputBytes() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace http_internal
}  // namespace beamhill

#endif  // BEAMHILL_HTTP_INTERNAL_HTTP_CONNECTION_H_
