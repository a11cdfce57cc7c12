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
constexpr UnixMillis kUnix{1'000'000};
constexpr uint64_t kEpoch = 1;
constexpr uint64_t kLink = 1;
constexpr char kService[] = "web";
// As in the processes: the owner's ticks, the executors' ticks, the time of a
// message and of a transaction.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kSoon = milliseconds(2);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kMessageTime = milliseconds(1);
constexpr Duration kCommitTime = milliseconds(6);
constexpr Duration kCommitInterval = milliseconds(40);
constexpr Duration kWeightsInterval = std::chrono::seconds(1);
constexpr Duration kWorkStep = milliseconds(25);
constexpr Duration kWatchStep = milliseconds(100);
// Disturbance and load swing by half, with this period.
constexpr double kSwing = 0.5;
constexpr double kSwingSeconds = 10;
constexpr double kTurn = 6.283185307179586;
constexpr double kLightPart = 0.05;
constexpr double kLateCredit = 0.15;
constexpr int kLateFactor = 3;
constexpr double kServingUse = 0.42;
// The users count the objective of a step that is wider than this part of all
// processors in waves.
constexpr int64_t kWavesOfRoom = 4;
constexpr double kWidthSpread = 0.6;
constexpr double kCpuSpread = 0.3;
constexpr double kRunSpread = 0.5;
constexpr double kLongestRun = 2.5;  // Over the mean.

