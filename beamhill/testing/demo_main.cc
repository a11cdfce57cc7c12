// beamhill-demo: sends a deployment's sample requests and jobs through its
// entries, changes a setting at the root of the settings tree, and prints the
// results. Checks the product's guarantees against the records of the fake
// platform and runners; exits with 1 if a check fails.
#include <tclap/CmdLine.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "beamhill/config/config.h"
#include "beamhill/ctl/http_call.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr Duration kCallTimeout = std::chrono::seconds(10);
constexpr int kVms = 11;

struct DemoOptions {
  std::string directory;
  uint16_t base_port = 0;
  std::string service;
  std::string setting;
  int requests = 0;
};

struct RequestTotals {
  std::map<std::string, int> outcomes;
  std::vector<Duration> latencies;
  int mismatched_answers = 0;
};

class Demo {
 public:
  explicit Demo(DemoOptions options) : options_(std::move(options)) {}

  int Run() {
    if (!WaitForCells()) return Fail("cells or agents not ready after 15 s");
    if (!SubmitJobs()) return Fail("no jobs, or an entry refused one");
    const RequestTotals totals = SendRequests();
    const double setting_seconds = ChangeSetting();
    if (setting_seconds < 0) return Fail("setting not effective after 20 s");
    const bool finished = WaitForJobs();
    return PrintReport(totals, setting_seconds, finished);
  }

 private:
  static int Fail(const std::string& text) {
    std::cerr << text << "\n";
    return 1;
  }

  Address LocalPort(int offset) const {
    return {"127.0.0.1", static_cast<uint16_t>(options_.base_port + offset)};
  }
  Address Callers(int entry) const { return LocalPort(entry * 10); }
  Address Operators(int entry) const { return LocalPort(entry * 10 + 1); }

  static std::optional<Json> Get(const Address& address,
                                 const std::string& target) {
    const Result<HttpResponse> response = CallAndWait(
        address, {"GET", target, {{"Authorization", "Bearer demo-token"}}, ""},
        kCallTimeout);
    if (!IsOk(response) || ValueOf(response).status != 200) return std::nullopt;
    return Json::parse(ValueOf(response).body, nullptr, false);
  }

