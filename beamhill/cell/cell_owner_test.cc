#include "beamhill/cell/cell_owner.h"

#include <gtest/gtest.h>

#include <map>
#include <vector>

namespace beamhill {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Resources kVm{4000, 8000, 0};

// A CellOwner with agents "vm-1", "vm-2" and so on, which answer inventory
// requests at once and accept every start.
class CellOwnerTest : public testing::Test {
 protected:
  // Creates an owner of epoch 1 with `vms` agents that are ready for tasks.
  void CreateOwner(const CellOwnerOptions& options, int vms) {
    owner_ =
        CellOwner::Create(options, {1, kStart, kStart, false, false}, {}, {});
    for (int i = 1; i <= vms; ++i) {
      Hello hello;
      hello.vm = "vm-" + std::to_string(i);
      hello.capacity = kVm;
      hello.session = {static_cast<uint64_t>(i), 1};
      owner_->OnHello(hello, kStart);
    }
    owner_->OnOwnershipConfirmed(kStart);
    HandleMessages(kStart);
    owner_->TakeSnapshot(kStart);
    owner_->OnSnapshotDurable(kStart);
    SendHeartbeats(kStart);
  }

  void SendHeartbeats(TimePoint now) {
    for (const VmView& vm : owner_->Vms()) {
      owner_->OnHeartbeat(vm.vm, Heartbeat{FenceOf(vm.vm), now}, now);
    }
    HandleMessages(now);
  }

  static Fence FenceOf(const std::string& vm) {
    return Fence{1, {static_cast<uint64_t>(std::stoi(vm.substr(3))), 1}};
  }

  // Answers inventory requests with empty inventories, and records starts and
  // evictions.
  void HandleMessages(TimePoint now) {
    for (const AgentMessage& message : owner_->TakeMessages()) {
      if (const auto* r = std::get_if<InventoryRequest>(&message.message)) {
        owner_->OnInventory(message.vm, Inventory{r->fence, r->number, {}, {}},
                            now);
      } else if (const auto* s = std::get_if<StartTasks>(&message.message)) {
        for (const StartTask& task : s->tasks) {
          started_[{s->job.id, task.index}] = {message.vm, task.attempt};
          ++starts_by_team_[s->job.team];
        }
      } else if (const auto* s = std::get_if<StopTasks>(&message.message)) {
        for (const StopTask& task : s->tasks) evicted_.push_back(task.task);
      }
    }
  }

  void Tick(TimePoint now) {
    owner_->Tick(now);
    HandleMessages(now);
  }

  void ReportOutcome(const TaskId& task, OutcomeKind kind, TimePoint now) {
    const auto [vm, attempt] = started_.at(task);
    owner_->OnOutcomes(
        vm, Outcomes{FenceOf(vm), {{task, attempt, kind, "", ""}}}, now);
  }

  static RangeRow JobRange(const std::string& id, const std::string& team,
                           uint32_t tasks, Urgency urgency = Urgency::kNormal) {
    RangeRow row;
    row.job.id = id;
    row.job.team = team;
    row.job.tasks = tasks;
    row.job.each = {1000, 1000, 0};
    row.job.urgency = urgency;
    row.range = {0, tasks};
    row.initial_window = tasks;
    return row;
  }

