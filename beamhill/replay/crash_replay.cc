#include "beamhill/replay/crash_replay.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <sstream>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/executor/executor.h"
#include "beamhill/replay/crashing_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Seconds = std::chrono::duration<double>;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnixStart{1'000'000};
// Tick intervals as in the real processes, and the simulated latencies of a
// message and of a table transaction.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kMessageLatency = milliseconds(1);
constexpr Duration kCommitLatency = milliseconds(6);
constexpr Duration kUnstableDowntime = milliseconds(1500);
constexpr Duration kUnstableMeanUptime = milliseconds(2500);
constexpr uint32_t kTasksPerService = 6;
// Starts of a crashing task are counted once it has crashed this many runners.
constexpr uint32_t kLossesBeforeCountedStarts = 3;

class CrashReplay {
 public:
  explicit CrashReplay(const CrashLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {}

  CrashOutcome Run() {
    TakeOver();
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm(i);
    Repeat(kOwnerTick, [this] { Tick(); });
    if (load_.owner_change_interval > Duration(0)) {
      Repeat(load_.owner_change_interval, [this] {
        if (Elapsed() < load_.arrival_phase + load_.drain_phase / 2) TakeOver();
      });
    }
    for (uint32_t i = 0; i < load_.services; ++i) SubmitService(i);
    for (uint32_t i = 0; i < load_.crashing; ++i) {
      time_.After(milliseconds(2000 + 400 * i),
                  [this, i] { SubmitCrashing(i); });
    }
    ScheduleArrival();
    ScheduleRunnerLoss();
    for (uint32_t i = 0; i < load_.unstable_vms; ++i) ScheduleUnstableLoss(i);
    time_.RunUntil(kStart + load_.arrival_phase + load_.drain_phase);
    return Finish();
  }

 private:
  struct VmNode {
    std::unique_ptr<CrashingRunner> runner;
    std::unique_ptr<Executor> executor;
  };
  struct TrackedWorkflow {
    Workflow workflow;
    bool crashing = false;
    TimePoint submitted_at{};
    std::optional<WorkflowState> outcome;
    Duration completion_time{};
    std::vector<Duration> run_times;  // By step.
    uint32_t losses = 0;
    uint32_t starts_after_third_loss = 0;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Duration DrawInterval(double rate_per_s) {
    const Seconds gap(
        std::exponential_distribution<double>(rate_per_s)(random_));
    return std::chrono::duration_cast<Duration>(gap);
  }
  uint32_t UniformInt(uint32_t min_value, uint32_t max_value) {
    return std::uniform_int_distribution<uint32_t>(min_value,
                                                   max_value)(random_);
  }
  Duration Elapsed() const { return time_.now() - kStart; }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }

  // Only the last task of a crashing workflow's step crashes its runner.
  bool IsCrashing(const TaskRef& task) const {
    const TrackedWorkflow& tracked = workflows_.at(task.workflow);
    return tracked.crashing && task.index + 1 == load_.tasks_per_crashing;
  }

  CrashingRunnerHooks MakeRunnerHooks(const std::string& name) {
    CrashingRunnerHooks hooks;
    hooks.task_of = [this](const TaskRef& task) {
      const TrackedWorkflow& tracked = workflows_.at(task.workflow);
      CrashingTaskBehavior behavior;
      behavior.run_time = tracked.run_times[task.step];
      behavior.cpu_millis = tracked.workflow.steps[task.step].each.cpu_millis;
      if (IsCrashing(task)) behavior.crashes_after = load_.crashes_after;
      return behavior;
    };
    hooks.on_registered = [this, name](const VmStatus& status) {
      vms_.at(name).executor->OnRunnerRegistered(
          status, std::chrono::duration_cast<RunnerClock>(
                      time_.now().time_since_epoch()));
    };
    hooks.on_start = [this](const RunRef& run) {
      TrackedWorkflow& tracked = workflows_.at(run.task.workflow);
      if (IsCrashing(run.task) &&
          tracked.losses >= kLossesBeforeCountedStarts) {
        ++tracked.starts_after_third_loss;
      }
    };
    hooks.on_crash = [this](const RunRef& run) {
      ++workflows_.at(run.task.workflow).losses;
      ++runners_lost_;
    };
    return hooks;
  }

  void AddVm(uint32_t number) {
    const std::string name = "vm-" + std::to_string(number);
    VmNode& vm = vms_[name];
    vm.runner = std::make_unique<CrashingRunner>(
        time_,
        CrashingRunnerOptions{
            name, {load_.vm_cpu_millis, 64000, 0}, load_.downtime},
        MakeRunnerHooks(name));
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t link, const DispatchMessage& message) {
      time_.After(kMessageLatency, [this, name, link, message] {
        if (link == epoch_) OnVmMessage(name, message);
      });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    vm.runner->StartIncarnation();
    Executor* executor = vm.executor.get();
    Repeat(kExecutorTick, [executor] { executor->Tick(); });
    owner_->OnLinkUp(name);
  }

  // Replaces the owner by one that knows only what the table stores.
  void TakeOver() {
    ++epoch_;
    DispatcherOptions options;
    options.epoch = epoch_;
    if (epoch_ > 1) {
      for (const auto& [name, vm] : vms_) options.inherited_vms.push_back(name);
    }
    owner_ = Dispatcher::Create(options, nullptr, time_.now());
    for (const auto& [id, tracked] : workflows_) {
      const auto stored = progress_.find(id);
      owner_->AddWorkflow(tracked.workflow,
                          stored == progress_.end()
                              ? std::nullopt
                              : std::optional(stored->second),
                          time_.now());
    }
    for (const auto& [name, vm] : vms_) owner_->OnLinkUp(name);
  }

  void OnVmMessage(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
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

  void Tick() {
    const TimePoint now = time_.now();
    owner_->OnConfirmed(now);
    owner_->Tick(
        now, kUnixStart + std::chrono::duration_cast<UnixMillis>(Elapsed()));
    if (const auto commit = owner_->TakeCommit(now)) {
      time_.After(kCommitLatency, [this, commit = *commit, epoch = epoch_] {
        // The fence rejects the commit of an owner that has been replaced.
        if (epoch != epoch_) return;
        for (const auto& [id, record] : commit.progress) progress_[id] = record;
        owner_->OnCommitted();
        Flush();
        RecordOutcomes(commit);
      });
    }
    Flush();
  }

  void RecordOutcomes(const DispatchCommit& commit) {
    for (const auto& [id, stored] : commit.progress) {
      TrackedWorkflow& tracked = workflows_.at(id);
      if (tracked.outcome || stored.state < WorkflowState::kCompleted) continue;
      tracked.outcome = stored.state;
      tracked.completion_time = time_.now() - tracked.submitted_at;
    }
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      Executor* executor = vms_.at(out.vm).executor.get();
      time_.After(kMessageLatency,
                  [executor, link = epoch_, message = out.message] {
                    executor->OnMessage(link, message);
                  });
    }
  }

  void Submit(Workflow workflow, std::vector<Duration> run_times,
              bool crashing) {
    workflow.queue = "q";
    workflow.service = "web";
    workflow.offered_to_epoch = epoch_;
    workflow.policy.max_attempts = 3;
    workflow.policy.stretch = 2;
    workflow.policy.target_latency = seconds(1);
    TrackedWorkflow& tracked = workflows_[workflow.id];
    tracked.crashing = crashing;
    tracked.submitted_at = time_.now();
    tracked.run_times = std::move(run_times);
    tracked.workflow = workflow;
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
  }

  void SubmitService(uint32_t number) {
    Workflow workflow;
    workflow.id = "service-" + std::to_string(number);
    workflow.steps.resize(1);
    workflow.steps[0].tasks = kTasksPerService;
    workflow.steps[0].each = {1500, 1000, 0};
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s" + std::to_string(number);
    workflow.steps[0].tail_target = milliseconds(20);
    Submit(std::move(workflow), {Duration(0)}, /*crashing=*/false);
  }

  void SubmitCrashing(uint32_t number) {
    Workflow workflow;
    workflow.id = "crashing-" + std::to_string(number);
    workflow.steps.resize(1);
    WorkflowStep& step = workflow.steps[0];
    step.tasks = load_.tasks_per_crashing;
    step.each = {300, 100, 0};
    step.declared_run = seconds(1);
    step.long_running = load_.crashing_long_running;
    const Duration run = load_.crashing_long_running ? Duration(0) : seconds(1);
    Submit(std::move(workflow), {run}, /*crashing=*/true);
  }

  void SubmitQuick() {
    Workflow workflow;
    workflow.id = "quick-" + std::to_string(workflows_.size());
    const uint32_t steps = UniformInt(1, 2);
    std::vector<Duration> run_times;
    for (uint32_t i = 0; i < steps; ++i) {
      WorkflowStep step;
      step.tasks = UniformInt(1, 10);
      step.each = {300, 100, 0};
      run_times.push_back(milliseconds(UniformInt(300, 1500)));
      step.declared_run = run_times.back();
      if (i > 0) step.after = {i - 1};
      workflow.steps.push_back(std::move(step));
    }
    Submit(std::move(workflow), std::move(run_times), /*crashing=*/false);
  }

  void ScheduleArrival() {
    time_.After(DrawInterval(load_.workflows_per_s), [this] {
      if (Elapsed() > load_.arrival_phase) return;
      SubmitQuick();
      ScheduleArrival();
    });
  }

  void CrashRunner(uint32_t number, Duration downtime) {
    CrashingRunner& runner = *vms_.at("vm-" + std::to_string(number)).runner;
    if (!runner.is_up()) return;
    ++runners_lost_;
    runner.Crash(downtime);
  }

  void ScheduleRunnerLoss() {
    if (load_.unrelated_losses_per_s <= 0) return;
    time_.After(DrawInterval(load_.unrelated_losses_per_s), [this] {
      if (Elapsed() > load_.arrival_phase) return;
      CrashRunner(UniformInt(0, load_.vms - 1), load_.downtime);
      ScheduleRunnerLoss();
    });
  }

  void ScheduleUnstableLoss(uint32_t number) {
    const auto uptime = std::chrono::duration_cast<Duration>(
        kUnstableMeanUptime * (0.5 + Uniform()));
    time_.After(kUnstableDowntime + uptime, [this, number] {
      if (Elapsed() > load_.arrival_phase) return;
      CrashRunner(number, kUnstableDowntime);
      ScheduleUnstableLoss(number);
    });
  }

  CrashOutcome Finish() const {
    CrashOutcome outcome;
    outcome.runners_lost = runners_lost_;
    Duration sum{};
    for (const auto& [id, tracked] : workflows_) {
      const bool failed = tracked.outcome == WorkflowState::kFailed;
      if (tracked.crashing) {
        outcome.max_losses = std::max(outcome.max_losses, tracked.losses);
        outcome.max_starts_after_third_loss =
            std::max(outcome.max_starts_after_third_loss,
                     tracked.starts_after_third_loss);
        if (!failed) ++outcome.crashing_not_failed;
        continue;
      }
      const bool completed = tracked.outcome == WorkflowState::kCompleted;
      const bool long_running_workflow = tracked.workflow.steps[0].long_running;
      if (failed) ++outcome.healthy_failed;
      if (completed) {
        ++outcome.healthy_completed;
        sum += tracked.completion_time;
      }
      const bool all_running =
          long_running_workflow &&
          owner_->HeldRunsOf(id) == tracked.workflow.steps[0].tasks;
      if (!completed && !failed && !all_running) ++outcome.healthy_unfinished;
    }
    if (outcome.healthy_completed > 0) {
      outcome.mean_completion_seconds =
          Seconds(sum).count() / static_cast<double>(outcome.healthy_completed);
    }
    return outcome;
  }

  const CrashLoad& load_;
  std::mt19937_64 random_;
  VirtualTime time_;
  uint64_t epoch_ = 0;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, TrackedWorkflow> workflows_;
  // Progress rows as stored in the table, by workflow.
  std::map<std::string, ProgressRecord> progress_;
  uint32_t runners_lost_ = 0;
};

}  // namespace

std::string CrashOutcome::ToString() const {
  std::ostringstream out;
  out << "crashing: max runner losses " << max_losses
      << ", max starts after the third loss " << max_starts_after_third_loss
      << ", not failed " << crashing_not_failed << "; healthy: failed "
      << healthy_failed << ", unfinished " << healthy_unfinished
      << ", completed " << healthy_completed << ", mean completion time "
      << mean_completion_seconds << " s; runners lost " << runners_lost;
  return out.str();
}

CrashOutcome RunCrashReplay(const CrashLoad& load) {
  return CrashReplay(load).Run();
}

}  // namespace beamhill
