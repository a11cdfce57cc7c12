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
constexpr UnixMillis kUnix{1'000'000};
// As in the processes: ticks, the times of a message and of a transaction, how
// long an owner may act without one, and how often VMs are asked again.
constexpr Duration kOwnerTick = milliseconds(50);
constexpr Duration kExecutorTick = milliseconds(100);
constexpr Duration kRunnerTick = milliseconds(20);
constexpr Duration kMessageTime = milliseconds(1);
constexpr Duration kCommitTime = milliseconds(6);
constexpr Duration kAuthorityTerm = seconds(8);
constexpr Duration kAttachInterval = milliseconds(1500);
constexpr Duration kLongestBrokenLink = seconds(4);
// From the cancellation until nothing runs, the stop itself included.
constexpr Duration kStopBound = kCancelLimit + milliseconds(400);
constexpr Resources kSize{64000, 64000, 0};

class OutageReplay {
 public:
  explicit OutageReplay(const OutageLoad& load)
      : load_(load), random_(load.seed), time_(kStart) {}

  OutageOutcome Play() {
    for (uint32_t i = 0; i < load_.vms; ++i) AddVm("vm-" + std::to_string(i));
    TakeOver();
    Repeat(kOwnerTick, [this] { Tick(); });
    Repeat(kAttachInterval, [this] {
      owner_->RetryAttach();
      Flush();
    });
    Repeat(kRunnerTick, [this] {
      for (auto& [name, vm] : vms_) vm.runner->Tick();
      Check();
    });
    Repeat(kExecutorTick, [this] {
      for (auto& [name, vm] : vms_) vm.executor->Tick();
    });
    Often(seconds(1), [this] { Submit(/*lasting=*/false); });
    Often(seconds(3), [this] { Submit(/*lasting=*/true); });
    Often(seconds(2), [this] { CancelSome(); });
    Often(load_.between_outages, [this] { BeginOutage(); });
    Often(load_.between_broken_links, [this] { BreakLink(); });
    Often(load_.between_restarts, [this] { RestartExecutor(); });
    Often(load_.between_owners, [this] {
      if (table_up_) TakeOver();
    });
    time_.RunUntil(kStart + load_.trouble + load_.calm);
    CheckEnd();
    return std::move(outcome_);
  }

 private:
  struct VmNode {
    std::unique_ptr<LeasedRunner> runner;
    std::unique_ptr<Executor> executor;
    // Counts its links; what was sent on an earlier one is lost.
    uint64_t link = 0;
    bool linked = false;
    TimePoint calm_since{};
  };
  struct Job {
    Workflow workflow;
    Duration work{};
    bool cancel_stored = false;
    std::optional<TimePoint> cancelled_at;  // When its owner knew.
    std::set<TaskRef> done;
  };

  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  uint32_t Draw(uint32_t least, uint32_t most) {
    return std::uniform_int_distribution<uint32_t>(least, most)(random_);
  }
  Duration DrawUpTo(Duration most) {
    return std::chrono::duration_cast<Duration>(Uniform() * Seconds(most));
  }
  bool InTrouble() const { return time_.now() - kStart < load_.trouble; }

  void Repeat(Duration interval, const std::function<void()>& call) {
    time_.After(interval, [this, interval, call] {
      call();
      Repeat(interval, call);
    });
  }
  // At drawn times while there is trouble.
  void Often(Duration mean, const std::function<void()>& call) {
    if (mean <= Duration(0)) return;
    const double gap = std::exponential_distribution<double>(
        1 / Seconds(mean).count())(random_);
    time_.After(std::chrono::duration_cast<Duration>(Seconds(gap)),
                [this, mean, call] {
                  if (!InTrouble()) return;
                  call();
                  Often(mean, call);
                });
  }
  void Broken(const std::string& what) {
    if (std::find(outcome_.broken.begin(), outcome_.broken.end(), what) ==
        outcome_.broken.end()) {
      outcome_.broken.push_back(what);
    }
  }

  // The VMs.
  void AddVm(const std::string& name) {
    LeasedRunnerHooks hooks;
    hooks.work_of = [this](const TaskRef& task) {
      return jobs_.at(task.workflow).work;
    };
    hooks.on_start = [this](const RunRef& run) { OnStart(run); };
    hooks.on_end = [this](const RunRef& run, RunEndKind kind) {
      if (kind == RunEndKind::kDone) {
        jobs_.at(run.task.workflow).done.insert(run.task);
      }
    };
    // The task may run again then.
    hooks.on_end_lost = [this](const RunEnd& end) {
      if (end.kind != RunEndKind::kDone) return;
      jobs_.at(end.run.task.workflow).done.erase(end.run.task);
    };
    vms_[name].runner = std::make_unique<LeasedRunner>(time_, std::move(hooks));
    StartExecutor(name);
  }

