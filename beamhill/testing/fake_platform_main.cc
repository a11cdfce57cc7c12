// beamhill-fake-platform: a fake platform, for tests and the demo.
//   beamhill-fake-platform --listen 127.0.0.1:0 --vms 3
//
// Serves the table, the list of VMs and all workers over HTTP, and enforces the
// table's rate limits. POST /faults injects faults; GET /record returns what
// the workers recorded.
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>

#include "beamhill/config/config.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_server.h"
#include "beamhill/testing/stand_in_limits.h"
#include "beamhill/testing/table_model.h"
#include "beamhill/testing/worker_model.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kReadsPerSecond = 2000;
constexpr uint64_t kWritesPerSecond = 100;
constexpr Duration kAdvancePeriod = std::chrono::milliseconds(20);

struct Faults {
  bool table_down = false;
  Duration table_delay{};
  int lose_answers = 0;  // Number of commits to apply without an answer.
  // Time until the VM list shows a change.
  Duration list_lag = std::chrono::seconds(1);
};

struct FakeVm {
  std::unique_ptr<WorkerModel> worker;
  bool dead = false;
  bool leaving = false;
  TimePoint changed_at{};
};

class FakePlatform {
 public:
  FakePlatform(EventLoop& loop, double run_scale)
      : loop_(loop),
        run_scale_(run_scale),
        table_(kReadsPerSecond, kWritesPerSecond) {
    advance_timer_ = loop_.Every(kAdvancePeriod, [this] {
      for (auto& [name, vm] : vms_) vm.worker->Advance(BootClock::now());
    });
  }

  void AddVm(const std::string& name, const Resources& capacity) {
    FakeVm vm;
    vm.worker = std::make_unique<WorkerModel>(name, capacity, &record_);
    vm.worker->run_time = [this](const TaskId&, const JobSpec& job) {
      return std::chrono::duration_cast<Duration>(job.declared_run *
                                                  run_scale_);
    };
    vms_[name] = std::move(vm);
  }

  void Handle(HttpExchange exchange) {
    const std::string path = exchange.request().path;
    const Json body = Json::parse(exchange.request().body, nullptr,
                                  /*allow_exceptions=*/false);
    try {
      if (path.rfind("/table/", 0) == 0) {
        HandleTable(std::move(exchange), path, body);
      } else if (path.rfind("/workers/", 0) == 0) {
        HandleWorker(exchange, path, body);
      } else if (path == "/vms") {
        Reply(exchange, 200, ListVms());
      } else if (path == "/faults") {
        SetFaults(body);
        Reply(exchange, 200, Json::object());
      } else if (path == "/record") {
        Reply(exchange, 200, Record());
      } else {
        Reply(exchange, 404, Json::object());
      }
    } catch (const Json::exception& e) {
      Reply(exchange, 400, {{"error", e.what()}});
    }
  }

 private:
  static void Reply(HttpExchange& exchange, int status, const Json& body) {
    exchange.Reply(
        {status, {{"Content-Type", "application/json"}}, body.dump()});
  }

  void HandleTable(HttpExchange exchange, const std::string& path,
                   const Json& body) {
    if (faults_.table_down) {
      unanswered_.push_back(std::move(exchange));  // Never answered.
      return;
    }
    if (faults_.table_delay > Duration(0)) {
      auto shared = std::make_shared<HttpExchange>(std::move(exchange));
      const uint64_t id = next_delayed_++;
      delayed_[id] = loop_.After(faults_.table_delay, [=] {
        AnswerTable(*shared, path, body);
        delayed_.erase(id);
      });
      return;
    }
    AnswerTable(exchange, path, body);
  }

  void AnswerTable(HttpExchange& exchange, const std::string& path,
                   const Json& body) {
    const TimePoint now = BootClock::now();
    if (path == "/table/commit") {
      Commit(exchange, body, now);
      return;
    }
    if (!table_.AdmitRead(now)) return Reply(exchange, 429, Json::object());
    const std::vector<Row> rows =
        path == "/table/read"
            ? table_.Read(body.at("keys").get<std::vector<std::string>>())
            : table_.Scan(body.at("prefix").get<std::string>());
    Json list = Json::array();
    for (const Row& row : rows) {
      list.push_back(
          {{"key", row.key}, {"value", row.value}, {"version", row.version}});
    }
    Reply(exchange, 200, {{"rows", list}});
  }

