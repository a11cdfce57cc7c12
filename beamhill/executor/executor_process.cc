#include "beamhill/executor/executor_process.h"

#include <algorithm>
#include <utility>

#include "beamhill/base/random.h"
#include "beamhill/config/config.h"
#include "beamhill/log/log.h"

namespace beamhill {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);

}  // namespace

Result<std::unique_ptr<ExecutorProcess>> ExecutorProcess::Start(
    EventLoop& loop, const ExecutorSettings& settings, Table table,
    TaskRunner runner, Metrics& metrics) {
  std::unique_ptr<ExecutorProcess> process(
      new ExecutorProcess(loop, settings, std::move(table)));
  process->MakeExecutor(std::move(runner), metrics);
  const Status listening = process->Listen();
  if (!IsOk(listening)) return ErrorOf(listening);
  process->MakeRegistration();
  process->registration_->Tick();
  return process;
}

ExecutorProcess::ExecutorProcess(EventLoop& loop,
                                 const ExecutorSettings& settings, Table table)
    : loop_(loop),
      settings_(settings),
      table_(std::move(table)),
      random_(RandomSeed()) {
  tick_ = loop_.Every(kTickInterval, [this] {
    executor_->Tick();
    registration_->Tick();
    ContinueLeaving();
  });
}

void ExecutorProcess::MakeExecutor(TaskRunner runner, Metrics& metrics) {
  ExecutorHooks hooks;
  hooks.now = [] { return BootClock::now(); };
  hooks.send = [this](LinkId link, const DispatchMessage& message) {
    const auto it = links_.find(link);
    if (it != links_.end()) it->second->Send(EncodeDispatch(message));
  };
  hooks.log = [](const std::string& event, const std::string& task,
                 const std::string& detail) {
    Log(LogLevel::kInfo, event, {{"task", task}, {"detail", detail}});
  };
  hooks.ready_for_starts = [this] { return registration_->ready_for_starts(); };
  executor_ = std::make_unique<Executor>(settings_.executor, std::move(runner),
                                         std::move(hooks));
  const Executor* executor = executor_.get();
  const auto gauge = [&](const char* name, const char* help,
                         uint64_t ExecutorCounts::*count) {
    metrics.AddGauge(name, help, [executor, count] {
      return static_cast<double>(executor->counts().*count);
    });
  };
  gauge("beamhill_starts_total", "Starts asked of the runner.",
        &ExecutorCounts::starts);
  gauge("beamhill_starts_refused_total", "Starts that the runner refused.",
        &ExecutorCounts::refused);
  gauge("beamhill_starts_not_ready_total",
        "Starts refused since the VM's or the owner's row was not read yet.",
        &ExecutorCounts::not_ready);
  gauge("beamhill_owners_refused_total",
        "Owners refused or given up since a later one is known.",
        &ExecutorCounts::owners_refused);
  gauge("beamhill_starts_unanswered_total", "Starts without an answer.",
        &ExecutorCounts::unanswered);
  gauge("beamhill_looks_total", "Looks at the runner.", &ExecutorCounts::polls);
  gauge("beamhill_paces_total", "Changes of fillers' pace.",
        &ExecutorCounts::paces);
  gauge("beamhill_stale_orders_total",
        "Orders of an earlier owner, link or runner.",
        &ExecutorCounts::stale_orders);
  gauge("beamhill_starts_withdrawn_total",
        "Starts that a stop withdrew before they left for the runner.",
        &ExecutorCounts::withdrawn);
  gauge("beamhill_starts_outdated_total",
        "Starts given back since they could not leave in time.",
        &ExecutorCounts::outdated);
  metrics.AddGauge(
      "beamhill_starts_waiting",
      "Starts that wait for their turn at the runner.",
      [executor] { return static_cast<double>(executor->starts_waiting()); });
  gauge("beamhill_stops_total", "Stops asked of the runner.",
        &ExecutorCounts::stops);
  gauge("beamhill_stops_overdue_total", "Ordered stops that took too long.",
        &ExecutorCounts::stops_overdue);
  gauge("beamhill_stops_in_vain_total",
        "Stops asked once more since the runner took one and the run went on.",
        &ExecutorCounts::stops_ineffective);
  metrics.AddGauge("beamhill_oldest_stop_seconds",
                   "Since when an ordered stop is not settled.", [executor] {
                     return ToMillis(executor->OldestStop()) / 1000;
                   });
  gauge("beamhill_runners_lost_total",
        "Lives of the runner that ended unannounced.",
        &ExecutorCounts::runners_lost);
  metrics.AddGauge(
      "beamhill_runner_stalled", "1 while the runner's tasks make no progress.",
      [executor] { return executor->status().stalled ? 1.0 : 0.0; });
  metrics.AddGauge(
      "beamhill_runner_without_progress_seconds",
      "Time without progress of any run that uses CPU.",
      [executor] { return ToMillis(executor->WithoutProgress()) / 1000; });
  gauge("beamhill_runner_stalls_total", "Stalls of the runner's tasks.",
        &ExecutorCounts::stalls);
}