class LoadReplay {
 public:
  explicit LoadReplay(const ReplayLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {
    DispatcherOptions options;
    options.epoch = kEpoch;
    owner_ = Dispatcher::Create(options, nullptr, kStart);
    MakePhysics();
  }

  ReplayOutcome Play() {
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm(i);
    Repeat(kOwnerTick, [this] { Tick(); });
    Repeat(kWeightsInterval, [this] {
      Timed("weights", [this] { owner_->SendWeights(); });
      Flush();
    });
    Repeat(kWorkStep, [this] {
      for (auto& vm : vms_) vm.second.runner->Advance(kWorkStep);
    });
    Repeat(kWatchStep, [this] { Watch(); });
    time_.RunUntil(kStart + milliseconds(100));
    for (uint32_t i = 0; i < load_.serving_steps; ++i) AddServing(i);
    Arrive(load_.filling, /*fills=*/true);
    Arrive(load_.quick, /*fills=*/false);
    time_.RunUntil(kStart + load_.traffic + load_.drain);
    return Finish();
  }

 private:
  struct VmNode {
    std::unique_ptr<ReplayRunner> runner;
    std::unique_ptr<Executor> executor;
  };
  struct Truth {
    std::vector<std::vector<Duration>> run;   // By step and task.
    std::vector<std::set<uint32_t>> failing;  // Tasks whose first run fails.
    ReplayedWorkflow outcome;
    std::optional<TimePoint> idle_since;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  // Of mean 1.
  double Spread(double sigma) {
    return std::lognormal_distribution<double>(-sigma * sigma / 2,
                                               sigma)(random_);
  }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }

  void MakePhysics() {
    for (uint32_t s = 0; s < load_.serving_images; ++s) {
      for (uint32_t f = 0; f < load_.filling_images; ++f) {
        const bool heavy = Uniform() < load_.harmful_part;
        const double part = heavy ? 0.3 + 1.4 * Uniform() : kLightPart;
        added_["s" + std::to_string(s)]["f" + std::to_string(f)] =
            std::chrono::duration_cast<Duration>(load_.added_tail * part);
      }
    }
    physics_.serving_use = kServingUse;
    physics_.task_of = [this](const RunRef& run) { return TaskOf(run); };
    physics_.tail_alone = [this](const std::string& serving, TimePoint now) {
      return Swung(load_.tail_alone, serving, now);
    };
    physics_.added_tail = [this](const std::string& serving,
                                 const std::string& filling, TimePoint now) {
      return Swung(added_.at(serving).at(filling), filling, now);
    };
  }

  static Duration Swung(Duration mean, const std::string& image,
                        TimePoint now) {
    const double phase =
        static_cast<double>(std::hash<std::string>()(image) % 100) / 100;
    const double turns = Seconds(now - kStart).count() / kSwingSeconds + phase;
    return std::chrono::duration_cast<Duration>(
        mean * (1 + kSwing * std::sin(kTurn * turns)));
  }

  ReplayTask TaskOf(const RunRef& run) {
    ReplayTask task;
    const Workflow& workflow = specs_.at(run.task.workflow);
    const WorkflowStep& step = workflow.steps[run.task.step];
    task.image = step.image;
    task.fills = step.fills;
    task.cpu_millis = step.each.cpu_millis;
    task.memory_mib = step.each.memory_mib;
    task.tail_target = step.tail_target;
    task.lasts = step.long_running;
    task.saves = step.saves_progress;
    if (task.lasts) return task;
    task.work = truths_.at(workflow.id).run[run.task.step][run.task.index];
    const auto& failing = truths_.at(workflow.id).failing[run.task.step];
    task.fails = run.run == 1 && failing.count(run.task.index) > 0;
    return task;
  }

  void AddVm(uint32_t number) {
    const std::string name = "vm-" + std::to_string(number);
    VmNode& vm = vms_[name];
    vm.runner = std::make_unique<ReplayRunner>(time_, physics_, load_.vm);
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t, const DispatchMessage& message) {
      time_.After(kMessageTime, [this, name, message] { OnVm(name, message); });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    VmStatus status;
    status.life = name + "-life";
    status.service = kService;
    status.capacity = load_.vm;
    vm.executor->OnRunner(status, std::chrono::duration_cast<RunnerClock>(
                                      time_.now().time_since_epoch()));
    Executor* executor = vm.executor.get();
    Repeat(kExecutorTick, [executor] { executor->Tick(); });
    owner_->OnLinkUp(name);
    Flush();
  }

  // Runs a part of the owner and notes what it took.
  void Timed(const char* part, const std::function<void()>& call) {
    const auto before = std::chrono::steady_clock::now();
    call();
    owner_seconds_[part] +=
        Seconds(std::chrono::steady_clock::now() - before).count();
  }

  void OnVm(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    if (const auto* beat = std::get_if<VmHeartbeat>(&message)) {
      Timed("heartbeats", [&] { owner_->OnHeartbeat(name, *beat, now); });
      Flush();
      return;
    }
    if (const auto* pressure = std::get_if<VmPressure>(&message)) {
      Timed("pressure", [&] { owner_->OnPressure(name, *pressure); });
      return;
    }
    if (const auto* inventory = std::get_if<VmInventory>(&message)) {
      owner_->OnInventory(name, *inventory, now);
    } else if (const auto* reports = std::get_if<RunReports>(&message)) {
      Timed("reports", [&] { owner_->OnReports(name, *reports, now); });
    }
    TickSoon();
  }

  void TickSoon() {
    if (tick_pending_) return;
    tick_pending_ = true;
    time_.After(kSoon, [this] {
      tick_pending_ = false;
      Tick();
    });
  }

  void Tick() {
    const TimePoint now = time_.now();
    owner_->OnConfirmed(now);
    const UnixMillis unix_now =
        kUnix + std::chrono::duration_cast<UnixMillis>(now - kStart);
    Timed("ticks", [&] { owner_->Tick(now, unix_now); });
    MaybeCommit();
    Flush();
  }

  void MaybeCommit() {
    const TimePoint now = time_.now();
    if (now < commit_after_ || !owner_->TakeCommit(now)) return;
    commit_after_ = now + kCommitInterval;
    time_.After(kCommitTime, [this] {
      owner_->OnCommitted();
      Flush();
      TickSoon();
    });
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      const bool on_pace =
          std::holds_alternative<PacePolicyNotice>(out.message);
      if (on_pace && load_.always_cautious) continue;
      Executor* executor = vms_.at(out.vm).executor.get();
      time_.After(kMessageTime, [executor, message = out.message] {
        executor->OnMessage(kLink, message);
      });
    }
  }

