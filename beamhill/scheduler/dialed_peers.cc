#include "beamhill/scheduler/dialed_peers.h"

#include <utility>

namespace beamhill {

DialedPeers::DialedPeers(EventLoop& loop, DialedPeersHooks hooks)
    : loop_(loop),
      hooks_(std::make_shared<const DialedPeersHooks>(std::move(hooks))) {}

void DialedPeers::Dial(const Address& address) {
  DialedPeerHooks hooks;
  hooks.on_open = [shared = hooks_](DialedPeer& peer) {
    shared->on_open(peer);
  };
  hooks.on_message = [shared = hooks_](DialedPeer&,
                                       const DispatchMessage& message) {
    shared->on_message(message);
  };
  hooks.on_down = [](DialedPeer&, bool) {};  // The peer redials by itself.
  peers_.push_back(DialedPeer::Dial(loop_, address, std::move(hooks)));
}

void DialedPeers::Send(const DispatchMessage& message) {
  for (const auto& peer : peers_) peer->Send(message);
}

void DialedPeers::CloseIfSilent(Duration limit) {
  for (const auto& peer : peers_) peer->CloseIfSilent(limit);
}

}  // namespace beamhill