  void Commit(HttpExchange& exchange, const Json& body, TimePoint now) {
    Transaction transaction;
    for (const Json& check : body.at("checks")) {
      transaction.checks.push_back({check.at("key"), check.at("version")});
    }
    for (const Json& write : body.at("writes")) {
      RowWrite row{write.at("key"), write.at("version"), std::nullopt};
      if (!write.at("value").is_null()) {
        row.value = write.at("value").get<std::string>();
      }
      transaction.writes.push_back(std::move(row));
    }
    if (!table_.AdmitWrites(transaction.writes.size(), now)) {
      return Reply(exchange, 429, Json::object());
    }
    const CommitAnswer answer = table_.Commit(transaction);
    if (faults_.lose_answers > 0) {
      --faults_.lose_answers;
      unanswered_.push_back(std::move(exchange));
      return;
    }
    const bool ok = answer.result == CommitResult::kCommitted;
    Reply(exchange, ok ? 200 : 409, {{"versions", answer.versions}});
  }

  Json ListVms() const {
    Json list = Json::array();
    const TimePoint shown_until = BootClock::now() - faults_.list_lag;
    for (const auto& [name, vm] : vms_) {
      const bool change_visible = vm.changed_at <= shown_until;
      if (vm.dead && change_visible) continue;
      list.push_back(
          {{"vm", name},
           {"state", vm.leaving && change_visible ? "leaving" : "live"}});
    }
    return {{"vms", list}};
  }

  static WorkerCommand ParseStart(const Json& body) {
    WorkerCommand command;
    command.kind = WorkerCommandKind::kStart;
    command.task = {body.at("job"), body.at("index")};
    command.attempt = {body.at("attempt")};
    command.checkpoint = body.at("checkpoint");
    command.job.id = command.task.job;
    command.job.work_class = body.at("class");
    command.job.kind = body.at("latency_critical").get<bool>()
                           ? WorkKind::kLatencyCritical
                           : WorkKind::kBatch;
    const Json& each = body.at("each");
    command.job.each = {each.at("cpu_millis"), each.at("memory_mib"),
                        each.at("accelerators")};
    command.job.declared_run =
        Duration(body.at("declared_run_us").get<int64_t>());
    return command;
  }

  void HandleWorker(HttpExchange& exchange, const std::string& path,
                    const Json& body) {
    const size_t name_at = std::string("/workers/").size();
    const size_t verb_at = path.find('/', name_at);
    const auto it = vms_.find(path.substr(name_at, verb_at - name_at));
    if (it == vms_.end() || verb_at == std::string::npos) {
      return Reply(exchange, 404, Json::object());
    }
    if (it->second.dead) {
      unanswered_.push_back(std::move(exchange));
      return;
    }
    RunWorkerCall(exchange, *it->second.worker, path.substr(verb_at), body);
  }

  void RunWorkerCall(HttpExchange& exchange, WorkerModel& worker,
                     const std::string& verb, const Json& body) {
    const TimePoint now = BootClock::now();
    const uint64_t agent = body.at("agent");
    worker.Advance(now);
    if (verb == "/attach" || verb == "/list") {
      if (verb == "/attach") worker.Attach(agent);
      if (!worker.IsAttached(agent)) {
        return Reply(exchange, 409, {{"reason", "not the attached agent"}});
      }
      return Reply(exchange, 200, ListTasks(worker, now));
    }
    if (verb == "/start") {
      std::string reason;
      const WorkerStartAnswer answer = worker.Start(
          agent, ParseStart(body),
          TimePoint(Duration(body.at("lease_end_us").get<int64_t>())), now,
          &reason);
      const bool started = answer == WorkerStartAnswer::kStarted;
      return Reply(exchange, started ? 200 : 409, {{"reason", reason}});
    }
    if (verb == "/renew") {
      worker.Renew(agent,
                   TimePoint(Duration(body.at("lease_end_us").get<int64_t>())),
                   now);
    } else if (verb == "/stop") {
      worker.Stop(agent, {body.at("job"), body.at("index")},
                  {body.at("attempt")}, body.at("checkpoint"), now);
    } else if (verb == "/throttle") {
      worker.Throttle(agent, body.at("percent"), now);
    } else if (verb == "/forget") {
      worker.Forget(agent, {body.at("job"), body.at("index")},
                    {body.at("attempt")});
    } else {
      return Reply(exchange, 404, Json::object());
    }
    Reply(exchange, 200, Json::object());
  }

  static Json ListTasks(const WorkerModel& worker, TimePoint now) {
    Json tasks = Json::array();
    for (const WorkerTask& task : worker.List()) {
      const char* state = "running";
      if (task.state == WorkerTaskState::kDone) state = "done";
      if (task.state == WorkerTaskState::kFailed) state = "failed";
      if (task.state == WorkerTaskState::kEvicted) state = "evicted";
      tasks.push_back({{"job", task.task.job},
                       {"index", task.task.index},
                       {"attempt", task.attempt.value},
                       {"state", state},
                       {"granted",
                        {{"cpu_millis", task.granted.cpu_millis},
                         {"memory_mib", task.granted.memory_mib},
                         {"accelerators", task.granted.accelerators}}},
                       {"checkpoint", task.checkpoint},
                       {"reason", task.reason}});
    }
    return {{"now_us", now.time_since_epoch().count()}, {"tasks", tasks}};
  }

