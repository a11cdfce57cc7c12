#include "beamhill/replay/load_replay.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <utility>

#include "beamhill/executor/executor.h"
#include "beamhill/replay/replay_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnixStart{1'000'000};
constexpr uint64_t kEpoch = 1;
constexpr uint64_t kLink = 1;
constexpr char kService[] = "web";
// Tick intervals as in the real processes, and the simulated latencies of a
// message and of a table transaction.
constexpr Duration kOwnerTick = milliseconds(50);
// From a message or a commit to the tick that it causes.
constexpr Duration kTickDelay = milliseconds(2);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kMessageLatency = milliseconds(1);
constexpr Duration kCommitLatency = milliseconds(6);
constexpr Duration kCommitInterval = milliseconds(40);
constexpr Duration kWeightsInterval = std::chrono::seconds(1);
constexpr Duration kWorkInterval = milliseconds(25);
constexpr Duration kTrackInterval = milliseconds(100);
// Interference and base tails oscillate by half of their mean.
constexpr double kOscillationAmplitude = 0.5;
constexpr double kOscillationPeriodSeconds = 10;
constexpr double kTwoPi = 6.283185307179586;
// Added tail of weakly interfering pairs of images, as a fraction of
// `added_tail`.
constexpr double kLightInterference = 0.05;
constexpr double kLateScore = 0.15;
constexpr int kLateObjectives = 3;
constexpr double kServingUtilization = 0.42;
// The objective of a step that needs more than this fraction (1/n) of all
// processors counts it as several sequential waves.
constexpr int64_t kWaveCapacityDivisor = 4;
constexpr double kWidthSigma = 0.6;
constexpr double kCpuSigma = 0.3;
constexpr double kRunTimeSigma = 0.5;
constexpr double kMaxRunTimeFactor = 2.5;  // Relative to the mean.

