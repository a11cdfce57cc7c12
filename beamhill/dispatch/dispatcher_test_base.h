// A test fixture that drives a Dispatcher with simulated executors.
//
//   TEST_F(DispatcherTest, StartsTaskOnConnectedVm) {
//     TakeOwnership({});  // There are no VMs of an earlier owner.
//     ConnectVm("vm-1");
//     dispatcher_->AddWorkflow(SingleStepWorkflow("a", 1, 2), std::nullopt,
//                              now_);
//     EXPECT_THAT(Tick().starts, SizeIs(1));
//   }
#ifndef BEAMHILL_DISPATCH_DISPATCHER_TEST_BASE_H_
#define BEAMHILL_DISPATCH_DISPATCHER_TEST_BASE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/run_number.h"

namespace beamhill {

inline constexpr TimePoint kStart{std::chrono::hours(1)};
inline constexpr UnixMillis kUnixNow{1'000'000};
inline constexpr Resources kVmCapacity{8000, 16000, 0};

// Returns a workflow of one step whose tasks request 2 cores and 1000 MiB each
// and run for 1 s. `offered_to_epoch` is the epoch of the owner that it was
// offered to when it was stored.
inline Workflow SingleStepWorkflow(const std::string& id, uint32_t tasks,
                                   uint64_t offered_to_epoch) {
  Workflow workflow;
  workflow.id = id;
  workflow.queue = "q";
  workflow.service = "web";
  workflow.policy.max_attempts = 2;
  workflow.policy.stretch = 2;
  workflow.offered_to_epoch = offered_to_epoch;
  workflow.steps.resize(1);
  workflow.steps[0].tasks = tasks;
  workflow.steps[0].each = {2000, 1000, 0};
  workflow.steps[0].declared_run = std::chrono::seconds(1);
  return workflow;
}

// Holds the Dispatcher of an owner under epoch 2, and what the simulated VMs
// report.
class DispatcherTest : public testing::Test {
 protected:
  // Creates the Dispatcher of a new owner. An earlier owner may have used the
  // `inherited` VMs.
  void TakeOwnership(std::vector<std::string> inherited) {
    DispatcherOptions options;
    options.epoch = 2;
    options.inherited_vms = std::move(inherited);
    dispatcher_ = Dispatcher::Create(
        options,
        [this](const std::string&, const std::string& event,
               const std::string&) { ++decisions_[event]; },
        now_);
  }

  VmStatus StatusOf(const std::string& vm) {
    VmStatus status;
    status.incarnation =
        incarnations_[vm].empty() ? vm + "-incarnation-1" : incarnations_[vm];
    status.service = services_[vm].empty() ? "web" : services_[vm];
    status.rack = racks_[vm];
    status.hall = halls_[vm];
    status.cold = cold_for_[vm];
    status.labels = labels_[vm];
    status.capacity = kVmCapacity;
    status.stalled = stalled_[vm];
    return status;
  }

  // Delivers the VM's inventory, then a heartbeat.
  void ReceiveInventory(const std::string& vm, std::vector<RunRef> running = {},
                        std::vector<RunEnd> ended = {},
                        bool more_ends = false) {
    dispatcher_->OnInventory(vm,
                             {2,
                              StatusOf(vm),
                              std::move(running),
                              {},
                              std::move(ended),
                              {},
                              more_ends},
                             now_);
    dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
  }

  // Brings up the link to the VM's executor and delivers its inventory.
  void ConnectVm(const std::string& vm, std::vector<RunRef> running = {},
                 std::vector<RunEnd> ended = {}) {
    dispatcher_->OnLinkUp(vm);
    ReceiveInventory(vm, std::move(running), std::move(ended));
  }

  // Replaces the VM's runner by a new incarnation, losing all its runs. The
  // runs in `just_begun` had only just started; those in `others` had been
  // running for longer.
  void LoseRunner(const std::string& vm, std::vector<RunRef> just_begun,
                  std::vector<RunRef> others = {}) {
    const std::string lost = StatusOf(vm).incarnation;
    incarnations_[vm] = lost + "x";
    dispatcher_->OnInventory(
        vm,
        {2,
         StatusOf(vm),
         {},
         {},
         {},
         {{lost, false, {}, std::move(just_begun), std::move(others)}}},
        now_);
    dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
  }

  // Advances the time in steps of 250 ms, each with a heartbeat of every VM in
  // `alive` and a tick.
  void AdvanceTime(Duration time, const std::vector<std::string>& alive = {}) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(250);
      for (const std::string& vm : alive) {
        dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
      }
      if (confirm_ownership_) dispatcher_->OnConfirmed(now_);
      dispatcher_->Tick(now_, kUnixNow);
    }
  }

  struct Sent {
    std::vector<std::pair<std::string, RunRef>> starts;
    // Without repetitions.
    std::vector<std::pair<std::string, RunRef>> stops;
    size_t stops_with_repeats = 0;
    // VM and highest acknowledged number of an end.
    std::vector<std::pair<std::string, uint64_t>> acknowledged;
  };

  // Returns the messages sent since the last call.
  Sent TakeSent() {
    Sent sent;
    for (const VmMessage& out : dispatcher_->TakeMessages()) {
      if (const auto* start = std::get_if<StartRuns>(&out.message)) {
        for (const StartRun& run : start->runs) {
          sent.starts.push_back(
              {out.vm,
               {{start->workflow, start->round, start->step, run.index},
                run.run}});
        }
      } else if (const auto* stop = std::get_if<StopRuns>(&out.message)) {
        for (const RunRef& run : stop->runs) {
          ++sent.stops_with_repeats;
          const std::pair stopped(out.vm, run);
          const auto end = sent.stops.end();
          if (std::find(sent.stops.begin(), end, stopped) == end) {
            sent.stops.push_back(stopped);
          }
        }
      } else if (const auto* end =
                     std::get_if<EndsAcknowledged>(&out.message)) {
        sent.acknowledged.push_back({out.vm, end->through});
      }
    }
    return sent;
  }

  // Ticks once and returns what was sent.
  Sent Tick() {
    dispatcher_->Tick(now_, kUnixNow);
    return TakeSent();
  }

  // Delivers the report that the run ended, as the VM's end `number`.
  void ReceiveEnd(const std::string& vm, uint64_t number, const RunRef& run,
                  RunEndKind kind) {
    dispatcher_->OnReports(
        vm, {2, StatusOf(vm).incarnation, {{number, run, kind, ""}}, {}, {}},
        now_);
  }

  // Stores what changed; returns whether there was anything to store.
  bool CommitProgress() {
    if (!dispatcher_->TakeCommit(now_)) return false;
    dispatcher_->OnCommitted();
    return true;
  }

  TimePoint now_ = kStart;
  bool confirm_ownership_ = true;  // At each step of AdvanceTime.
  // What VMs report, by VM.
  std::map<std::string, std::string> incarnations_;
  std::map<std::string, std::string> services_;  // Empty: "web".
  std::map<std::string, std::string> racks_;
  std::map<std::string, std::string> halls_;
  std::map<std::string, Duration> cold_for_;
  std::map<std::string, std::vector<std::string>> labels_;
  std::map<std::string, bool> stalled_;
  std::map<std::string, int> decisions_;  // Log lines, by event.
  std::unique_ptr<Dispatcher> dispatcher_;
};

// Returns a run of a task of the workflow's only step, in its first round.
inline RunRef SingleStepRun(const std::string& id, uint32_t index,
                            uint64_t run) {
  return {{id, 0, 0, index}, run};
}

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCHER_TEST_BASE_H_
