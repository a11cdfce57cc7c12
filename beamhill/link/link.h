// Long-lived message connections between the system's own processes:
// WebSocket frames by websocketpp, carried by libevent's buffered sockets.
//
//   auto link = Link::Dial(loop, {"127.0.0.1", 7000}, {
//       [](Link& l) { l.Send(frame); },              // opened
//       [](Link&, std::string_view frame) { ... },   // message
//       [](Link&) { ... }});                         // closed, or never opened
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

namespace beamhill {

class Link;

struct LinkHooks {
  std::function<void(Link&)> on_open;
  std::function<void(Link&, std::string_view frame)> on_message;
  // Called once, whether or not the link ever opened. The link must not be
  // destroyed inside a hook; see Link::Close.
  std::function<void(Link&)> on_close;
  // The peer has answered a ping. May be left out.
  std::function<void(Link&)> on_pong;
};

class Link {
 public:
  struct Impl;

  // Starts to connect. A refused or lost connection ends in on_close.
  static std::unique_ptr<Link> Dial(EventLoop& loop, const Address& peer,
                                    LinkHooks hooks);
  explicit Link(std::unique_ptr<Impl> impl);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  // Queues one binary frame. Dropped when the link is not open.
  void Send(std::string_view frame);
  // Asks the peer's process for a sign of life, which it gives whatever else it
  // has to say. Dropped when the link is not open.
  void Ping();
  // Closes the socket and calls on_close from the loop.
  void Close();

  bool is_open() const;
  // Bytes queued and not yet taken by the network.
  size_t BufferedBytes() const;
  uint64_t bytes_sent() const;
  uint64_t bytes_received() const;

 private:
  friend class LinkListener;
  std::unique_ptr<Impl> impl_;
};

class LinkListener {
 public:
  struct Impl;
  // Receives each accepted link before its handshake; returns its hooks.
  using AcceptHook = std::function<LinkHooks(Link&)>;

  // Port 0 takes any free port. The listener owns the links it accepts and
  // destroys each after its on_close.
  static Result<std::unique_ptr<LinkListener>> Listen(EventLoop& loop,
                                                      const Address& address,
                                                      AcceptHook on_accept);
  explicit LinkListener(std::unique_ptr<Impl> impl);
  ~LinkListener();

  uint16_t port() const;

 private:
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_LINK_LINK_H_
