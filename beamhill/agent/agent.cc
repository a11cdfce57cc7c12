#include "beamhill/agent/agent.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/config/config.h"
#include "beamhill/config/process_resources.h"
#include "beamhill/log/log.h"
#include "beamhill/messages/codec.h"
#include "beamhill/overload/listener_metrics.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kWorkerListInterval = std::chrono::milliseconds(500);
constexpr Duration kReportInterval = std::chrono::seconds(1);
constexpr Duration kLatencySampleInterval = std::chrono::seconds(1);
constexpr Duration kMinRedialDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRedialDelay = std::chrono::seconds(5);
// Entries learn within a few milliseconds that this VM's runner is draining;
// until then they may still send requests to it.
constexpr Duration kDrainLinger = std::chrono::milliseconds(500);
// Of what the process has for clients; it serves nobody else.
constexpr double kOperatorsShare = 0.5;
// A request may take as long as its caller waits.
constexpr Duration kMaxDrainTime = std::chrono::hours(1);

}  // namespace

Result<std::unique_ptr<Agent>> Agent::Start(EventLoop& loop,
                                            const AgentSettings& settings) {
  std::unique_ptr<Agent> agent(new Agent(loop, settings));
  const Status status = agent->Listen();
  if (!IsOk(status)) return ErrorOf(status);
  return agent;
}

Agent::Agent(EventLoop& loop, const AgentSettings& settings)
    : loop_(loop),
      settings_(settings),
      random_(RandomSeed()),
      incarnation_(random_() >> 1),
      started_at_(BootClock::now()) {
  AgentCoreOptions options;
  options.vm = settings.vm;
  options.capacity = settings.capacity;
  options.incarnation = incarnation_;
  core_ = AgentCore::Create(options);
  if (settings.has_worker) {
    worker_ = std::make_unique<HttpWorker>(loop, settings.platform, settings.vm,
                                           incarnation_);
  } else {
    core_->OnWorkerList({}, TimePoint{});
  }
  if (settings.has_runner) {
    proxy_ = std::make_unique<RunnerProxy>(
        loop, settings.runner,
        [this](const std::string& entry, const Message& message) {
          Send(entry, message);
          // Report the first free slot of a full runner without delay.
          if (proxy_ && proxy_->has_freed_slot()) SendRunnerReport(true);
        });
  }
}

Agent::~Agent() = default;

Status Agent::Listen() {
  HttpServerLimits limits;
  limits.total = ShareOf(settings_.resources, kOperatorsShare);
  auto operators = HttpServer::Listen(
      loop_, settings_.operators.ip, settings_.operators.port, limits,
      [this](HttpExchange exchange) { HandleOperator(std::move(exchange)); });
  if (!IsOk(operators)) return ErrorOf(operators);
  operators_ = std::move(ValueOf(operators));
  AddListenerMetrics({{"operators", [this] { return operators_->counts(); }}},
                     metrics_);
  for (const Address& address : settings_.entries) {
    EntryLink& entry = entries_[ToString(address)];
    entry.name = ToString(address);
    entry.address = address;
    Dial(entry);
  }
  tick_timer_ = loop_.Every(kTickInterval, [this] { Tick(); });
  list_timer_ = loop_.Every(kWorkerListInterval, [this] { PollWorkerTasks(); });
  PollWorkerTasks();
  return Ok{};
}

void Agent::Dial(EntryLink& entry) {
  EntryLink* raw = &entry;
  LinkHooks hooks;
  hooks.on_open = [this, raw](Link&) { OnOpen(*raw); };
  hooks.on_message = [this, raw](Link&, std::string_view frame) {
    OnFrame(*raw, frame);
  };
  hooks.on_close = [this, raw](Link&) { OnClose(*raw); };
  entry.handshake_done = false;
  entry.link = Link::Dial(loop_, entry.address, std::move(hooks));
}

