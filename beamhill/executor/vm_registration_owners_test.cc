// Tests VmRegistration where an owner can't know of the VM.
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "beamhill/executor/vm_registration_test_base.h"

namespace beamhill {
namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

class VmRegistrationOwnersTest : public VmRegistrationTest {
 protected:
  void StoreOwner(uint64_t epoch) {
    OwnerRecord owner;
    owner.epoch = epoch;
    Transaction transaction;
    transaction.writes.push_back(
        {rows::kOwner, kAnyVersion, EncodeRecord(owner)});
    table_.model().Commit(transaction);
  }
};

// Guards against a double start: an owner that took over while the VM had no
// row does not wait for it, while the one before may still be linked.
TEST_F(VmRegistrationOwnersTest, OwnersEpochIsKnownBeforeARunnerIsServed) {
  StoreOwner(4);
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  EXPECT_THAT(owner_epochs_, IsEmpty());
  StoreOwner(5);
  bool known_when_passed_on = false;
  registration->OnRunnerRegistered("runner/1", [&] {
    known_when_passed_on = owner_epochs_ == std::vector<uint64_t>{5};
  });
  AdvanceTime(seconds(1), *registration);
  EXPECT_TRUE(known_when_passed_on);
}

TEST_F(VmRegistrationOwnersTest, RunnerWaitsUntilTheOwnersRowIsRead) {
  StoreOwner(5);
  bool lose_owner_reads = true;
  Table table = table_.AsTable();
  table.read = [&, read = table.read](std::vector<std::string> keys,
                                      ReadAnswer done) {
    if (lose_owner_reads && keys.front() == rows::kOwner) {
      done(Error{ErrorCode::kUnavailable, "down", ""});
    } else {
      read(std::move(keys), std::move(done));
    }
  };
  const auto registration = MakeWithoutRunner("10.0.0.1:1", table);
  AdvanceTime(seconds(1), *registration);
  Register(*registration, "runner/1");
  AdvanceTime(seconds(1), *registration);
  Register(*registration, "runner/1");
  AdvanceTime(seconds(1), *registration);
  EXPECT_TRUE(registration->stored());
  EXPECT_THAT(passed_on_, IsEmpty());
  lose_owner_reads = false;
  AdvanceTime(seconds(8), *registration);
  EXPECT_THAT(passed_on_, ElementsAre("runner/1"));
}

// Guards against a double start: an executor that starts while the table is
// away serves its runner before it knows that the VM has no row.
TEST_F(VmRegistrationOwnersTest, RunnerServedWithoutARowStartsNothing) {
  StoreOwner(5);
  table_.set_fault(TableFault::kDown);
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  ASSERT_THAT(passed_on_, ElementsAre("runner/1"));
  EXPECT_FALSE(registration->ready_for_starts());
  table_.set_fault(TableFault::kNone);
  AdvanceTime(seconds(8), *registration);
  EXPECT_TRUE(registration->ready_for_starts());
  EXPECT_THAT(owner_epochs_, ElementsAre(5));
}

// Guards against a double start: an executor that restarts together with its
// runner does not know which owner is the latest, even if the VM's row is
// there.
TEST_F(VmRegistrationOwnersTest, VmWithARowIsReadyOnceTheOwnersRowIsRead) {
  const auto first = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *first);
  StoreOwner(5);
  const auto restarted = Make("10.0.0.1:1");
  EXPECT_FALSE(restarted->ready_for_starts());
  AdvanceTime(seconds(1), *restarted);
  EXPECT_TRUE(restarted->ready_for_starts());
  EXPECT_THAT(owner_epochs_, ElementsAre(5));
}

// The owner's row is read once for each process, however long it lives.
TEST_F(VmRegistrationOwnersTest, OwnersRowIsReadOnceAfterARestart) {
  StoreOwner(5);
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(60), *registration);
  Register(*registration, "runner/2");
  AdvanceTime(seconds(60), *registration);
  EXPECT_THAT(owner_epochs_, ElementsAre(5));
}

TEST_F(VmRegistrationOwnersTest, VmIsReadyBeforeThereIsAnyOwner) {
  const auto registration = Make("10.0.0.1:1");
  AdvanceTime(seconds(1), *registration);
  EXPECT_TRUE(registration->ready_for_starts());
  EXPECT_THAT(owner_epochs_, IsEmpty());
}

// Guards against executors without a runner that take their owner for lost and
// stand in for schedulers: no owner can find them.
TEST_F(VmRegistrationOwnersTest, VmCanBeFoundOnlyOnceItsRowIsStored) {
  const auto registration = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(10), *registration);
  EXPECT_EQ(registration->StoredFor(), Duration(0));
  Register(*registration, "runner/1");
  AdvanceTime(seconds(2), *registration);
  EXPECT_GT(registration->StoredFor(), seconds(1));
  EXPECT_LE(registration->StoredFor(), seconds(2));
}

// Guards against a VM that runs tasks without a row: a removal by an earlier
// process of the VM takes effect after the next one found the row unchanged.
TEST_F(VmRegistrationOwnersTest, LateRemovalByAnEarlierProcessIsRepaired) {
  auto first = MakeWithLostRemoval();
  first.reset();  // Killed before it could repeat the removal.
  runner_is_gone_ = false;
  const auto next = MakeWithoutRunner("10.0.0.1:1");
  AdvanceTime(seconds(1), *next);
  Register(*next, "runner/2");
  AdvanceTime(seconds(1), *next);
  EXPECT_THAT(passed_on_, ElementsAre("runner/2"));
  table_.model().Commit(lost_commits_.front());
  EXPECT_EQ(AddressIn(kKey), "");
  AdvanceTime(seconds(11), *next);  // An owner is heard all the time.
  EXPECT_EQ(AddressIn(kKey), "10.0.0.1:1");
}

}  // namespace
}  // namespace beamhill
