// beamhill-fake-runner: a fake backend server with slots, for tests and the
// demo.
//   beamhill-fake-runner --listen 127.0.0.1:0 --slots 8
//
// Answers any request after a service time with a JSON body that echoes the
// path and the X-Request header. GET /record returns counters; it counts
// requests received while all slots are taken and repeated idempotency keys,
// since the product must send neither. Query parameters:
//   ?ms=50       service time in ms
//   ?bytes=N     answer with N bytes
//   ?status=500  answer with this status
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

#include "beamhill/config/config.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/testing/stand_in_limits.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr size_t kChunkBytes = 16 * 1024;

class FakeRunner {
 public:
  FakeRunner(EventLoop& loop, std::string name, int slots, Duration mean)
      : loop_(loop), name_(std::move(name)), slots_(slots), mean_(mean) {}

  void Handle(HttpExchange exchange) {
    if (exchange.request().path == "/record") {
      exchange.Reply({200, {}, Record().dump()});
      return;
    }
    ++requests_;
    const auto key = FindHeader(exchange.request().headers, "Idempotency-Key");
    if (key && !seen_keys_.insert(*key).second) ++repeated_keys_;
    if (in_progress_ >= slots_) ++over_slots_;
    ++in_progress_;
    max_in_progress_ = std::max(max_in_progress_, in_progress_);
    auto shared = std::make_shared<HttpExchange>(std::move(exchange));
    const uint64_t id = next_timer_++;
    answer_timers_[id] = loop_.After(ServiceTime(shared->request()), [=] {
      Answer(*shared);
      --in_progress_;
      answer_timers_.erase(id);
    });
  }

 private:
  static int Param(const HttpRequest& request, const std::string& name,
                   int default_value) {
    const auto it = request.query.find(name);
    return it == request.query.end() ? default_value
                                     : std::atoi(it->second.c_str());
  }

  Duration ServiceTime(const HttpRequest& request) {
    const int ms = Param(request, "ms", -1);
    if (ms >= 0) return std::chrono::milliseconds(ms);
    std::exponential_distribution<double> distribution(2.0);
    return std::chrono::duration_cast<Duration>(mean_ *
                                                (0.5 + distribution(random_)));
  }

  void Answer(HttpExchange& exchange) {
    const HttpRequest& request = exchange.request();
    const int status = Param(request, "status", 200);
    const auto bytes = static_cast<size_t>(Param(request, "bytes", 0));
    if (bytes == 0) {
      const Json body = {
          {"runner", name_},
          {"path", request.path},
          {"request", FindHeader(request.headers, "X-Request").value_or("")},
          {"bytes_received", request.body.size()}};
      exchange.Reply(
          {status, {{"Content-Type", "application/json"}}, body.dump()});
      return;
    }
    exchange.StartReply(status, {{"Content-Type", "text/plain"}});
    const std::string chunk(kChunkBytes, 'x');
    for (size_t left = bytes; left > 0;) {
      const size_t size = std::min(left, chunk.size());
      exchange.SendChunk(chunk.substr(0, size));
      left -= size;
    }
    exchange.EndReply();
  }

  Json Record() const {
    return {{"requests", requests_},
            {"over_slots", over_slots_},
            {"repeated_keys", repeated_keys_},
            {"most_in_progress", max_in_progress_}};
  }

  EventLoop& loop_;
  std::string name_;
  int slots_;
  Duration mean_;
  std::mt19937_64 random_{20261202};
  int in_progress_ = 0;
  int max_in_progress_ = 0;
  uint64_t requests_ = 0;
  uint64_t over_slots_ = 0;
  uint64_t repeated_keys_ = 0;
  std::set<std::string> seen_keys_;
  std::map<uint64_t, Timer> answer_timers_;
  uint64_t next_timer_ = 0;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Fake backend server.");
  TCLAP::ValueArg<std::string> listen("", "listen", "ip:port; port 0: any",
                                      false, "127.0.0.1:0", "address", cmd);
  TCLAP::ValueArg<std::string> name("", "name", "name in answers", false,
                                    "runner", "text", cmd);
  TCLAP::ValueArg<int> slots("", "slots", "requests processed at once", false,
                             8, "count", cmd);
  TCLAP::ValueArg<int> mean("", "mean-ms", "mean service time", false, 8, "ms",
                            cmd);
  cmd.parse(argc, argv);
  const Result<Address> address = ParseAddress(listen.getValue());
  if (!IsOk(address)) return 2;
  auto loop = EventLoop::Create();
  CheckInvariant(IsOk(loop), "event loop");
  FakeRunner runner(*ValueOf(loop), name.getValue(), slots.getValue(),
                    std::chrono::milliseconds(mean.getValue()));
  auto server = HttpServer::Listen(
      *ValueOf(loop), ValueOf(address).ip, ValueOf(address).port,
      StandInLimits(),
      [&](HttpExchange exchange) { runner.Handle(std::move(exchange)); });
  if (!IsOk(server)) {
    std::cerr << ErrorOf(server).message << "\n";
    return 1;
  }
  std::cout << "port " << ValueOf(server)->port() << std::endl;
  const Timer stop =
      ValueOf(loop)->OnSignal(SIGTERM, [&] { ValueOf(loop)->Stop(); });
  ValueOf(loop)->Run();
  return 0;
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