void Agent::OnOpen(EntryLink& entry) {
  Hello hello;
  hello.shared_key = settings_.shared_key;
  hello.vm = settings_.vm;
  hello.region = settings_.region;
  hello.hall = settings_.hall;
  hello.rack = settings_.rack;
  hello.cell = settings_.cell;
  hello.session = core_->OnLinkUp(entry.name);
  if (settings_.has_worker) hello.capacity = settings_.capacity;
  if (settings_.has_runner) {
    hello.service = settings_.runner.service;
    hello.slots = settings_.runner.slots;
    hello.connections = settings_.runner.connections;
    hello.uptime = BootClock::now() - started_at_;
  }
  Send(entry.name, hello);
}

void Agent::OnClose(EntryLink& entry) {
  if (entry.handshake_done) {
    Log(LogLevel::kInfo, "entry_lost", {{"entry", entry.name}});
  }
  entry.handshake_done = false;
  core_->OnLinkDown(entry.name);
  if (proxy_) proxy_->OnEntryDown(entry.name);
  ScheduleRedial(entry);
}

void Agent::ScheduleRedial(EntryLink& entry) {
  entry.redial_delay = entry.redial_delay == Duration(0)
                           ? kMinRedialDelay
                           : std::min(entry.redial_delay * 2, kMaxRedialDelay);
  const double share =
      std::uniform_real_distribution<double>(0.5, 1.0)(random_);
  const auto delay =
      std::chrono::duration_cast<Duration>(entry.redial_delay * share);
  EntryLink* raw = &entry;
  entry.redial = loop_.After(delay, [this, raw] { Dial(*raw); });
}

void Agent::OnFrame(EntryLink& entry, std::string_view frame) {
  ++messages_received_;
  bytes_received_ += frame.size();
  Result<Message> decoded = Decode(frame);
  if (!IsOk(decoded)) {
    Log(LogLevel::kWarning, "bad_message",
        {{"entry", entry.name}, {"error", ErrorOf(decoded).message}});
    entry.link->Close();
    return;
  }
  const Message& message = ValueOf(decoded);
  if (std::holds_alternative<Welcome>(message)) {
    entry.handshake_done = true;
    entry.redial_delay = Duration(0);
    Log(LogLevel::kInfo, "entry_linked", {{"entry", entry.name}});
    if (proxy_) Send(entry.name, proxy_->Report());
    // An entry that started while the table is unavailable gets the settings
    // in force from its agents.
    if (settings_revision_ > 0) Send(entry.name, CurrentSettings());
  } else if (const auto* request = std::get_if<RequestStart>(&message)) {
    if (proxy_) proxy_->OnRequest(entry.name, *request);
    SendRunnerReport(false);
  } else if (const auto* claim = std::get_if<KeyClaim>(&message)) {
    if (proxy_) proxy_->OnKeyClaim(entry.name, *claim);
  } else if (const auto* release = std::get_if<KeyRelease>(&message)) {
    if (proxy_) proxy_->OnKeyRelease(*release);
  } else if (const auto* cancel = std::get_if<RequestCancel>(&message)) {
    if (proxy_) proxy_->OnCancel(entry.name, *cancel);
  } else if (const auto* settings = std::get_if<ActiveSettings>(&message)) {
    OnSettings(*settings);
  } else {
    core_->OnMessage(entry.name, message, BootClock::now());
    Flush();
  }
}

void Agent::Send(const std::string& entry, const Message& message) {
  const auto it = entries_.find(entry);
  if (it == entries_.end() || !it->second.link) return;
  const std::string frame = Encode(message);
  ++messages_sent_;
  bytes_sent_ += frame.size();
  it->second.link->Send(frame);
}

void Agent::OnSettings(const ActiveSettings& settings) {
  if (settings.revision <= settings_revision_) return;
  settings_revision_ = settings.revision;
  active_values_.clear();
  for (const auto& [key, value] : settings.values) active_values_[key] = value;
  const auto level = ParseLogLevel(SettingString(active_values_, "log.level"));
  if (IsOk(level)) SetLogLevel(ValueOf(level));
  Log(LogLevel::kInfo, "settings_in_force", {{"revision", settings_revision_}});
}