  template <typename Condition>
  static bool WaitFor(Duration limit, Condition condition) {
    const TimePoint end = BootClock::now() + limit;
    while (BootClock::now() < end) {
      if (condition()) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  bool WaitForCells() {
    return WaitFor(std::chrono::seconds(15), [this] {
      int agents = 0;
      std::map<std::string, bool> owned;
      for (const int entry : {0, 1}) {
        const auto state = Get(Operators(entry), "/v1/state");
        if (!state) return false;
        agents += state->value("agents", 0);
        for (const Json& cell : state->at("cells")) {
          owned[cell.value("cell", "")] |= cell.value("owned", false);
        }
      }
      return agents == 2 * kVms && owned.size() == 3 &&
             std::all_of(owned.begin(), owned.end(),
                         [](const auto& cell) { return cell.second; });
    });
  }

  bool SubmitJobs() {
    for (const char* name :
         {"district-revaluation", "boundary-watch", "urgent-appeal",
          "valentine-routes", "cooler-watch", "urgent-reroute"}) {
      std::ifstream file(options_.directory + "/jobs/" + name + ".json");
      if (!file) continue;
      std::ostringstream body;
      body << file.rdbuf();
      // Submits each job through both entries under the same key.
      for (const int entry : {0, 1}) {
        const auto response = CallAndWait(
            Callers(entry),
            {"POST", "/v1/jobs", {{"Idempotency-Key", name}}, body.str()},
            kCallTimeout);
        if (!IsOk(response) || ValueOf(response).status > 201) return false;
        const Json json = Json::parse(ValueOf(response).body, nullptr, false);
        jobs_[json.value("job", "")] = Json::parse(body.str());
        job_names_[json.value("job", "")] = name;
      }
    }
    return !jobs_.empty();
  }

  std::vector<Json> SampleRequests() const {
    std::vector<Json> samples;
    std::ifstream file(options_.directory + "/requests.jsonl");
    for (std::string line; std::getline(file, line);) {
      samples.push_back(Json::parse(line));
    }
    return samples;
  }

  // Sends at a steady rate through both entries in turn. Sends a request with a
  // key through both entries at once.
  RequestTotals SendRequests() {
    RequestTotals totals;
    const std::vector<Json> samples = SampleRequests();
    auto loop = EventLoop::Create();
    HttpClient first(*ValueOf(loop), Callers(0), 256);
    HttpClient second(*ValueOf(loop), Callers(1), 256);
    int sent = 0;
    int in_flight = 0;
    const auto send = [&](HttpClient& client, const HttpCall& call,
                          const std::string& tag) {
      ++in_flight;
      const TimePoint start = BootClock::now();
      client.Fetch(call, kCallTimeout, [&, start, tag](const HttpOutcome& out) {
        --in_flight;
        const std::string outcome =
            FindHeader(out.response.headers, "Beamhill-Outcome")
                .value_or("none");
        ++totals.outcomes[outcome];
        if (outcome == "ran") {
          totals.latencies.push_back(BootClock::now() - start);
          const Json body = Json::parse(out.response.body, nullptr, false);
          const bool matches =
              body.is_object() && body.value("request", "") == tag;
          const bool is_repeat =
              FindHeader(out.response.headers, "Beamhill-Repeated").has_value();
          if (!matches && !is_repeat) ++totals.mismatched_answers;
        }
        if (in_flight == 0 && sent >= options_.requests) ValueOf(loop)->Stop();
      });
    };
    const Timer ticker =
        ValueOf(loop)->Every(std::chrono::milliseconds(4), [&] {
          if (sent >= options_.requests) return;
          const Json& sample =
              samples[static_cast<size_t>(sent) % samples.size()];
          const std::string tag = "r" + std::to_string(sent);
          HttpCall call;
          call.method = sample.at("method");
          call.target = "/services/" + options_.service +
                        sample.at("path").get<std::string>();
          call.headers = {{"X-Request", tag}};
          if (sample.contains("body")) call.body = sample.at("body").dump();
          HttpClient& one = sent % 2 == 0 ? first : second;
          HttpClient& other = sent % 2 == 0 ? second : first;
          ++sent;
          if (sample.contains("key")) {
            call.headers.emplace_back(
                "Idempotency-Key",
                sample.at("key").get<std::string>() + "-" + tag);
            send(other, call, tag);
          }
          send(one, call, tag);
        });
    ValueOf(loop)->Run();
    return totals;
  }

  double ChangeSetting() {
    const size_t equals = options_.setting.find('=');
    const std::string key = options_.setting.substr(0, equals);
    const std::string value = options_.setting.substr(equals + 1);
    const Json body = {{key, value}};
    const TimePoint start = BootClock::now();
    const auto response = CallAndWait(Operators(0),
                                      {"PUT",
                                       "/v1/settings/estate",
                                       {{"Authorization", "Bearer demo-token"},
                                        {"If-Match", "\"0\""},
                                        {"Beamhill-Operator", "demo"}},
                                       body.dump()},
                                      kCallTimeout);
    if (!IsOk(response) || ValueOf(response).status != 200) return -1;
    const uint64_t revision =
        Json::parse(ValueOf(response).body).at("revision");
    const bool everywhere = WaitFor(std::chrono::seconds(20), [&] {
      for (int vm = 1; vm <= kVms; ++vm) {
        const auto state = Get(LocalPort(20 + vm), "/v1/state");
        if (!state) return false;
        const Json& settings = state->at("settings");
        if (settings.at("revision") < revision) return false;
        if (settings.at("values").value(key, "") != value) return false;
      }
      return true;
    });
    if (!everywhere) return -1;
    return ToMillis(BootClock::now() - start) / 1000;
  }

  bool WaitForJobs() {
    return WaitFor(std::chrono::seconds(40), [this] {
      bool all = true;
      for (const auto& [id, spec] : jobs_) {
        const auto status = Get(Callers(0), "/v1/jobs/" + id);
        if (!status) return false;
        states_[id] = *status;
        const bool long_running = spec.value("kind", "") == "service";
        all = all && (long_running || status->value("state", "") == "finished");
      }
      return all;
    });
  }

  static std::string QuantileText(std::vector<Duration> latencies,
                                  double quantile) {
    if (latencies.empty()) return "-";
    std::sort(latencies.begin(), latencies.end());
    const auto at = static_cast<size_t>(
        quantile * static_cast<double>(latencies.size() - 1));
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << ToMillis(latencies[at])
         << " ms";
    return text.str();
  }

  static void PrintLine(const std::string& what, const std::string& value) {
    std::cout << "  " << std::left << std::setw(44) << what << value << "\n";
  }

  int PrintReport(const RequestTotals& totals, double setting_seconds,
                  bool finished) {
    const auto count = [&](const char* outcome) {
      const auto it = totals.outcomes.find(outcome);
      return std::to_string(it == totals.outcomes.end() ? 0 : it->second);
    };
    std::cout << "\nRequests to " << options_.service << "\n";
    PrintLine(
        "ran / not-run / unknown",
        count("ran") + " / " + count("not-run") + " / " + count("unknown"));
    PrintLine("latency of requests that ran, p50, p99",
              QuantileText(totals.latencies, 0.5) + ", " +
                  QuantileText(totals.latencies, 0.99));
    std::cout << "Jobs\n";
    for (const auto& [id, state] : states_) {
      PrintLine(job_names_[id] + " (" + state.value("urgency", "") + ")",
                state.value("state", "") + ", " +
                    std::to_string(state.value("done", 0)) + "/" +
                    std::to_string(state.value("tasks", 0)) + " done, " +
                    std::to_string(state.value("evictions", 0)) + " evictions");
    }
    std::cout << "Settings\n";
    std::ostringstream seconds;
    seconds << std::fixed << std::setprecision(2) << setting_seconds << " s";
    PrintLine("estate: " + options_.setting + ", effective everywhere after",
              seconds.str());
    return PrintChecks(totals, finished);
  }

  int PrintChecks(const RequestTotals& totals, bool finished) {
    const auto platform = Get(LocalPort(90), "/record");
    uint64_t over_slots = 0;
    uint64_t repeated_keys = 0;
    for (int vm = 1; vm <= kVms; ++vm) {
      const auto runner = Get(LocalPort(40 + vm), "/record");
      if (!runner) return Fail("a fake runner does not answer");
      over_slots += runner->value("over_slots", 0);
      repeated_keys += runner->value("repeated_keys", 0);
    }
    if (!platform) return Fail("the fake platform does not answer");
    std::cout << "Records of the fake platform and runners\n";
    PrintLine("task starts, table row writes",
              std::to_string(platform->value("started", 0)) + ", " +
                  std::to_string(platform->at("table").value("row_writes", 0)));
    PrintLine("tasks run twice or resumed incorrectly",
              std::to_string(platform->at("violations").size()));
    PrintLine("VMs overcommitted",
              std::to_string(platform->at("overcommitted").size()));
    PrintLine("requests over a runner's slots", std::to_string(over_slots));
    PrintLine("keys that ran twice", std::to_string(repeated_keys));
    PrintLine("answers that belong to another request",
              std::to_string(totals.mismatched_answers));
    const bool ok = finished && platform->at("violations").empty() &&
                    platform->at("overcommitted").empty() && over_slots == 0 &&
                    repeated_keys == 0 && totals.mismatched_answers == 0;
    for (const Json& violation : platform->at("violations")) {
      std::cout << "  " << violation << "\n";
    }
    if (!finished) std::cout << "  not all jobs finished within 40 s\n";
    std::cout << (ok ? "All checks passed.\n" : "A CHECK FAILED.\n");
    return ok ? 0 : 1;
  }

  DemoOptions options_;
  std::map<std::string, Json> jobs_;
  std::map<std::string, std::string> job_names_;
  std::map<std::string, Json> states_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "Sends sample work to a deployment started by tools/demo.");
  TCLAP::ValueArg<std::string> directory(
      "", "examples", "folder of the deployment", true, "", "folder", cmd);
  TCLAP::ValueArg<int> base("", "base-port", "first port", true, 0, "port",
                            cmd);
  TCLAP::ValueArg<std::string> service("", "service", "service of the runners",
                                       true, "", "name", cmd);
  TCLAP::ValueArg<std::string> setting("", "setting", "setting to change", true,
                                       "", "key=value", cmd);
  TCLAP::ValueArg<int> requests("", "requests", "number of requests to send",
                                false, 1000, "count", cmd);
  cmd.parse(argc, argv);
  Demo demo({directory.getValue(), static_cast<uint16_t>(base.getValue()),
             service.getValue(), setting.getValue(), requests.getValue()});
  return demo.Run();
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
