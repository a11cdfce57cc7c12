#include "beamhill/executor/vm_registration.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/table/row_names.h"
#include "beamhill/testing/faulty_table.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kKey[] = "executors/vm-1";
constexpr char kLegacyKey[] = "vms/vm-1";

class VmRegistrationTest : public testing::Test {
 protected:
  std::unique_ptr<VmRegistration> Make(const std::string& address) {
    return Make(address, table_.AsTable());
  }

  std::unique_ptr<VmRegistration> Make(const std::string& address,
                                       Table table) {
    VmRegistrationHooks hooks;
    hooks.now = [this] { return now_; };
    hooks.random = [] { return 0.5; };
    hooks.since_owner = [this] { return since_owner_; };
    hooks.log = [](const std::string&, const std::string&) {};
    return std::make_unique<VmRegistration>(VmRecord{"vm-1", address},
                                            std::move(table), std::move(hooks));
  }

  void AdvanceTime(Duration time, VmRegistration& registration) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += milliseconds(100)) {
      registration.Tick();
      table_.Deliver();
    }
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
};

TEST_F(VmRegistrationTest, RowIsWrittenOnceAndNotByTheNextProcess) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  EXPECT_TRUE(first->stored());
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  EXPECT_EQ(writes(), 1);
  const auto next = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *next);
  EXPECT_TRUE(next->stored());
  EXPECT_EQ(writes(), 1);
}

TEST_F(VmRegistrationTest, ChangedAddressIsStored) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  const auto moved = Make("10.0.0.2:1");
  AdvanceTime(seconds(1), *moved);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.2:1");
}

// An earlier process got no answer to the write of its address and was replaced
// by one with another address before the table carries out that write.
TEST_F(VmRegistrationTest, LateWriteDoesNotBringAnEarlierAddressBack) {
  Table late = table_.AsTable();
  Transaction held;
  late.commit = [&held](Transaction transaction, const CommitDone&) {
    held = std::move(transaction);
  };
  const auto first = Make("10.0.0.1:1", late);
  AdvanceTime(milliseconds(100), *first);
  const auto next = Make("10.0.0.2:1");
  AdvanceTime(seconds(1), *next);
  EXPECT_EQ(table_.model().Commit(held).result, CommitResult::kConflict);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.2:1");
}

// Retries without backoff from hundreds of VMs would keep the table overloaded.
TEST_F(VmRegistrationTest, FailedCallsAreRetriedWithGrowingBackoff) {
  Table refusing = table_.AsTable();
  int reads = 0;
  const auto read = refusing.read;
  refusing.read = [&reads, read](std::vector<std::string> keys,
                                 ReadAnswer done) {
    ++reads;
    read(std::move(keys), std::move(done));
  };
  table_.set_fault(TableFault::kDown);
  const auto registration = Make("10.0.0.1:1", refusing);
  AdvanceTime(seconds(30), *registration);
  EXPECT_LE(reads, 12);
  table_.set_fault(TableFault::kNone);
  AdvanceTime(seconds(7), *registration);
  EXPECT_TRUE(registration->stored());
}

// A removal by an earlier process takes effect late, so no owner finds the VM.
TEST_F(VmRegistrationTest, MissingRowIsStoredAgainWhileNoOwnerIsHeard) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  table_.model().Commit({{}, {{kKey, kAnyVersion, std::nullopt}}});
  since_owner_ = seconds(5);
  AdvanceTime(seconds(11), *registration);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
}

TEST_F(VmRegistrationTest, OwnedVmSendsNoRequestsToTheTable) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  const uint64_t reads = table_.model().counts().reads;
  AdvanceTime(seconds(60), *registration);
  EXPECT_EQ(table_.model().counts().reads, reads);
}

TEST_F(VmRegistrationTest, WithdrawalRemovesRowsOfAllVersions) {
  table_.model().Commit(
      {{}, {{kLegacyKey, 0, EncodeRecord(VmRecord{"vm-1", "10.0.0.1:1"})}}});
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  // Kept for owners of earlier versions.
  EXPECT_EQ(AddressIn(kLegacyKey), "10.0.0.1:1");
  bool done = false;
  registration->Withdraw([&] { done = true; });
  table_.Deliver();
  EXPECT_TRUE(done);
  EXPECT_TRUE(table_.model().rows().empty());
  AdvanceTime(seconds(20), *registration);
  EXPECT_TRUE(table_.model().rows().empty());
}

TEST_F(VmRegistrationTest, WithdrawalCompletesWhileTheTableIsDown) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  table_.set_fault(TableFault::kDown);
  bool done = false;
  registration->Withdraw([&] { done = true; });
  table_.Deliver();
  EXPECT_TRUE(done);
}

// Otherwise owners would keep connecting to the VM, and each new owner would
// wait for it.
TEST_F(VmRegistrationTest, WithdrawalRemovesARowWhoseWriteWasNotAnswered) {
  table_.LoseNextCommitAnswer();
  const auto registration = Make("10.0.0.1:1");
  registration->Tick();
  table_.Deliver();
  ASSERT_FALSE(registration->stored());
  ASSERT_EQ(AddressIn(kKey), "10.0.0.1:1");
  bool done = false;
  registration->Withdraw([&] { done = true; });
  table_.Deliver();
  EXPECT_TRUE(done);
  EXPECT_TRUE(table_.model().rows().empty());
}

TEST_F(VmRegistrationTest, WithdrawalRemovesARowThatIsBeingWritten) {
  Table slow = table_.AsTable();
  std::vector<std::function<void()>> held;
  slow.commit = [&held, commit = slow.commit](Transaction transaction,
                                              CommitDone done) {
    held.push_back([commit, transaction, done] { commit(transaction, done); });
  };
  const auto registration = Make("10.0.0.1:1", slow);
  registration->Tick();
  table_.Deliver();
  ASSERT_EQ(held.size(), 1);
  bool done = false;
  registration->Withdraw([&] { done = true; });
  table_.Deliver();
  for (size_t i = 0; i < held.size(); ++i) {
    held[i]();
    table_.Deliver();
  }
  EXPECT_TRUE(done);
  EXPECT_TRUE(table_.model().rows().empty());
}

TEST_F(VmRegistrationTest, RemovalWithUnknownOutcomeIsRepeated) {
  Table losing = table_.AsTable();
  bool lose = false;
  losing.commit = [&lose, commit = losing.commit](Transaction transaction,
                                                  const CommitDone& done) {
    if (std::exchange(lose, false)) {
      done({CommitResult::kUnknown, {}});
    } else {
      commit(std::move(transaction), done);
    }
  };
  const auto registration = Make("10.0.0.1:1", losing);
  AdvanceTime(seconds(1), *registration);
  lose = true;
  bool done = false;
  registration->Withdraw([&] { done = true; });
  table_.Deliver();
  EXPECT_TRUE(done);
  EXPECT_TRUE(table_.model().rows().empty());
}

TEST_F(VmRegistrationTest, WithdrawalKeepsTheRowOfALaterProcess) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  const auto next = Make("10.0.0.2:1");
  AdvanceTime(seconds(1), *next);
  bool done = false;
  first->Withdraw([&] { done = true; });
  table_.Deliver();
  EXPECT_TRUE(done);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.2:1");
}

}  // namespace
}  // namespace beamhill