Status ExecutorProcess::Listen() {
  auto listener = LinkListener::Listen(
      loop_, settings_.links, [this](Link& link) { return OnAccept(link); },
      settings_.owner_links);
  if (!IsOk(listener)) return ErrorOf(listener);
  listener_ = std::move(ValueOf(listener));
  return Ok{};
}

void ExecutorProcess::MakeRegistration() {
  VmRegistrationHooks hooks;
  hooks.now = [] { return BootClock::now(); };
  hooks.random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  };
  hooks.on_owner_epoch = [this](uint64_t epoch) {
    executor_->RejectOwnersBelow(epoch);
  };
  hooks.since_owner = [this] { return executor_->SinceOwner(); };
  hooks.runner_is_gone = [this] { return executor_->runner_is_gone(); };
  hooks.log = [this](const std::string& event, const std::string& detail) {
    Log(LogLevel::kInfo, event, {{"vm", settings_.vm}, {"detail", detail}});
  };
  registration_ = std::make_unique<VmRegistration>(
      VmRecord{settings_.vm,
               ToString(settings_.advertised.value_or(settings_.links))},
      table_, std::move(hooks));
}

void ExecutorProcess::OnRunnerRegistered(const VmStatus& status,
                                         std::optional<RunnerClock> clock) {
  registration_->OnRunnerRegistered(status.incarnation, [this, status, clock] {
    executor_->OnRunnerRegistered(status, clock);
  });
}

void ExecutorProcess::OnRunnerLeaving(const std::string& incarnation) {
  registration_->OnRunnerLeaving(incarnation);
  executor_->OnRunnerLeaving(incarnation);
}

Duration ExecutorProcess::SinceOwner() const {
  return std::min(executor_->SinceOwner(), registration_->StoredFor());
}

void ExecutorProcess::Leave(std::function<void()> done) {
  on_left_ = std::move(done);
  if (executor_->NextExitStep() == ExitStep::kWait) {
    Log(LogLevel::kInfo, "exit_waits_for_leases", {{"vm", settings_.vm}});
  }
  ContinueLeaving();
}

void ExecutorProcess::ContinueLeaving() {
  if (!on_left_) return;
  switch (executor_->NextExitStep()) {
    case ExitStep::kExit:
      std::exchange(on_left_, nullptr)();
      return;
    case ExitStep::kWithdraw:
      registration_->Withdraw(std::exchange(on_left_, nullptr));
      return;
    case ExitStep::kWait:
      return;
  }
}

LinkHooks ExecutorProcess::OnAccept(Link& link) {
  const LinkId id = link.id();
  links_[id] = &link;
  LinkHooks hooks;
  hooks.on_message = [this, id](Link& l, std::string_view frame) {
    const Result<DispatchMessage> message = DecodeDispatch(frame);
    if (!IsOk(message)) {
      Log(LogLevel::kWarning, "bad_message",
          {{"error", ErrorOf(message).message}});
      l.Close();
      return;
    }
    executor_->OnMessage(id, ValueOf(message));
  };
  hooks.on_close = [this, id](Link&) {
    links_.erase(id);
    executor_->OnLinkDown(id);
  };
  return hooks;
}

std::string ExecutorProcess::Dump() const { return executor_->Dump(); }

}  // namespace beamhill
