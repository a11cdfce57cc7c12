// Tests Scheduler with an in-memory table and simulated peers over loopback.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/link/link.h"
#include "beamhill/scheduler/scheduler_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kOwnerIncarnation = 7;
constexpr Duration kLeaseTerm = milliseconds(300);
constexpr Duration kAuthorityTerm = seconds(3);
// Leases of an owner that has ended are over by then, with 0.5 s for messages,
// and the ownership is confirmed every 0.5 s.
constexpr Duration kMaxWaitAfterEnd = kLeaseTerm + milliseconds(1500);

class SchedulerTest : public SchedulerTestBase {
 protected:
  SchedulerTest() {
    lease_term_ = kLeaseTerm;
    authority_term_ = kAuthorityTerm;
  }

  // Simulates the peer `name`, which answers heartbeats; records who was
  // dialed.
  std::unique_ptr<LinkListener> Listen(const std::string& name) {
    auto listener =
        LinkListener::Listen(*loop_, {"127.0.0.1", 0}, [this, name](Link&) {
          dialed_.insert(name);
          LinkHooks hooks;
          hooks.on_message = [this, name](Link& link, std::string_view frame) {
            const auto message = ValueOf(DecodeDispatch(frame));
            if (std::holds_alternative<SchedulerHeartbeat>(message)) {
              if (name == "owner" && announced_) {
                link.Send(EncodeDispatch(OwnerAnnounced{*announced_}));
              }
              link.Send(EncodeDispatch(HeartbeatOf(name)));
              owner_heartbeats_ += name == "owner" ? 1 : 0;
            }
          };
          hooks.on_close = [](Link&) {};
          return hooks;
        });
    return std::move(ValueOf(listener));
  }

  SchedulerHeartbeat HeartbeatOf(const std::string& name) const {
    SchedulerHeartbeat heartbeat;
    heartbeat.name = name;
    if (name == "owner") {
      heartbeat.incarnation = owner_incarnation_;
      heartbeat.epoch = 1;
      heartbeat.known_epoch = 1;
      heartbeat.peers = peer_addresses_;
    } else {
      heartbeat.incarnation = kOwnerIncarnation + 2;
      heartbeat.table_silence = peers_table_silence_;
    }
    return heartbeat;
  }

  void StoreOwner(const std::string& name, const std::string& address) {
    SchedulerTestBase::StoreOwner(name, kOwnerIncarnation, address);
  }

  // Starts a scheduler that takes over from the owner stored before, beside a
  // VM that never answers. Returns the time from its takeover until it no
  // longer waits for that VM.
  Duration InheritedWait() {
    evacuations_.known = true;  // Otherwise nothing is loaded.
    const VmRecord vm{"vm", "127.0.0.1:1"};
    Workflow workflow;
    workflow.id = "w";
    workflow.offered_to_epoch = 1;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    table_.model().Commit({{},
                           {{"executors/vm", 0, EncodeRecord(vm)},
                            {"workflows/w", 0, EncodeRecord(workflow)}}});
    StartScheduler();
    EXPECT_TRUE(RunUntil(seconds(8), [&] { return scheduler_->owns(); }));
    const TimePoint taken = BootClock::now();
    EXPECT_TRUE(
        RunUntil(seconds(1), [&] { return InheritedWaiting() == "1"; }));
    EXPECT_TRUE(
        RunUntil(seconds(8), [&] { return DumpContains("unaccounted 0"); }));
    EXPECT_EQ(InheritedWaiting(), "0");
    return BootClock::now() - taken;
  }

  std::string InheritedWaiting() const {
    return MetricValue("beamhill_inherited_waiting_workflows");
  }

