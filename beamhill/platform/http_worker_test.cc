// Tests that calls sent before a restart of the worker have no effect after it.
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

// Runs a worker that accepts calls from the most recently attached agent only,
// and can hold lease renewals to deliver them later.
class HttpWorkerTest : public testing::Test {
 protected:
  void Handle(HttpExchange exchange) {
    const HttpRequest& request = exchange.request();
    const uint64_t agent = Json::parse(request.body).at("agent");
    const std::string endpoint = request.path.substr(request.path.rfind('/'));
    if (endpoint == "/renew" && hold_renewals_) {
      held_renewals_.push_back(std::move(exchange));
      return;
    }
    if (endpoint == "/attach") attached_agent_ = agent;
    if (agent != attached_agent_) {
      exchange.Reply({409, {}, "{}"});
      return;
    }
    if (endpoint == "/renew") ++renewals_accepted_;
    exchange.Reply({200, {}, R"({"now_us": 1000000, "tasks": []})"});
  }

  // Returns whether the worker answered with its list of tasks.
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
  std::vector<HttpExchange> held_renewals_;
  uint64_t attached_agent_ = 0;
  bool hold_renewals_ = false;
  int renewals_accepted_ = 0;
};

// A renewal that is delivered after the worker has restarted carries a lease
// end on the clock of the worker's previous start, so the worker must reject
// it.
TEST_F(HttpWorkerTest, RenewalSentBeforeWorkerRestartIsRejectedAfterIt) {
  ASSERT_TRUE(List());
  hold_renewals_ = true;
  WorkerCommand renew;
  renew.lease_end = BootClock::now() + seconds(30);
  worker_.Run(renew, nullptr);
  attached_agent_ = 0;  // The worker restarts.
  EXPECT_FALSE(List());
  ASSERT_TRUE(List());
  ASSERT_EQ(held_renewals_.size(), 1U);
  hold_renewals_ = false;
  Handle(std::move(held_renewals_[0]));
  EXPECT_EQ(renewals_accepted_, 0);
  worker_.Run(renew, nullptr);
  for (int i = 0; renewals_accepted_ == 0 && i < 100; ++i) ASSERT_TRUE(List());
  EXPECT_EQ(renewals_accepted_, 1);
}

}  // namespace
}  // namespace beamhill
