// A link that is dialed again for as long as its owner wants it, to a peer
// that may be down, silent or replaced.
//
//   DialedPeer peer(loop, address, {on_open, on_message, on_down});
//   peer.Send(message);       // dropped while the link is down
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

struct DialedPeerHooks {
  std::function<void()> on_open;
  std::function<void(const DispatchMessage&)> on_message;
  // The link broke, or could not be made.
  std::function<void(bool was_open)> on_down;
};

class DialedPeer {
 public:
  DialedPeer(EventLoop& loop, const Address& address, DialedPeerHooks hooks);
  ~DialedPeer();
  DialedPeer(const DialedPeer&) = delete;
  DialedPeer& operator=(const DialedPeer&) = delete;

  // Does nothing while the link is down.
  void Send(const DispatchMessage& message);
  // Breaks the link if nothing came for so long, not even the answer to a ping;
  // it is dialed anew. A peer may have nothing to say and still be there: an
  // executor whose runner has not registered yet.
  void CloseIfSilent(Duration limit);
  bool is_open() const;
  // How long ago the last message came, or the link opened.
  Duration SinceMessage() const { return BootClock::now() - last_message_at_; }

 private:
  void Dial();
  void OnFrame(std::string_view frame);
  void OnClose();

  EventLoop& loop_;
  Address address_;
  DialedPeerHooks hooks_;
  std::unique_ptr<Link> link_;
  bool opened_ = false;
  Duration redial_delay_{};
  TimePoint dial_started_at_{};
  TimePoint last_received_at_{};  // Anything at all, on this link.
  TimePoint last_message_at_{};
  TimePoint last_ping_at_{};
  Timer redial_timer_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_DIALED_PEER_H_
