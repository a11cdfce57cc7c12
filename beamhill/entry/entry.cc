#include "beamhill/entry/entry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/log/log.h"
#include "beamhill/overload/listener_metrics.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr Duration kCellTickInterval = std::chrono::milliseconds(50);
constexpr Duration kSettingsPollInterval = std::chrono::seconds(1);
constexpr Duration kVmListPollInterval = std::chrono::seconds(2);
constexpr Duration kDrainPollInterval = std::chrono::milliseconds(50);
// Delay before claiming a cell without an owner: a random part and a part that
// grows with the number of cells this entry owns, so that cells spread evenly
// over entries.
constexpr Duration kClaimJitter = std::chrono::milliseconds(100);
constexpr Duration kClaimDelayPerOwnedCell = std::chrono::milliseconds(50);
constexpr Duration kMaxClaimDelay = std::chrono::milliseconds(1500);
// Of what the process has for clients. Agents count until they have proven
// that they hold the shared key.
constexpr double kCallersShare = 0.7;
constexpr double kOperatorsShare = 0.1;
constexpr double kAgentsShare = 0.2;

}  // namespace

Result<std::unique_ptr<Entry>> Entry::Start(EventLoop& loop,
                                            const EntrySettings& settings) {
  std::unique_ptr<Entry> entry(new Entry(loop, settings));
  const Status status = entry->Listen();
  if (!IsOk(status)) return ErrorOf(status);
  return entry;
}

Entry::Entry(EventLoop& loop, const EntrySettings& settings)
    : loop_(loop),
      settings_(settings),
      random_(RandomSeed()),
      incarnation_(random_() >> 1),
      platform_(loop, settings.platform, settings.platform_timeout),
      settings_store_(platform_.table(),
                      {[] { return BootClock::now(); },
                       [this] { return std::to_string(random_()); },
                       [this] { OnSettingsChange(); }}),
      jobs_(platform_.table()),
      router_(loop, metrics_,
              {[this](const std::string& vm, const Message& message) {
                 return links_->Send(vm, message);
               },
               [this] { return Random(); }}),
      api_(jobs_, settings_store_, metrics_, settings.operators_token,
           {[this] { return KnownCells(); },
            [this] {
              for (auto& [cell, host] : cells_) host->OnWorkHint();
            },
            [this] { return StateDump(); }, [this] { Drain(); }}),
      started_at_(BootClock::now()) {}

Entry::~Entry() = default;

double Entry::Random() {
  return std::uniform_real_distribution<double>(0, 1)(random_);
}

Status Entry::Listen() {
  auto links = AgentLinks::Listen(
      loop_, settings_.agents, ShareOf(settings_.resources, kAgentsShare),
      settings_.name, settings_.shared_key,
      {[this](const Hello& hello) { OnHello(hello); },
       [this](const Hello& hello) { OnAgentDisconnected(hello); },
       [this](const std::string& vm, const Message& message) {
         OnMessage(vm, message);
       }});
  if (!IsOk(links)) return ErrorOf(links);
  links_ = std::move(ValueOf(links));
  HttpServerLimits caller_limits;
  caller_limits.total = ShareOf(settings_.resources, kCallersShare);
  caller_limits.refusal = [] {
    return NotRunReply("too much is being handled for other callers");
  };
  auto callers =
      HttpServer::Listen(loop_, settings_.callers.ip, settings_.callers.port,
                         caller_limits, [this](HttpExchange exchange) {
                           HandleCallerRequest(std::move(exchange));
                         });
  if (!IsOk(callers)) return ErrorOf(callers);
  callers_ = std::move(ValueOf(callers));
  HttpServerLimits operator_limits;
  operator_limits.total = ShareOf(settings_.resources, kOperatorsShare);
  auto operators = HttpServer::Listen(
      loop_, settings_.operators.ip, settings_.operators.port, operator_limits,
      [this](HttpExchange exchange) {
        api_.HandleOperator(std::move(exchange));
      });
  if (!IsOk(operators)) return ErrorOf(operators);
  operators_ = std::move(ValueOf(operators));

  AddListenerMetrics({{"callers", [this] { return callers_->counts(); }},
                      {"operators", [this] { return operators_->counts(); }},
                      {"agents", [this] { return links_->counts(); }}},
                     metrics_);
  metrics_.AddGauge("beamhill_agents", "Agents linked to this entry.",
                    [this] { return static_cast<double>(links_->size()); });
  metrics_.AddGauge("beamhill_settings_revision", "Settings in force.", [this] {
    return static_cast<double>(settings_store_.tree().revision());
  });
  cell_timer_ = loop_.Every(kCellTickInterval, [this] { TickCells(); });
  settings_timer_ =
      loop_.Every(kSettingsPollInterval, [this] { settings_store_.Poll(); });
  vm_list_timer_ = loop_.Every(kVmListPollInterval, [this] { PollVms(); });
  settings_store_.Poll();
  return Ok{};
}

