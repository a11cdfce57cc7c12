#include "beamhill/scheduler/dialed_peers.h"

#include <utility>

namespace beamhill {

DialedPeers::DialedPeers(EventLoop& loop, DialedPeersHooks hooks)
    : loop_(loop), hooks_(std::move(hooks)) {}

void DialedPeers::Dial(const Address& address) {
  const size_t index = peers_.size();
  DialedPeerHooks hooks;
  hooks.on_open = [this, index] { hooks_.on_open(*peers_[index]); };
  hooks.on_message = [this](const DispatchMessage& message) {
    hooks_.on_message(message);
  };
  hooks.on_down = [](bool) {};  // The peer redials by itself.
  peers_.push_back(
      std::make_unique<DialedPeer>(loop_, address, std::move(hooks)));
}

void DialedPeers::Send(const DispatchMessage& message) {
  for (const auto& peer : peers_) peer->Send(message);
}

void DialedPeers::CloseIfSilent(Duration limit) {
  for (const auto& peer : peers_) peer->CloseIfSilent(limit);
}

}  // namespace beamhill