  // Starts a scheduler that knows `peers` peers and cuts it off from its owner
  // and the table.
  void IsolateAmong(int peers) {
    for (int i = 0; i < peers; ++i) {
      peers_.push_back(Listen("peer-" + std::to_string(i)));
      peer_addresses_.push_back(AddressOf(*peers_.back()));
    }
    auto owner = Listen("owner");
    StoreOwner("owner", AddressOf(*owner));
    StartScheduler();
    ASSERT_TRUE(RunUntil(seconds(5), [&] { return owner_heartbeats_ > 0; }));
    RunUntil(milliseconds(100), [] { return false; });
    table_.set_fault(TableFault::kDown);
    table_silence_ = seconds(2);
    owner.reset();
    dialed_.clear();
  }

  Duration peers_table_silence_{};
  uint64_t owner_incarnation_ = kOwnerIncarnation;
  std::set<std::string> dialed_;  // Names of the peers that were dialed.
  int owner_heartbeats_ = 0;      // Heartbeats answered by the owner.
  std::vector<std::string> peer_addresses_;
  std::vector<std::unique_ptr<LinkListener>> peers_;
  std::optional<OwnerRecord> announced_;  // By the owner, of its successor.
};

// Guards against querying only the peers drawn first, which may be down or cut
// off as well: the scheduler then missed settings and the next owner until the
// table answered again.
TEST_F(SchedulerTest, QueriesOtherPeersWhileTheTableAnswersNoneQueried) {
  peers_table_silence_ = seconds(2);
  IsolateAmong(5);
  EXPECT_TRUE(RunUntil(seconds(6), [&] { return dialed_.size() == 5; }))
      << dialed_.size() << " were dialed";
}

// A peer that the table answers sends each change as it occurs.
TEST_F(SchedulerTest, StaysWithPeersThatTheTableAnswers) {
  IsolateAmong(5);
  EXPECT_FALSE(RunUntil(seconds(4), [&] { return dialed_.size() > 3; }));
  EXPECT_EQ(dialed_.size(), 3);
}

// On one day, this wait was 8 s longer than needed and cost a fifth of the
// day's value.
TEST_F(SchedulerTest, WaitsForLeasesOnlyAfterItsOwnEarlierProcess) {
  StoreOwner("follower", "127.0.0.1:1");
  const Duration wait = InheritedWait();
  EXPECT_GE(wait, kLeaseTerm);
  EXPECT_LE(wait, kMaxWaitAfterEnd);
}

TEST_F(SchedulerTest, WaitsForLeasesOnlyIfTheOwnersAddressHasAnotherProcess) {
  const auto owner = Listen("owner");
  owner_incarnation_ = kOwnerIncarnation + 1;
  StoreOwner("owner", AddressOf(*owner));
  EXPECT_LE(InheritedWait(), kMaxWaitAfterEnd);
}

// A silent owner may renew leases until its authority ends.
TEST_F(SchedulerTest, WaitsForAuthorityAndLeasesAfterASilentOwner) {
  StoreOwner("owner", "127.0.0.1:1");
  EXPECT_GE(InheritedWait(), kAuthorityTerm + kLeaseTerm);
}

// The last owner announces its successor and then answers a heartbeat. Taken as
// an answer of the successor's process, it would prove that one's end.
TEST_F(SchedulerTest, MessageOfTheLastOwnerDoesNotProveTheEndOfTheNext) {
  const auto owner = Listen("owner");
  const auto next = Listen("next");
  StoreOwner("owner", AddressOf(*owner));
  StartScheduler();
  ASSERT_TRUE(RunUntil(seconds(5), [&] { return owner_heartbeats_ > 0; }));
  OwnerRecord record;
  record.epoch = 2;
  record.owner = "next";
  record.incarnation = HeartbeatOf("next").incarnation;
  record.address = AddressOf(*next);
  table_.model().Commit(
      {{}, {{rows::kOwner, kAnyVersion, EncodeRecord(record)}}});
  announced_ = record;
  EXPECT_FALSE(RunUntil(seconds(1), [&] { return scheduler_->owns(); }));
  EXPECT_EQ(dialed_.count("next"), 1);
}

}  // namespace
}  // namespace beamhill