  void SetFaults(const Json& body) {
    const TimePoint now = BootClock::now();
    for (const auto& [key, value] : body.items()) {
      if (key == "table_down") {
        faults_.table_down = value;
        if (!faults_.table_down) unanswered_.clear();
      } else if (key == "table_delay_ms") {
        faults_.table_delay = std::chrono::milliseconds(value.get<int>());
      } else if (key == "lose_answers") {
        faults_.lose_answers = value;
      } else if (key == "list_lag_ms") {
        faults_.list_lag = std::chrono::milliseconds(value.get<int>());
      } else if (key == "kill_vm") {
        FakeVm& vm = vms_.at(value.get<std::string>());
        vm.worker->Kill(now);
        record_.AddUnreachable(value.get<std::string>(), now, TimePoint::max());
        vm.dead = true;
        vm.changed_at = now;
      } else if (key == "out_of_reach") {
        record_.AddUnreachable(value.get<std::string>(), now, TimePoint::max());
      } else if (key == "leave_vm") {
        vms_.at(value.get<std::string>()).leaving = true;
        vms_.at(value.get<std::string>()).changed_at = now;
      } else if (key == "fails_every_task") {
        vms_.at(value.get<std::string>()).worker->set_fails_every_task(true);
      }
    }
  }

  Json Record() const {
    std::map<WorkEventKind, uint64_t> kinds;
    for (const WorkEvent& event : record_.events()) ++kinds[event.kind];
    Json overcommitted = Json::array();
    Json throttled = Json::array();
    uint64_t running = 0;
    for (const auto& [name, vm] : vms_) {
      running += vm.worker->running();
      if (vm.worker->overcommitted()) overcommitted.push_back(name);
      if (vm.worker->percent() < 100) throttled.push_back(name);
    }
    return {{"started", kinds[WorkEventKind::kStarted]},
            {"done", kinds[WorkEventKind::kDone]},
            {"failed", kinds[WorkEventKind::kFailed]},
            {"checkpointed", kinds[WorkEventKind::kCheckpointed]},
            {"stopped", kinds[WorkEventKind::kStopped]},
            {"lost", kinds[WorkEventKind::kLost]},
            {"running", running},
            {"violations", record_.Violations()},
            {"overcommitted", overcommitted},
            {"throttled", throttled},
            {"table",
             {{"reads", table_.counts().reads},
              {"row_writes", table_.counts().row_writes},
              {"conflicts", table_.counts().conflicts},
              {"refused", table_.counts().refused}}}};
  }

  EventLoop& loop_;
  double run_scale_;
  TableModel table_;
  Faults faults_;
  WorkRecord record_;
  std::map<std::string, FakeVm> vms_;
  // Requests left without an answer, kept so that their connections stay open.
  std::vector<HttpExchange> unanswered_;
  std::map<uint64_t, Timer> delayed_;
  uint64_t next_delayed_ = 0;
  Timer advance_timer_;
};

int Main(int argc, char** argv) {
  TCLAP::CmdLine cmd("Fake platform for tests and the demo.");
  TCLAP::ValueArg<std::string> listen("", "listen", "ip:port; port 0: any",
                                      false, "127.0.0.1:0", "address", cmd);
  TCLAP::ValueArg<int> vms("", "vms", "number of VMs, named vm-1 and up", false,
                           11, "count", cmd);
  TCLAP::ValueArg<int> cpu("", "cpu-millis", "CPU capacity of each VM", false,
                           32000, "thousandths", cmd);
  TCLAP::ValueArg<int> memory("", "memory-mib", "memory capacity of each VM",
                              false, 125000, "MiB", cmd);
  TCLAP::ValueArg<double> scale("", "run-scale",
                                "true run time over declared run time", false,
                                1.0, "factor", cmd);
  cmd.parse(argc, argv);
  const Result<Address> address = ParseAddress(listen.getValue());
  if (!IsOk(address)) {
    std::cerr << ErrorOf(address).message << "\n";
    return 2;
  }
  auto loop = EventLoop::Create();
  CheckInvariant(IsOk(loop), "event loop");
  FakePlatform platform(*ValueOf(loop), scale.getValue());
  for (int i = 1; i <= vms.getValue(); ++i) {
    platform.AddVm("vm-" + std::to_string(i),
                   {cpu.getValue(), memory.getValue(), 0});
  }
  HttpServerLimits limits = StandInLimits();
  limits.max_body_bytes = 64 * 1024 * 1024;
  auto server = HttpServer::Listen(
      *ValueOf(loop), ValueOf(address).ip, ValueOf(address).port, limits,
      [&](HttpExchange exchange) { platform.Handle(std::move(exchange)); });
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
