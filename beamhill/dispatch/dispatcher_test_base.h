// An owner's Dispatcher with executors that answer when they are told to, for
// the Dispatcher's tests.
//
//   TEST_F(DispatcherTest, StartsWhatFits) {
//     Take({});           // Takes the ownership; inherits no VMs.
//     Link("vm-1");
//     dispatcher_->AddWorkflow(OneStep("a", 1, 2), std::nullopt, now_);
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

namespace beamhill {

inline constexpr TimePoint kStart{std::chrono::hours(1)};
inline constexpr UnixMillis kUnix{1'000'000};
inline constexpr Resources kRoom{8000, 16000, 0};

// A workflow of one step whose tasks ask for 2 cores and 1000 MiB each;
// `offered_to` is the epoch of the owner that it was first offered to.
inline Workflow OneStep(const std::string& id, uint32_t tasks,
                        uint64_t offered_to) {
  Workflow workflow;
  workflow.id = id;
  workflow.queue = "q";
  workflow.service = "web";
  workflow.policy.max_attempts = 2;
  workflow.policy.stretch = 2;
  workflow.offered_to = offered_to;
  workflow.steps.resize(1);
  workflow.steps[0].tasks = tasks;
  workflow.steps[0].each = {2000, 1000, 0};
  workflow.steps[0].declared_run = std::chrono::seconds(1);
  return workflow;
}

// An owner under epoch 2 with executors that answer when they are told to.
class DispatcherTest : public testing::Test {
 protected:
  void Take(std::vector<std::string> inherited) {
    DispatcherOptions options;
    options.epoch = 2;
    options.inherited_vms = std::move(inherited);
    dispatcher_ = Dispatcher::Create(options, nullptr, now_);
  }

  VmStatus StatusOf(const std::string& vm) {
    VmStatus status;
    status.incarnation = lives_[vm].empty() ? vm + "-life-1" : lives_[vm];
    status.service = "web";
    status.rack = racks_[vm];
    status.hall = halls_[vm];
    status.cold = colds_[vm];
    status.labels = labels_[vm];
    status.capacity = kRoom;
    return status;
  }

  void Answer(const std::string& vm, std::vector<RunRef> running = {},
              std::vector<RunEnd> ended = {}) {
    dispatcher_->OnInventory(
        vm, {2, StatusOf(vm), std::move(running), {}, std::move(ended), {}},
        now_);
    dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
  }

  void Link(const std::string& vm, std::vector<RunRef> running = {},
            std::vector<RunEnd> ended = {}) {
    dispatcher_->OnLinkUp(vm);
    Answer(vm, std::move(running), std::move(ended));
  }

  // The VM's runner is lost with all that it ran and comes back as another
  // incarnation. `others` had been at work there for longer than what had just
  // begun.
  void LoseRunner(const std::string& vm, std::vector<RunRef> just_begun,
                  std::vector<RunRef> others = {}) {
    const std::string lost = StatusOf(vm).incarnation;
    lives_[vm] = lost + "x";
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

  // Moves time on with heartbeats of these VMs, then ticks.
  void Pass(Duration time, const std::vector<std::string>& alive = {}) {
    const TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += std::chrono::milliseconds(250);
      for (const std::string& vm : alive) {
        dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
      }
      if (confirms_) dispatcher_->OnConfirmed(now_);
      dispatcher_->Tick(now_, kUnix);
    }
  }

  struct Sent {
    std::vector<std::pair<std::string, RunRef>> starts;
    // Each once, however often it was repeated.
    std::vector<std::pair<std::string, RunRef>> stops;
    size_t stop_orders = 0;  // With their repetitions.
    std::vector<std::pair<std::string, uint64_t>> settled;
  };

  // What was sent since the last call.
  Sent Take() {
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
          ++sent.stop_orders;
          const std::pair stopped(out.vm, run);
          const auto end = sent.stops.end();
          if (std::find(sent.stops.begin(), end, stopped) == end) {
            sent.stops.push_back(stopped);
          }
        }
      } else if (const auto* end =
                     std::get_if<EndsAcknowledged>(&out.message)) {
        sent.settled.push_back({out.vm, end->through});
      }
    }
    return sent;
  }

  Sent Tick() {
    dispatcher_->Tick(now_, kUnix);
    return Take();
  }

  void End(const std::string& vm, uint64_t number, const RunRef& run,
           RunEndKind kind) {
    dispatcher_->OnReports(
        vm, {2, StatusOf(vm).incarnation, {{number, run, kind, ""}}, {}, {}},
        now_);
  }

  bool Store() {
    if (!dispatcher_->TakeCommit(now_)) return false;
    dispatcher_->OnCommitted();
    return true;
  }

  TimePoint now_ = kStart;
  bool confirms_ = true;  // Whether the ownership is confirmed as time passes.
  std::map<std::string, std::string> lives_;
  std::map<std::string, std::string> racks_;
  std::map<std::string, std::string> halls_;
  std::map<std::string, Duration> colds_;
  std::map<std::string, std::vector<std::string>> labels_;
  std::unique_ptr<Dispatcher> dispatcher_;
};

// A run of the only step of the workflow, in its first round.
inline RunRef Ref(const std::string& id, uint32_t index, uint64_t run) {
  return {{id, 0, 0, index}, run};
}

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_DISPATCHER_TEST_BASE_H_
