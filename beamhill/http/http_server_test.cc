#include "beamhill/http/http_server.h"

#include <gtest/gtest.h>

#include <memory>
#include <optional>

#include "beamhill/http/http_client.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class HttpServerTest : public testing::Test {
 protected:
  HttpServerTest() : loop_(std::move(ValueOf(created_loop_))) {
    auto server = HttpServer::Listen(
        *loop_, "127.0.0.1", 0, HttpServerLimits{},
        [this](HttpExchange exchange) {
          held_exchange_ = std::make_unique<HttpExchange>(std::move(exchange));
          loop_->Stop();
        });
    CheckInvariant(IsOk(server), "server must listen");
    server_ = std::move(ValueOf(server));
    client_ = std::make_unique<HttpClient>(
        *loop_, Address{"127.0.0.1", server_->port()}, 2);
  }

  void Fetch() {
    client_->Fetch({"POST", "/", {}, "body"}, seconds(5),
                   [this](const HttpOutcome& outcome) {
                     outcome_ = outcome;
                     loop_->Stop();
                   });
    loop_->Run();
  }

  Result<std::unique_ptr<EventLoop>> created_loop_ = EventLoop::Create();
  std::unique_ptr<EventLoop> loop_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpExchange>
      held_exchange_;  // Must be destroyed before server_.
  std::unique_ptr<HttpClient> client_;
  std::optional<HttpOutcome> outcome_;
};

// A planned stop must not abort requests in progress: they are still answered
// after the server stops accepting connections.
TEST_F(HttpServerTest, OpenRequestIsAnsweredAfterAcceptingStops) {
  Fetch();
  ASSERT_TRUE(held_exchange_);
  server_->StopAccepting();
  held_exchange_->Reply({200, {}, "whole", /*close=*/true});
  loop_->Run();
  ASSERT_TRUE(outcome_);
  EXPECT_EQ(outcome_->delivery, HttpDelivery::kAnswered);
  EXPECT_EQ(outcome_->response.body, "whole");
}

TEST_F(HttpServerTest, NewConnectionIsRefusedAfterAcceptingStops) {
  server_->StopAccepting();
  Fetch();
  ASSERT_TRUE(outcome_);
  EXPECT_EQ(outcome_->delivery, HttpDelivery::kNotSent);
}

}  // namespace
}  // namespace beamhill