ActiveSettings Agent::CurrentSettings() const {
  return {settings_revision_, {active_values_.begin(), active_values_.end()}};
}

void Agent::Flush() {
  if (worker_) {
    for (const WorkerCommand& command : core_->TakeCommands()) {
      worker_->Run(command, [this](const TaskId& task, Attempt attempt,
                                   WorkerStartAnswer answer,
                                   const std::string& reason) {
        core_->OnStartAnswer(task, attempt, answer, reason, BootClock::now());
      });
    }
  }
  for (const EntryMessage& message : core_->TakeMessages()) {
    Send(message.entry, message.message);
  }
  if (const auto reset = core_->TakeLinkToReset()) {
    entries_.at(*reset).link->Close();
  }
}

void Agent::PollWorkerTasks() {
  if (!worker_ || list_pending_) return;
  list_pending_ = true;
  worker_->List(
      [this](const Result<std::vector<WorkerTask>>& list, TimePoint sent_at) {
        list_pending_ = false;
        if (!IsOk(list)) return;
        core_->OnWorkerList(ValueOf(list), sent_at);
        Flush();
      });
}

void Agent::Tick() {
  core_->Tick(BootClock::now());
  Flush();
  SendRunnerReport(false);
  ExitIfIdle();
}

void Agent::ExitIfIdle() {
  if (!stop_) return;
  const TimePoint now = BootClock::now();
  const bool idle = !proxy_ || proxy_->idle();
  if (!idle) stop_->OnActivity(now);
  if (!stop_->MayExit(now, idle ? 0 : 1, /*work_released=*/true)) return;
  stop_.reset();
  if (on_drained_) on_drained_();
}

void Agent::SendRunnerReport(bool force) {
  if (!proxy_) return;
  const TimePoint now = BootClock::now();
  const bool due = now >= last_report_at_ + kReportInterval;
  if (!proxy_->TakeReportChanged() && !due && !force) return;
  last_report_at_ = now;
  const RunnerReport report = proxy_->Report();
  proxy_->StartReportInterval();
  for (const auto& [name, entry] : entries_) {
    if (entry.handshake_done) Send(name, report);
  }
  ended_since_sample_ += report.ended;
  latency_sum_since_sample_ += report.latency * report.ended;
  if (now < last_sample_ + kLatencySampleInterval) return;
  const Duration target = SettingDuration(active_values_, "latency.target");
  if (ended_since_sample_ > 0) {
    core_->OnServiceLatency(latency_sum_since_sample_ / ended_since_sample_,
                            target, now);
  } else if (report.in_progress == 0) {
    core_->OnServiceIdle(target, now);
  } else {
    return;
  }
  last_sample_ = now;
  ended_since_sample_ = 0;
  latency_sum_since_sample_ = Duration(0);
  Flush();
}

void Agent::Drain() {
  if (stop_) return;
  Log(LogLevel::kInfo, "leaving");
  StopSequenceOptions options;
  options.grace = kMaxDrainTime;
  options.deregistration_delay = kDrainLinger;
  stop_ = StopSequence(options, BootClock::now());
  if (proxy_) proxy_->Drain();
  SendRunnerReport(true);
}

void Agent::HandleOperator(HttpExchange exchange) {
  const HttpRequest& request = exchange.request();
  const auto authorization = FindHeader(request.headers, "Authorization");
  if (authorization != "Bearer " + settings_.operators_token) {
    exchange.Reply({401, {}, "send Authorization: Bearer {token}\n"});
  } else if (request.path == "/healthz") {
    exchange.Reply({200, {}, "ok\n"});
  } else if (request.path == "/metrics") {
    exchange.Reply({200,
                    {{"Content-Type", "text/plain; version=0.0.4"}},
                    metrics_.ToPrometheus()});
  } else if (request.path == "/v1/state") {
    exchange.Reply({200, {{"Content-Type", "application/json"}}, StateDump()});
  } else if (request.path == "/v1/drain" && request.method == "POST") {
    exchange.Reply({202, {}, "leaving\n"});
    Drain();
  } else {
    exchange.Reply({404, {}, "no such path\n"});
  }
}

