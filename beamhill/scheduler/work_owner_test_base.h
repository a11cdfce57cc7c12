// A fixture for tests of WorkOwner with an in-memory table and its own event
// loop.
//
//   TEST_F(WorkOwnerTest, ...) {
//     table_.model().Commit(rows);
//     EXPECT_TRUE(RunUntil([&] { return owner_ && owner_->loaded(); }));
//   }
#ifndef BEAMHILL_SCHEDULER_WORK_OWNER_TEST_BASE_H_
#define BEAMHILL_SCHEDULER_WORK_OWNER_TEST_BASE_H_

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <utility>
#include <vector>

#include "beamhill/scheduler/work_owner.h"
#include "beamhill/testing/faulty_table.h"

namespace beamhill {

// How long a test waits for a condition before it fails.
inline constexpr Duration kTestTimeout = std::chrono::seconds(5);

class WorkOwnerTest : public testing::Test {
 protected:
  WorkOwnerTest() {
    deliver_ = loop_->Every(std::chrono::milliseconds(1),
                            [this] { table_.Deliver(); });
    OwnershipKeeperHooks hooks;
    hooks.now = [this] { return BootClock::now() + clock_ahead_; };
    hooks.random = [] { return 0.5; };
    hooks.claim_delay = [] { return Duration(0); };
    hooks.on_follow = [](const OwnerRecord&) {};
    hooks.on_taken = [this](uint64_t epoch, EarlierOwner, bool) {
      StartOwner(epoch);
    };
    hooks.on_lost = [] {};
    hooks.log = [](const std::string&, const std::string&) {};
    OwnershipKeeperOptions options;
    options.name = "owner";
    options.incarnation = 1;
    keeper_ = std::make_unique<OwnershipKeeper>(
        options, WithHeldCommits(table_.AsTable()), std::move(hooks));
    tick_ = loop_->Every(std::chrono::milliseconds(20),
                         [this] { keeper_->Tick(); });
  }

  void StartOwner(uint64_t epoch) {
    WorkOwnerOptions options = options_;
    options.epoch = epoch;
    Table table = table_.AsTable();
    table.max_value_bytes = max_value_bytes_;
    owner_ = std::make_unique<WorkOwner>(
        *loop_, table, *keeper_, options,
        [this](const AdviceRequest&, auto done) {
          if (on_advice_request_) on_advice_request_();
          done(std::nullopt);
        },
        [this]() -> const Evacuations& { return evacuations_; },
        WorkOwnerMetrics{&metrics_.AddLatency("commit", ""),
                         &metrics_.AddCounter("starts", "")});
  }

  // Wraps `table` so that answers to transactions can be held back.
  Table WithHeldCommits(Table table) {
    table.commit = [this, commit = table.commit](Transaction transaction,
                                                 CommitDone done) {
      commit(std::move(transaction), [this, done](const CommitAnswer& answer) {
        if (hold_commit_answers_) {
          held_answers_.push_back([done, answer] { done(answer); });
        } else {
          done(answer);
        }
      });
    };
    return table;
  }
  void ReleaseHeldAnswers() {
    hold_commit_answers_ = false;
    for (const auto& answer : std::exchange(held_answers_, {})) answer();
  }

  // Runs the loop until `condition` holds; returns false on timeout.
  bool RunUntil(const std::function<bool()>& condition) {
    bool held = false;
    const Timer check = loop_->Every(std::chrono::milliseconds(5), [&] {
      held = condition();
      if (held) loop_->Stop();
    });
    const Timer give_up = loop_->After(kTestTimeout, [this] { loop_->Stop(); });
    loop_->Run();
    return held;
  }

  std::unique_ptr<EventLoop> loop_ = std::move(ValueOf(EventLoop::Create()));
  FaultyTable table_;
  size_t max_value_bytes_ = Table().max_value_bytes;
  Evacuations evacuations_{true, 0, {}};
  WorkOwnerOptions options_;
  // Offset of the clock that the ownership keeper uses.
  Duration clock_ahead_{};
  std::function<void()> on_advice_request_;
  bool hold_commit_answers_ = false;
  std::vector<std::function<void()>> held_answers_;
  Metrics metrics_;
  std::unique_ptr<OwnershipKeeper> keeper_;
  std::unique_ptr<WorkOwner> owner_;
  Timer deliver_;
  Timer tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_WORK_OWNER_TEST_BASE_H_