class LoadReplay {
 public:
  explicit LoadReplay(const ReplayLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {
    DispatcherOptions options;
    options.epoch = kEpoch;
    owner_ = Dispatcher::Create(options, nullptr, kStart);
    InitWorkloadModel();
  }

  ReplayOutcome Run() {
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm(i);
    Repeat(kOwnerTick, [this] { Tick(); });
    Repeat(kWeightsInterval, [this] {
      MeasureOwner("weights", [this] { owner_->SendInterferenceWeights(); });
      Flush();
    });
    Repeat(kWorkInterval, [this] {
      for (auto& vm : vms_) vm.second.runner->Advance(kWorkInterval);
    });
    Repeat(kTrackInterval, [this] { TrackWorkflows(); });
    time_.RunUntil(kStart + milliseconds(100));
    for (uint32_t i = 0; i < load_.serving_steps; ++i) SubmitServing(i);
    ScheduleArrival(load_.best_effort_work, /*best_effort=*/true);
    ScheduleArrival(load_.quick_work, /*best_effort=*/false);
    time_.RunUntil(kStart + load_.arrival_phase + load_.drain_phase);
    return Finish();
  }

 private:
  struct VmNode {
    std::unique_ptr<ReplayRunner> runner;
    std::unique_ptr<Executor> executor;
  };
  struct SimulatedWorkflow {
    std::vector<std::vector<Duration>> run_times;  // By step and task.
    std::vector<std::set<uint32_t>> failing;  // Tasks whose first run fails.
    ReplayedWorkflow outcome;
    std::optional<TimePoint> idle_since;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  // Draws a lognormal factor with mean 1.
  double LognormalFactor(double sigma) {
    return std::lognormal_distribution<double>(-sigma * sigma / 2,
                                               sigma)(random_);
  }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }

  void InitWorkloadModel() {
    for (uint32_t s = 0; s < load_.serving_images; ++s) {
      for (uint32_t f = 0; f < load_.best_effort_images; ++f) {
        const bool interferes = Uniform() < load_.interfering_fraction;
        const double fraction =
            interferes ? 0.3 + 1.4 * Uniform() : kLightInterference;
        added_tails_["s" + std::to_string(s)]["f" + std::to_string(f)] =
            std::chrono::duration_cast<Duration>(load_.added_tail * fraction);
      }
    }
    workload_model_.serving_utilization = kServingUtilization;
    workload_model_.task_of = [this](const RunRef& run) { return TaskOf(run); };
    workload_model_.base_tail = [this](const std::string& serving_image,
                                       TimePoint now) {
      return Oscillate(load_.base_tail, serving_image, now);
    };
    workload_model_.added_tail = [this](const std::string& serving_image,
                                        const std::string& best_effort_image,
                                        TimePoint now) {
      return Oscillate(added_tails_.at(serving_image).at(best_effort_image),
                       best_effort_image, now);
    };
  }

  static Duration Oscillate(Duration mean, const std::string& image,
                            TimePoint now) {
    const double phase =
        static_cast<double>(std::hash<std::string>()(image) % 100) / 100;
    const double turns =
        Seconds(now - kStart).count() / kOscillationPeriodSeconds + phase;
    return std::chrono::duration_cast<Duration>(
        mean * (1 + kOscillationAmplitude * std::sin(kTwoPi * turns)));
  }

  SimulatedTask TaskOf(const RunRef& run) {
    SimulatedTask task;
    const Workflow& workflow = workflows_.at(run.task.workflow);
    const WorkflowStep& step = workflow.steps[run.task.step];
    task.image = step.image;
    task.best_effort = step.best_effort;
    task.cpu_millis = step.each.cpu_millis;
    task.memory_mib = step.each.memory_mib;
    task.tail_target = step.tail_target;
    task.long_running = step.long_running;
    task.saves_checkpoint = step.saves_progress;
    if (task.long_running) return task;
    task.work = simulated_workflows_.at(workflow.id)
                    .run_times[run.task.step][run.task.index];
    const auto& failing =
        simulated_workflows_.at(workflow.id).failing[run.task.step];
    task.fails = run.run == 1 && failing.count(run.task.index) > 0;
    return task;
  }

  void AddVm(uint32_t number) {
    const std::string name = "vm-" + std::to_string(number);
    VmNode& vm = vms_[name];
    vm.runner =
        std::make_unique<ReplayRunner>(time_, workload_model_, load_.vm);
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t, const DispatchMessage& message) {
      time_.After(kMessageLatency,
                  [this, name, message] { OnVmMessage(name, message); });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    VmStatus status;
    status.incarnation = name + "-incarnation";
    status.service = kService;
    status.capacity = load_.vm;
    vm.executor->OnRunnerRegistered(status,
                                    std::chrono::duration_cast<RunnerClock>(
                                        time_.now().time_since_epoch()));
    Executor* executor = vm.executor.get();
    Repeat(kExecutorTick, [executor] { executor->Tick(); });
    owner_->OnLinkUp(name);
    Flush();
  }

  // Calls `call` and adds its wall-clock time to the owner's `operation`.
  void MeasureOwner(const char* operation, const std::function<void()>& call) {
    const auto before = std::chrono::steady_clock::now();
    call();
    owner_wall_seconds_[operation] +=
        Seconds(std::chrono::steady_clock::now() - before).count();
  }

  void OnVmMessage(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
      MeasureOwner("heartbeats",
                   [&] { owner_->OnHeartbeat(name, *heartbeat, now); });
      Flush();
      return;
    }
    if (const auto* interference = std::get_if<VmInterference>(&message)) {
      MeasureOwner("interference",
                   [&] { owner_->OnInterference(name, *interference); });
      return;
    }
    if (const auto* inventory = std::get_if<VmInventory>(&message)) {
      owner_->OnInventory(name, *inventory, now);
    } else if (const auto* reports = std::get_if<RunReports>(&message)) {
      MeasureOwner("reports", [&] { owner_->OnReports(name, *reports, now); });
    }
    ScheduleTick();
  }

  void ScheduleTick() {
    if (tick_pending_) return;
    tick_pending_ = true;
    time_.After(kTickDelay, [this] {
      tick_pending_ = false;
      Tick();
    });
  }

  void Tick() {
    const TimePoint now = time_.now();
    owner_->OnConfirmed(now);
    const UnixMillis unix_now =
        kUnixStart + std::chrono::duration_cast<UnixMillis>(now - kStart);
    MeasureOwner("ticks", [&] { owner_->Tick(now, unix_now); });
    MaybeCommit();
    Flush();
  }