void Entry::HandleCallerRequest(HttpExchange exchange) {
  const std::string& path = exchange.request().path;
  if (path.rfind("/services/", 0) == 0) {
    router_.Handle(std::move(exchange));
  } else if (path == "/healthz") {
    // Load balancers stop sending new connections to an entry that reports 503.
    exchange.Reply(draining_ ? HttpResponse{503, {}, "leaving\n"}
                             : HttpResponse{200, {}, "ok\n"});
  } else {
    api_.HandleJobs(std::move(exchange));
  }
}

CellHost& Entry::FindOrCreateHost(const Hello& hello) {
  const std::string& cell = hello.cell;
  std::unique_ptr<CellHost>& host = cells_[cell];
  if (host) return *host;
  const SettingValues* values =
      &hall_settings_[HallNode(hello.region, hello.hall)];
  RefreshHallSettings();
  CellHostOptions options;
  options.owner = settings_.cell;
  options.owner.cell = cell;
  options.owner.quota = [values](const std::string& team) {
    return static_cast<double>(SettingInt(*values, "quota." + team)) / 100;
  };
  options.owner.evictions_per_hour = [values] {
    return SettingInt(*values, "evictions.per_hour");
  };
  options.owner.weights = [values] {
    return PolicyWeights{
        static_cast<double>(SettingInt(*values, "weights.tail_latency")),
        static_cast<double>(SettingInt(*values, "weights.throughput")),
        static_cast<double>(SettingInt(*values, "weights.evictions"))};
  };
  options.owner.latency_target = [values] {
    return SettingDuration(*values, "latency.target");
  };
  options.entry = settings_.name;
  options.incarnation = incarnation_;
  CellHostHooks hooks;
  hooks.now = [] { return BootClock::now(); };
  hooks.random = [this] { return Random(); };
  hooks.claim_delay = [this] {
    Duration delay =
        std::chrono::duration_cast<Duration>(kClaimJitter * Random());
    for (const auto& [name, other] : cells_) {
      if (other->owns()) delay += kClaimDelayPerOwnedCell;
    }
    return std::min(delay, kMaxClaimDelay);
  };
  host =
      std::make_unique<CellHost>(options, platform_.table(), std::move(hooks));
  return *host;
}

void Entry::OnHello(const Hello& hello) {
  Log(LogLevel::kInfo, "agent_linked",
      {{"vm", hello.vm}, {"cell", hello.cell}});
  linked_agents_[hello.vm] = hello;
  router_.OnHello(hello);
  CellHost& host = FindOrCreateHost(hello);
  host.OnHello(hello, BootClock::now());
  FlushMessages(host);
  PushSettings(hello);
}

void Entry::OnAgentDisconnected(const Hello& hello) {
  Log(LogLevel::kInfo, "agent_lost", {{"vm", hello.vm}, {"cell", hello.cell}});
  linked_agents_.erase(hello.vm);
  router_.OnLinkDown(hello.vm);
  FindOrCreateHost(hello).OnLinkDown(hello.vm, hello.session);
}

void Entry::OnMessage(const std::string& vm, const Message& message) {
  router_.OnMessage(vm, message);
  const auto it = linked_agents_.find(vm);
  if (it == linked_agents_.end()) return;
  if (const auto* settings = std::get_if<ActiveSettings>(&message)) {
    AdoptSettings(it->second, *settings);
    return;
  }
  CellHost& host = FindOrCreateHost(it->second);
  host.OnAgentMessage(vm, message, BootClock::now());
  FlushMessages(host);
}

