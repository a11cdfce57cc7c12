// What an agent's calls do at a worker that has started again.
#include "beamhill/platform/http_worker.h"

#include <gtest/gtest.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/http/http_server.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;
using std::chrono::seconds;

// A worker that takes calls of the agent that attached last, and holds renewals
// back until it is told.
class HttpWorkerTest : public testing::Test {
 protected:
  void Handle(HttpExchange exchange) {
    const HttpRequest& request = exchange.request();
    const uint64_t agent = Json::parse(request.body).at("agent");
    const std::string verb = request.path.substr(request.path.rfind('/'));
    if (verb == "/renew" && holds_renewals_) {
      held_.push_back(std::move(exchange));
      return;
    }
    if (verb == "/attach") attached_ = agent;
    if (agent != attached_) {
      exchange.Reply({409, {}, "{}"});
      return;
    }
    if (verb == "/renew") ++renewed_;
    exchange.Reply({200, {}, R"({"now_us": 1000000, "tasks": []})"});
  }

  // Whether the worker answered with its list.
  bool List() {
    bool listed = false;
    worker_.List([&](const Result<std::vector<WorkerTask>>& tasks, TimePoint) {
      listed = IsOk(tasks);
      loop_->Stop();
    });
    loop_->Run();
    return listed;
  }

  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  std::unique_ptr<HttpServer> server_ = std::move(ValueOf(HttpServer::Listen(
      *loop_, "127.0.0.1", 0, HttpServerLimits{},
      [this](HttpExchange exchange) { Handle(std::move(exchange)); })));
  HttpWorker worker_{*loop_, {"127.0.0.1", server_->port()}, "vm-1", 7};
  std::vector<HttpExchange> held_;
  uint64_t attached_ = 0;
  bool holds_renewals_ = false;
  int renewed_ = 0;
};

// Its lease end was counted by the clock of the worker's start before.
TEST_F(HttpWorkerTest, RenewalForTheStartBeforeIsRefusedByTheNext) {
  ASSERT_TRUE(List());
  holds_renewals_ = true;
  WorkerCommand renew;
  renew.lease_end = BootClock::now() + seconds(30);
  worker_.Run(renew, nullptr);
  attached_ = 0;  // The worker starts again.
  EXPECT_FALSE(List());
  ASSERT_TRUE(List());
  ASSERT_EQ(held_.size(), 1U);
  holds_renewals_ = false;
  Handle(std::move(held_[0]));
  EXPECT_EQ(renewed_, 0);
  worker_.Run(renew, nullptr);
  for (int i = 0; renewed_ == 0 && i < 100; ++i) ASSERT_TRUE(List());
  EXPECT_EQ(renewed_, 1);
}

}  // namespace
}  // namespace beamhill
