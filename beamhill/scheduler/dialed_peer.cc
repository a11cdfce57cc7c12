#include "beamhill/scheduler/dialed_peer.h"

#include <algorithm>

#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kMinRedialDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRedialDelay = std::chrono::milliseconds(1000);
// The handshake takes a few round trips; with an unreachable peer it never
// completes.
constexpr Duration kHandshakeTimeout = std::chrono::milliseconds(1200);

}  // namespace

DialedPeer::DialedPeer(EventLoop& loop, const Address& address,
                       DialedPeerHooks hooks)
    : loop_(loop), address_(address), hooks_(std::move(hooks)) {}

DialedPeer::~DialedPeer() = default;

DialedPeerPtr DialedPeer::Dial(EventLoop& loop, const Address& address,
                               DialedPeerHooks hooks) {
  DialedPeerPtr peer(new DialedPeer(loop, address, std::move(hooks)));
  peer->Dial();
  return peer;
}

void DialedPeerDeleter::operator()(DialedPeer* peer) const {
  peer->given_up_ = true;
  peer->redial_timer_.Cancel();
  peer->link_->Close();
  peer->loop_.DestroyLater(std::unique_ptr<DialedPeer>(peer));
}

bool DialedPeer::is_open() const { return link_ && link_->is_open(); }

void DialedPeer::Dial() {
  opened_ = false;
  dial_started_at_ = BootClock::now();
  last_received_at_ = dial_started_at_;
  LinkHooks hooks;
  hooks.on_open = [this](Link&) { OnOpen(); };
  hooks.on_pong = [this](Link&) { last_received_at_ = BootClock::now(); };
  hooks.on_message = [this](Link&, std::string_view frame) { OnFrame(frame); };
  hooks.on_close = [this](Link&) { OnClose(); };
  link_ = Link::Dial(loop_, address_, std::move(hooks));
}

void DialedPeer::OnOpen() {
  if (given_up_) return;
  opened_ = true;
  redial_delay_ = Duration(0);
  last_received_at_ = BootClock::now();
  last_message_at_ = last_received_at_;
  hooks_.on_open(*this);
}

void DialedPeer::OnFrame(std::string_view frame) {
  if (given_up_) return;
  last_received_at_ = BootClock::now();
  last_message_at_ = last_received_at_;
  const Result<DispatchMessage> message = DecodeDispatch(frame);
  if (!IsOk(message)) {
    Log(LogLevel::kWarning, "bad_message",
        {{"peer_ip", address_.ip}, {"error", ErrorOf(message).message}});
    link_->Close();
    return;
  }
  hooks_.on_message(*this, ValueOf(message));
}

void DialedPeer::OnClose() {
  if (given_up_) return;
  const bool was_open = opened_;
  opened_ = false;
  redial_delay_ =
      std::clamp(redial_delay_ * 2, kMinRedialDelay, kMaxRedialDelay);
  redial_timer_ = loop_.After(redial_delay_, [this] { Dial(); });
  hooks_.on_down(*this, was_open);
}

void DialedPeer::Send(const DispatchMessage& message) {
  if (!is_open()) return;
  const std::string frame = EncodeDispatch(message);
  link_->Send(frame);
}

void DialedPeer::CloseIfSilent(Duration limit) {
  if (!link_) return;
  const TimePoint now = BootClock::now();
  const bool handshake_expired =
      !opened_ && now - dial_started_at_ > kHandshakeTimeout;
  const bool link_expired = opened_ && now - last_received_at_ > limit;
  if (handshake_expired || link_expired) {
    link_->Close();
    return;
  }
  // Pings at least twice before the link is closed.
  const bool idle = opened_ && now - last_received_at_ > limit / 2;
  if (!idle || now - last_ping_at_ < limit / 4) return;
  last_ping_at_ = now;
  link_->Ping();
}

}  // namespace beamhill
