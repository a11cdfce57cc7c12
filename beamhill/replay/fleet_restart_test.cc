// Guards against takeovers that wait for VMs on which nothing can run.
//
// Restarts all processes of a deployment at once, in virtual time, with real
// OwnershipKeeper, Dispatcher, Executor and VmRegistration objects. Two runners
// do not come back. On one day, two such VMs held back all work of the earlier
// owner for 13.5 s.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/ownership_keeper.h"
#include "beamhill/executor/executor.h"
#include "beamhill/executor/vm_registration.h"
#include "beamhill/replay/leased_runner.h"
#include "beamhill/replay/timed_table.h"
#include "beamhill/replay/virtual_time.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kVms = 66;
constexpr size_t kVmsWithoutRunner = 2;
constexpr size_t kWorkflows = 120;
constexpr Duration kMessageDelay = milliseconds(1);
constexpr Duration kLeaseTerm = seconds(5);
constexpr Duration kMessageDelayMargin = milliseconds(500);
constexpr Duration kAuthorityTerm = seconds(8);
// An owner confirms its row every 0.5 s, and ticks every 50 ms.
constexpr Duration kConfirmDelay = milliseconds(600);

class FleetRestartTest : public testing::Test {
 protected:
  struct Vm {
    std::string name;
    bool runner_up = true;
    LeasedRunner* runner = nullptr;
    std::unique_ptr<Executor> executor;
    std::unique_ptr<VmRegistration> registration;
  };

  FleetRestartTest() : vms_(kVms) {
    for (size_t i = 0; i < kVms; ++i) vms_[i].name = "vm-" + std::to_string(i);
  }

  // Ends all processes and starts them again within 300 ms, runners included.
  void RestartAll() {
    ++generation_;
    dispatcher_.reset();
    linked_.clear();
    taken_at_.reset();
    for (Vm& vm : vms_) {
      vm.registration.reset();
      vm.executor.reset();
      AfterStart([this, &vm] { StartExecutor(vm); });
      AfterStart([this, &vm] { StartRunner(vm); });
    }
    keeper_ = MakeKeeper();
    AfterStart([this] { Every(milliseconds(50), [this] { TickOwner(); }); });
  }

  // The runners of the first VMs announce their exit and end.
  void EndSomeRunners() {
    for (size_t i = 0; i < kVmsWithoutRunner; ++i) {
      vms_[i].runner_up = false;
      const std::string leaving = vms_[i].executor->status().incarnation;
      vms_[i].registration->OnRunnerLeaving(leaving);
      vms_[i].executor->OnRunnerLeaving(leaving);
    }
  }

  void Pass(Duration time) { time_.RunUntil(time_.now() + time); }

  // Share of the inherited workflows that have started `after` the claim.
  double ShareStarted(Duration after) {
    while (!taken_at_) Pass(milliseconds(10));
    time_.RunUntil(*taken_at_ + after);
    return static_cast<double>(started_.size()) / kWorkflows;
  }

  size_t RowsOfVms() { return table_.model().Scan(rows::kExecutors).size(); }

 private:
  // Calls are dropped after the next restart of all processes.
  void After(Duration delay, std::function<void()> call) {
    time_.After(delay, [this, generation = generation_, call] {
      if (generation == generation_) call();
    });
  }
  void AfterStart(std::function<void()> call) {
    std::uniform_int_distribution<int> delay(0, 300);
    After(milliseconds(delay(random_)), std::move(call));
  }
  void Every(Duration interval, const std::function<void()>& call) {
    call();
    After(interval, [this, interval, call] { Every(interval, call); });
  }

  void StartRunner(Vm& vm) {
    if (!vm.runner_up) return;
    LeasedRunnerHooks hooks;
    hooks.run_time_of = [](const TaskRef&) { return std::chrono::hours(1); };
    hooks.on_start = [](const RunRef&) {};
    hooks.on_end = [](const RunRef&, RunEndKind) {};
    hooks.on_end_lost = [](const RunEnd&) {};
    // Kept until the end: calls to it may be pending.
    runners_.push_back(std::make_unique<LeasedRunner>(time_, hooks));
    vm.runner = runners_.back().get();
    Every(milliseconds(200), [this, &vm] {
      if (!vm.runner_up || !vm.executor) return;
      VmStatus status;
      status.incarnation = vm.name + "/" + std::to_string(generation_);
      status.service = "web";
      status.capacity = {16000, 32000, 0};
      vm.registration->OnRunnerRegistered(status.incarnation, [&vm, status] {
        vm.executor->OnRunnerRegistered(status, RunnerClock(0));
      });
    });
  }

