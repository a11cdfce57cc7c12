// Tests DialedPeer over loopback with peers that send nothing.
#include "beamhill/scheduler/dialed_peer.h"

#include <gtest/gtest.h>

#include <memory>

#include "beamhill/event/event_loop.h"
#include "beamhill/link/link.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLimit = seconds(1);

class DialedPeerTest : public testing::Test {
 protected:
  std::unique_ptr<DialedPeer> Dial(const Address& address) {
    DialedPeerHooks hooks;
    hooks.on_open = [this] { ++open_count_; };
    hooks.on_message = [](const DispatchMessage&) {};
    hooks.on_down = [this](bool was_open) { down_count_ += was_open ? 1 : 0; };
    return std::make_unique<DialedPeer>(*loop_, address, std::move(hooks));
  }

  void RunFor(Duration time, DialedPeer& peer) {
    const Timer check =
        loop_->Every(milliseconds(50), [&] { peer.CloseIfSilent(kLimit); });
    const Timer end = loop_->After(time, [this] { loop_->Stop(); });
    loop_->Run();
  }

  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  int open_count_ = 0;
  int down_count_ = 0;
};

// Guards against treating an idle peer as failed: when 800 executors started at
// once, 540 were dialed a second time because their runners had not registered
// yet and they had nothing to send.
TEST_F(DialedPeerTest, LinkToIdlePeerStaysUp) {
  const auto listener = LinkListener::Listen(*loop_, {"127.0.0.1", 0},
                                             [](Link&) { return LinkHooks(); });
  const auto peer = Dial({"127.0.0.1", ValueOf(listener)->port()});
  RunFor(seconds(3), *peer);
  EXPECT_EQ(open_count_, 1);
  EXPECT_EQ(down_count_, 0);
  EXPECT_GE(peer->SinceMessage(), seconds(2));
}

// The listener accepts connections, as the kernel does for a paused process,
// but its loop is no longer run once the link is open.
TEST_F(DialedPeerTest, RedialsPeerThatAnswersNoPings) {
  auto frozen_loop = std::move(ValueOf(EventLoop::Create()));
  const auto listener = LinkListener::Listen(*frozen_loop, {"127.0.0.1", 0},
                                             [](Link&) { return LinkHooks(); });
  const auto peer = Dial({"127.0.0.1", ValueOf(listener)->port()});
  Timer run_briefly;
  const Timer frozen = loop_->Every(milliseconds(20), [&] {
    if (open_count_ > 0) return;
    run_briefly =
        frozen_loop->After(milliseconds(1), [&] { frozen_loop->Stop(); });
    frozen_loop->Run();
  });
  RunFor(seconds(4), *peer);
  EXPECT_EQ(open_count_, 1);
  EXPECT_EQ(down_count_, 1);
}

}  // namespace
}  // namespace beamhill
