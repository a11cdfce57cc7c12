#include "beamhill/entry/entry.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

constexpr Duration kCellTick = std::chrono::milliseconds(50);
constexpr Duration kSettingsPoll = std::chrono::seconds(1);
constexpr Duration kListPoll = std::chrono::seconds(2);
constexpr Duration kDrainTick = std::chrono::milliseconds(50);
// Hold back before taking a cell: a part at random, and more for each cell
// that this entry has, so that cells spread over entries.
constexpr Duration kClaimJitter = std::chrono::milliseconds(100);
constexpr Duration kClaimDelayEach = std::chrono::milliseconds(50);
constexpr Duration kMaxClaimDelay = std::chrono::milliseconds(1500);

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
           {[this] { return Cells(); },
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
      loop_, settings_.agents, settings_.name, settings_.shared_key,
      {[this](const Hello& hello) { OnHello(hello); },
       [this](const Hello& hello) { OnDown(hello); },
       [this](const std::string& vm, const Message& message) {
         OnMessage(vm, message);
       }});
  if (!IsOk(links)) return ErrorOf(links);
  links_ = std::move(ValueOf(links));
  auto callers = HttpServer::Listen(
      loop_, settings_.callers.ip, settings_.callers.port, HttpServerLimits{},
      [this](HttpExchange exchange) { OnCallers(std::move(exchange)); });
  if (!IsOk(callers)) return ErrorOf(callers);
  callers_ = std::move(ValueOf(callers));
  auto operators = HttpServer::Listen(
      loop_, settings_.operators.ip, settings_.operators.port,
      HttpServerLimits{}, [this](HttpExchange exchange) {
        api_.HandleOperator(std::move(exchange));
      });
  if (!IsOk(operators)) return ErrorOf(operators);
  operators_ = std::move(ValueOf(operators));

  metrics_.AddGauge("beamhill_agents", "Agents linked to this entry.",
                    [this] { return static_cast<double>(links_->size()); });
  metrics_.AddGauge("beamhill_settings_revision", "Settings in force.", [this] {
    return static_cast<double>(settings_store_.tree().revision());
  });
  cell_tick_ = loop_.Every(kCellTick, [this] { TickCells(); });
  settings_tick_ =
      loop_.Every(kSettingsPoll, [this] { settings_store_.Poll(); });
  list_tick_ = loop_.Every(kListPoll, [this] { PollVms(); });
  settings_store_.Poll();
  return Ok{};
}

void Entry::OnCallers(HttpExchange exchange) {
  const std::string& path = exchange.request().path;
  if (path.rfind("/services/", 0) == 0) {
    router_.Handle(std::move(exchange));
  } else if (path == "/healthz") {
    // For the balancer: an entry that leaves gets no new connections.
    exchange.Reply(draining_ ? HttpResponse{503, {}, "leaving\n"}
                             : HttpResponse{200, {}, "ok\n"});
  } else {
    api_.HandleJobs(std::move(exchange));
  }
}

CellHost& Entry::HostOf(const Hello& hello) {
  const std::string& cell = hello.cell;
  std::unique_ptr<CellHost>& host = cells_[cell];
  if (host) return *host;
  const SettingValues* values = &halls_[HallNode(hello.region, hello.hall)];
  RefreshHalls();
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
    return SettingTime(*values, "latency.target");
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
      if (other->owns()) delay += kClaimDelayEach;
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
  agents_[hello.vm] = hello;
  router_.OnHello(hello);
  CellHost& host = HostOf(hello);
  host.OnHello(hello, BootClock::now());
  Flush(host);
  PushSettings(hello);
}

void Entry::OnDown(const Hello& hello) {
  Log(LogLevel::kInfo, "agent_lost", {{"vm", hello.vm}, {"cell", hello.cell}});
  agents_.erase(hello.vm);
  router_.OnLinkDown(hello.vm);
  HostOf(hello).OnLinkDown(hello.vm, hello.session);
}