void Entry::TickCells() {
  const TimePoint now = BootClock::now();
  for (auto& [cell, host] : cells_) {
    const bool owned = host->owns();
    host->Tick(now);
    FlushMessages(*host);
    if (host->owns() == owned) continue;
    Log(LogLevel::kInfo, host->owns() ? "cell_taken" : "cell_lost",
        {{"cell", cell}, {"epoch", host->owns() ? host->owner()->epoch() : 0}});
  }
}

void Entry::FlushMessages(CellHost& host) {
  for (const AgentMessage& message : host.TakeMessages()) {
    links_->Send(message.vm, message.message);
  }
  for (const std::string& vm : host.TakeDroppedVms()) links_->Drop(vm);
}

// A VM counts as gone when the previous list contained it and this one does
// not.
void Entry::PollVms() {
  if (listing_vms_) return;
  listing_vms_ = true;
  platform_.ListVms([this](const Result<std::vector<ListedVm>>& result) {
    listing_vms_ = false;
    if (!IsOk(result)) return;
    std::set<std::string> listed;
    for (const ListedVm& vm : ValueOf(result)) {
      listed.insert(vm.vm);
      router_.OnListed(vm.vm, vm.leaving);
      for (auto& [cell, host] : cells_) host->OnVmLeaving(vm.vm, vm.leaving);
    }
    for (const std::string& vm : listed_vms_) {
      if (listed.count(vm) > 0) continue;
      Log(LogLevel::kInfo, "vm_gone", {{"vm", vm}});
      for (auto& [cell, host] : cells_) host->OnVmGone(vm, BootClock::now());
    }
    listed_vms_ = std::move(listed);
  });
}

void Entry::OnSettingsChange() {
  Log(LogLevel::kInfo, "settings_in_force",
      {{"revision", settings_store_.tree().revision()}});
  SettingValues values;
  for (auto& [key, value] :
       settings_store_.tree().EffectiveValues("estate/" + settings_.region)) {
    values[key] = value;
  }
  const auto level = ParseLogLevel(SettingString(values, "log.level"));
  if (IsOk(level)) SetLogLevel(ValueOf(level));
  router_.OnSettings(values);
  RefreshHallSettings();
  for (const auto& [vm, hello] : linked_agents_) PushSettings(hello);
}

// Agents report the settings that they last received. An accepted setting thus
// stays in force when this entry restarts while the table does not answer.
void Entry::AdoptSettings(const Hello& hello, const ActiveSettings& settings) {
  const std::string node = HallNode(hello.region, hello.hall);
  const uint64_t known =
      std::max(settings_store_.tree().revision(), adopted_revisions_[node]);
  if (settings.revision <= known) return;
  adopted_revisions_[node] = settings.revision;
  SettingValues& values = hall_settings_[node];
  values.clear();
  for (const auto& [key, value] : settings.values) values[key] = value;
  router_.OnSettings(values);
  Log(LogLevel::kInfo, "settings_adopted",
      {{"vm", hello.vm}, {"revision", settings.revision}});
  for (const auto& [vm, other] : linked_agents_) {
    if (HallNode(other.region, other.hall) == node) links_->Send(vm, settings);
  }
}

void Entry::RefreshHallSettings() {
  for (auto& [node, values] : hall_settings_) {
    if (adopted_revisions_[node] > settings_store_.tree().revision()) continue;
    values.clear();
    for (auto& [key, value] : settings_store_.tree().EffectiveValues(node)) {
      values[key] = value;
    }
  }
}

void Entry::PushSettings(const Hello& hello) {
  const SettingsTree& tree = settings_store_.tree();
  const std::string node = HallNode(hello.region, hello.hall);
  const auto adopted = adopted_revisions_.find(node);
  if (adopted != adopted_revisions_.end() &&
      adopted->second > tree.revision()) {
    const SettingValues& values = hall_settings_.at(node);
    links_->Send(hello.vm, ActiveSettings{adopted->second,
                                          {values.begin(), values.end()}});
    return;
  }
  if (tree.revision() == 0) return;
  links_->Send(hello.vm,
               ActiveSettings{tree.revision(), tree.EffectiveValues(node)});
}