  void StartExecutor(const std::string& name) {
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.send = [this, name](uint64_t link, const DispatchMessage& message) {
      time_.After(kMessageTime, [this, name, link, message] {
        const VmNode& vm = vms_.at(name);
        if (vm.linked && vm.link == link) OnVm(name, message);
      });
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    VmNode& vm = vms_.at(name);
    vm.executor = std::make_unique<Executor>(ExecutorOptions{},
                                             vm.runner->Hooks(), hooks);
    VmStatus status;
    status.incarnation = name + "-life";
    status.service = "web";
    status.capacity = kSize;
    vm.executor->OnRunnerRegistered(status,
                                    std::chrono::duration_cast<RunnerClock>(
                                        time_.now().time_since_epoch()));
  }

  void Unlink(const std::string& name) {
    VmNode& vm = vms_.at(name);
    if (!vm.linked) return;
    vm.linked = false;
    owner_->OnLinkDown(name);
    vm.executor->OnLinkDown(vm.link);
  }

  void Link(const std::string& name) {
    VmNode& vm = vms_.at(name);
    if (vm.linked) return;
    ++vm.link;
    vm.linked = true;
    vm.calm_since = time_.now();
    owner_->OnLinkUp(name);
    Flush();
  }

  void BreakLink() {
    const std::string name = "vm-" + std::to_string(Draw(0, load_.vms - 1));
    Unlink(name);
    time_.After(DrawUpTo(kLongestBrokenLink), [this, name] { Link(name); });
  }

  void RestartExecutor() {
    const std::string name = "vm-" + std::to_string(Draw(0, load_.vms - 1));
    Unlink(name);
    StartExecutor(name);
    time_.After(milliseconds(300), [this, name] { Link(name); });
  }

  // The owner and the table.
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
      const auto stored = stored_.find(id);
      owner_->AddWorkflow(job.workflow,
                          stored == stored_.end()
                              ? std::nullopt
                              : std::optional(stored->second),
                          time_.now());
      if (job.cancel_stored) CancelAtOwner(id, job);
    }
    confirmed_at_ = time_.now();
    for (const auto& [name, vm] : vms_) Link(name);
  }

  bool MayAct() const { return time_.now() - confirmed_at_ < kAuthorityTerm; }

  void Tick() {
    const TimePoint now = time_.now();
    if (table_up_) confirmed_at_ = now;
    NoteAuthority();
    owner_->OnConfirmed(confirmed_at_);
    owner_->Tick(now,
                 kUnix + std::chrono::duration_cast<UnixMillis>(now - kStart));
    if (const auto commit = owner_->TakeCommit(now)) {
      time_.After(kCommitTime, [this, commit = *commit, epoch = epoch_] {
        OnStored(commit, epoch);
      });
    }
    Flush();
  }

  void NoteAuthority() {
    const bool may_act = MayAct();
    owner_->SetAuthority(may_act ? Authority::kFull : Authority::kNone,
                         time_.now());
    if (may_act == had_authority_) return;
    had_authority_ = may_act;
    for (auto& [name, vm] : vms_) vm.calm_since = time_.now();
  }

  // One that is on its way as the table goes away is answered once it is back.
  void OnStored(const DispatchCommit& commit, uint64_t epoch) {
    if (epoch != epoch_) return;
    if (!table_up_) {
      when_back_.push_back([this, commit, epoch] { OnStored(commit, epoch); });
      return;
    }
    for (const auto& [id, record] : commit.progress) stored_[id] = record;
    owner_->OnCommitted();
    Flush();
  }

  void BeginOutage() {
    if (!table_up_) return;
    table_up_ = false;
    time_.After(DrawUpTo(load_.longest_outage), [this] {
      table_up_ = true;
      for (const auto& call : std::exchange(when_back_, {})) call();
    });
  }

  void OnVm(const std::string& name, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    NoteAuthority();
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

  void Flush() {
    for (const VmMessage& out : owner_->TakeMessages()) {
      const VmNode& vm = vms_.at(out.vm);
      if (!vm.linked) continue;
      time_.After(kMessageTime,
                  [this, name = out.vm, link = vm.link, message = out.message] {
                    const VmNode& node = vms_.at(name);
                    if (node.linked && node.link == link) {
                      node.executor->OnMessage(link, message);
                    }
                  });
    }
  }

  // The callers.
  void Submit(bool lasting) {
    if (!table_up_) return;
    Job job;
    Workflow& workflow = job.workflow;
    workflow.id =
        (lasting ? "lasting-" : "quick-") + std::to_string(jobs_.size());
    workflow.queue = "q";
    workflow.service = "web";
    workflow.offered_to_epoch = epoch_;
    workflow.policy.max_attempts = 3;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = Draw(1, 4);
    workflow.steps[0].each = {lasting ? 800 : 300, 100, 0};
    workflow.steps[0].long_running = lasting;
    workflow.steps[0].declared_run = seconds(1);
    if (!lasting) job.work = milliseconds(Draw(200, 1500));
    owner_->AddWorkflow(workflow, std::nullopt, time_.now());
    jobs_[workflow.id] = std::move(job);
  }

  // Callers repeat it until the table is back.
  void CancelSome() {
    auto it = jobs_.begin();
    if (jobs_.empty()) return;
    std::advance(it, Draw(0, static_cast<uint32_t>(jobs_.size()) - 1));
    const std::string id = it->first;
    if (table_up_) {
      StoreCancel(id);
    } else {
      when_back_.push_back([this, id] { StoreCancel(id); });
    }
  }

  void StoreCancel(const std::string& id) {
    Job& job = jobs_.at(id);
    if (job.cancel_stored) return;
    job.cancel_stored = true;
    ++outcome_.cancelled;
    if (!MayAct()) ++outcome_.cancelled_without_authority;
    CancelAtOwner(id, job);
    Flush();
  }

  void CancelAtOwner(const std::string& id, Job& job) {
    owner_->Cancel(id, time_.now());
    if (!job.cancelled_at) job.cancelled_at = time_.now();
  }

  // The promises.
  void OnStart(const RunRef& run) {
    ++outcome_.runs;
    const Job& job = jobs_.at(run.task.workflow);
    if (job.done.count(run.task) > 0) {
      Broken(run.task.ToString() + " is started after it was done");
    }
    for (const auto& [name, vm] : vms_) {
      for (const auto& [other, since] : vm.runner->runs()) {
        if (other.task == run.task && other.run != run.run) {
          Broken(run.task.ToString() + " runs twice");
        }
      }
    }
  }

  void Check() {
    for (const auto& [name, vm] : vms_) {
      if (!vm.linked || !had_authority_) continue;
      for (const auto& [run, since] : vm.runner->runs()) {
        const Job& job = jobs_.at(run.task.workflow);
        if (!job.cancelled_at) continue;
        const TimePoint from = std::max(*job.cancelled_at, vm.calm_since);
        if (time_.now() - from > kStopBound) {
          Broken(run.task.ToString() + " runs on though it is cancelled");
        }
      }
    }
  }

  void CheckEnd() {
    std::map<TaskRef, int> at_work;
    for (const auto& [name, vm] : vms_) {
      if (vm.runner->listed_ends() > 0) {
        Broken(name + " has ends that nobody settled");
      }
      for (const auto& [run, since] : vm.runner->runs()) ++at_work[run.task];
    }
    for (const auto& [id, job] : jobs_) CheckJobEnd(id, job, at_work);
    const DispatchSummary summary = owner_->Summary(time_.now());
    if (summary.stops > 0) Broken("stops are open at the owner");
    if (!owner_->Orphans(time_.now()).empty()) Broken("runs are orphaned");
  }

  void CheckJobEnd(const std::string& id, const Job& job,
                   const std::map<TaskRef, int>& at_work) {
    const WorkflowStep& step = job.workflow.steps[0];
    for (uint32_t i = 0; i < step.tasks; ++i) {
      const TaskRef task{id, 0, 0, i};
      const bool works = at_work.count(task) > 0;
      if (job.cancel_stored) {
        if (works) Broken(task.ToString() + " is left of a cancelled job");
      } else if (step.long_running) {
        if (!works) Broken(task.ToString() + " is to last and does not run");
      } else if (owner_->StateOf(id) != WorkflowState::kCompleted) {
        Broken(id + " does not end");
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
  std::map<std::string, ProgressRecord> stored_;
  bool table_up_ = true;
  // What the table does as soon as it is back.
  std::vector<std::function<void()>> when_back_;
  TimePoint confirmed_at_{};
  bool had_authority_ = true;
  OutageOutcome outcome_;
};

}  // namespace

OutageOutcome PlayOutages(const OutageLoad& load) {
  return OutageReplay(load).Play();
}

}  // namespace beamhill
