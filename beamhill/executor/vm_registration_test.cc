#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/vm_registration_test_base.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;
using testing::SizeIs;

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

// Such a VM held up a takeover by 13.5 s: nothing ran there, and its executor
// had no runner to query for an inventory.
TEST_F(VmRegistrationTest, ExecutorWithoutRowAndRunnerStoresNoRow) {
  since_owner_ = seconds(60);
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(60), *registration);
  EXPECT_EQ(writes(), 0);
}

// Otherwise tasks could start on a VM that a new owner does not know.
TEST_F(VmRegistrationTest, RegistrationIsPassedOnOnceTheMissingRowIsStored) {
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  Register(*registration, "runner/1");
  EXPECT_THAT(passed_on_, IsEmpty());
  table_.Deliver();
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  EXPECT_THAT(passed_on_, ElementsAre("runner/1"));
  Register(*registration, "runner/1");
  EXPECT_THAT(passed_on_, SizeIs(2));
  EXPECT_EQ(writes(), 1);
}

TEST_F(VmRegistrationTest, VmWithoutRowTakesNoWorkWhileTheTableIsDown) {
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  table_.set_fault(TableFault::kDown);
  for (int i = 0; i < 20; ++i) {
    Register(*registration, "runner/1");
    AdvanceTime(seconds(1), *registration);
  }
  EXPECT_THAT(passed_on_, IsEmpty());
  table_.set_fault(TableFault::kNone);
  AdvanceTime(seconds(7), *registration);
  EXPECT_THAT(passed_on_, ElementsAre("runner/1"));
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
}

// The outcome of the first write is unknown; it must neither release the
// registration nor block the next write.
TEST_F(VmRegistrationTest, RegistrationWaitsWhileTheWriteHasNoKnownOutcome) {
  const auto registration = MakeWithoutRunner("10.0.0.1:1", WithLostCommits());
  AdvanceTime(seconds(1), *registration);
  lose_commits_ = true;
  Register(*registration, "runner/1");
  AdvanceTime(seconds(1), *registration);
  EXPECT_THAT(passed_on_, IsEmpty());
  lose_commits_ = false;
  AdvanceTime(seconds(2), *registration);
  EXPECT_THAT(passed_on_, ElementsAre("runner/1"));
}

TEST_F(VmRegistrationTest, RunnerThatLeavesBeforeItsRowIsStoredIsNotPassedOn) {
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  Register(*registration, "runner/1");
  registration->OnRunnerLeaving("runner/1");
  AdvanceTime(seconds(12), *registration);
  EXPECT_THAT(passed_on_, IsEmpty());
  EXPECT_EQ(AddressIn(kKey), "");
}

// An executor that restarts during an outage of the table must continue to
// serve its runner.
TEST_F(VmRegistrationTest, RegistrationIsPassedOnAtOnceBeforeTheTableAnswers) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  table_.set_fault(TableFault::kDown);
  const auto restarted = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *restarted);
  passed_on_.clear();
  Register(*restarted, "runner/1");
  EXPECT_THAT(passed_on_, ElementsAre("runner/1"));
}

// An executor that has not heard from its runner proves nothing about it.
TEST_F(VmRegistrationTest, ExistingRowIsKeptWithoutARunner) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  since_owner_ = seconds(60);
  const auto restarted = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(60), *restarted);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  EXPECT_EQ(writes(), 1);
}

TEST_F(VmRegistrationTest, LegacyRowCountsAsARowOfTheVm) {
  table_.model().Commit(
      {{}, {{kLegacyKey, 0, EncodeRecord(VmRecord{"vm-1", "10.0.0.1:1"})}}});
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
}

TEST_F(VmRegistrationTest, RowsAreRemovedTenSecondsAfterTheRunnerIsGone) {
  table_.model().Commit(
      {{}, {{kLegacyKey, 0, EncodeRecord(VmRecord{"vm-1", "10.0.0.1:1"})}}});
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  runner_is_gone_ = true;
  AdvanceTime(milliseconds(9800), *registration);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  AdvanceTime(milliseconds(500), *registration);
  EXPECT_TRUE(table_.model().rows().empty());
  // The next runner has a row again before it serves.
  passed_on_.clear();
  Register(*registration, "runner/2");
  EXPECT_THAT(passed_on_, IsEmpty());
  table_.Deliver();
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  EXPECT_THAT(passed_on_, ElementsAre("runner/2"));
}

// A release replaces all runners within seconds; writes for each would load the
// table.
TEST_F(VmRegistrationTest, RunnerReplacedWithinTenSecondsCausesNoWrites) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  for (int i = 2; i < 6; ++i) {
    runner_is_gone_ = true;
    AdvanceTime(seconds(9), *registration);
    Register(*registration, "runner/" + std::to_string(i));
    AdvanceTime(seconds(9), *registration);
  }
  EXPECT_EQ(writes(), 1);
  EXPECT_THAT(passed_on_, SizeIs(5));
}

TEST_F(VmRegistrationTest, RemovalIsRetriedUntilTheTableIsBack) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  runner_is_gone_ = true;
  table_.set_fault(TableFault::kDown);
  AdvanceTime(seconds(30), *registration);
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
  table_.set_fault(TableFault::kNone);
  AdvanceTime(seconds(8), *registration);
  EXPECT_EQ(AddressIn(kKey), "");
}

// A removal without an answer takes effect after the next runner has
// registered and finds its row unchanged: tasks would run on a VM without a
// row.
TEST_F(VmRegistrationTest, LateRemovalDoesNotHitARowThatIsInUseAgain) {
  // The runner registers before, while or after the removal is repeated.
  for (int i = 0; i < 10; ++i) {
    const auto registration = MakeWithLostRemoval();
    AdvanceTime(i * milliseconds(100), *registration);
    if (i > 0) registration->Tick();
    Register(*registration, "runner/2");
    EXPECT_THAT(passed_on_, IsEmpty()) << i;
    ExpectServedUnderANewRow(*registration);
  }
}

// The refusal of the second removal proves nothing about the first.
TEST_F(VmRegistrationTest, RefusedRemovalDoesNotHideAnEarlierLateOne) {
  const auto registration = MakeWithLostRemoval();
  refuse_commits_ = true;
  AdvanceTime(seconds(1), *registration);
  Register(*registration, "runner/2");
  EXPECT_THAT(passed_on_, IsEmpty());
  refuse_commits_ = false;
  ExpectServedUnderANewRow(*registration);
}

// The removal is in flight when the next runner registers.
TEST_F(VmRegistrationTest, RegistrationDuringARemovalWaitsForTheNewRow) {
  Table slow = table_.AsTable();
  bool hold = false;
  std::vector<std::function<void()>> held;
  slow.commit = [&, commit = slow.commit](Transaction transaction,
                                          CommitDone done) {
    if (hold) {
      held.push_back([=] { commit(transaction, done); });
    } else {
      commit(std::move(transaction), std::move(done));
    }
  };
  const auto registration = Make("10.0.0.1:1", slow);
  AdvanceTime(seconds(1), *registration);
  runner_is_gone_ = true;
  hold = true;
  AdvanceTime(milliseconds(10'100), *registration);
  ASSERT_THAT(held, SizeIs(1));
  passed_on_.clear();
  Register(*registration, "runner/2");
  EXPECT_THAT(passed_on_, IsEmpty());
  hold = false;
  held.front()();
  AdvanceTime(seconds(1), *registration);
  EXPECT_THAT(passed_on_, ElementsAre("runner/2"));
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
}

}  // namespace
}  // namespace beamhill
