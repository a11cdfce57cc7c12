#include "beamhill/replay/outage_replay.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/executor/executor.h"
#include "beamhill/replay/leased_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnixStart{1'000'000};
// Tick intervals as in the real processes, the simulated latencies of a message
// and of a table transaction, how long an owner may act without a confirmed
// transaction, and the interval of attach retries.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kRunnerTick = milliseconds(20);
constexpr Duration kMessageLatency = milliseconds(1);
constexpr Duration kCommitLatency = milliseconds(6);
constexpr Duration kAuthorityTerm = seconds(8);
constexpr Duration kAttachInterval = milliseconds(1500);
constexpr Duration kMaxLinkOutage = seconds(4);
// Requirement for the time from a cancellation until its last run has ended,
// including the time that a stop takes.
constexpr Duration kStopBound = kCancelLimit + milliseconds(400);
constexpr Resources kVmCapacity{64000, 64000, 0};

class OutageReplay {
 public:
  explicit OutageReplay(const OutageLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {}

  OutageOutcome Run() {
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm("vm-" + std::to_string(i));
    TakeOver();
    Repeat(kOwnerTick, [this] { Tick(); });
    Repeat(kAttachInterval, [this] {
      owner_->RetryAttach();
      Flush();
    });
    Repeat(kRunnerTick, [this] {
      for (auto& [name, vm] : vms_) vm.runner->Tick();
      CheckCancelledRuns();
    });
    Repeat(kExecutorTick, [this] {
      for (auto& [name, vm] : vms_) vm.executor->Tick();
    });
    RepeatAtRandom(seconds(1), [this] { Submit(/*long_running=*/false); });
    RepeatAtRandom(seconds(3), [this] { Submit(/*long_running=*/true); });
    RepeatAtRandom(seconds(2), [this] { CancelRandomJob(); });
    RepeatAtRandom(load_.mean_time_between_outages,
                   [this] { StartTableOutage(); });
    RepeatAtRandom(load_.mean_time_between_link_failures,
                   [this] { FailLink(); });
    RepeatAtRandom(load_.mean_time_between_executor_restarts,
                   [this] { RestartExecutor(); });
    RepeatAtRandom(load_.mean_time_between_takeovers, [this] {
      if (table_available_) TakeOver();
    });
    time_.RunUntil(kStart + load_.fault_duration + load_.recovery_duration);
    CheckFinalState();
    return std::move(outcome_);
  }

 private:
  struct VmNode {
    std::unique_ptr<LeasedRunner> runner;
    std::unique_ptr<Executor> executor;
    // Number of the current link. Messages sent on an earlier link are dropped.
    uint64_t link = 0;
    bool linked = false;
    // Time of the last change of the link or of the owner's authority.
    TimePoint stable_since{};
  };
  struct Job {
    Workflow workflow;
    Duration run_time{};
    bool cancel_stored = false;
    std::optional<TimePoint> cancel_known_at;  // When an owner learned of it.
    std::set<TaskRef> done_tasks;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  uint32_t UniformInt(uint32_t min_value, uint32_t max_value) {
    return std::uniform_int_distribution<uint32_t>(min_value,
                                                   max_value)(random_);
  }
  Duration UniformDuration(Duration max_value) {
    return std::chrono::duration_cast<Duration>(Uniform() * Seconds(max_value));
  }
  bool InFaultPhase() const {
    return time_.now() - kStart < load_.fault_duration;
  }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }
  // Calls `call` at exponentially distributed intervals during the fault phase.
  void RepeatAtRandom(Duration mean, const std::function<void()>& call) {
    if (mean <= Duration(0)) return;
    const double gap = std::exponential_distribution<double>(
        1 / Seconds(mean).count())(random_);
    time_.After(std::chrono::duration_cast<Duration>(Seconds(gap)),
                [this, mean, call] {
                  if (!InFaultPhase()) return;
                  call();
                  RepeatAtRandom(mean, call);
                });
  }
  void Report(const std::string& violation) {
    if (std::find(outcome_.violations.begin(), outcome_.violations.end(),
                  violation) == outcome_.violations.end()) {
      outcome_.violations.push_back(violation);
    }
  }

  void AddVm(const std::string& name) {
    LeasedRunnerHooks hooks;
    hooks.run_time_of = [this](const TaskRef& task) {
      return jobs_.at(task.workflow).run_time;
    };
    hooks.on_start = [this](const RunRef& run) { OnStart(run); };
    hooks.on_end = [this](const RunRef& run, RunEndKind kind) {
      if (kind == RunEndKind::kDone) {
        jobs_.at(run.task.workflow).done_tasks.insert(run.task);
      }
    };
    // The task may run again: its end was not acknowledged before the lease
    // expired.
    hooks.on_end_lost = [this](const RunEnd& end) {
      if (end.kind != RunEndKind::kDone) return;
      jobs_.at(end.run.task.workflow).done_tasks.erase(end.run.task);
    };
    vms_[name].runner = std::make_unique<LeasedRunner>(time_, std::move(hooks));
    StartExecutor(name);
  }

  void StartExecutor(const std::string& name) {
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t link, const DispatchMessage& message) {
      time_.After(kMessageLatency, [this, name, link, message] {
        const VmNode& vm = vms_.at(name);
        if (vm.linked && vm.link == link) OnVmMessage(name, message);
      });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    VmNode& vm = vms_.at(name);
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    VmStatus status;
    status.incarnation = name + "-incarnation";
    status.service = "web";
    status.capacity = kVmCapacity;
    vm.executor->OnRunnerRegistered(status,
                                    std::chrono::duration_cast<RunnerClock>(
                                        time_.now().time_since_epoch()));
  }

  void DisconnectLink(const std::string& name) {
    VmNode& vm = vms_.at(name);
    if (!vm.linked) return;
    vm.linked = false;
    owner_->OnLinkDown(name);
    vm.executor->OnLinkDown(vm.link);
  }

  void ConnectLink(const std::string& name) {
    VmNode& vm = vms_.at(name);
    if (vm.linked) return;
    ++vm.link;
    vm.linked = true;
    vm.stable_since = time_.now();
    owner_->OnLinkUp(name);
    Flush();
  }

  void FailLink() {
    const std::string name =
        "vm-" + std::to_string(UniformInt(0, load_.vms - 1));
    DisconnectLink(name);
    time_.After(UniformDuration(kMaxLinkOutage),
                [this, name] { ConnectLink(name); });
  }

  void RestartExecutor() {
    const std::string name =
        "vm-" + std::to_string(UniformInt(0, load_.vms - 1));
    DisconnectLink(name);
    StartExecutor(name);
    time_.After(milliseconds(300), [this, name] { ConnectLink(name); });
  }

  void TakeOver() {
    for (auto& [name, vm] : vms_) {
      vm.linked = false;
      vm.executor->OnLinkDown(vm.link);
    }
    DispatcherOptions options;
    options.epoch = ++epoch_;
    if (epoch_ > 1) {
      for (const auto& [name, vm] : vms_) options.inherited_vms.push_back(name);
    }
    owner_ = Dispatcher::Create(options, nullptr, time_.now());
    for (auto& [id, job] : jobs_) {
      const auto stored = progress_.find(id);
      owner_->AddWorkflow(job.workflow,
                          stored == progress_.end()
                              ? std::nullopt
                              : std::optional(stored->second),
                          time_.now());
      if (job.cancel_stored) CancelInDispatcher(id, job);
    }
    confirmed_at_ = time_.now();
    for (const auto& [name, vm] : vms_) ConnectLink(name);
  }

  bool MayAct() const { return time_.now() - confirmed_at_ < kAuthorityTerm; }

  void Tick() {
    const TimePoint now = time_.now();
    if (table_available_) confirmed_at_ = now;
    UpdateAuthority();
    owner_->OnConfirmed(confirmed_at_);
    owner_->Tick(
        now, kUnixStart + std::chrono::duration_cast<UnixMillis>(now - kStart));
    if (const auto commit = owner_->TakeCommit(now)) {
      time_.After(kCommitLatency, [this, commit = *commit, epoch = epoch_] {
        OnCommitDone(commit, epoch);
      });
    }
    Flush();
  }

  void UpdateAuthority() {
    const bool may_act = MayAct();
    owner_->SetAuthority(may_act ? Authority::kFull : Authority::kNone,
                         time_.now());
    if (may_act == had_authority_) return;
    had_authority_ = may_act;
    for (auto& [name, vm] : vms_) vm.stable_since = time_.now();
  }

  // A commit in flight when the table becomes unavailable is answered after the
  // outage.
  void OnCommitDone(const DispatchCommit& commit, uint64_t epoch) {
    if (epoch != epoch_) return;
    if (!table_available_) {
      when_table_returns_.push_back(
          [this, commit, epoch] { OnCommitDone(commit, epoch); });
      return;
    }
    for (const auto& [id, record] : commit.progress) progress_[id] = record;
    owner_->OnCommitted();
    Flush();
  }

  void StartTableOutage() {
    if (!table_available_) return;
    table_available_ = false;
    time_.After(UniformDuration(load_.max_outage), [this] {
      table_available_ = true;
      for (const auto& call : std::exchange(when_table_returns_, {})) call();
    });
  }

  void OnVmMessage(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    UpdateAuthority();
    if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
      owner_->OnHeartbeat(name, *heartbeat, now);
    } else if (const auto* status = std::get_if<VmStatus>(&message)) {
      owner_->OnStatus(name, *status, now);
    } else if (const auto* inventory = std::get_if<VmInventory>(&message)) {
      owner_->OnInventory(name, *inventory, now);
    } else if (const auto* reports = std::get_if<RunReports>(&message)) {
      owner_->OnReports(name, *reports, now);
    }
    Flush();
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      const VmNode& vm = vms_.at(out.vm);
      if (!vm.linked) continue;
      time_.After(kMessageLatency,
                  [this, name = out.vm, link = vm.link, message = out.message] {
                    const VmNode& node = vms_.at(name);
                    if (node.linked && node.link == link) {
                      node.executor->OnMessage(link, message);
                    }
                  });
    }
  }

  void Submit(bool long_running) {
    if (!table_available_) return;
    Job job;
    Workflow& workflow = job.workflow;
    workflow.id = (long_running ? "long-running-" : "quick-") +
                  std::to_string(jobs_.size());
    workflow.queue = "q";
    workflow.service = "web";
    workflow.offered_to_epoch = epoch_;
    workflow.policy.max_attempts = 3;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = UniformInt(1, 4);
    workflow.steps[0].each = {long_running ? 800 : 300, 100, 0};
    workflow.steps[0].long_running = long_running;
    workflow.steps[0].declared_run = seconds(1);
    if (!long_running) job.run_time = milliseconds(UniformInt(200, 1500));
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    jobs_[workflow.id] = std::move(job);
  }

  // Callers retry a cancellation until the table is available.
  void CancelRandomJob() {
    auto it = jobs_.begin();
    if (jobs_.empty()) return;
    std::advance(it, UniformInt(0, static_cast<uint32_t>(jobs_.size()) - 1));
    const std::string id = it->first;
    if (table_available_) {
      StoreCancel(id);
    } else {
      when_table_returns_.push_back([this, id] { StoreCancel(id); });
    }
  }

  void StoreCancel(const std::string& id) {
    Job& job = jobs_.at(id);
    if (job.cancel_stored) return;
    job.cancel_stored = true;
    ++outcome_.cancelled;
    if (!MayAct()) ++outcome_.cancelled_without_authority;
    CancelInDispatcher(id, job);
    Flush();
  }

  void CancelInDispatcher(const std::string& id, Job& job) {
    owner_->Cancel(id, time_.now());
    if (!job.cancel_known_at) job.cancel_known_at = time_.now();
  }

  // Checks that no task is started while it runs or after it has completed.
  void OnStart(const RunRef& run) {
    ++outcome_.runs;
    const Job& job = jobs_.at(run.task.workflow);
    if (job.done_tasks.count(run.task) > 0) {
      Report(run.task.ToString() + " is started after it has completed");
    }
    for (const auto& [name, vm] : vms_) {
      for (const auto& [other, since] : vm.runner->runs()) {
        if (other.task == run.task && other.run != run.run) {
          Report(run.task.ToString() + " has two concurrent runs");
        }
      }
    }
  }

  void CheckCancelledRuns() {
    for (const auto& [name, vm] : vms_) {
      if (!vm.linked || !had_authority_) continue;
      for (const auto& [run, since] : vm.runner->runs()) {
        const Job& job = jobs_.at(run.task.workflow);
        if (!job.cancel_known_at) continue;
        const TimePoint from = std::max(*job.cancel_known_at, vm.stable_since);
        if (time_.now() - from > kStopBound) {
          Report(run.task.ToString() + " still runs after its cancellation");
        }
      }
    }
  }

  void CheckFinalState() {
    std::map<TaskRef, int> running;
    for (const auto& [name, vm] : vms_) {
      if (vm.runner->unacknowledged_ends() > 0) {
        Report(name + " has unacknowledged ends");
      }
      for (const auto& [run, since] : vm.runner->runs()) ++running[run.task];
    }
    for (const auto& [id, job] : jobs_) CheckFinalJob(id, job, running);
    const DispatchSummary summary = owner_->Summary(time_.now());
    if (summary.stops > 0) Report("the owner has unfinished stops");
    if (!owner_->Orphans(time_.now()).empty()) Report("orphaned runs are left");
  }

  void CheckFinalJob(const std::string& id, const Job& job,
                     const std::map<TaskRef, int>& running) {
    const WorkflowStep& step = job.workflow.steps[0];
    for (uint32_t i = 0; i < step.tasks; ++i) {
      const TaskRef task{id, 0, 0, i};
      const bool is_running = running.count(task) > 0;
      if (job.cancel_stored) {
        if (is_running) Report(task.ToString() + " runs though cancelled");
      } else if (step.long_running) {
        if (!is_running) Report(task.ToString() + " does not run");
      } else if (owner_->StateOf(id) != WorkflowState::kCompleted) {
        Report(id + " has not completed");
      }
    }
  }

  const OutageLoad& load_;
  std::mt19937_64 random_;
  VirtualTime time_;
  uint64_t epoch_ = 0;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, Job> jobs_;
  // Progress rows as stored in the table, by workflow.
  std::map<std::string, ProgressRecord> progress_;
  bool table_available_ = true;
  // Calls to make when the table is available again.
  std::vector<std::function<void()>> when_table_returns_;
  TimePoint confirmed_at_{};
  bool had_authority_ = true;
  OutageOutcome outcome_;
};

}  // namespace

OutageOutcome RunOutageReplay(const OutageLoad& load) {
  return OutageReplay(load).Run();
}

}  // namespace beamhill
