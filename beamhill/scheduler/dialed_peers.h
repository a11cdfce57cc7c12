// Links to several peers that are asked or told the same thing.
//
//   DialedPeers peers(loop, {on_open, on_message});
//   peers.Dial(address);
//   peers.Send(message);      // to each whose link is up
#ifndef BEAMHILL_SCHEDULER_DIALED_PEERS_H_
#define BEAMHILL_SCHEDULER_DIALED_PEERS_H_

#include <functional>
#include <memory>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/scheduler/dialed_peer.h"

namespace beamhill {

struct DialedPeersHooks {
  // The link to this one is up.
  std::function<void(DialedPeer& peer)> on_open;
  // Any of them sent this.
  std::function<void(const DispatchMessage&)> on_message;
};

class DialedPeers {
 public:
  DialedPeers(EventLoop& loop, DialedPeersHooks hooks);
  DialedPeers(const DialedPeers&) = delete;
  DialedPeers& operator=(const DialedPeers&) = delete;

  // One more; its link is dialed again for as long as it is among them.
  void Dial(const Address& address);
  void Send(const DispatchMessage& message);
  // Breaks each link on which nothing came for so long; it is dialed anew.
  void CloseIfSilent(Duration limit);
  // Drops all of them. Not from within a hook.
  void Clear() { peers_.clear(); }
  bool empty() const { return peers_.empty(); }

 private:
  EventLoop& loop_;
  DialedPeersHooks hooks_;
  std::vector<std::unique_ptr<DialedPeer>> peers_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_DIALED_PEERS_H_
