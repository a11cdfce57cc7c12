// An outgoing link to one peer that redials until it is given up, since the
// peer may be down, unresponsive or replaced.
//
//   DialedPeerPtr peer =
//       DialedPeer::Dial(loop, address, {on_open, on_message, on_down});
//   peer->Send(message);      // dropped while the link is down
//   peer.reset();             // no hook runs any more
#ifndef BEAMHILL_SCHEDULER_DIALED_PEER_H_
#define BEAMHILL_SCHEDULER_DIALED_PEER_H_

#include <functional>
#include <memory>
#include <string>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/link/link.h"

namespace beamhill {

class DialedPeer;

// Ends a peer that its user gives up: closes its link, runs none of its hooks
// any more, and destroys it from the event loop. So a user may give up a peer
// anywhere, also in a hook of that peer, and nothing that the peer still
// receives is taken for a message of the peer that replaces it.
struct DialedPeerDeleter {
  void operator()(DialedPeer* peer) const;
};
using DialedPeerPtr = std::unique_ptr<DialedPeer, DialedPeerDeleter>;

// Callbacks of a peer; each receives the peer that it belongs to.
struct DialedPeerHooks {
  std::function<void(DialedPeer& peer)> on_open;
  std::function<void(DialedPeer& peer, const DispatchMessage&)> on_message;
  // The link closed, or could not be established if `was_open` is false.
  std::function<void(DialedPeer& peer, bool was_open)> on_down;
};

class DialedPeer {
 public:
  // Starts connecting to `address` and returns at once.
  static DialedPeerPtr Dial(EventLoop& loop, const Address& address,
                            DialedPeerHooks hooks);
  DialedPeer(const DialedPeer&) = delete;
  DialedPeer& operator=(const DialedPeer&) = delete;

  // Sends `message`; drops it while the link is down.
  void Send(const DispatchMessage& message);
  // Closes the link, to be redialed, if nothing has been received for `limit`,
  // not even the answer to a ping, or if its handshake takes too long. Pings
  // first: a healthy peer may have nothing to send, such as an executor whose
  // runner has not registered yet.
  void CloseIfSilent(Duration limit);
  bool is_open() const;
  // Time since the last message or since the link last opened, whichever is
  // shorter.
  Duration SinceMessage() const { return BootClock::now() - last_message_at_; }

 private:
  friend struct DialedPeerDeleter;
  friend struct std::default_delete<DialedPeer>;  // Used by the event loop.

  DialedPeer(EventLoop& loop, const Address& address, DialedPeerHooks hooks);
  ~DialedPeer();
  void Dial();
  void OnOpen();
  void OnFrame(std::string_view frame);
  void OnClose();

  EventLoop& loop_;
  Address address_;
  DialedPeerHooks hooks_;
  std::unique_ptr<Link> link_;
  bool given_up_ = false;
  bool opened_ = false;
  Duration redial_delay_{};
  TimePoint dial_started_at_{};
  TimePoint last_received_at_{};  // Any traffic on this link, pongs included.
  TimePoint last_message_at_{};
  TimePoint last_ping_at_{};
  Timer redial_timer_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_DIALED_PEER_H_
