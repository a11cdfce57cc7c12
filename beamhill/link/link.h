// Long-lived message connections between Beamhill processes: WebSocket frames
// (websocketpp) over libevent buffered sockets.
//
//   auto link = Link::Dial(loop, {"127.0.0.1", 7000}, {
//       [](Link& l) { l.Send(frame); },              // on_open
//       [](Link&, std::string_view frame) { ... },   // on_message
//       [](Link&) { ... }});                         // on_close
#ifndef BEAMHILL_LINK_LINK_H_
#define BEAMHILL_LINK_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_client.h"
#include "beamhill/overload/listener_limits.h"

namespace beamhill {

class Link;

// Identifies a link within its process. Never used twice, whereas a new link
// may get the address of a destroyed one: whatever outlives a callback refers
// to a link by its id.
using LinkId = uint64_t;

// Callbacks of a link, all called from the event loop.
struct LinkHooks {
  // Called after the WebSocket handshake. May be empty.
  std::function<void(Link&)> on_open;
  std::function<void(Link&, std::string_view frame)> on_message;
  // Called exactly once, also when the link never opened. A hook must not
  // destroy the link; see Link::Close.
  std::function<void(Link&)> on_close;
  // Called when the peer has answered a ping. May be empty.
  std::function<void(Link&)> on_pong;
};

class Link {
 public:
  struct Impl;

  // Starts connecting to `peer` and returns at once. A refused or lost
  // connection is reported by on_close.
  static std::unique_ptr<Link> Dial(EventLoop& loop, const Address& peer,
                                    LinkHooks hooks);
  explicit Link(std::unique_ptr<Impl> impl);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Queues one binary frame, or drops it when the link is not open. Closes the
  // link if its peer has left too much unread.
  void Send(std::string_view frame);
  // Sends a WebSocket ping, which the peer's process answers even when it has
  // no messages to send. Does nothing when the link is not open.
  void Ping();
  // The peer has proven itself: on an accepted link, it no longer counts toward
  // the listener's limits.
  void MarkTrusted();
  // Closes the socket and calls on_close from the event loop.
  void Close();

  LinkId id() const;
  bool is_open() const;
  // Bytes queued and not yet written to the socket.
  size_t BufferedBytes() const;
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  friend class LinkListener;
  std::unique_ptr<Impl> impl_;
};

struct LinkListenerLimits {
  // Over all accepted links but trusted ones. Those that have sent no message
  // within `active_time` are closed first, and of these, those that have sent
  // none for the longest time.
  ListenerLimits total;
  Duration active_time = std::chrono::seconds(5);
  // From the connection to the end of its handshake.
  Duration handshake_timeout = std::chrono::seconds(10);
  // Of one message.
  size_t max_message_bytes = 1024 * 1024;
  int socket_buffer_bytes = kSocketBufferBytes;
};

class LinkListener {
 public:
  struct Impl;
  // Called for each accepted link before its handshake; returns its hooks.
  using AcceptHook = std::function<LinkHooks(Link&)>;

  // Starts to accept links. Port 0 binds any free port. The listener owns the
  // links that it accepts and destroys each after its on_close. Fails with
  // kInvalidArgument when the address is not an IPv4 address, and with
  // kUnavailable when it can't be bound.
  static Result<std::unique_ptr<LinkListener>> Listen(
      EventLoop& loop, const Address& address, AcceptHook on_accept,
      const LinkListenerLimits& limits = {});
  explicit LinkListener(std::unique_ptr<Impl> impl);
  ~LinkListener();

  uint16_t port() const;
  ListenerCounts counts() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_LINK_LINK_H_
