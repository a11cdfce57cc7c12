// beamhillctl: the command-line client for operators.
//
// Exit codes: 0 success; 1 rejected or failed; 2 usage error; 3 no answer;
// 4 version conflict, since the settings changed after they were read (repeat
// the command).
#include <tclap/CmdLine.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <thread>

#include "beamhill/config/config.h"
#include "beamhill/ctl/http_call.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;
using Args = std::vector<std::string>;

constexpr int kExitSuccess = 0;
constexpr int kExitRejected = 1;
constexpr int kExitUsage = 2;
constexpr int kExitNoAnswer = 3;
constexpr int kExitVersionConflict = 4;
constexpr Duration kCallTimeout = std::chrono::seconds(15);

// Runs one command against the operators' HTTP API of an entry.
class Ctl {
 public:
  Ctl(Address server, std::string token, std::string operator_name,
      bool print_json)
      : server_(std::move(server)),
        token_(std::move(token)),
        operator_name_(std::move(operator_name)),
        print_json_(print_json) {}

  // Returns the exit code. `watch` repeats the command every second until the
  // job ends, or forever; `key` is the idempotency key of a submission.
  int Run(const Args& args, bool watch, const std::string& key) {
    const std::string& command = args.front();
    if (command == "submit" && args.size() == 2) return Submit(args[1], key);
    if (command == "jobs" && args.size() == 1) return Jobs();
    if (command == "job" && args.size() == 2) return Job(args[1], watch);
    if (command == "cancel" && args.size() == 2) return Cancel(args[1]);
    if (command == "settings" && args.size() >= 2) return Settings(args);
    if (command == "drain" && args.size() == 1) return Drain();
    if (command == "state" && args.size() == 1) return State();
    if (command == "status" && args.size() == 1) return Status(watch);
    std::cerr << "unknown command or wrong number of arguments; see --help\n";
    return kExitUsage;
  }

 private:
  // Returns the response if its status is below 300. Otherwise prints the
  // error, sets exit_code_ and returns nothing.
  std::optional<HttpResponse> Call(const std::string& method,
                                   const std::string& target,
                                   const std::string& body = "",
                                   HttpHeaders headers = {}) {
    headers.emplace_back("Authorization", "Bearer " + token_);
    headers.emplace_back("Beamhill-Operator", operator_name_);
    const Result<HttpResponse> result =
        CallAndWait(server_, {method, target, headers, body}, kCallTimeout);
    if (!IsOk(result)) {
      std::cerr << ErrorOf(result).message << "; " << ErrorOf(result).action
                << "\n";
      exit_code_ = kExitNoAnswer;
      return std::nullopt;
    }
    const HttpResponse& response = ValueOf(result);
    if (response.status < 300) return response;
    const Json error = Json::parse(response.body, nullptr, false);
    if (error.is_object()) {
      std::cerr << error.value("message", "") << "; "
                << error.value("action", "") << "\n";
    } else {
      std::cerr << "HTTP status " << response.status << "\n";
    }
    exit_code_ = response.status == 412 ? kExitVersionConflict : kExitRejected;
    return std::nullopt;
  }

  std::optional<Json> CallJson(const std::string& method,
                               const std::string& target,
                               const std::string& body = "",
                               const HttpHeaders& headers = {}) {
    const auto response = Call(method, target, body, headers);
    if (!response) return std::nullopt;
    return Json::parse(response->body, nullptr, false);
  }

  // Prints `json` if --output is json, otherwise calls `print_table`.
  int PrintResult(const Json& json,
                  const std::function<void()>& print_table) const {
    if (print_json_) {
      std::cout << json.dump(2) << "\n";
    } else {
      print_table();
    }
    return kExitSuccess;
  }

  // Reads a file, or standard input if `path` is "-".
  static std::string ReadFile(const std::string& path) {
    std::ostringstream text;
    if (path == "-") {
      text << std::cin.rdbuf();
    } else {
      text << std::ifstream(path).rdbuf();
    }
    return text.str();
  }

  int Submit(const std::string& file, std::string key) {
    if (key.empty()) {
      std::random_device device;
      key = std::to_string(device()) + "-" + std::to_string(device());
      std::cerr << "idempotency key " << key
                << " (pass it with --key to retry without a second job)\n";
    }
    const auto json = CallJson("POST", "/v1/jobs", ReadFile(file),
                               {{"Idempotency-Key", key}});
    if (!json) return exit_code_;
    return PrintResult(*json, [&] {
      std::cout << json->value("job", "")
                << (json->value("repeated", false) ? "  (already submitted)"
                                                   : "")
                << "\n";
    });
  }