  // Calls to the VM's runner; nobody answers if it is down.
  TaskRunner RunnerCalls(Vm& vm) {
    TaskRunner calls;
    calls.start = [&vm](RunnerStart call, auto done) {
      if (vm.runner_up) vm.runner->Hooks().start(std::move(call), done);
    };
    calls.stop = [&vm](RunnerStop call, auto done) {
      if (vm.runner_up) vm.runner->Hooks().stop(std::move(call), done);
    };
    calls.pace = [](const RunnerPace&, auto) {};
    calls.poll = [this, &vm](RunnerPoll call, auto done) {
      if (vm.runner_up) {
        vm.runner->Hooks().poll(std::move(call), done);
        return;
      }
      RunnerView gone;
      gone.reply.verdict = RunnerVerdict::kUnreachable;
      After(kMessageDelay, [done, gone] { done(gone); });
    };
    return calls;
  }

  void StartExecutor(Vm& vm) {
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    hooks.send = [this, &vm](uint64_t, const DispatchMessage& message) {
      After(kMessageDelay, [this, &vm, message] { OnVmMessage(vm, message); });
    };
    hooks.ready_for_starts = [&vm] {
      return vm.registration->ready_for_starts();
    };
    vm.executor = std::make_unique<Executor>(ExecutorOptions{}, RunnerCalls(vm),
                                             std::move(hooks));
    VmRegistrationHooks row_hooks;
    row_hooks.now = [this] { return time_.now(); };
    row_hooks.random = [] { return 0.5; };
    row_hooks.since_owner = [&vm] { return vm.executor->SinceOwner(); };
    row_hooks.runner_is_gone = [&vm] { return vm.executor->runner_is_gone(); };
    row_hooks.on_owner_epoch = [&vm](uint64_t epoch) {
      vm.executor->RejectOwnersBelow(epoch);
    };
    row_hooks.log = [](const std::string&, const std::string&) {};
    vm.registration = std::make_unique<VmRegistration>(
        VmRecord{vm.name, vm.name + ":1"}, table_.AsTable(),
        std::move(row_hooks));
    Every(milliseconds(100), [&vm] {
      vm.executor->Tick();
      vm.registration->Tick();
    });
  }

  std::unique_ptr<OwnershipKeeper> MakeKeeper() {
    OwnershipKeeperOptions options;
    options.name = "scheduler";
    options.incarnation = generation_;
    OwnershipKeeperHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.random = [] { return 0.5; };
    hooks.claim_delay = [] { return Duration(0); };
    hooks.on_follow = [](const OwnerRecord&) {};
    hooks.on_lost = [] {};
    hooks.log = [](const std::string&, const std::string&) {};
    hooks.on_taken = [this](uint64_t epoch, EarlierOwner earlier, bool first) {
      taken_at_ = time_.now();
      DispatcherOptions dispatch;
      dispatch.epoch = epoch;
      dispatch.lease_term = kLeaseTerm;
      dispatch.inherited_bound = kLeaseTerm + kMessageDelayMargin;
      if (earlier == EarlierOwner::kUnknown) {
        dispatch.inherited_bound += kAuthorityTerm;
      }
      Load(dispatch, first);
    };
    return std::make_unique<OwnershipKeeper>(options, table_.AsTable(),
                                             std::move(hooks));
  }

  // Reads the VMs' rows and creates the Dispatcher, as WorkOwner does.
  void Load(DispatcherOptions options, bool first) {
    Scan([this, options, first](const std::vector<std::string>& names) mutable {
      if (!first) options.inherited_vms = names;
      dispatcher_ = Dispatcher::Create(options, nullptr, time_.now());
      for (size_t i = 0; i < kWorkflows && !first; ++i) AddInherited(i);
      Every(milliseconds(1500), [this] {
        Scan([this](const auto& found) {
          for (const std::string& name : found) Link(name);
        });
      });
    });
  }

  void Scan(std::function<void(const std::vector<std::string>&)> done) {
    table_.AsTable().scan(rows::kExecutors, [this, generation = generation_,
                                             done](const auto& rows) {
      if (generation != generation_ || !IsOk(rows)) return;
      std::vector<std::string> names;
      for (const Row& row : ValueOf(rows)) {
        names.push_back(ValueOf(DecodeRecord<VmRecord>(row.value)).vm);
      }
      done(names);
    });
  }

