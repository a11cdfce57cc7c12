// Outgoing links to several peers that receive the same messages.
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
  // The link to `peer` opened.
  std::function<void(DialedPeer& peer)> on_open;
  // One of the peers sent a message.
  std::function<void(const DispatchMessage&)> on_message;
};

class DialedPeers {
 public:
  DialedPeers(EventLoop& loop, DialedPeersHooks hooks);
  DialedPeers(const DialedPeers&) = delete;
  DialedPeers& operator=(const DialedPeers&) = delete;

  // Adds a peer; its link is redialed until Clear or until this object is
  // destroyed, which both may happen in a hook.
  void Dial(const Address& address);
  void Send(const DispatchMessage& message);
  // Closes each link on which nothing has been received for `limit`; it is
  // redialed.
  void CloseIfSilent(Duration limit);
  // Gives up all peers.
  void Clear() { peers_.clear(); }
  bool empty() const { return peers_.empty(); }

 private:
  EventLoop& loop_;
  // Shared with the peers, which may outlive this object by a moment.
  std::shared_ptr<const DialedPeersHooks> hooks_;
  std::vector<DialedPeerPtr> peers_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_DIALED_PEERS_H_
