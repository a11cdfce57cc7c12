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
  DialedPeerPtr Dial(const Address& address) {
    DialedPeerHooks hooks;
    hooks.on_open = [this](DialedPeer&) { ++open_count_; };
    hooks.on_message = [](DialedPeer&, const DispatchMessage&) {};
    hooks.on_down = [this](DialedPeer&, bool was_open) {
      down_count_ += was_open ? 1 : 0;
    };
    return DialedPeer::Dial(*loop_, address, std::move(hooks));
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

// Guards against hooks that act for a peer that its user has replaced: a
// scheduler crashed when the link to its earlier owner opened after all.
TEST_F(DialedPeerTest, NoHookRunsOnceThePeerIsGivenUp) {
  const auto listener = LinkListener::Listen(*loop_, {"127.0.0.1", 0},
                                             [](Link&) { return LinkHooks(); });
  auto given_up = Dial({"127.0.0.1", ValueOf(listener)->port()});
  const auto kept = Dial({"127.0.0.1", ValueOf(listener)->port()});
  given_up.reset();
  RunFor(milliseconds(300), *kept);
  EXPECT_EQ(open_count_, 1);
  EXPECT_EQ(down_count_, 0);
}

class DialedPeerHookTest : public testing::TestWithParam<std::string> {};

// A peer used to be destroyed only outside its hooks, on a later tick. Until
// then it went on to act for its user.
TEST_P(DialedPeerHookTest, PeerMayBeGivenUpInItsOwnHook) {
  const auto loop = std::move(ValueOf(EventLoop::Create()));
  auto listener = std::move(
      ValueOf(LinkListener::Listen(*loop, {"127.0.0.1", 0}, [&](Link&) {
        LinkHooks hooks;
        // Two messages, of which the second must not be handled.
        hooks.on_message = [](Link& link, std::string_view frame) {
          link.Send(frame);
          link.Send(frame);
        };
        return hooks;
      })));
  DialedPeerPtr peer;
  int calls = 0;
  const auto give_up = [&](const std::string& hook) {
    if (hook != GetParam()) return;
    ++calls;
    peer.reset();
  };
  DialedPeerHooks hooks;
  hooks.on_open = [&](DialedPeer& p) {
    p.Send(HandOver{1});
    give_up("open");
  };
  hooks.on_message = [&](DialedPeer&, const DispatchMessage&) {
    give_up("message");
  };
  hooks.on_down = [&](DialedPeer&, bool) { give_up("down"); };
  peer = DialedPeer::Dial(*loop, {"127.0.0.1", listener->port()},
                          std::move(hooks));
  const Timer down = loop->After(milliseconds(100), [&] { listener.reset(); });
  const Timer end = loop->After(milliseconds(500), [&] { loop->Stop(); });
  loop->Run();
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(peer, nullptr);
}

INSTANTIATE_TEST_SUITE_P(Hooks, DialedPeerHookTest,
                         testing::Values("open", "message", "down"));

}  // namespace
}  // namespace beamhill