  void MaybeCommit() {
    const TimePoint now = time_.now();
    if (now < next_commit_at_ || !owner_->TakeCommit(now)) return;
    next_commit_at_ = now + kCommitInterval;
    time_.After(kCommitLatency, [this] {
      owner_->OnCommitted();
      Flush();
      ScheduleTick();
    });
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      const bool is_pace_policy =
          std::holds_alternative<PacePolicyNotice>(out.message);
      if (is_pace_policy && load_.always_cautious) continue;
      Executor* executor = vms_.at(out.vm).executor.get();
      time_.After(kMessageLatency, [executor, message = out.message] {
        executor->OnMessage(kLink, message);
      });
    }
  }

  void ScheduleArrival(const WorkloadKind& kind, bool best_effort) {
    if (kind.arrivals_per_s <= 0) return;
    double rate = kind.arrivals_per_s;
    const Duration elapsed = time_.now() - kStart;
    const bool in_burst = elapsed >= load_.burst_at &&
                          elapsed < load_.burst_at + load_.burst_duration;
    if (best_effort && in_burst) rate *= load_.burst_factor;
    const Seconds gap(std::exponential_distribution<double>(rate)(random_));
    const auto wait = std::chrono::duration_cast<Duration>(gap);
    time_.After(wait, [this, &kind, best_effort] {
      if (time_.now() - kStart > load_.arrival_phase) return;
      SubmitWorkflow(kind, best_effort);
      ScheduleArrival(kind, best_effort);
    });
  }

  WorkflowStep DrawStep(const WorkloadKind& kind, Duration run_time) {
    WorkflowStep step;
    const double width = kind.tasks * LognormalFactor(kWidthSigma);
    step.tasks =
        std::clamp<uint32_t>(static_cast<uint32_t>(width), 1, kind.max_tasks);
    step.each = kind.resources;
    step.each.cpu_millis =
        static_cast<int64_t>(static_cast<double>(kind.resources.cpu_millis) *
                             std::min(2.0, LognormalFactor(kCpuSigma)));
    const double estimate_factor =
        std::exp(load_.estimate_error * (2 * Uniform() - 1));
    step.declared_run =
        std::chrono::duration_cast<Duration>(run_time * estimate_factor);
    return step;
  }

  void SubmitWorkflow(const WorkloadKind& kind, bool best_effort) {
    Workflow workflow;
    workflow.id =
        (best_effort ? "best-effort-" : "quick-") + std::to_string(next_id_++);
    workflow.queue = best_effort ? "batch" : "quick";
    workflow.service = kService;
    workflow.offered_to_epoch = kEpoch;
    workflow.policy.max_attempts = 4;
    workflow.policy.stretch = kind.stretch;
    workflow.policy.target_latency = kind.target_latency;
    workflow.policy.priority = kind.priority;
    const std::string image =
        "f" + std::to_string(static_cast<uint32_t>(
                  Uniform() * static_cast<double>(load_.best_effort_images)));
    const bool saves_checkpoint =
        best_effort && Uniform() < load_.checkpointing_fraction;
    const auto steps = std::clamp<uint32_t>(
        static_cast<uint32_t>(
            std::lround(kind.steps * LognormalFactor(kCpuSigma))),
        1, 5);
    SimulatedWorkflow drawn;
    Duration critical_path{};
    for (uint32_t i = 0; i < steps; ++i) {
      const auto run_time = std::chrono::duration_cast<Duration>(
          kind.run_time *
          std::min(kMaxRunTimeFactor, LognormalFactor(kRunTimeSigma)));
      WorkflowStep step = DrawStep(kind, run_time);
      step.best_effort = best_effort;
      step.saves_progress = saves_checkpoint;
      if (best_effort) step.image = image;
      if (i > 0) step.after = {i - 1};
      drawn.run_times.emplace_back(step.tasks, run_time);
      drawn.failing.emplace_back();
      for (uint32_t task = 0; best_effort && task < step.tasks; ++task) {
        if (Uniform() < load_.failure_rate) drawn.failing.back().insert(task);
      }
      const int64_t wave =
          load_.vms * load_.vm.cpu_millis / kWaveCapacityDivisor;
      const int64_t waves =
          (step.each.cpu_millis * step.tasks + wave - 1) / wave;
      critical_path +=
          run_time * (waves + (drawn.failing.back().empty() ? 0 : 1));
      drawn.outcome.core_seconds += step.tasks * Seconds(run_time).count() *
                                    static_cast<double>(step.each.cpu_millis) /
                                    kMillicoresPerCore;
      workflow.steps.push_back(std::move(step));
    }
    drawn.outcome.id = workflow.id;
    drawn.outcome.best_effort = best_effort;
    drawn.outcome.arrival_time = time_.now() - kStart;
    drawn.outcome.objective =
        std::chrono::duration_cast<Duration>(critical_path * kind.stretch) +
        kind.target_latency;
    workflows_[workflow.id] = workflow;
    simulated_workflows_[workflow.id] = std::move(drawn);
    unfinished_.insert(workflow.id);
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    ScheduleTick();
  }

  void SubmitServing(uint32_t number) {
    Workflow workflow;
    workflow.id = "serve-" + std::to_string(number);
    workflow.queue = "serve";
    workflow.service = kService;
    workflow.offered_to_epoch = kEpoch;
    workflow.steps.resize(1);
    WorkflowStep& step = workflow.steps[0];
    step.tasks = load_.serving_tasks;
    step.each = load_.serving_resources;
    step.long_running = true;
    step.image = "s" + std::to_string(number % load_.serving_images);
    step.tail_target = load_.tail_target;
    workflows_[workflow.id] = workflow;
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    ScheduleTick();
  }

  // Returns whether more than half of the memory is free. Only then does a
  // workflow without an active run count as idle.
  bool HasFreeMemory() const {
    int64_t used = 0;
    for (const auto& [name, vm] : vms_) used += vm.runner->memory_in_use_mib();
    return 2 * used < load_.vms * load_.vm.memory_mib;
  }

  // Records when unfinished workflows end and how long they have no active run.
  void TrackWorkflows() {
    const TimePoint now = time_.now();
    const bool has_free_memory = HasFreeMemory();
    for (auto it = unfinished_.begin(); it != unfinished_.end();) {
      SimulatedWorkflow& simulated = simulated_workflows_.at(*it);
      const auto state = owner_->StateOf(*it);
      if (state && *state >= WorkflowState::kCompleted) {
        if (*state == WorkflowState::kCompleted) {
          simulated.outcome.completion_time =
              now - kStart - simulated.outcome.arrival_time;
        }
        it = unfinished_.erase(it);
        continue;
      }
      if (!has_free_memory || owner_->HeldRunsOf(*it) > 0) {
        simulated.idle_since.reset();
      } else if (!simulated.idle_since) {
        simulated.idle_since = now;
      } else {
        simulated.outcome.longest_idle = std::max(
            simulated.outcome.longest_idle, now - *simulated.idle_since);
      }
      ++it;
    }
  }

  ReplayOutcome Finish() {
    ReplayOutcome outcome;
    for (auto& entry : simulated_workflows_) {
      outcome.workflows.push_back(std::move(entry.second.outcome));
    }
    for (const auto& [name, vm] : vms_) {
      outcome.violation_seconds += vm.runner->violation_seconds();
      outcome.max_violation =
          std::max(outcome.max_violation, vm.runner->max_violation());
      outcome.best_effort_core_seconds += vm.runner->best_effort_core_seconds();
    }
    outcome.serving_seconds =
        Seconds(load_.arrival_phase + load_.drain_phase).count() *
        load_.serving_steps * load_.serving_tasks;
    outcome.counts = owner_->counts();
    outcome.owner_wall_seconds = owner_wall_seconds_;
    return outcome;
  }

  const ReplayLoad& load_;
  std::mt19937_64 random_;
  VirtualTime time_;
  WorkloadModel workload_model_;
  // Mean added tail by serving and best-effort image.
  std::map<std::string, std::map<std::string, Duration>> added_tails_;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, Workflow> workflows_;
  std::map<std::string, SimulatedWorkflow> simulated_workflows_;
  std::set<std::string> unfinished_;
  uint64_t next_id_ = 0;
  bool tick_pending_ = false;
  TimePoint next_commit_at_{};
  std::map<std::string, double> owner_wall_seconds_;
};

}  // namespace