  void Arrive(const ReplayKind& kind, bool fills) {
    if (kind.per_s <= 0) return;
    double rate = kind.per_s;
    const Duration since = time_.now() - kStart;
    const bool in_burst =
        since >= load_.burst_at && since < load_.burst_at + load_.burst_for;
    if (fills && in_burst) rate *= load_.burst;
    const Seconds gap(std::exponential_distribution<double>(rate)(random_));
    const auto wait = std::chrono::duration_cast<Duration>(gap);
    time_.After(wait, [this, &kind, fills] {
      if (time_.now() - kStart > load_.traffic) return;
      AddWork(kind, fills);
      Arrive(kind, fills);
    });
  }

  WorkflowStep DrawStep(const ReplayKind& kind, Duration run) {
    WorkflowStep step;
    const double width = kind.tasks * Spread(kWidthSpread);
    step.tasks =
        std::clamp<uint32_t>(static_cast<uint32_t>(width), 1, kind.most_tasks);
    step.each = kind.each;
    step.each.cpu_millis =
        static_cast<int64_t>(static_cast<double>(kind.each.cpu_millis) *
                             std::min(2.0, Spread(kCpuSpread)));
    const double off = std::exp(load_.estimates_off * (2 * Uniform() - 1));
    step.declared_run = std::chrono::duration_cast<Duration>(run * off);
    return step;
  }

  void AddWork(const ReplayKind& kind, bool fills) {
    Workflow workflow;
    workflow.id = (fills ? "fill-" : "quick-") + std::to_string(next_id_++);
    workflow.queue = fills ? "batch" : "quick";
    workflow.service = kService;
    workflow.offered_to = kEpoch;
    workflow.policy.max_attempts = 4;
    workflow.policy.stretch = kind.stretch;
    workflow.policy.target_latency = kind.target_latency;
    workflow.policy.priority = kind.priority;
    const std::string image =
        "f" + std::to_string(static_cast<uint32_t>(
                  Uniform() * static_cast<double>(load_.filling_images)));
    const bool saves = fills && Uniform() < load_.saving_part;
    const auto steps = std::clamp<uint32_t>(
        static_cast<uint32_t>(std::lround(kind.steps * Spread(kCpuSpread))), 1,
        5);
    Truth truth;
    Duration chain{};
    for (uint32_t i = 0; i < steps; ++i) {
      const auto run = std::chrono::duration_cast<Duration>(
          kind.run * std::min(kLongestRun, Spread(kRunSpread)));
      WorkflowStep step = DrawStep(kind, run);
      step.fills = fills;
      step.saves_progress = saves;
      if (fills) step.image = image;
      if (i > 0) step.after = {i - 1};
      truth.run.emplace_back(step.tasks, run);
      truth.failing.emplace_back();
      for (uint32_t task = 0; fills && task < step.tasks; ++task) {
        if (Uniform() < load_.failing_part) truth.failing.back().insert(task);
      }
      const int64_t wave = load_.vms * load_.vm.cpu_millis / kWavesOfRoom;
      const int64_t waves =
          (step.each.cpu_millis * step.tasks + wave - 1) / wave;
      chain += run * (waves + (truth.failing.back().empty() ? 0 : 1));
      truth.outcome.core_seconds += step.tasks * Seconds(run).count() *
                                    static_cast<double>(step.each.cpu_millis) /
                                    kMillicoresPerCore;
      workflow.steps.push_back(std::move(step));
    }
    truth.outcome.id = workflow.id;
    truth.outcome.fills = fills;
    truth.outcome.arrived = time_.now() - kStart;
    truth.outcome.objective =
        std::chrono::duration_cast<Duration>(chain * kind.stretch) +
        kind.target_latency;
    specs_[workflow.id] = workflow;
    truths_[workflow.id] = std::move(truth);
    open_.insert(workflow.id);
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    TickSoon();
  }

  void AddServing(uint32_t number) {
    Workflow workflow;
    workflow.id = "serve-" + std::to_string(number);
    workflow.queue = "serve";
    workflow.service = kService;
    workflow.offered_to = kEpoch;
    workflow.steps.resize(1);
    WorkflowStep& step = workflow.steps[0];
    step.tasks = load_.serving_tasks;
    step.each = load_.serving_each;
    step.long_running = true;
    step.image = "s" + std::to_string(number % load_.serving_images);
    step.tail_target = load_.tail_target;
    specs_[workflow.id] = workflow;
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    TickSoon();
  }

