// OwnerAndVmTest: test fixture with a real Dispatcher as the owner and one VM,
// vm-1, with a real Executor whose runner's answers the test controls. A second
// VM, vm-2, has no executor; it sends heartbeats and can be given tasks.
//
//   TEST_F(OwnerAndVmTest, ...) {
//     TakeOver(1);
//     ExchangeMessages();
//     AnswerPolls({});
//   }
#ifndef BEAMHILL_REPLAY_OWNER_AND_VM_TEST_BASE_H_
#define BEAMHILL_REPLAY_OWNER_AND_VM_TEST_BASE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/executor/executor.h"

namespace beamhill {

class OwnerAndVmTest : public testing::Test {
 protected:
  OwnerAndVmTest() {
    TaskRunner runner;
    runner.start = [this](const RunnerStart&, auto done) {
      pending_starts_.push_back(done);
      started_ = true;
    };
    runner.stop = [](const RunnerStop&, auto) {};
    runner.pace = [](const RunnerPace&, auto) {};
    runner.poll = [this](const RunnerPoll&, auto done) {
      pending_polls_.push_back(done);
    };
    ExecutorHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.send = [this](uint64_t, const DispatchMessage& message) {
      messages_to_owner_.push_back(message);
    };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    executor_ = std::make_unique<Executor>(ExecutorOptions{}, runner, hooks);
    executor_->OnRunnerRegistered(StatusOf("vm-1"), RunnerClock(1));
  }

  static VmStatus StatusOf(const std::string& vm) {
    VmStatus status;
    status.incarnation = vm + "-incarnation";
    status.service = "web";
    status.capacity = {8000, 16000, 0};
    return status;
  }

  static Workflow SingleTaskWorkflow() {
    Workflow workflow;
    workflow.id = "w";
    workflow.service = "web";
    workflow.policy.max_attempts = 2;
    workflow.offered_to_epoch = 1;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    workflow.steps[0].each = {2000, 1000, 0};
    workflow.steps[0].declared_run = std::chrono::seconds(1);
    return workflow;
  }

  void TakeOver(uint64_t epoch) {
    DispatcherOptions options;
    options.epoch = epoch;
    if (epoch > 1) options.inherited_vms = {"vm-1", "vm-2"};
    owner_ = Dispatcher::Create(options, nullptr, now_);
    owner_->AddWorkflow(SingleTaskWorkflow(), std::nullopt, now_);
    owner_->OnLinkUp("vm-1");
  }

  void LinkVm2() {
    owner_->OnLinkUp("vm-2");
    owner_->OnInventory(
        "vm-2", {owner_->epoch(), StatusOf("vm-2"), {}, {}, {}, {}}, now_);
  }

  void AnswerStarts() {
    for (auto& done : std::exchange(pending_starts_, {})) {
      done(RunnerReply{RunnerVerdict::kDone, RunnerClock(1)});
    }
  }

  // Answers the pending polls with `ended` and `running`, or as unreachable if
  // the runner is `gone`.
  void AnswerPolls(const std::vector<RunEnd>& ended, bool gone = false,
                   const std::vector<RunRef>& running = {}) {
    for (auto& done : std::exchange(pending_polls_, {})) {
      RunnerView view;
      for (const RunRef& run : running) view.running.push_back({run, 50, 0});
      view.reply.verdict =
          gone ? RunnerVerdict::kUnreachable : RunnerVerdict::kDone;
      if (!gone) view.reply.clock = RunnerClock(1);
      if (!gone) view.ended = ended;
      done(view);
    }
  }

  // Advances the time by 50 ms, delivers the messages between the owner and
  // vm-1, and ticks both.
  void ExchangeMessages() {
    now_ += std::chrono::milliseconds(50);
    for (const auto& message : std::exchange(messages_to_owner_, {})) {
      if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
        owner_->OnHeartbeat("vm-1", *heartbeat, now_);
      } else if (const auto* inventory = std::get_if<VmInventory>(&message)) {
        owner_->OnInventory("vm-1", *inventory, now_);
      } else if (const auto* reports = std::get_if<RunReports>(&message)) {
        owner_->OnReports("vm-1", *reports, now_);
      }
    }
    owner_->OnHeartbeat("vm-2", {owner_->epoch(), now_}, now_);
    owner_->OnConfirmed(now_);
    owner_->Tick(now_, UnixMillis(1'000'000));
    if (owner_->TakeCommit(now_)) owner_->OnCommitted();
    for (const VmMessage& out : owner_->TakeMessages()) {
      const bool starts = std::holds_alternative<StartRuns>(out.message);
      if (starts && out.vm == "vm-2") started_again_ = true;
      if (out.vm == "vm-1") executor_->OnMessage(owner_->epoch(), out.message);
    }
    executor_->Tick();
  }

  TimePoint now_{std::chrono::hours(1)};
  std::unique_ptr<Executor> executor_;
  std::unique_ptr<Dispatcher> owner_;
  std::vector<std::function<void(RunnerReply)>> pending_starts_;
  std::vector<std::function<void(RunnerView)>> pending_polls_;
  std::vector<DispatchMessage> messages_to_owner_;
  bool started_ = false;        // On vm-1.
  bool started_again_ = false;  // On vm-2.
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_OWNER_AND_VM_TEST_BASE_H_