void Entry::Drain() {
  if (draining_) return;
  draining_ = true;
  router_.Drain();
  Log(LogLevel::kInfo, "draining");
  drain_timer_ =
      loop_.Every(kDrainPollInterval, [this] { ReleaseCellsWhenIdle(); });
}

void Entry::ReleaseCellsWhenIdle() {
  if (router_.in_progress() > 0) return;
  drain_timer_.Cancel();
  // The count starts at one so that hosts whose release completes immediately
  // can't end the shutdown before every host was asked.
  pending_releases_ = 1;
  const auto released = [this] {
    if (--pending_releases_ == 0 && on_drained_) on_drained_();
  };
  for (auto& [cell, host] : cells_) {
    ++pending_releases_;
    host->Release(released);
  }
  released();
}

std::vector<CellCapacity> Entry::KnownCells() const {
  std::vector<CellCapacity> cells;
  for (const auto& [cell, host] : cells_) {
    CellCapacity capacity;
    capacity.cell = cell;
    for (const auto& [vm, hello] : host->agents()) {
      capacity.total += hello.capacity;
      if (hello.capacity.Holds(capacity.largest_vm)) {
        capacity.largest_vm = hello.capacity;
      }
    }
    if (capacity.total.cpu_millis > 0) cells.push_back(capacity);
  }
  return cells;
}

std::string Entry::StateDump() const {
  const TimePoint now = BootClock::now();
  Json cells = Json::array();
  for (const auto& [cell, host] : cells_) {
    Json item = {{"cell", cell},
                 {"owned", host->owns()},
                 {"agents", host->agents().size()},
                 {"row_writes", host->counts().row_writes},
                 {"reads", host->counts().reads}};
    if (const CellOwner* owner = host->owner()) {
      item["epoch"] = owner->epoch();
      item["starts"] = owner->counts().starts;
      item["done"] = owner->counts().done;
      item["evicted"] = owner->counts().evicted;
      item["lost"] = owner->counts().lost;
      item["unaccounted_vms"] = owner->unreconciled();
      for (const auto& [job, ledger] : owner->ranges()) {
        item["ranges"].push_back({{"job", job},
                                  {"tasks", ledger.range().size()},
                                  {"done", ledger.done()},
                                  {"running", ledger.running()},
                                  {"unknown", ledger.unknown()}});
      }
      item["quarantined_vms"] = owner->health().Quarantined();
      item["evictions_ordered"] = owner->counts().evictions_ordered;
      item["impossible_jobs"] = owner->ImpossibleJobs();
    }
    cells.push_back(std::move(item));
  }
  Json runners = Json::array();
  for (const RunnerTable::View& runner : router_.runners().Views(now)) {
    runners.push_back({{"vm", runner.vm},
                       {"service", runner.service},
                       {"limit", runner.limit},
                       {"expected_in_progress", runner.expected_in_progress},
                       {"latency_ms", ToMillis(runner.latency)},
                       {"leaving", runner.leaving},
                       {"ejected", runner.ejected}});
  }
  const auto confirmed = settings_store_.confirmed_at();
  const Json state = {
      {"process", "entry"},
      {"name", settings_.name},
      {"incarnation", incarnation_},
      {"uptime_ms", ToMillis(now - started_at_)},
      {"draining", draining_},
      {"settings",
       {{"revision", settings_store_.tree().revision()},
        {"adopted", adopted_revisions_},
        {"confirmed_ms_ago", confirmed ? ToMillis(now - *confirmed) : -1.0}}},
      {"agents", links_->size()},
      {"agent_bytes_sent", links_->bytes_sent()},
      {"rejected_hellos", links_->rejected_hellos()},
      {"requests_in_progress", router_.in_progress()},
      {"cells", cells},
      {"runners", runners},
      {"process_settings", settings_.effective}};
  return state.dump(2) + "\n";
}

}  // namespace beamhill
