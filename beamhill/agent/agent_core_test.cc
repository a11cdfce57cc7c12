#include "beamhill/agent/agent_core.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Resources kVm{4000, 8000, 0};

JobSpec Job() {
  JobSpec job;
  job.id = "j";
  job.tasks = 10;
  job.each = {1000, 1000, 0};
  return job;
}

// An agent that obeys entry "e" at epoch 1 and holds a lease of 10 s.
class AgentCoreTest : public testing::Test {
 protected:
  AgentCoreTest() {
    AgentCoreOptions options;
    options.capacity = kVm;
    options.incarnation = 5;
    options.checkpoint_lead = seconds(2);
    core_ = AgentCore::Create(options);
    core_->OnWorkerList({}, kStart);
    fence_ = Fence{1, core_->OnLinkUp("e")};
    core_->OnMessage("e", InventoryRequest{"c", true, 1, fence_}, kStart);
    core_->OnMessage("e", Grant{fence_, kStart, seconds(10)}, kStart);
    core_->TakeMessages();
    core_->TakeCommands();
  }

  void Start(uint32_t index, uint64_t sequence, TimePoint now,
             std::optional<Fence> fence = std::nullopt) {
    core_->OnMessage("e",
                     StartTasks{fence.value_or(fence_),
                                Job(),
                                {{index, Attempt::Make(1, sequence), ""}}},
                     now);
  }

  std::vector<TaskOutcome> Outcomes() {
    std::vector<TaskOutcome> all;
    for (const EntryMessage& message : core_->TakeMessages()) {
      const auto* outcomes = std::get_if<beamhill::Outcomes>(&message.message);
      if (outcomes == nullptr) continue;
      all.insert(all.end(), outcomes->outcomes.begin(),
                 outcomes->outcomes.end());
    }
    return all;
  }

  int StartCommands() {
    int starts = 0;
    for (const WorkerCommand& command : core_->TakeCommands()) {
      if (command.kind == WorkerCommandKind::kStart) ++starts;
    }
    return starts;
  }

  std::unique_ptr<AgentCore> core_;
  Fence fence_;
};

TEST_F(AgentCoreTest, StartsWithinLeaseAndCapacity) {
  for (uint32_t i = 0; i < 5; ++i) Start(i, i + 1, kStart);
  EXPECT_EQ(StartCommands(), 4);
  const auto outcomes = Outcomes();
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, OutcomeKind::kRefused);
  EXPECT_EQ(outcomes[0].task.index, 4U);
  EXPECT_TRUE(kVm.Holds(core_->granted()));
}

// Guards against starting cancelled work: the reply to a start was lost, the
// task was cancelled, and the agent repeated the start since the worker's next
// list did not contain the task.
TEST_F(AgentCoreTest, DoesNotRepeatStartOfCancelledTask) {
  Start(0, 1, kStart);
  EXPECT_EQ(StartCommands(), 1);
  const Attempt attempt = Attempt::Make(1, 1);
  core_->OnStartAnswer({"j", 0}, attempt, WorkerStartAnswer::kUnknown, "",
                       kStart);
  core_->OnMessage(
      "e", StopTasks{fence_, StopMode::kCancel, {{{"j", 0}, attempt}}}, kStart);
  core_->OnWorkerList({}, kStart + seconds(1));
  EXPECT_EQ(StartCommands(), 0);
  Outcomes();
  // The lost start could take effect until the lease end that it carries.
  core_->OnWorkerList({}, kStart + seconds(10));
  core_->Tick(kStart + seconds(10));
  const auto outcomes = Outcomes();
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, OutcomeKind::kRefused);
}

