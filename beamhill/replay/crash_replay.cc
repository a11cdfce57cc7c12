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
constexpr UnixMillis kUnix{1'000'000};
// As in the processes: the owner's and the executors' ticks, the time of a
// message and of a transaction.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kMessageTime = milliseconds(1);
constexpr Duration kCommitTime = milliseconds(6);
constexpr Duration kUnstableFor = milliseconds(1500);
constexpr Duration kUnstableUp = milliseconds(2500);
constexpr uint32_t kTasksOfService = 6;
// The users count what is started after so many losses.
constexpr uint32_t kCountedLosses = 3;

class CrashReplay {
 public:
  explicit CrashReplay(const CrashLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {}

  CrashOutcome Play() {
    TakeOver();
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm(i);
    Repeat(kOwnerTick, [this] { Tick(); });
    if (load_.owner_for > Duration(0)) {
      Repeat(load_.owner_for, [this] {
        if (SinceStart() < load_.traffic + load_.drain / 2) TakeOver();
      });
    }
    for (uint32_t i = 0; i < load_.services; ++i) AddService(i);
    for (uint32_t i = 0; i < load_.crashing; ++i) {
      time_.After(milliseconds(2000 + 400 * i), [this, i] { AddCrashing(i); });
    }
    Arrive();
    LoseRunners();
    for (uint32_t i = 0; i < load_.unstable_vms; ++i) LoseAgain(i);
    time_.RunUntil(kStart + load_.traffic + load_.drain);
    return Finish();
  }

 private:
  struct VmNode {
    std::unique_ptr<CrashingRunner> runner;
    std::unique_ptr<Executor> executor;
  };
  struct Record {
    Workflow workflow;
    bool crashing = false;
    TimePoint added_at{};
    std::optional<WorkflowState> outcome;
    Duration took{};
    std::vector<Duration> runs;  // By step.
    uint32_t losses = 0;
    uint32_t starts_after = 0;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Duration Exponential(double per_s) {
    const Seconds gap(std::exponential_distribution<double>(per_s)(random_));
    return std::chrono::duration_cast<Duration>(gap);
  }
  uint32_t Draw(uint32_t least, uint32_t most) {
    return std::uniform_int_distribution<uint32_t>(least, most)(random_);
  }
  Duration SinceStart() const { return time_.now() - kStart; }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }

  // The task of a crashing workflow that takes runners down is its last one.
  bool Crashes(const TaskRef& task) const {
    const Record& record = records_.at(task.workflow);
    return record.crashing && task.index + 1 == load_.tasks_of_crashing;
  }

  CrashingRunnerHooks RunnerHooksOf(const std::string& name) {
    CrashingRunnerHooks hooks;
    hooks.task_of = [this](const TaskRef& task) {
      const Record& record = records_.at(task.workflow);
      CrashingTask truth;
      truth.run = record.runs[task.step];
      truth.cpu_millis = record.workflow.steps[task.step].each.cpu_millis;
      if (Crashes(task)) truth.crashes_after = load_.crashes_after;
      return truth;
    };
    hooks.on_up = [this, name](const VmStatus& status) {
      vms_.at(name).executor->OnRunnerRegistered(
          status, std::chrono::duration_cast<RunnerClock>(
                      time_.now().time_since_epoch()));
    };
    hooks.on_start = [this](const RunRef& run) {
      Record& record = records_.at(run.task.workflow);
      if (Crashes(run.task) && record.losses >= kCountedLosses) {
        ++record.starts_after;
      }
    };
    hooks.on_crash = [this](const RunRef& run) {
      ++records_.at(run.task.workflow).losses;
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
            name, {load_.vm_cpu_millis, 64000, 0}, load_.down_for},
        RunnerHooksOf(name));
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t link, const DispatchMessage& message) {
      time_.After(kMessageTime, [this, name, link, message] {
        if (link == epoch_) OnVm(name, message);
      });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    vm.runner->ComeUp();
    Executor* executor = vm.executor.get();
    Repeat(kExecutorTick, [executor] { executor->Tick(); });
    owner_->OnLinkUp(name);
  }

  // The next owner knows what is stored, and nothing else.
  void TakeOver() {
    ++epoch_;
    DispatcherOptions options;
    options.epoch = epoch_;
    if (epoch_ > 1) {
      for (const auto& [name, vm] : vms_) options.inherited_vms.push_back(name);
    }
    owner_ = Dispatcher::Create(options, nullptr, time_.now());
    for (const auto& [id, record] : records_) {
      const auto stored = stored_.find(id);
      owner_->AddWorkflow(record.workflow,
                          stored == stored_.end()
                              ? std::nullopt
                              : std::optional(stored->second),
                          time_.now());
    }
    for (const auto& [name, vm] : vms_) owner_->OnLinkUp(name);
  }

  void OnVm(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    if (const auto* beat = std::get_if<VmHeartbeat>(&message)) {
      owner_->OnHeartbeat(name, *beat, now);
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
    owner_->Tick(now,
                 kUnix + std::chrono::duration_cast<UnixMillis>(SinceStart()));
    if (const auto commit = owner_->TakeCommit(now)) {
      time_.After(kCommitTime, [this, commit = *commit, epoch = epoch_] {
        // One that comes late finds that the ownership has changed hands.
        if (epoch != epoch_) return;
        for (const auto& [id, record] : commit.progress) stored_[id] = record;
        owner_->OnCommitted();
        Flush();
        NoteOutcomes(commit);
      });
    }
    Flush();
  }

  void NoteOutcomes(const DispatchCommit& commit) {
    for (const auto& [id, stored] : commit.progress) {
      Record& record = records_.at(id);
      if (record.outcome || stored.state < WorkflowState::kCompleted) continue;
      record.outcome = stored.state;
      record.took = time_.now() - record.added_at;
    }
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      Executor* executor = vms_.at(out.vm).executor.get();
      time_.After(kMessageTime,
                  [executor, link = epoch_, message = out.message] {
                    executor->OnMessage(link, message);
                  });
    }
  }