  struct Placement {
    std::string vm;
    Attempt attempt;
  };
  std::unique_ptr<CellOwner> owner_;
  std::map<TaskId, Placement> started_;
  std::map<std::string, int> starts_by_team_;
  std::vector<TaskId> evicted_;
};

TEST_F(CellOwnerTest, StartsTasksUpToTheCapacityOfTheVms) {
  CreateOwner({}, 3);
  owner_->OnRange(JobRange("j", "t", 100));
  Tick(kStart);
  EXPECT_EQ(started_.size(), 12U);
  for (const VmView& vm : owner_->Vms()) EXPECT_TRUE(kVm.Holds(vm.granted));
}

TEST_F(CellOwnerTest, TeamsGetEqualSharesRegardlessOfTheirJobCount) {
  CreateOwner({}, 3);
  for (int i = 0; i < 5; ++i) {
    owner_->OnRange(JobRange("a" + std::to_string(i), "many", 50));
  }
  owner_->OnRange(JobRange("b", "one", 50));
  Tick(kStart);
  EXPECT_EQ(starts_by_team_["many"], 6);
  EXPECT_EQ(starts_by_team_["one"], 6);
}

TEST_F(CellOwnerTest, QuotaLimitsATeamEvenInAnEmptyCell) {
  CellOwnerOptions options;
  options.quota = [](const std::string& team) {
    return team == "small" ? 0.25 : 1.0;
  };
  CreateOwner(options, 3);
  owner_->OnRange(JobRange("j", "small", 50));
  Tick(kStart);
  EXPECT_EQ(starts_by_team_["small"], 3);
}

TEST_F(CellOwnerTest, UrgentTasksStartFirst) {
  CreateOwner({}, 1);
  owner_->OnRange(JobRange("a", "t", 10));
  owner_->OnRange(JobRange("z", "u", 3, Urgency::kUrgent));
  Tick(kStart);
  EXPECT_EQ(starts_by_team_["u"], 3);
}

TEST_F(CellOwnerTest, UrgentTasksPreemptOthersInAFullCell) {
  CreateOwner({}, 2);
  owner_->OnRange(JobRange("a", "t", 100));
  Tick(kStart);
  ASSERT_EQ(started_.size(), 8U);
  owner_->OnRange(JobRange("z", "u", 2, Urgency::kUrgent));
  Tick(kStart + seconds(1));
  EXPECT_EQ(evicted_.size(), 2U);
  Tick(kStart + seconds(2));
  EXPECT_EQ(evicted_.size(), 2U) << "evicts no more than needed";
  for (const TaskId& task : evicted_) {
    ReportOutcome(task, OutcomeKind::kEvicted, kStart + seconds(2));
  }
  Tick(kStart + seconds(3));
  EXPECT_EQ(starts_by_team_["u"], 2);
}

TEST_F(CellOwnerTest, EvictionsStayWithinTheHourlyLimit) {
  CellOwnerOptions options;
  options.evictions_per_hour = [] { return int64_t{1}; };
  CreateOwner(options, 2);
  owner_->OnRange(JobRange("a", "t", 100));
  Tick(kStart);
  owner_->OnRange(JobRange("z", "u", 5, Urgency::kUrgent));
  for (int i = 1; i < 20; ++i) Tick(kStart + seconds(i));
  EXPECT_EQ(evicted_.size(), 1U);
}

TEST_F(CellOwnerTest, VmThatFailsEveryTaskIsQuarantined) {
  CreateOwner({}, 3);
  owner_->OnRange(JobRange("j", "t", 1000));
  TimePoint now = kStart;
  int late_starts_on_bad_vm = 0;
  for (int round = 0; round < 12; ++round) {
    now += seconds(1);
    SendHeartbeats(now);
    owner_->OnOwnershipConfirmed(now);
    Tick(now);
    const auto batch = std::exchange(started_, {});
    for (const auto& [task, placed] : batch) {
      started_[task] = placed;
      const bool bad = placed.vm == "vm-1";
      if (bad && round >= 4) ++late_starts_on_bad_vm;
      ReportOutcome(task, bad ? OutcomeKind::kFailed : OutcomeKind::kDone, now);
    }
    started_.clear();
  }
  EXPECT_TRUE(owner_->health().IsQuarantined("vm-1"));
  EXPECT_LE(late_starts_on_bad_vm, 1) << "at most one probe";
}

// A lease granted for a heartbeat ends no later than the owner's term.
TEST_F(CellOwnerTest, GrantsNoLeaseBeyondItsOwnTerm) {
  CellOwnerOptions options;
  options.ownership_term = seconds(100);
  options.agent_term = seconds(60);
  CreateOwner(options, 1);
  const auto term_at = [&](TimePoint now) -> std::optional<Duration> {
    owner_->OnHeartbeat("vm-1", Heartbeat{FenceOf("vm-1"), now}, now);
    for (const AgentMessage& message : owner_->TakeMessages()) {
      const auto* grant = std::get_if<Grant>(&message.message);
      if (grant != nullptr) return grant->term;
    }
    return std::nullopt;
  };
  EXPECT_EQ(term_at(kStart + seconds(10)), Duration(seconds(60)));
  EXPECT_EQ(term_at(kStart + seconds(70)), Duration(seconds(30)));
  EXPECT_EQ(term_at(kStart + seconds(100)), std::nullopt);
}

// An agent links while a table outage longer than the term keeps the owner from
// acting. The inventory must be requested once the ownership is confirmed
// again. Otherwise the VM gets no tasks, and stops lost with an earlier link
// are not sent again.
TEST_F(CellOwnerTest, RequestsInventoryOfVmThatLinkedWhileTheTermWasOver) {
  CellOwnerOptions options;
  CreateOwner(options, 1);
  owner_->OnRange(JobRange("cancelled", "t", 2));
  owner_->OnRange(JobRange("other", "t", 1));
  Tick(kStart);
  ASSERT_EQ(started_.size(), 3U);
  const TimePoint outage_end = kStart + options.ownership_term + seconds(1);
  owner_->OnLinkDown("vm-1", {1, 1});
  RangeRow cancelled = JobRange("cancelled", "t", 2);
  cancelled.cancelled = true;
  owner_->OnRange(cancelled);
  Hello hello;
  hello.vm = "vm-1";
  hello.capacity = kVm;
  hello.session = {1, 2};
  owner_->OnHello(hello, outage_end);
  owner_->OnOwnershipConfirmed(outage_end + seconds(1));
  std::vector<TaskId> stopped;
  for (const AgentMessage& message : owner_->TakeMessages()) {
    const auto* request = std::get_if<InventoryRequest>(&message.message);
    if (request == nullptr) continue;
    Inventory inventory{request->fence, request->number, {}, {}};
    for (const auto& [task, placed] : started_) {
      inventory.running.push_back({task, placed.attempt, {1000, 1000, 0}});
    }
    owner_->OnInventory("vm-1", inventory, outage_end + seconds(1));
  }
  for (const AgentMessage& message : owner_->TakeMessages()) {
    const auto* stop = std::get_if<StopTasks>(&message.message);
    if (stop == nullptr) continue;
    EXPECT_EQ(stop->mode, StopMode::kCancel);
    for (const StopTask& task : stop->tasks) stopped.push_back(task.task);
  }
  const std::vector<TaskId> expected = {{"cancelled", 0}, {"cancelled", 1}};
  EXPECT_EQ(stopped, expected);
  // Each session gets one request: after a second one, the answer to the first
  // would be dropped.
  owner_->OnOwnershipConfirmed(outage_end + seconds(2));
  EXPECT_TRUE(owner_->TakeMessages().empty());
  owner_->OnHeartbeat("vm-1", Heartbeat{Fence{1, {1, 2}}, outage_end},
                      outage_end);
  owner_->OnRange(JobRange("new", "t", 1));
  Tick(outage_end + seconds(2));
  EXPECT_EQ(started_.count({"new", 0}), 1U);
}

// The platform's list omits a VM once and then shows it again. If the omission
// is remembered, a link lost much later makes the owner give up the VM at once,
// and its tasks start elsewhere while they still run under their lease.
TEST_F(CellOwnerTest, VmThatIsListedAgainIsNotGivenUpOnLinkLoss) {
  CreateOwner({}, 2);
  owner_->OnRange(JobRange("j", "t", 1));
  Tick(kStart);
  const std::string vm = started_.at({"j", 0}).vm;
  owner_->OnVmGone(vm, kStart + seconds(1));
  owner_->OnVmLeaving(vm, false);
  SendHeartbeats(kStart + seconds(30));
  owner_->OnLinkDown(vm, FenceOf(vm).session);
  Tick(kStart + seconds(31));
  EXPECT_EQ(owner_->counts().starts, 1U) << "its lease has not expired";
  owner_->OnVmGone(vm, kStart + seconds(32));
  Tick(kStart + seconds(32));
  EXPECT_EQ(owner_->counts().starts, 2U);
}

// Replaces the VM's link, answers the inventory request with `held`, and
// returns the owner's messages after that.
std::vector<AgentMessage> Relink(CellOwner& owner, const Hello& hello,
                                 const Inventory& held, TimePoint now) {
  owner.OnLinkDown(hello.vm, {hello.session.incarnation, 1});
  owner.OnHello(hello, now);
  for (const AgentMessage& message : owner.TakeMessages()) {
    const auto* request = std::get_if<InventoryRequest>(&message.message);
    if (request == nullptr) continue;
    Inventory inventory = held;
    inventory.fence = request->fence;
    inventory.number = request->number;
    owner.OnInventory(hello.vm, inventory, now);
  }
  return owner.TakeMessages();
}

Hello SecondLinkOfVm1() {
  Hello hello;
  hello.vm = "vm-1";
  hello.capacity = kVm;
  hello.session = {1, 2};
  return hello;
}

// The stops of a cancelled job are lost with the link that carried them.
TEST_F(CellOwnerTest, ResendsStopLostWithItsLink) {
  CreateOwner({}, 1);
  owner_->OnRange(JobRange("j", "t", 2));
  Tick(kStart);
  RangeRow cancelled = JobRange("j", "t", 2);
  cancelled.cancelled = true;
  owner_->OnRange(cancelled);
  EXPECT_EQ(owner_->TakeMessages().size(), 2U) << "lost";
  Inventory held;
  for (const auto& [task, placed] : started_) {
    held.running.push_back({task, placed.attempt, {1000, 1000, 0}});
  }
  size_t stops = 0;
  for (const AgentMessage& message :
       Relink(*owner_, SecondLinkOfVm1(), held, kStart + seconds(1))) {
    const auto* stop = std::get_if<StopTasks>(&message.message);
    if (stop != nullptr) stops += stop->tasks.size();
  }
  EXPECT_EQ(stops, 2U);
}

// An eviction is lost with the link that carried it. It must not count as in
// progress once the inventory shows the task running.
TEST_F(CellOwnerTest, OrdersEvictionLostWithItsLinkAgain) {
  CreateOwner({}, 1);
  owner_->OnRange(JobRange("a", "t", 4));
  Tick(kStart);
  owner_->OnRange(JobRange("z", "u", 1, Urgency::kUrgent));
  owner_->Tick(kStart + seconds(1));
  EXPECT_EQ(owner_->TakeMessages().size(), 1U) << "lost";
  Inventory held;
  for (const auto& [task, placed] : started_) {
    held.running.push_back({task, placed.attempt, {1000, 1000, 0}});
  }
  Relink(*owner_, SecondLinkOfVm1(), held, kStart + seconds(2));
  Tick(kStart + seconds(3));
  EXPECT_EQ(evicted_.size(), 1U);
}

// The acknowledgement of an outcome is lost with the link that carried it.
// Unless it is sent again, such outcomes accumulate at the agent.
TEST_F(CellOwnerTest, ResendsAcknowledgementLostWithItsLink) {
  CreateOwner({}, 1);
  owner_->OnRange(JobRange("j", "t", 1));
  Tick(kStart);
  const Attempt attempt = started_.at({"j", 0}).attempt;
  const auto count_acknowledged = [this] {
    size_t count = 0;
    for (const AgentMessage& message : owner_->TakeMessages()) {
      const auto* acknowledgement =
          std::get_if<AcknowledgeOutcomes>(&message.message);
      if (acknowledgement != nullptr) count += acknowledgement->tasks.size();
    }
    return count;
  };
  ReportOutcome({"j", 0}, OutcomeKind::kDone, kStart);
  ASSERT_TRUE(owner_->TakeSnapshot(kStart + seconds(20)));
  owner_->OnSnapshotDurable(kStart + seconds(20));
  EXPECT_EQ(count_acknowledged(), 1U) << "lost";
  Inventory held;
  held.outcomes.push_back({{"j", 0}, attempt, OutcomeKind::kDone, "", ""});
  Relink(*owner_, SecondLinkOfVm1(), held, kStart + seconds(21));
  ASSERT_TRUE(owner_->TakeSnapshot(kStart + seconds(40)));
  owner_->OnSnapshotDurable(kStart + seconds(40));
  EXPECT_EQ(count_acknowledged(), 1U);
}

}  // namespace
}  // namespace beamhill