// Each row is a delayed message or one of another epoch, incarnation or link,
// none of which may start a task.
TEST_F(AgentCoreTest, DropsStaleStarts) {
  struct Row {
    const char* what;
    Fence fence;
    TimePoint at;
  };
  Fence old_epoch = fence_;
  old_epoch.epoch = 0;
  Fence new_epoch = fence_;
  new_epoch.epoch = 2;
  Fence other_incarnation = fence_;
  other_incarnation.session.incarnation = 4;
  Fence other_link = fence_;
  other_link.session.link += 1;
  const Row rows[] = {
      {"old epoch", old_epoch, kStart},
      {"epoch not introduced", new_epoch, kStart},
      {"another incarnation of the agent", other_incarnation, kStart},
      {"another link", other_link, kStart},
      {"lease over", fence_, kStart + seconds(10)},
  };
  for (const Row& row : rows) {
    Start(0, 1, row.at, row.fence);
    EXPECT_EQ(StartCommands(), 0) << row.what;
  }
}

TEST_F(AgentCoreTest, LeaseStartsAtTheAgentsOwnTimeStamp) {
  core_->OnMessage("e", Grant{fence_, kStart + seconds(1), seconds(10)},
                   kStart + seconds(500));
  EXPECT_LE(core_->lease_end(), kStart + seconds(11));
}

TEST_F(AgentCoreTest, ObeysOnlyTheHighestEpoch) {
  const Session session = core_->OnLinkUp("f");
  core_->OnMessage("f", InventoryRequest{"c", true, 1, Fence{2, session}},
                   kStart);
  EXPECT_EQ(core_->epoch(), 2U);
  Start(0, 1, kStart);
  EXPECT_EQ(StartCommands(), 0);
  core_->OnMessage("e", InventoryRequest{"c", true, 1, fence_}, kStart);
  EXPECT_EQ(core_->owner(), "f");
}

// Guards against reporting a running task as refused: a start call whose reply
// was lost took effect after another call of the same attempt had been refused.
TEST_F(AgentCoreTest, RefusalDoesNotCountWhileAnotherCallMayTakeEffect) {
  Start(0, 1, kStart);
  EXPECT_EQ(StartCommands(), 1);
  const TaskId task{"j", 0};
  const Attempt attempt = Attempt::Make(1, 1);
  core_->OnStartAnswer(task, attempt, WorkerStartAnswer::kUnknown, "", kStart);
  core_->OnWorkerList({}, kStart + seconds(1));
  EXPECT_EQ(StartCommands(), 1);
  core_->OnStartAnswer(task, attempt, WorkerStartAnswer::kRefused, "",
                       kStart + seconds(2));
  EXPECT_TRUE(Outcomes().empty());
  core_->OnWorkerList({}, kStart + seconds(3));
  EXPECT_EQ(StartCommands(), 0);
  EXPECT_TRUE(Outcomes().empty());
  core_->OnWorkerList({}, kStart + seconds(10));
  const auto outcomes = Outcomes();
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, OutcomeKind::kRefused);
}

TEST_F(AgentCoreTest, KeepsOutcomeUntilAcknowledged) {
  Start(0, 1, kStart);
  const Attempt attempt = Attempt::Make(1, 1);
  core_->OnWorkerList(
      {{{"j", 0}, attempt, WorkerTaskState::kDone, {1000, 1000, 0}, "", ""}},
      kStart + seconds(1));
  EXPECT_EQ(Outcomes().size(), 1U);
  EXPECT_EQ(core_->unacknowledged(), 1U);
  // A new owner gets the outcome with the inventory.
  const Session session = core_->OnLinkUp("f");
  const Fence fence{2, session};
  core_->OnMessage("f", InventoryRequest{"c", true, 1, fence}, kStart);
  const auto messages = core_->TakeMessages();
  ASSERT_EQ(messages.size(), 1U);
  EXPECT_EQ(std::get<Inventory>(messages[0].message).outcomes.size(), 1U);
  core_->OnMessage("f", AcknowledgeOutcomes{fence, {{{"j", 0}, attempt}}},
                   kStart);
  EXPECT_EQ(core_->unacknowledged(), 0U);
}