  void Add(Workflow workflow, std::vector<Duration> runs, bool crashing) {
    workflow.queue = "q";
    workflow.service = "web";
    workflow.offered_to_epoch = epoch_;
    workflow.policy.max_attempts = 3;
    workflow.policy.stretch = 2;
    workflow.policy.target_latency = seconds(1);
    Record& record = records_[workflow.id];
    record.crashing = crashing;
    record.added_at = time_.now();
    record.runs = std::move(runs);
    record.workflow = workflow;
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
  }

  void AddService(uint32_t number) {
    Workflow workflow;
    workflow.id = "service-" + std::to_string(number);
    workflow.steps.resize(1);
    workflow.steps[0].tasks = kTasksOfService;
    workflow.steps[0].each = {1500, 1000, 0};
    workflow.steps[0].long_running = true;
    workflow.steps[0].image = "s" + std::to_string(number);
    workflow.steps[0].tail_target = milliseconds(20);
    Add(std::move(workflow), {Duration(0)}, /*crashing=*/false);
  }

  void AddCrashing(uint32_t number) {
    Workflow workflow;
    workflow.id = "crashing-" + std::to_string(number);
    workflow.steps.resize(1);
    WorkflowStep& step = workflow.steps[0];
    step.tasks = load_.tasks_of_crashing;
    step.each = {300, 100, 0};
    step.declared_run = seconds(1);
    step.long_running = load_.crashing_lasts;
    const Duration run = load_.crashing_lasts ? Duration(0) : seconds(1);
    Add(std::move(workflow), {run}, /*crashing=*/true);
  }

  void AddQuick() {
    Workflow workflow;
    workflow.id = "quick-" + std::to_string(records_.size());
    const uint32_t steps = Draw(1, 2);
    std::vector<Duration> runs;
    for (uint32_t i = 0; i < steps; ++i) {
      WorkflowStep step;
      step.tasks = Draw(1, 10);
      step.each = {300, 100, 0};
      runs.push_back(milliseconds(Draw(300, 1500)));
      step.declared_run = runs.back();
      if (i > 0) step.after = {i - 1};
      workflow.steps.push_back(std::move(step));
    }
    Add(std::move(workflow), std::move(runs), /*crashing=*/false);
  }

  void Arrive() {
    time_.After(Exponential(load_.workflows_per_s), [this] {
      if (SinceStart() > load_.traffic) return;
      AddQuick();
      Arrive();
    });
  }

  void Lose(uint32_t number, Duration down_for) {
    CrashingRunner& runner = *vms_.at("vm-" + std::to_string(number)).runner;
    if (!runner.is_up()) return;
    ++runners_lost_;
    runner.GoDown(down_for);
  }

  void LoseRunners() {
    if (load_.other_losses_per_s <= 0) return;
    time_.After(Exponential(load_.other_losses_per_s), [this] {
      if (SinceStart() > load_.traffic) return;
      Lose(Draw(0, load_.vms - 1), load_.down_for);
      LoseRunners();
    });
  }

  void LoseAgain(uint32_t number) {
    const auto up =
        std::chrono::duration_cast<Duration>(kUnstableUp * (0.5 + Uniform()));
    time_.After(kUnstableFor + up, [this, number] {
      if (SinceStart() > load_.traffic) return;
      Lose(number, kUnstableFor);
      LoseAgain(number);
    });
  }

  CrashOutcome Finish() const {
    CrashOutcome outcome;
    outcome.runners_lost = runners_lost_;
    Duration sum{};
    for (const auto& [id, record] : records_) {
      const bool failed = record.outcome == WorkflowState::kFailed;
      if (record.crashing) {
        outcome.most_losses = std::max(outcome.most_losses, record.losses);
        outcome.most_starts_after_three =
            std::max(outcome.most_starts_after_three, record.starts_after);
        if (!failed) ++outcome.crashing_not_given_up;
        continue;
      }
      const bool done = record.outcome == WorkflowState::kCompleted;
      const bool lasts = record.workflow.steps[0].long_running;
      if (failed) ++outcome.given_up;
      if (done) {
        ++outcome.done;
        sum += record.took;
      }
      const bool at_work =
          lasts && owner_->HeldRunsOf(id) == record.workflow.steps[0].tasks;
      if (!done && !failed && !at_work) ++outcome.unfinished;
    }
    if (outcome.done > 0) {
      outcome.mean_seconds =
          Seconds(sum).count() / static_cast<double>(outcome.done);
    }
    return outcome;
  }

  const CrashLoad& load_;
  std::mt19937_64 random_;
  VirtualTime time_;
  uint64_t epoch_ = 0;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, Record> records_;
  std::map<std::string, ProgressRecord> stored_;
  uint32_t runners_lost_ = 0;
};

}  // namespace

std::string CrashOutcome::ToString() const {
  std::ostringstream out;
  out << "most losses " << most_losses << " starts after three "
      << most_starts_after_three << " not given up " << crashing_not_given_up
      << "; sound: given up " << given_up << " unfinished " << unfinished
      << " done " << done << " in " << mean_seconds << " s; runners lost "
      << runners_lost;
  return out.str();
}

CrashOutcome PlayCrashes(const CrashLoad& load) {
  return CrashReplay(load).Play();
}

}  // namespace beamhill