  int Jobs() {
    const auto json = CallJson("GET", "/v1/jobs");
    if (!json) return exit_code_;
    return PrintResult(*json, [&] {
      std::cout << std::left << std::setw(40) << "JOB" << std::setw(20)
                << "TEAM" << std::setw(20) << "CLASS" << std::setw(9)
                << "URGENCY" << std::right << std::setw(9) << "TASKS"
                << "\n";
      for (const Json& job : json->at("jobs")) {
        std::cout << std::left << std::setw(40) << job.value("job", "")
                  << std::setw(20) << job.value("team", "") << std::setw(20)
                  << job.value("class", "") << std::setw(9)
                  << job.value("urgency", "") << std::right << std::setw(9)
                  << job.value("tasks", 0) << "\n";
      }
    });
  }

  int Job(const std::string& id, bool watch) {
    while (true) {
      const auto json = CallJson("GET", "/v1/jobs/" + id);
      if (!json) return exit_code_;
      PrintResult(*json, [&] {
        std::cout << json->value("state", "") << "  " << json->value("done", 0)
                  << "/" << json->value("tasks", 0) << " done, "
                  << json->value("failed", 0) << " failed, "
                  << json->value("evictions", 0) << " evictions" << std::endl;
      });
      const std::string state = json->value("state", "");
      if (!watch || state.rfind("finished", 0) == 0 || state == "cancelled") {
        return kExitSuccess;
      }
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
  }

  int Cancel(const std::string& id) {
    const auto json = CallJson("DELETE", "/v1/jobs/" + id);
    if (!json) return exit_code_;
    return PrintResult(*json, [] { std::cout << "cancelled\n"; });
  }

  int Settings(const Args& args) {
    const std::string& verb = args[1];
    if (verb == "history") return History();
    if (verb == "get" && args.size() == 3) return GetSettings(args[2]);
    if (verb == "diff" && args.size() == 4) return Diff(args[2], args[3]);
    if (verb == "set" && args.size() >= 4) return SetSettings(args);
    std::cerr << "settings get NODE | set NODE KEY=VALUE... | diff NODE NODE "
                 "| history\n";
    return kExitUsage;
  }

  int GetSettings(const std::string& node) {
    const auto json = CallJson("GET", "/v1/settings/" + node + "?effective=1");
    if (!json) return exit_code_;
    return PrintResult(*json, [&] {
      std::cout << "revision " << json->value("revision", 0) << "\n";
      for (const auto& [key, setting] : json->at("effective").items()) {
        std::cout << std::left << std::setw(28) << key << std::setw(12)
                  << setting.value("value", "") << "from "
                  << setting.value("from", "") << "\n";
      }
    });
  }

  // Changes the given keys of a node and fails with kExitVersionConflict if the
  // node changes between the read and the write. "KEY=" removes a key.
  int SetSettings(const Args& args) {
    const std::string target = "/v1/settings/" + args[2];
    const auto current = Call("GET", target);
    if (!current) return exit_code_;
    Json values = Json::parse(current->body, nullptr, false)
                      .value("values", Json::object());
    for (size_t i = 3; i < args.size(); ++i) {
      const size_t equals = args[i].find('=');
      if (equals == std::string::npos) {
        std::cerr << "expected KEY=VALUE: " << args[i] << "\n";
        return kExitUsage;
      }
      const std::string value = args[i].substr(equals + 1);
      if (value.empty()) {
        values.erase(args[i].substr(0, equals));
      } else {
        values[args[i].substr(0, equals)] = value;
      }
    }
    const std::string etag =
        FindHeader(current->headers, "ETag").value_or("\"0\"");
    const auto json =
        CallJson("PUT", target, values.dump(), {{"If-Match", etag}});
    if (!json) return exit_code_;
    return PrintResult(*json, [&] {
      std::cout << "accepted as revision " << json->value("revision", 0)
                << "\n";
    });
  }

  // Prints the keys whose effective values differ between two nodes.
  int Diff(const std::string& left, const std::string& right) {
    const auto a = CallJson("GET", "/v1/settings/" + left + "?effective=1");
    if (!a) return exit_code_;
    const auto b = CallJson("GET", "/v1/settings/" + right + "?effective=1");
    if (!b) return exit_code_;
    Json differences = Json::object();
    for (const auto& [key, setting] : a->at("effective").items()) {
      const std::string here = setting.value("value", "");
      const std::string there = b->at("effective").at(key).value("value", "");
      if (here != there) differences[key] = {here, there};
    }
    return PrintResult(differences, [&] {
      for (const auto& [key, pair] : differences.items()) {
        std::cout << std::left << std::setw(28) << key << std::setw(12)
                  << pair[0].get<std::string>() << pair[1].get<std::string>()
                  << "\n";
      }
    });
  }

  int History() {
    const auto json = CallJson("GET", "/v1/settings-history");
    if (!json) return exit_code_;
    return PrintResult(*json, [&] {
      for (const Json& change : json->at("changes")) {
        std::cout << std::left << std::setw(8) << change.value("revision", 0)
                  << std::setw(28) << change.value("node", "") << std::setw(16)
                  << change.value("changed_by", "")
                  << change.value("values", Json::object()).dump() << "\n";
      }
    });
  }

  int Drain() {
    const auto response = Call("POST", "/v1/drain");
    if (!response) return exit_code_;
    std::cout << "draining; the process exits when its work in progress has "
                 "ended\n";
    return kExitSuccess;
  }

  int State() {
    const auto response = Call("GET", "/v1/state");
    if (!response) return exit_code_;
    std::cout << response->body;
    return kExitSuccess;
  }

  int Status(bool watch) {
    while (true) {
      const auto state = CallJson("GET", "/v1/state");
      if (!state) return exit_code_;
      if (watch && !print_json_) std::cout << "\033[H\033[2J";
      PrintResult(*state, [&] { PrintStatus(*state); });
      if (!watch) return kExitSuccess;
      std::this_thread::sleep_for(std::chrono::seconds(1));
    }
  }

  static void PrintStatus(const Json& state) {
    std::cout << state.value("name", "") << "  agents "
              << state.value("agents", 0) << "  settings revision "
              << state.at("settings").value("revision", 0)
              << "  requests in progress "
              << state.value("requests_in_progress", 0) << "\n\n";
    std::cout << std::left << std::setw(20) << "CELL" << std::setw(8) << "OWNED"
              << std::setw(8) << "AGENTS" << std::setw(8) << "EPOCH"
              << std::setw(10) << "STARTS" << std::setw(10) << "DONE"
              << "EVICTED\n";
    for (const Json& cell : state.at("cells")) {
      std::cout << std::setw(20) << cell.value("cell", "") << std::setw(8)
                << (cell.value("owned", false) ? "yes" : "no") << std::setw(8)
                << cell.value("agents", 0) << std::setw(8)
                << cell.value("epoch", 0) << std::setw(10)
                << cell.value("starts", 0) << std::setw(10)
                << cell.value("done", 0) << cell.value("evicted", 0) << "\n";
    }
    std::cout << "\n"
              << std::setw(12) << "RUNNER" << std::setw(14) << "SERVICE"
              << std::setw(10) << "BUSY" << std::setw(12) << "LATENCY"
              << "STATE\n";
    for (const Json& runner : state.at("runners")) {
      const std::string busy =
          std::to_string(runner.value("expected_in_progress", 0)) + "/" +
          std::to_string(runner.value("limit", 0));
      std::ostringstream latency;
      latency << std::fixed << std::setprecision(1)
              << runner.value("latency_ms", 0.0) << " ms";
      std::cout << std::setw(12) << runner.value("vm", "") << std::setw(14)
                << runner.value("service", "") << std::setw(10) << busy
                << std::setw(12) << latency.str()
                << (runner.value("leaving", false)   ? "leaving"
                    : runner.value("ejected", false) ? "ejected"
                                                     : "ok")
                << "\n";
    }
  }

  Address server_;
  std::string token_;
  std::string operator_name_;
  bool print_json_;
  int exit_code_ = kExitRejected;
};

std::string FromEnvironment(const char* name, const char* default_value) {
  const char* value = std::getenv(name);
  return value == nullptr ? default_value : value;
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd(
      "Command-line client for operators of beamhill. Commands: submit FILE | "
      "jobs | job ID | "
      "cancel ID | settings get NODE | settings set NODE KEY=VALUE... | "
      "settings diff NODE NODE | settings history | drain | state | status. "
      "Exit codes: 0 success, 1 rejected or failed, 2 usage error, 3 no "
      "answer, "
      "4 version conflict.");
  TCLAP::ValueArg<std::string> server(
      "s", "server", "address of an entry's operators' API (BEAMHILL_SERVER)",
      false, FromEnvironment("BEAMHILL_SERVER", "127.0.0.1:17001"), "ip:port",
      cmd);
  TCLAP::ValueArg<std::string> token(
      "t", "token", "token of the operators' API (BEAMHILL_TOKEN)", false,
      FromEnvironment("BEAMHILL_TOKEN", ""), "text", cmd);
  TCLAP::ValueArg<std::string> by(
      "", "by", "operator name that is recorded with a change", false,
      FromEnvironment("USER", "operator"), "name", cmd);
  TCLAP::ValueArg<std::string> output("o", "output",
                                      "output format: table or json", false,
                                      "table", "form", cmd);
  TCLAP::ValueArg<std::string> key(
      "k", "key", "idempotency key of a submission", false, "", "text", cmd);
  TCLAP::SwitchArg watch("w", "watch", "repeat job or status every second",
                         cmd);
  TCLAP::UnlabeledMultiArg<std::string> command_args(
      "command", "command and its arguments", true, "command", cmd);
  cmd.parse(argc, argv);
  const Result<Address> address = ParseAddress(server.getValue());
  if (!IsOk(address)) {
    std::cerr << ErrorOf(address).message << "; " << ErrorOf(address).action
              << "\n";
    return kExitUsage;
  }
  Ctl ctl(ValueOf(address), token.getValue(), by.getValue(),
          output.getValue() == "json");
  return ctl.Run(command_args.getValue(), watch.getValue(), key.getValue());
}

}  // namespace
}  // namespace beamhill

int main(int argc, char** argv) { return beamhill::Main(argc, argv); }