TEST_F(AgentCoreTest, TaskMissingFromWorkerListIsLostNotEvicted) {
  const Attempt attempt = Attempt::Make(1, 1);
  Start(0, 1, kStart);
  core_->OnStartAnswer({"j", 0}, attempt, WorkerStartAnswer::kStarted, "",
                       kStart);
  core_->OnWorkerList({}, kStart + seconds(1));
  const auto outcomes = Outcomes();
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].kind, OutcomeKind::kLost);
}

TEST_F(AgentCoreTest, CheckpointsBeforeLeaseExpires) {
  Start(0, 1, kStart);
  core_->TakeCommands();
  core_->Tick(kStart + seconds(7));
  EXPECT_TRUE(core_->TakeCommands().empty());
  core_->Tick(kStart + seconds(8));
  const auto commands = core_->TakeCommands();
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].kind, WorkerCommandKind::kEvict);
}

// Guards against evicting every task right after its start, which happened when
// the checkpoint lead was longer than the lease.
TEST_F(AgentCoreTest, LongCheckpointLeadDoesNotEvictUnderShortLease) {
  AgentCoreOptions options;
  options.capacity = kVm;
  options.incarnation = 5;
  options.checkpoint_lead = seconds(60);
  core_ = AgentCore::Create(options);
  core_->OnWorkerList({}, kStart);
  fence_ = Fence{1, core_->OnLinkUp("e")};
  core_->OnMessage("e", InventoryRequest{"c", true, 1, fence_}, kStart);
  core_->OnMessage("e", Grant{fence_, kStart, seconds(8)}, kStart);
  Start(0, 1, kStart);
  core_->TakeCommands();
  core_->Tick(kStart + seconds(5));
  EXPECT_TRUE(core_->TakeCommands().empty());
}

// Guards against losing a result: an owner that had lost its cell told a
// restarted agent to forget a result that the next owner had not received.
TEST_F(AgentCoreTest, RestartedAgentForgetsNothingForUnconfirmedOwner) {
  AgentCoreOptions options;
  options.capacity = kVm;
  options.incarnation = 6;
  core_ = AgentCore::Create(options);
  const Attempt attempt = Attempt::Make(3, 1);
  core_->OnWorkerList(
      {{{"j", 0}, attempt, WorkerTaskState::kDone, {1000, 1000, 0}, "", ""}},
      kStart);
  fence_ = Fence{2, core_->OnLinkUp("e")};
  core_->OnMessage("e", InventoryRequest{"c", false, 1, fence_}, kStart);
  core_->OnMessage("e", AcknowledgeOutcomes{fence_, {{{"j", 0}, attempt}}},
                   kStart);
  EXPECT_EQ(core_->unacknowledged(), 1U);
}

TEST_F(AgentCoreTest, RestartedAgentStartsNothingForUnconfirmedOwner) {
  AgentCoreOptions options;
  options.capacity = kVm;
  options.incarnation = 6;
  core_ = AgentCore::Create(options);
  core_->OnWorkerList({}, kStart);
  fence_ = Fence{1, core_->OnLinkUp("e")};
  core_->OnMessage("e", InventoryRequest{"c", false, 1, fence_}, kStart);
  core_->OnMessage("e", Grant{fence_, kStart, seconds(10)}, kStart);
  Start(0, 1, kStart);
  EXPECT_EQ(StartCommands(), 0);
  core_->OnMessage("e", InventoryRequest{"c", true, 1, fence_}, kStart);
  Start(0, 2, kStart);
  EXPECT_EQ(StartCommands(), 1);
}

