#include "beamhill/replay/waiting_replay.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/executor/executor.h"
#include "beamhill/replay/leased_runner.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnixStart{1'000'000};
constexpr uint64_t kEpoch = 1;
// Tick intervals as in the real processes, and the simulated latencies of a
// message and of a table transaction.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kRunnerTick = milliseconds(50);
constexpr Duration kMessageLatency = milliseconds(1);
constexpr Duration kCommitLatency = milliseconds(6);
constexpr Duration kAttachInterval = milliseconds(1500);
constexpr Duration kCheckInterval = milliseconds(100);
// Users count a task as lost that has not run for the first time, while there
// was room for it throughout the second, in calm times.
constexpr Duration kMaxDowntime = seconds(6);
constexpr Duration kRoomTime = seconds(3);
constexpr Duration kCalmAfter = seconds(7);
// Each phase begins with cuts, which end well before it does.
constexpr int kPhases = 3;
constexpr Duration kFirstPhase = seconds(8);
constexpr Duration kPhase = seconds(32);
constexpr int kMaxCuts = 3;
// Names sort by their numbers.
constexpr size_t kFirstName = 10000;
constexpr char kLabel[] = "ssd";
constexpr size_t kMaxDiagnoses = 3;

class WaitingReplay {
 public:
  explicit WaitingReplay(uint64_t seed) : random_(seed), time_(kStart) {
    DispatcherOptions options;
    options.epoch = kEpoch;
    owner_ = Dispatcher::Create(options, nullptr, kStart);
  }

  WaitingOutcome Run() {
    outcome_.vms = UniformInt(16, 76);
    for (uint32_t i = 0; i < outcome_.vms; ++i) {
      AddVm("vm-" + std::to_string(kFirstName + i));
    }
    Repeat(kOwnerTick, [this] { Tick(); });
    Repeat(kAttachInterval, [this] {
      owner_->RetryAttach();
      Flush();
    });
    Repeat(kRunnerTick, [this] {
      for (auto& [name, vm] : vms_) vm.runner->Tick();
    });
    Repeat(kExecutorTick, [this] {
      for (auto& [name, vm] : vms_) vm.executor->Tick();
    });
    Repeat(kCheckInterval, [this] { CheckWaits(); });
    time_.RunUntil(kStart + milliseconds(500));
    // The last tenth arrives later, in all phases.
    outcome_.reserved = UniformInt(75, 90) / 100.0;
    const double at_first = outcome_.reserved - 0.1;
    SubmitLongRunning(at_first);
    const auto backlog = UniformInt(5000, 15000) * outcome_.vms;
    Repeat(kOwnerTick, [this, backlog] { SubmitShort(backlog); });
    const Duration end = kFirstPhase + kPhases * kPhase;
    Repeat(seconds(4), [this, at_first, end] {
      const double part = static_cast<double>((time_.now() - kStart).count()) /
                          static_cast<double>(end.count());
      SubmitLongRunning(at_first + 0.1 * part);
    });
    Repeat(seconds(2), [this] { DisturbVm(); });
    for (int i = 0; i < kPhases; ++i) {
      time_.RunUntil(kStart + kFirstPhase + i * kPhase);
      CutSeries();
    }
    time_.RunUntil(kStart + end);
    return std::move(outcome_);
  }

 private:
  struct VmNode {
    std::unique_ptr<LeasedRunner> runner;
    std::unique_ptr<Executor> executor;
    VmStatus status;
    uint64_t link = 0;  // Messages sent on an earlier link are dropped.
    bool linked = false;
    TimePoint back_at{};
    TimePoint refuses_until{};
  };
  // What a VM has for long-running tasks by this replay's own account.
  struct VmRoom {
    Resources free;
    Resources beside_long_running;
    std::map<std::string, uint32_t> tasks;  // Long-running, by workflow.
  };
  struct Job {
    Workflow workflow;
    Duration run_time{};
    std::set<TaskRef> done;
  };
  // A long-running task that has run before.
  struct Task {
    int runs = 0;
    TimePoint last_ran{};
    std::optional<TimePoint> unused_since;  // Room::kUnused.
    std::optional<TimePoint> room_since;    // That or kBesideShortTasks.
    bool lost = false;
  };

