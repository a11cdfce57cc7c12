// Replays workflows in virtual time while one of several VMs stalls, and bounds
// how late they end.
#include <cstdio>
#include <set>

#include "beamhill/dispatch/dispatcher_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(50);
constexpr Duration kWork = milliseconds(1700);  // Of a task.
constexpr int kVms = 12;
constexpr uint32_t kTasks = 20;  // Of a workflow.
constexpr int kWorkflows = 30;
constexpr Duration kArrivalInterval = milliseconds(1300);
// Time from a stall's begin until the owner has been told, and from the first
// progress after it.
constexpr Duration kDetection = milliseconds(750);
constexpr Duration kRecovery = milliseconds(100);
constexpr Duration kStopTime = milliseconds(400);  // From order to report.
// Requirement.
constexpr Duration kMaxLateness = seconds(3);

class StalledVmReplayTest : public DispatcherTest {
 protected:
  struct SimulatedRun {
    std::string vm;
    Duration left{};
    std::optional<TimePoint> stopped_at;
  };

  // Returns how long each workflow has taken if the VM that holds most tasks at
  // `begin` stalls for `stall`.
  std::vector<Duration> Run(bool best_effort, Duration begin, Duration stall) {
    now_ = kStart;
    stalled_.clear();
    runs_.clear();
    running_tasks_.clear();
    TakeOwnership({});
    for (int i = 0; i < kVms; ++i) ConnectVm(VmName(i));
    std::string stalled_vm;
    const TimePoint stall_at = kStart + begin;
    std::vector<Duration> taken(kWorkflows);
    for (size_t done = 0, added = 0; done < kWorkflows; now_ += kStep) {
      if (now_ > kStart + seconds(60)) return {};
      if (added < kWorkflows && now_ >= kStart + added * kArrivalInterval) {
        dispatcher_->AddWorkflow(MakeWorkflow(best_effort, added++),
                                 std::nullopt, now_);
      }
      if (now_ == stall_at) stalled_vm = BusiestVm();
      const bool stands = now_ >= stall_at && now_ < stall_at + stall;
      if (stands && now_ >= stall_at + kDetection) Report(stalled_vm, true);
      Progress(stands ? stalled_vm : "");
      if (!stands && progressed_at_ && now_ >= *progressed_at_ + kRecovery) {
        Report(stalled_vm, false);
      }
      for (int i = 0; i < kVms; ++i) {
        dispatcher_->OnHeartbeat(VmName(i), {2, now_}, now_);
      }
      dispatcher_->OnConfirmed(now_);
      dispatcher_->Tick(now_, kUnixNow);
      ReceiveMessages();
      CommitProgress();
      for (size_t i = 0; i < added; ++i) {
        if (taken[i] > Duration(0) ||
            dispatcher_->StateOf(Id(i)) != WorkflowState::kCompleted) {
          continue;
        }
        taken[i] = now_ - (kStart + i * kArrivalInterval);
        ++done;
      }
    }
    return taken;
  }

 private:
  static std::string VmName(int i) { return "vm-" + std::to_string(10 + i); }
  static std::string Id(size_t i) { return "w" + std::to_string(i); }

  static Workflow MakeWorkflow(bool best_effort, size_t i) {
    Workflow workflow = SingleStepWorkflow(Id(i), kTasks, 2);
    workflow.steps[0].declared_run = kWork;
    workflow.steps[0].best_effort = best_effort;
    workflow.steps[0].image = best_effort ? "f" : "";
    return workflow;
  }

  std::string BusiestVm() const {
    std::map<std::string, int> held;
    for (const auto& [run, state] : runs_) ++held[state.vm];
    return std::max_element(
               held.begin(), held.end(),
               [](const auto& a, const auto& b) { return a.second < b.second; })
        ->first;
  }

  void Report(const std::string& vm, bool stalled) {
    if (stalled_[vm] == stalled) return;
    stalled_[vm] = stalled;
    progressed_at_.reset();
    dispatcher_->OnStatus(vm, StatusOf(vm), now_);
  }

  // Advances all runs except those on the VM that stands still, and reports
  // ends. Tasks save no progress, which is the worst case.
  void Progress(const std::string& standing) {
    for (auto it = runs_.begin(); it != runs_.end();) {
      SimulatedRun& run = it->second;
      const bool stops = run.stopped_at && now_ >= *run.stopped_at + kStopTime;
      if (run.vm != standing) {
        run.left -= kStep;
        if (stalled_[run.vm] && !progressed_at_) progressed_at_ = now_;
      }
      if (!stops && run.left > Duration(0)) {
        ++it;
        continue;
      }
      const RunEndKind kind =
          run.left > Duration(0) ? RunEndKind::kStopped : RunEndKind::kDone;
      running_tasks_.erase(it->first.task);
      ReceiveEnd(run.vm, ++ends_, it->first, kind);
      it = runs_.erase(it);
    }
  }

  void ReceiveMessages() {
    const Sent sent = TakeSent();
    for (const auto& [vm, run] : sent.starts) {
      EXPECT_TRUE(running_tasks_.insert(run.task).second)
          << run.task.ToString() << " runs in two places";
      runs_[run] = {vm, kWork, std::nullopt};
    }
    for (const auto& [vm, run] : sent.stops) {
      const auto it = runs_.find(run);
      if (it != runs_.end() && !it->second.stopped_at) {
        it->second.stopped_at = now_;
      }
    }
  }

  std::map<RunRef, SimulatedRun> runs_;
  std::set<TaskRef> running_tasks_;
  // The first progress on the VM that is reported as stalled.
  std::optional<TimePoint> progressed_at_;
  uint64_t ends_ = 0;
};

// Without the owner's moves, a workflow with a task on the stalled VM ends as
// late as the stall lasts. The stalls begin when tasks have just started, and
// when they are nearly done and lose most.
TEST_F(StalledVmReplayTest, WorkflowsAreLittleLateHoweverLongTheStall) {
  for (const bool best_effort : {false, true}) {
    const auto without = Run(best_effort, seconds(1), Duration(0));
    ASSERT_EQ(without.size(), kWorkflows);
    for (const int stall : {1, 6, 30}) {
      int late = 0;
      Duration latest{};
      for (const int begin : {1400, 2200, 2900}) {
        const auto taken =
            Run(best_effort, milliseconds(begin), seconds(stall));
        ASSERT_EQ(taken.size(), kWorkflows);
        for (int i = 0; i < kWorkflows; ++i) {
          const Duration lateness = taken[i] - without[i];
          EXPECT_LE(lateness, kMaxLateness) << "workflow " << i;
          latest = std::max(latest, lateness);
          if (lateness > milliseconds(100)) ++late;
        }
      }
      std::printf("%s, stall of %d s: %d of %d late, by at most %.0f ms\n",
                  best_effort ? "best-effort" : "quick", stall, late,
                  3 * kWorkflows, ToMillis(latest));
    }
  }
}

}  // namespace
}  // namespace beamhill