std::string Agent::StateDump() const {
  const TimePoint now = BootClock::now();
  Json links = Json::object();
  for (const auto& [name, entry] : entries_) {
    links[name] = entry.handshake_done ? "up" : "down";
  }
  Json state = {
      {"process", "agent"},
      {"vm", settings_.vm},
      {"cell", settings_.cell},
      {"incarnation", incarnation_},
      {"uptime_ms", ToMillis(now - started_at_)},
      {"links", links},
      {"epoch", core_->epoch()},
      {"owner", core_->owner()},
      {"lease_left_ms", ToMillis(core_->lease_end() - now)},
      {"tasks_running", core_->running()},
      {"tasks_started", core_->counts().starts},
      {"throttled", core_->throttled()},
      {"outcomes_unsettled", core_->unacknowledged()},
      {"granted_cpu_millis", core_->granted().cpu_millis},
      {"granted_memory_mib", core_->granted().memory_mib},
      {"settings",
       {{"revision", settings_revision_}, {"values", active_values_}}},
      {"messages_sent", messages_sent_},
      {"messages_received", messages_received_},
      {"bytes_sent", bytes_sent_},
      {"bytes_received", bytes_received_},
      {"process_settings", settings_.effective}};
  if (proxy_) {
    const RunnerReport report = proxy_->Report();
    state["runner"] = {{"in_progress", report.in_progress},
                       {"limit", report.limit},
                       {"latency_ms", ToMillis(report.latency)},
                       {"leaving", report.draining},
                       {"connections", proxy_->connections()},
                       {"ran", proxy_->counts().ran},
                       {"refused", proxy_->counts().refused},
                       {"unknown", proxy_->counts().unknown},
                       {"repeated_keys", proxy_->counts().repeated_keys},
                       {"abandoned", proxy_->counts().abandoned}};
  }
  return state.dump(2) + "\n";
}

Result<AgentSettings> ReadAgentSettings(const std::string& file) {
  Result<Config> loaded = Config::Load(file);
  if (!IsOk(loaded)) return ErrorOf(loaded);
  Config& config = ValueOf(loaded);
  AgentSettings settings;
  settings.vm = config.Text("vm");
  settings.region = config.Text("region");
  settings.hall = config.Text("hall");
  settings.rack = config.Text("rack");
  settings.cell = config.Text("cell", settings.hall);
  settings.entries = config.SocketAddressList("entries");
  settings.shared_key = config.Text("shared_key");
  settings.operators = config.SocketAddress("listen.operators");
  settings.operators_token = config.Text("operators_token");
  settings.has_worker = config.Has("worker");
  if (settings.has_worker) {
    settings.platform = config.SocketAddress("worker.platform");
    settings.capacity.cpu_millis =
        config.Int("worker.cpu_millis", 1, 1'000'000);
    settings.capacity.memory_mib =
        config.Int("worker.memory_mib", 1, 16'000'000);
    settings.capacity.accelerators =
        config.Int("worker.accelerators", 0, 64, 0);
  }
  settings.has_runner = config.Has("runner");
  if (settings.has_runner) {
    settings.runner.service = config.Text("runner.service");
    settings.runner.runner = config.SocketAddress("runner.address");
    settings.runner.slots =
        static_cast<uint32_t>(config.Int("runner.slots", 1, 1024, 8));
    settings.runner.connections =
        static_cast<uint32_t>(config.Int("runner.connections", 1, 4096, 64));
  }
  settings.resources = ReadResources(config, "limits.", {});
  const Status status = config.Finish();
  if (!IsOk(status)) return ErrorOf(status);
  settings.effective = config.effective();
  settings.effective["shared_key"] = "(set)";
  settings.effective["operators_token"] = "(set)";
  return settings;
}

}  // namespace beamhill