void Entry::OnMessage(const std::string& vm, const Message& message) {
  router_.OnMessage(vm, message);
  const auto it = agents_.find(vm);
  if (it == agents_.end()) return;
  if (const auto* settings = std::get_if<ActiveSettings>(&message)) {
    AdoptSettings(it->second, *settings);
    return;
  }
  CellHost& host = HostOf(it->second);
  host.OnAgentMessage(vm, message, BootClock::now());
  Flush(host);
}

void Entry::TickCells() {
  const TimePoint now = BootClock::now();
  for (auto& [cell, host] : cells_) {
    const bool owned = host->owns();
    host->Tick(now);
    Flush(*host);
    if (host->owns() == owned) continue;
    Log(LogLevel::kInfo, host->owns() ? "cell_taken" : "cell_lost",
        {{"cell", cell}, {"epoch", host->owns() ? host->owner()->epoch() : 0}});
  }
}

void Entry::Flush(CellHost& host) {
  for (const AgentMessage& message : host.TakeMessages()) {
    links_->Send(message.vm, message.message);
  }
  for (const std::string& vm : host.TakeDroppedVms()) links_->Drop(vm);
}

// A VM counts as gone when the list has shown it and shows it no more.
void Entry::PollVms() {
  if (listing_) return;
  listing_ = true;
  platform_.ListVms([this](const Result<std::vector<ListedVm>>& result) {
    listing_ = false;
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
  const auto level = ParseLogLevel(SettingText(values, "log.level"));
  if (IsOk(level)) SetLogLevel(ValueOf(level));
  router_.OnSettings(values);
  RefreshHalls();
  for (const auto& [vm, hello] : agents_) PushSettings(hello);
}

// An accepted setting stays in force although this entry has started anew and
// the table does not answer: agents carry it over.
void Entry::AdoptSettings(const Hello& hello, const ActiveSettings& settings) {
  const std::string node = HallNode(hello.region, hello.hall);
  const uint64_t known =
      std::max(settings_store_.tree().revision(), adopted_[node]);
  if (settings.revision <= known) return;
  adopted_[node] = settings.revision;
  SettingValues& values = halls_[node];
  values.clear();
  for (const auto& [key, value] : settings.values) values[key] = value;
  router_.OnSettings(values);
  Log(LogLevel::kInfo, "settings_adopted",
      {{"vm", hello.vm}, {"revision", settings.revision}});
  for (const auto& [vm, other] : agents_) {
    if (HallNode(other.region, other.hall) == node) links_->Send(vm, settings);
  }
}

void Entry::RefreshHalls() {
  for (auto& [node, values] : halls_) {
    if (adopted_[node] > settings_store_.tree().revision()) continue;
    values.clear();
    for (auto& [key, value] : settings_store_.tree().EffectiveValues(node)) {
      values[key] = value;
    }
  }
}

void Entry::PushSettings(const Hello& hello) {
  const SettingsTree& tree = settings_store_.tree();
  const std::string node = HallNode(hello.region, hello.hall);
  const auto adopted = adopted_.find(node);
  if (adopted != adopted_.end() && adopted->second > tree.revision()) {
    const SettingValues& values = halls_.at(node);
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
  drain_tick_ = loop_.Every(kDrainTick, [this] { ReleaseWhenIdle(); });
}

void Entry::ReleaseWhenIdle() {
  if (router_.in_progress() > 0) return;
  drain_tick_.Cancel();
  // The count starts at one, so that hosts which finish at once can't end the
  // drain before all were asked.
  releases_open_ = 1;
  const auto released = [this] {
    if (--releases_open_ == 0 && drained_) drained_();
  };
  for (auto& [cell, host] : cells_) {
    ++releases_open_;
    host->Release(released);
  }
  released();
}

std::vector<CellCapacity> Entry::Cells() const {
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
      item["unaccounted_vms"] = owner->unaccounted();
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
        {"adopted", adopted_},
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
