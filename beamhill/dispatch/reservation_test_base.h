// A test fixture for long-running tasks that wait beside short ones.
//
//   TEST_F(DispatcherReservationTest, StartsInTime) {
//     Connect("vm-1");
//     const RunRef run = StartFixed("serve", "vm-1", {4000, 100, 0});
//     Lapse("vm-1", run);
//     EXPECT_LT(TimeToStart("serve"), kMaxWait);
//   }
#ifndef BEAMHILL_DISPATCH_RESERVATION_TEST_BASE_H_
#define BEAMHILL_DISPATCH_RESERVATION_TEST_BASE_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {

// Users count a long-running task as lost that does not run for 6 s.
inline constexpr Duration kMaxWait = std::chrono::seconds(6);
inline constexpr Duration kStep = std::chrono::milliseconds(50);

class DispatcherReservationTest : public DispatcherTest {
 protected:
  void SetUp() override { TakeOwnership({}); }

  static Workflow LongRunning(const std::string& id, uint32_t tasks,
                              const Resources& each) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.queue = "serve";
    workflow.steps[0].each = each;
    workflow.steps[0].long_running = true;
    return workflow;
  }

  void Connect(const std::string& vm) {
    labels_[vm] = {vm};
    ConnectVm(vm);
    alive_.push_back(vm);
  }

  // Starts a long-running task on that VM; it stays there.
  RunRef StartFixed(const std::string& id, const std::string& vm,
                    const Resources& each) {
    Workflow workflow = LongRunning(id, 1, each);
    workflow.steps[0].required_label = vm;
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
    const auto starts = Tick().starts;
    EXPECT_THAT(starts, testing::SizeIs(1));
    return starts.empty() ? RunRef{} : starts[0].second;
  }

  // Adds short tasks that go before all others.
  void AddShort(const std::string& id, uint32_t tasks, const Resources& each) {
    Workflow workflow = SingleStepWorkflow(id, tasks, 2);
    workflow.policy.priority = -1;
    workflow.policy.max_attempts = 100;
    workflow.steps[0].each = each;
    workflow.steps[0].declared_run = std::chrono::milliseconds(100);
    dispatcher_->AddWorkflow(workflow, std::nullopt, now_);
  }

  // Allows the asked runners that are on VMs in `advised_`.
  void AnswerAdviceRequests() {
    for (const AdviceRequest& request : dispatcher_->TakeAdviceRequests()) {
      Advice advice;
      for (const std::string& vm : advised_) {
        const std::string incarnation = StatusOf(vm).incarnation;
        const auto& asked = request.incarnations;
        if (std::find(asked.begin(), asked.end(), incarnation) != asked.end()) {
          advice.tickets[incarnation] = "t";
        }
      }
      dispatcher_->OnAdvice(request.step, advice, now_);
    }
  }

  // Time until a task of the workflow starts; kMaxWait if none does. Short
  // tasks end one at a time, each `ends_after` its start at the earliest.
  Duration TimeToStart(const std::string& workflow,
                       Duration ends_after = Duration(0)) {
    const TimePoint begin = now_;
    while (now_ - begin < limit_) {
      now_ += kStep;
      for (const std::string& vm : alive_) {
        dispatcher_->OnHeartbeat(vm, {2, now_}, now_);
      }
      dispatcher_->OnConfirmed(now_);
      if (on_step_) on_step_(now_ - begin);
      while (!stopping_.empty() && now_ - stopping_.front().at >= stop_time_) {
        const Running ended = stopping_.front();
        stopping_.pop_front();
        EndStopped(ended.vm, ended.run);
      }
      AnswerAdviceRequests();
      if (!running_.empty() && now_ - running_.front().at >= ends_after) {
        const Running ended = running_.front();
        running_.pop_front();
        ReceiveEnd(ended.vm, ++ends_[ended.vm], ended.run, RunEndKind::kDone);
      }
      const Sent sent = Tick();
      for (const auto& [vm, run] : sent.stops) {
        ++stops_of_[run.task];
        if (ignores_stops_.count(vm) > 0) continue;
        if (stop_time_ == Duration(0)) {
          EndStopped(vm, run);
        } else {
          stopping_.push_back({vm, run, now_});
        }
      }
      for (const auto& [vm, run] : sent.starts) {
        if (refuses_.count(vm) > 0) {
          dispatcher_->OnReports(vm,
                                 {2,
                                  StatusOf(vm).incarnation,
                                  {},
                                  {{run, NotBegunReason::kNoRoom}},
                                  {}},
                                 now_);
        } else if (run.task.workflow == workflow &&
                   (!index_ || *index_ == run.task.index)) {
          started_on_ = vm;
          if (++started_ >= wanted_) return now_ - begin;
        } else {
          running_.push_back({vm, run, now_});
        }
      }
    }
    return limit_;
  }

  // Ends the run as lapsed; its task waits from now on.
  void Lapse(const std::string& vm, const RunRef& run) {
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kLapsed);
  }

  struct Running {
    std::string vm;
    RunRef run;
    TimePoint at;
  };

  void EndStopped(const std::string& vm, const RunRef& run) {
    const auto it =
        std::find_if(running_.begin(), running_.end(),
                     [&](const Running& other) { return other.run == run; });
    if (it != running_.end()) running_.erase(it);
    ReceiveEnd(vm, ++ends_[vm], run, RunEndKind::kStopped);
    ++stopped_;
  }

  std::function<void(Duration)> on_step_;
  std::deque<Running> stopping_;
  Duration stop_time_{};
  std::set<std::string> ignores_stops_;
  std::set<std::string> advised_;  // VMs that the placement advisor allows.
  std::map<TaskRef, int> stops_of_;
  std::optional<uint32_t> index_;
  size_t started_ = 0;
  size_t wanted_ = 1;
  Duration limit_ = kMaxWait;
  std::vector<std::string> alive_;
  std::deque<Running> running_;  // Short tasks, the oldest first.
  std::map<std::string, uint64_t> ends_;
  std::set<std::string> refuses_;  // VMs that refuse all starts.
  std::string started_on_;
  size_t stopped_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RESERVATION_TEST_BASE_H_