  uint32_t UniformInt(uint32_t min_value, uint32_t max_value) {
    return std::uniform_int_distribution<uint32_t>(min_value,
                                                   max_value)(random_);
  }
  bool Chance(uint32_t percent) { return UniformInt(1, 100) <= percent; }
  Duration UniformMillis(uint32_t min_value, uint32_t max_value) {
    return milliseconds(UniformInt(min_value, max_value));
  }
  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }
  const WorkflowStep& StepOf(const TaskRef& task) const {
    return jobs_.at(task.workflow).workflow.steps[0];
  }

  void AddVm(const std::string& name) {
    VmNode& vm = vms_[name];
    LeasedRunnerHooks hooks;
    hooks.run_time_of = [this](const TaskRef& task) {
      return jobs_.at(task.workflow).run_time;
    };
    hooks.on_start = [this](const RunRef& run) {
      if (StepOf(run.task).long_running) ++tasks_[run.task].runs;
    };
    hooks.on_end = [this](const RunRef& run, RunEndKind kind) {
      OnEnd(run.task, kind);
    };
    hooks.on_end_lost = [](const RunEnd&) {};
    vm.runner = std::make_unique<LeasedRunner>(time_, std::move(hooks));
    TaskRunner runner = vm.runner->Hooks();
    runner.start = [this, &vm, start = runner.start](RunnerStart call,
                                                     auto done) {
      if (time_.now() >= vm.refuses_until) return start(std::move(call), done);
      time_.After(kMessageLatency, [done] {
        done({RunnerVerdict::kNoRoom, std::nullopt});
      });
    };
    ExecutorHooks executor_hooks;
    executor_hooks.now = [this] { return time_.now(); };
    executor_hooks.send = [this, name, &vm](uint64_t link,
                                            const DispatchMessage& message) {
      time_.After(kMessageLatency, [this, name, &vm, link, message] {
        if (vm.linked && vm.link == link) OnVmMessage(name, message);
      });
    };
    executor_hooks.log = [](const std::string&, const std::string&,
                            const std::string&) {};
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             std::move(runner), executor_hooks);
    const int64_t cores = Chance(50) ? 16 : 24;
    vm.status.incarnation = name + "-incarnation";
    vm.status.service = "web";
    vm.status.capacity = {cores * 1000, cores * UniformInt(2500, 4000), 0};
    if (Chance(50)) {
      vm.status.labels = {kLabel};
      ++labelled_vms_;
    }
    capacity_cpu_ += vm.status.capacity.cpu_millis;
    Register(vm);
    Connect(name, vm);
  }

  void Register(VmNode& vm) {
    vm.executor->OnRunnerRegistered(vm.status,
                                    std::chrono::duration_cast<RunnerClock>(
                                        time_.now().time_since_epoch()));
  }

  void OnEnd(const TaskRef& ref, RunEndKind kind) {
    if (StepOf(ref).long_running) {
      Task& task = tasks_.at(ref);
      --task.runs;
      task.last_ran = time_.now();
      if (kind == RunEndKind::kLapsed) ++outcome_.lapsed;
    } else if (kind == RunEndKind::kDone) {
      jobs_.at(ref.workflow).done.insert(ref);
    }
  }

  void Connect(const std::string& name, VmNode& vm) {
    ++vm.link;
    vm.linked = true;
    owner_->OnLinkUp(name);
    Flush();
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
        now, kUnixStart + std::chrono::duration_cast<UnixMillis>(now - kStart));
    if (owner_->TakeCommit(now)) {
      time_.After(kCommitLatency, [this] {
        owner_->OnCommitted();
        Flush();
      });
    }
    Flush();
  }

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      VmNode& vm = vms_.at(out.vm);
      if (!vm.linked) continue;
      time_.After(kMessageLatency, [&vm, link = vm.link, m = out.message] {
        if (vm.linked && vm.link == link) vm.executor->OnMessage(link, m);
      });
    }
  }

  std::string Submit(const char* kind, const WorkflowStep& step,
                     Duration run_time) {
    Job job;
    job.workflow.id = kind + std::to_string(kFirstName + jobs_.size());
    job.workflow.queue = kind;
    job.workflow.service = "web";
    job.workflow.offered_to_epoch = kEpoch;
    job.workflow.policy.max_attempts = 100;
    job.workflow.policy.target_latency = UniformMillis(100, 6000);
    if (!step.long_running && Chance(50)) job.workflow.policy.priority = -1;
    job.workflow.steps = {step};
    job.run_time = run_time;
    owner_->AddWorkflow(job.workflow, std::nullopt, time_.now());
    const std::string id = job.workflow.id;
    jobs_[id] = std::move(job);
    return id;
  }

  // Submits workflows until they reserve this share of the processors.
  void SubmitLongRunning(double share) {
    while (true) {
      WorkflowStep step;
      step.long_running = true;
      step.tasks = UniformInt(8, 20);
      step.each = {UniformInt(2000, 5000), UniformInt(3000, 13000), 0};
      step.max_per_vm = Chance(50) ? UniformInt(1, 2) : 0;
      if (Chance(20) && labelled_vms_ > 0) step.required_label = kLabel;
      // A quarter of the VMs may be missing.
      const auto vms =
          step.required_label.empty() ? outcome_.vms : labelled_vms_;
      const uint32_t most = vms * std::max(1U, step.max_per_vm) * 3 / 4;
      step.tasks = std::clamp(most, 1U, step.tasks);
      const int64_t cpu = step.tasks * step.each.cpu_millis;
      if (static_cast<double>(reserved_cpu_ + cpu) >
          share * static_cast<double>(capacity_cpu_)) {
        return;
      }
      reserved_cpu_ += cpu;
      Submit("long-", step, Duration(0));
    }
  }

  // Submits short tasks until so many millicores of them wait or run.
  void SubmitShort(int64_t backlog) {
    int64_t open_cpu = 0;
    for (auto it = open_.begin(); it != open_.end();) {
      const Job& job = jobs_.at(*it);
      const WorkflowStep& step = job.workflow.steps[0];
      const auto left = static_cast<int64_t>(step.tasks - job.done.size());
      open_cpu += left * step.each.cpu_millis;
      it = left == 0 ? open_.erase(it) : std::next(it);
    }
    while (open_cpu < backlog) {
      WorkflowStep step;
      step.gang = Chance(10);
      step.tasks = step.gang ? UniformInt(2, 6) : UniformInt(1, 30);
      step.each = {UniformInt(300, Chance(50) ? 1000 : 3500),
                   UniformInt(200, 3000), 0};
      const Duration run_time = UniformMillis(300, 5000);
      step.declared_run = run_time * UniformInt(50, 150) / 100;
      open_cpu += step.tasks * step.each.cpu_millis;
      open_.insert(Submit("short-", step, run_time));
    }
  }

  std::pair<const std::string, VmNode>& AnyVm() {
    return *std::next(vms_.begin(), UniformInt(0, outcome_.vms - 1));
  }

  // Cuts a fifth to a third of the VMs off, and then again, maybe before all
  // are back.
  void CutSeries() {
    Duration at{};
    const int cuts = static_cast<int>(UniformInt(1, kMaxCuts));
    for (int i = 0; i < cuts; ++i) {
      time_.After(at, [this] { Cut(); });
      at += UniformMillis(1000, 6000);
    }
  }

  void Cut() {
    const uint32_t percent = UniformInt(20, 33);
    // Leases end after 5 s, so that some cuts end most runs and others few.
    const uint32_t shortest = Chance(50) ? 3000 : 5000;
    for (auto& [vm_name, node] : vms_) {
      if (!Chance(percent)) continue;
      const std::string& name = vm_name;
      VmNode& vm = node;
      const Duration outage = UniformMillis(shortest, 6000);
      vm.back_at = std::max(vm.back_at, time_.now() + outage);
      last_back_at_ = std::max(last_back_at_, vm.back_at);
      if (vm.linked) {
        vm.linked = false;
        owner_->OnLinkDown(name);
        vm.executor->OnLinkDown(vm.link);
      }
      time_.After(outage, [this, &name, &vm] {
        if (!vm.linked && time_.now() >= vm.back_at) Connect(name, vm);
      });
    }
  }

  // Some VMs refuse starts or drain for a while.
  void DisturbVm() {
    VmNode& vm = AnyVm().second;
    if (Chance(50)) {
      vm.refuses_until = time_.now() + UniformMillis(2000, 8000);
    } else if (Chance(30) && !vm.status.draining) {
      vm.status.draining = true;
      vm.status.remaining = UniformMillis(1000, 10000);
      Register(vm);
      time_.After(vm.status.remaining, [this, &vm] {
        vm.status.draining = false;
        vm.status.remaining = Duration(0);
        Register(vm);
      });
    }
  }

  // What VMs that take starts have left; others are missing.
  std::map<std::string, VmRoom> Rooms() const {
    std::map<std::string, VmRoom> rooms;
    for (const auto& [name, vm] : vms_) {
      if (!vm.linked || vm.status.draining || time_.now() < vm.refuses_until) {
        continue;
      }
      VmRoom& room = rooms[name];
      room.free = room.beside_long_running = vm.status.capacity;
      for (const auto& [run, since] : vm.runner->runs()) {
        const WorkflowStep& step = StepOf(run.task);
        room.free -= step.each;
        if (!step.long_running) continue;
        room.beside_long_running -= step.each;
        ++room.tasks[run.task.workflow];
      }
    }
    return rooms;
  }

  bool Allows(const std::string& name, const VmRoom& room,
              const TaskRef& task) const {
    const WorkflowStep& step = StepOf(task);
    const auto& labels = vms_.at(name).status.labels;
    if (!step.required_label.empty() && labels.empty()) return false;
    const auto tasks = room.tasks.find(task.workflow);
    return step.max_per_vm == 0 || tasks == room.tasks.end() ||
           tasks->second < step.max_per_vm;
  }

  Room RoomFor(const TaskRef& task,
               const std::map<std::string, VmRoom>& rooms) const {
    Room best = Room::kNone;
    const Resources& need = StepOf(task).each;
    for (const auto& [name, room] : rooms) {
      if (!room.beside_long_running.Holds(need)) continue;
      if (!Allows(name, room, task)) continue;
      if (room.free.Holds(need)) return Room::kUnused;
      best = Room::kBesideShortTasks;
    }
    return best;
  }

  void CheckWaits() {
    const TimePoint now = time_.now();
    const bool calm = now - last_back_at_ >= kCalmAfter;
    const auto rooms = Rooms();
    for (auto& [ref, task] : tasks_) {
      const Room room = task.runs > 0 ? Room::kNone : RoomFor(ref, rooms);
      const auto note = [now](bool holds, std::optional<TimePoint>& since) {
        if (!holds) since.reset();
        if (holds && !since) since = now;
        return since && now - *since >= kRoomTime;
      };
      const bool unused = note(room == Room::kUnused, task.unused_since);
      const bool has_room = note(room != Room::kNone, task.room_since);
      if (task.runs > 0 || !calm) continue;
      const Duration wait = now - task.last_ran;
      const auto record = [this, wait](Room kind) {
        outcome_.waits[kind] = std::max(outcome_.waits[kind], wait);
      };
      if (unused) record(Room::kUnused);
      if (has_room && !unused) record(Room::kBesideShortTasks);
      if (room == Room::kNone) record(Room::kNone);
      if (!has_room || wait < kMaxDowntime || task.lost) continue;
      task.lost = true;
      if (++outcome_.tasks_lost <= kMaxDiagnoses) Diagnose(ref, wait, rooms);
    }
  }

  void Diagnose(const TaskRef& ref, Duration wait,
                const std::map<std::string, VmRoom>& rooms) {
    const Resources& need = StepOf(ref).each;
    std::ostringstream out;
    out << "\n" << ToMillis(time_.now() - kStart) << " ms: " << ref.ToString();
    out << " away for " << ToMillis(wait) << " ms, needs " << need.cpu_millis
        << "; room on";
    for (const auto& [name, room] : rooms) {
      if (!room.beside_long_running.Holds(need)) continue;
      if (!Allows(name, room, ref)) continue;
      out << " " << name << (room.free.Holds(need) ? " now" : "");
    }
    for (const WaitingTask& task : owner_->WaitingTasks(1000, time_.now())) {
      if (!(task.task == ref)) continue;
      out << "; waits for " << WaitReasonName(task.reason) << " "
          << task.reserved_vm << " " << ObstacleName(task.obstacle);
    }
    outcome_.diagnosis += out.str();
  }

  std::mt19937_64 random_;
  VirtualTime time_;
  std::unique_ptr<Dispatcher> owner_;
  std::map<std::string, VmNode> vms_;
  std::map<std::string, Job> jobs_;
  std::map<TaskRef, Task> tasks_;
  uint32_t labelled_vms_ = 0;
  int64_t capacity_cpu_ = 0;
  int64_t reserved_cpu_ = 0;    // By long-running tasks.
  std::set<std::string> open_;  // Short workflows that are not done.
  TimePoint last_back_at_{};
  WaitingOutcome outcome_;
};

}  // namespace

std::string WaitingOutcome::ToString() const {
  std::ostringstream out;
  out << vms << " VMs, " << static_cast<int>(100 * reserved) << " % reserved, "
      << lapsed << " lapsed, " << tasks_lost << " lost, longest wait";
  for (const auto& [room, wait] : waits) {
    const char* const names[] = {"with room unused", "beside short tasks",
                                 "without room"};
    out << ", " << names[static_cast<int>(room)] << " " << ToMillis(wait);
  }
  out << diagnosis;
  return out.str();
}

WaitingOutcome RunWaitingReplay(uint64_t seed) {
  return WaitingReplay(seed).Run();
}

}  // namespace beamhill
