// What the client does with its pool when connections go silent.
#include "beamhill/http/http_client.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "beamhill/http/http_server.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A server that answers nothing by itself.
class HttpClientTest : public testing::Test {
 protected:
  HttpClientTest() {
    auto server = HttpServer::Listen(
        *loop_, "127.0.0.1", 0, HttpServerLimits{},
        [this](HttpExchange exchange) {
          held_.push_back(std::make_unique<HttpExchange>(std::move(exchange)));
          if (held_.size() == expected_) loop_->Stop();
        });
    server_ = std::move(ValueOf(server));
    client_ = std::make_unique<HttpClient>(
        *loop_, Address{"127.0.0.1", server_->port()}, 8);
  }

  void Fetch(Duration timeout) {
    client_->Fetch({"GET", "/", {}, ""}, timeout,
                   [this](const HttpOutcome& outcome) {
                     outcomes_.push_back(outcome);
                     if (outcomes_.size() == answered_) loop_->Stop();
                   });
  }

  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  std::unique_ptr<HttpServer> server_;
  std::vector<std::unique_ptr<HttpExchange>> held_;
  std::unique_ptr<HttpClient> client_;
  std::vector<HttpOutcome> outcomes_;
  size_t expected_ = 0;
  size_t answered_ = 0;
};

// Connections that went silent together each cost a later call its timeout.
TEST_F(HttpClientTest, AfterATimeoutNoIdleConnectionIsTrusted) {
  expected_ = 3;
  for (int i = 0; i < 3; ++i) Fetch(seconds(5));
  loop_->Run();
  answered_ = 3;
  for (auto& exchange : held_) exchange->Reply({200, {}, ""});
  loop_->Run();
  EXPECT_EQ(client_->open_connections(), 3U);
  answered_ = 4;
  Fetch(milliseconds(30));  // Nobody answers it.
  loop_->Run();
  EXPECT_TRUE(outcomes_.back().timed_out);
  EXPECT_EQ(client_->open_connections(), 0U);
}

}  // namespace
}  // namespace beamhill
