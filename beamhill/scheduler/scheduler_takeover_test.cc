// Tests what a Scheduler does with the link to an owner that it no longer
// follows, over loopback.
#include <gtest/gtest.h>

#include <memory>
#include <optional>
#include <string>

#include "beamhill/link/link.h"
#include "beamhill/scheduler/scheduler_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kIncarnation = 7;
// Exceeds the time after which a scheduler redials a silent owner.
constexpr Duration kFreeze = milliseconds(3500);
constexpr int kRounds = 3;
// By then, the scheduler has received the answer to its first heartbeat.
constexpr int kPollsUntilHeard = 5;

// An owner on an event loop of its own, so that it can freeze like a process.
class FakeOwner {
 public:
  FakeOwner(EventLoop& loop, uint64_t incarnation) : incarnation_(incarnation) {
    listener_ = std::move(ValueOf(LinkListener::Listen(
        *loop_, {"127.0.0.1", 0}, [this](Link&) { return Hooks(); })));
    run_ = loop.Every(milliseconds(1), [this] {
      if (!frozen_) RunPending();
    });
  }

  void set_frozen(bool frozen) { frozen_ = frozen; }
  // Sent in reply to each heartbeat, before the owner's own.
  void set_announced(const OwnerRecord& record) { announced_ = record; }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(listener_->port());
  }
  int heartbeats() const { return heartbeats_; }
  int submissions() const { return submissions_; }
  // Ends the links, as at the end of the process.
  void End() { listener_.reset(); }

 private:
  // Runs what is due, without waiting.
  void RunPending() {
    const Timer end = loop_->After(Duration(0), [this] { loop_->Stop(); });
    loop_->Run();
  }

  LinkHooks Hooks() {
    LinkHooks hooks;
    hooks.on_message = [this](Link& link, std::string_view frame) {
      const auto message = ValueOf(DecodeDispatch(frame));
      if (std::holds_alternative<RelayedSubmit>(message)) ++submissions_;
      if (!std::holds_alternative<SchedulerHeartbeat>(message)) return;
      ++heartbeats_;
      if (announced_) link.Send(EncodeDispatch(OwnerAnnounced{*announced_}));
      SchedulerHeartbeat heartbeat;
      heartbeat.incarnation = incarnation_;
      heartbeat.epoch = heartbeat.known_epoch = 1;
      link.Send(EncodeDispatch(heartbeat));
    };
    return hooks;
  }

  uint64_t incarnation_;
  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  std::unique_ptr<LinkListener> listener_;
  bool frozen_ = false;
  int heartbeats_ = 0;
  int submissions_ = 0;
  std::optional<OwnerRecord> announced_;
  Timer run_;
};

class SchedulerTakeoverTest : public SchedulerTestBase {
 protected:
  // Starts a scheduler that follows the owner.
  void FollowOwner(FakeOwner& owner) {
    StoreOwner("owner", kIncarnation, owner.address());
    StartScheduler();
    ASSERT_TRUE(RunUntil(seconds(5), [&] { return owner.heartbeats() > 0; }));
  }
};

// Guards against a crash: a scheduler took over from a frozen owner, whose link
// then opened or brought a heartbeat, and used the null pointer to its owner.
TEST_F(SchedulerTakeoverTest, EarlierOwnerWakesAtTheTakeover) {
  settings_version_ = 1;  // The owner's is older, so that it is sent a copy.
  for (int round = 0; round < kRounds; ++round) {
    FakeOwner owner(*loop_, kIncarnation);
    FollowOwner(owner);
    // No takeover before the link was dialed again.
    owner.set_frozen(true);
    HoldTable();
    RunUntil(kFreeze, [] { return false; });
    ReleaseTable();
    const Timer wake = loop_->Every(milliseconds(1), [&] {
      if (scheduler_->owns()) owner.set_frozen(false);
    });
    ASSERT_TRUE(RunUntil(seconds(5), [&] { return scheduler_->owns(); }));
    RunUntil(milliseconds(200), [] { return false; });
    EXPECT_TRUE(scheduler_->owns());
    scheduler_.reset();
  }
}

// Guards against taking the end of the last owner's link for that of the next
// one: all open submissions were then sent a second time.
TEST_F(SchedulerTakeoverTest, EndOfTheLastOwnerDoesNotRepeatCallsToTheNext) {
  for (int round = 0; round < kRounds; ++round) {
    FakeOwner last(*loop_, kIncarnation);
    FakeOwner next(*loop_, kIncarnation + 1);
    FollowOwner(last);
    OwnerRecord record;
    record.epoch = 2;
    record.owner = "next";
    record.incarnation = kIncarnation + 1;
    record.address = next.address();
    table_.model().Commit(
        {{}, {{rows::kOwner, kAnyVersion, EncodeRecord(record)}}});
    last.set_announced(record);
    Workflow workflow;
    workflow.id = "workflow";
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    bool submitted = false;
    int polls = 0;  // Since the next owner has answered a heartbeat.
    const Timer submit = loop_->Every(milliseconds(1), [&] {
      if (next.heartbeats() == 0 || ++polls != kPollsUntilHeard) return;
      submitted = true;
      scheduler_->Submit(workflow, [](SubmitResult) {});
      last.End();
    });
    ASSERT_TRUE(RunUntil(seconds(5), [&] { return submitted; }));
    RunUntil(milliseconds(200), [] { return false; });
    EXPECT_EQ(next.submissions(), 1);
    scheduler_.reset();
  }
}

}  // namespace
}  // namespace beamhill