  // Whether the users would say that there is room: half of the memory is free.
  bool HasRoom() const {
    int64_t used = 0;
    for (const auto& [name, vm] : vms_) used += vm.runner->memory_in_use_mib();
    return 2 * used < load_.vms * load_.vm.memory_mib;
  }

  // Follows what is open: when it ends, and how long it has nothing at work.
  void Watch() {
    const TimePoint now = time_.now();
    const bool has_room = HasRoom();
    for (auto it = open_.begin(); it != open_.end();) {
      Truth& truth = truths_.at(*it);
      const auto state = owner_->StateOf(*it);
      if (state && *state >= WorkflowState::kCompleted) {
        if (*state == WorkflowState::kCompleted) {
          truth.outcome.took = now - kStart - truth.outcome.arrived;
        }
        it = open_.erase(it);
        continue;
      }
      if (!has_room || owner_->HeldRunsOf(*it) > 0) {
        truth.idle_since.reset();
      } else if (!truth.idle_since) {
        truth.idle_since = now;
      } else {
        truth.outcome.longest_idle =
            std::max(truth.outcome.longest_idle, now - *truth.idle_since);
      }
      ++it;
    }
  }

  ReplayOutcome Finish() {
    ReplayOutcome outcome;
    for (auto& entry : truths_) {
      outcome.workflows.push_back(std::move(entry.second.outcome));
    }
    for (const auto& [name, vm] : vms_) {
      outcome.harm_seconds += vm.runner->harm_seconds();
      outcome.longest_harm =
          std::max(outcome.longest_harm, vm.runner->longest_harm());
      outcome.filled_core_seconds += vm.runner->filled_core_seconds();
    }
    outcome.serving_seconds = Seconds(load_.traffic + load_.drain).count() *
                              load_.serving_steps * load_.serving_tasks;
    outcome.counts = owner_->counts();
    outcome.owner_seconds = owner_seconds_;
    return outcome;
  }

  const ReplayLoad& load_;
  std::mt19937_64 random_;
  VirtualTime time_;
  ReplayPhysics physics_;
  // By serving and filling image.
  std::map<std::string, std::map<std::string, Duration>> added_;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, Workflow> specs_;
  std::map<std::string, Truth> truths_;
  std::set<std::string> open_;
  uint64_t next_id_ = 0;
  bool tick_pending_ = false;
  TimePoint commit_after_{};
  std::map<std::string, double> owner_seconds_;
};

}  // namespace

double ReplayedWorkflow::credit() const {
  if (!took) return 0;
  if (*took <= objective) return 1;
  return *took <= kLateFactor * objective ? kLateCredit : 0;
}

double ReplayOutcome::Earned(bool fills) const {
  double mean = 0;
  size_t count = 0;
  for (const ReplayedWorkflow& workflow : workflows) {
    if (workflow.fills != fills) continue;
    mean += workflow.core_seconds;
    ++count;
  }
  if (count == 0) return 1;
  mean /= static_cast<double>(count);
  double owed = 0;
  double earned = 0;
  for (const ReplayedWorkflow& workflow : workflows) {
    if (workflow.fills != fills) continue;
    const double worth =
        std::min(4.0, 0.3 + 0.7 * workflow.core_seconds / mean);
    owed += worth;
    earned += worth * workflow.credit();
  }
  return earned / owed;
}

Duration ReplayOutcome::LongestIdle() const {
  Duration longest{};
  for (const ReplayedWorkflow& workflow : workflows) {
    longest = std::max(longest, workflow.longest_idle);
  }
  return longest;
}

size_t ReplayOutcome::Unfinished() const {
  return static_cast<size_t>(
      std::count_if(workflows.begin(), workflows.end(),
                    [](const auto& workflow) { return !workflow.took; }));
}

ReplayOutcome PlayLoad(const ReplayLoad& load) {
  return LoadReplay(load).Play();
}

}  // namespace beamhill