double ReplayedWorkflow::score() const {
  if (!completion_time) return 0;
  if (*completion_time <= objective) return 1;
  return *completion_time <= kLateObjectives * objective ? kLateScore : 0;
}

double ReplayOutcome::Score(bool best_effort) const {
  double mean = 0;
  size_t count = 0;
  for (const ReplayedWorkflow& workflow : workflows) {
    if (workflow.best_effort != best_effort) continue;
    mean += workflow.core_seconds;
    ++count;
  }
  if (count == 0) return 1;
  mean /= static_cast<double>(count);
  double total_weight = 0;
  double total_score = 0;
  for (const ReplayedWorkflow& workflow : workflows) {
    if (workflow.best_effort != best_effort) continue;
    const double weight =
        std::min(4.0, 0.3 + 0.7 * workflow.core_seconds / mean);
    total_weight += weight;
    total_score += weight * workflow.score();
  }
  return total_score / total_weight;
}

Duration ReplayOutcome::LongestIdle() const {
  Duration longest{};
  for (const ReplayedWorkflow& workflow : workflows) {
    longest = std::max(longest, workflow.longest_idle);
  }
  return longest;
}

size_t ReplayOutcome::Unfinished() const {
  return static_cast<size_t>(std::count_if(
      workflows.begin(), workflows.end(),
      [](const auto& workflow) { return !workflow.completion_time; }));
}

ReplayOutcome RunLoadReplay(const ReplayLoad& load) {
  return LoadReplay(load).Run();
}

}  // namespace beamhill