  void AddInherited(size_t number) {
    Workflow workflow;
    workflow.id = "w-" + std::to_string(number);
    workflow.queue = "q";
    workflow.service = "web";
    workflow.policy.max_attempts = 2;
    workflow.offered_to_epoch = 1;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    workflow.steps[0].each = {2000, 1000, 0};
    workflow.steps[0].declared_run = std::chrono::hours(1);
    dispatcher_->AddWorkflow(workflow, std::nullopt, time_.now());
  }

  // Dials until the executor is up.
  void Link(const std::string& name) {
    if (!linked_.insert(name).second) return;
    Dial(VmNamed(name));
  }
  void Dial(const Vm& vm) {
    if (vm.executor) {
      After(kMessageDelay, [this, &vm] { dispatcher_->OnLinkUp(vm.name); });
    } else {
      After(milliseconds(100), [this, &vm] { Dial(vm); });
    }
  }
  Vm& VmNamed(const std::string& name) {
    return vms_.at(std::stoul(name.substr(3)));
  }

  void TickOwner() {
    keeper_->Tick();
    if (!dispatcher_) return;
    dispatcher_->OnConfirmed(keeper_->confirmed_at());
    dispatcher_->Tick(time_.now(), UnixMillis(1'000'000));
    if (!keeper_->committing() && dispatcher_->TakeCommit(time_.now())) {
      keeper_->Commit({}, [this](bool committed) {
        if (committed) {
          dispatcher_->OnCommitted();
        } else {
          dispatcher_->OnCommitFailed();
        }
      });
    }
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      if (const auto* starts = std::get_if<StartRuns>(&out.message)) {
        started_.insert(starts->workflow);
      }
      Vm& vm = VmNamed(out.vm);
      After(kMessageDelay, [this, &vm, message = out.message] {
        vm.executor->OnMessage(generation_, message);
      });
    }
  }

  void OnVmMessage(const Vm& vm, const DispatchMessage& message) {
    const TimePoint now = time_.now();
    if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
      dispatcher_->OnHeartbeat(vm.name, *heartbeat, now);
    } else if (const auto* status = std::get_if<VmStatus>(&message)) {
      dispatcher_->OnStatus(vm.name, *status, now);
    } else if (const auto* inventory = std::get_if<VmInventory>(&message)) {
      dispatcher_->OnInventory(vm.name, *inventory, now);
    } else if (const auto* reports = std::get_if<RunReports>(&message)) {
      dispatcher_->OnReports(vm.name, *reports, now);
    }
  }

  VirtualTime time_{TimePoint(std::chrono::hours(1))};
  TimedTable table_{time_, TimedTableOptions{}};
  std::mt19937_64 random_{1};
  uint64_t generation_ = 0;  // Number of restarts of all processes.
  std::vector<Vm> vms_;
  std::vector<std::unique_ptr<LeasedRunner>> runners_;
  std::unique_ptr<OwnershipKeeper> keeper_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::set<std::string> linked_;
  std::optional<TimePoint> taken_at_;
  std::set<std::string> started_;  // Workflows.
};

TEST_F(FleetRestartTest, InheritedWorkStartsWithinHalfASecondOfTheClaim) {
  RestartAll();
  Pass(seconds(5));
  EXPECT_EQ(RowsOfVms(), kVms);
  EndSomeRunners();
  Pass(seconds(15));
  EXPECT_EQ(RowsOfVms(), kVms - kVmsWithoutRunner);
  RestartAll();
  EXPECT_EQ(ShareStarted(milliseconds(500)), 1);
}

// The executors ended before they could remove their rows, so the VMs count as
// possibly holding work. The earlier owner is known to have ended, so its
// authority need not be waited for.
TEST_F(FleetRestartTest, VmsWhoseRowsRemainAreWaitedForUntilLeasesAreOver) {
  RestartAll();
  Pass(seconds(5));
  EndSomeRunners();
  Pass(seconds(1));
  EXPECT_EQ(RowsOfVms(), kVms);
  RestartAll();
  EXPECT_EQ(ShareStarted(kLeaseTerm + milliseconds(400)), 0);
  EXPECT_EQ(ShareStarted(kLeaseTerm + kMessageDelayMargin + kConfirmDelay), 1);
}

}  // namespace
}  // namespace beamhill