// Guards against a lost throttle command: without repetition, batch tasks
// stayed throttled forever when the command that ended throttling was lost, and
// the service stayed slow when the one that began it was lost.
TEST_F(AgentCoreTest, RepeatsThrottleCommands) {
  Start(0, 1, kStart);
  const auto throttles = [this](TimePoint from, TimePoint to) {
    std::vector<int> percents;
    for (TimePoint now = from; now < to; now += seconds(1)) {
      core_->OnMessage("e", Grant{fence_, now, seconds(10)}, now);
      core_->Tick(now);
      core_->OnWorkerList({{{"j", 0},
                            Attempt::Make(1, 1),
                            WorkerTaskState::kRunning,
                            {},
                            {},
                            {}}},
                          now);
      for (const WorkerCommand& command : core_->TakeCommands()) {
        if (command.kind != WorkerCommandKind::kThrottle) continue;
        percents.push_back(command.percent);
      }
    }
    return percents;
  };
  TimePoint now = kStart;
  const auto observe = [&](Duration latency, int times) {
    for (int i = 0; i < times; ++i, now += seconds(1)) {
      core_->OnServiceLatency(latency, seconds(1), now);
    }
  };
  observe(seconds(5), 5);
  ASSERT_TRUE(core_->throttled());
  core_->TakeCommands();
  const std::vector<int> slow = throttles(now, now + seconds(30));
  EXPECT_GE(slow.size(), 3U);
  EXPECT_LE(slow.size(), 10U);
  EXPECT_EQ(std::count(slow.begin(), slow.end(), 100), 0);
  now += seconds(30);
  observe(std::chrono::milliseconds(1), 40);
  ASSERT_FALSE(core_->throttled());
  core_->TakeCommands();
  const std::vector<int> full = throttles(now, now + seconds(30));
  EXPECT_GE(full.size(), 3U);
  EXPECT_LE(full.size(), 10U);
  EXPECT_EQ(std::count(full.begin(), full.end(), 100), int(full.size()));
}

// Guards against throttling without end: a service that gets no more requests
// yields no more latency samples, so batch tasks stayed throttled until its
// next request.
TEST_F(AgentCoreTest, ThrottlingEndsWhenServiceIsIdle) {
  TimePoint now = kStart;
  for (int i = 0; i < 5; ++i, now += seconds(1)) {
    core_->OnServiceLatency(seconds(5), seconds(1), now);
  }
  ASSERT_TRUE(core_->throttled());
  for (int i = 0; i < 60; ++i, now += seconds(1)) {
    core_->OnServiceIdle(seconds(1), now);
    EXPECT_TRUE(core_->throttled() || i >= 10)
        << "throttling ended after too short an idle time";
  }
  EXPECT_FALSE(core_->throttled());
}

// Guards against a task that keeps running because the command to stop it was
// lost.
TEST_F(AgentCoreTest, RepeatsStopUntilWorkerListShowsTheEnd) {
  const TaskId task{"j", 0};
  const Attempt attempt = Attempt::Make(1, 1);
  Start(0, 1, kStart);
  core_->OnStartAnswer(task, attempt, WorkerStartAnswer::kStarted, "", kStart);
  core_->TakeCommands();
  core_->OnMessage("e", StopTasks{fence_, StopMode::kCancel, {{task, attempt}}},
                   kStart);
  const auto cancels = [this] {
    int count = 0;
    for (const WorkerCommand& command : core_->TakeCommands()) {
      if (command.kind == WorkerCommandKind::kCancel) ++count;
    }
    return count;
  };
  EXPECT_EQ(cancels(), 1);
  WorkerTask listed{task, attempt, WorkerTaskState::kRunning, {}, "", ""};
  for (int i = 1; i <= 5; ++i) {
    core_->OnWorkerList({listed}, kStart + seconds(i));
    EXPECT_EQ(cancels(), 1);
  }
  listed.state = WorkerTaskState::kEvicted;
  core_->OnWorkerList({listed}, kStart + seconds(6));
  EXPECT_EQ(cancels(), 0);
  EXPECT_EQ(core_->running(), 0U);
}

}  // namespace
}  // namespace beamhill
