// Fixture of tests of VmRegistration.
#ifndef BEAMHILL_EXECUTOR_VM_REGISTRATION_TEST_BASE_H_
#define BEAMHILL_EXECUTOR_VM_REGISTRATION_TEST_BASE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/vm_registration.h"
#include "beamhill/table/row_names.h"
#include "beamhill/testing/faulty_table.h"

namespace beamhill {

inline constexpr char kKey[] = "executors/vm-1";
inline constexpr char kLegacyKey[] = "vms/vm-1";

class VmRegistrationTest : public testing::Test {
 protected:
  // The registration of a VM whose runner has registered.
  std::unique_ptr<VmRegistration> Make(const std::string& address) {
    return Make(address, table_.AsTable());
  }

  std::unique_ptr<VmRegistration> Make(const std::string& address,
                                       Table table) {
    auto registration = MakeWithoutRunner(address, std::move(table));
    Register(*registration, "runner/1");
    return registration;
  }

  std::unique_ptr<VmRegistration> MakeWithoutRunner(
      const std::string& address) {
    return MakeWithoutRunner(address, table_.AsTable());
  }

  std::unique_ptr<VmRegistration> MakeWithoutRunner(const std::string& address,
                                                    Table table) {
    VmRegistrationHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.random = [] { return 0.5; };
    hooks.since_owner = [this] { return since_owner_; };
    hooks.runner_is_gone = [this] { return runner_is_gone_; };
    hooks.on_owner_epoch = [this](uint64_t epoch) {
      owner_epochs_.push_back(epoch);
    };
    hooks.log = [](const std::string&, const std::string&) {};
    return std::make_unique<VmRegistration>(VmRecord{"vm-1", address},
                                            std::move(table), std::move(hooks));
  }

  // A registration that is passed on ends the time without a runner, as in
  // Executor.
  void Register(VmRegistration& registration, const std::string& incarnation) {
    registration.OnRunnerRegistered(incarnation, [this, incarnation] {
      passed_on_.push_back(incarnation);
      runner_is_gone_ = false;
    });
  }

  // Wraps the table. Commits get an unknown outcome and are kept in
  // `lost_commits_` while `lose_commits_`, refused while `refuse_commits_`.
  Table WithLostCommits() {
    Table table = table_.AsTable();
    table.commit = [this, commit = table.commit](Transaction transaction,
                                                 const CommitDone& done) {
      if (!lose_commits_ && !refuse_commits_) {
        commit(std::move(transaction), done);
        return;
      }
      if (lose_commits_) lost_commits_.push_back(std::move(transaction));
      done({lose_commits_ ? CommitResult::kUnknown : CommitResult::kNotApplied,
            {}});
    };
    return table;
  }

  void AdvanceTime(Duration time, VmRegistration& registration) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += std::chrono::milliseconds(100)) {
      registration.Tick();
      table_.Deliver();
    }
  }

  // The runner is gone; the first removal of its row has an unknown outcome.
  std::unique_ptr<VmRegistration> MakeWithLostRemoval() {
    auto registration = Make("10.0.0.1:1", WithLostCommits());
    AdvanceTime(std::chrono::seconds(1), *registration);
    runner_is_gone_ = true;
    lose_commits_ = true;
    AdvanceTime(std::chrono::milliseconds(10'100), *registration);
    lose_commits_ = false;
    passed_on_.clear();
    return registration;
  }

  // The next runner is served, and the late removal fails.
  void ExpectServedUnderANewRow(VmRegistration& registration) {
    AdvanceTime(std::chrono::seconds(1), registration);
    EXPECT_THAT(passed_on_, testing::ElementsAre("runner/2"));
    ASSERT_THAT(lost_commits_, testing::SizeIs(1));
    const Transaction late = std::exchange(lost_commits_, {}).front();
    EXPECT_EQ(table_.model().Commit(late).result, CommitResult::kConflict);
    EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  }

  std::string AddressIn(const std::string& key) {
    const auto& rows = table_.model().rows();
    const auto it = rows.find(key);
    if (it == rows.end()) return "";
    return ValueOf(DecodeRecord<VmRecord>(it->second.value)).address;
  }

  uint64_t writes() { return table_.model().counts().row_writes; }

  FaultyTable table_;
  TimePoint now_{std::chrono::hours(1)};
  Duration since_owner_{};
  bool runner_is_gone_ = false;
  std::vector<std::string> passed_on_;  // Incarnations.
  std::vector<uint64_t> owner_epochs_;
  bool lose_commits_ = false;
  bool refuse_commits_ = false;            // Of the table above.
  std::vector<Transaction> lost_commits_;  // Not applied.
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_VM_REGISTRATION_TEST_BASE_H_
