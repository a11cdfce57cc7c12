#include "beamhill/scheduler/job_desk.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

#include "beamhill/scheduler/scheduler.h"
#include "beamhill/testing/faulty_table.h"

namespace beamhill {
namespace {

class JobDeskTest : public testing::Test {
 protected:
  static Workflow Job(const std::string& id) {
    Workflow workflow;
    workflow.id = id;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = 1;
    return workflow;
  }

  SubmitResult Submit(const std::string& id) {
    SubmitResult result = SubmitResult::kUnknown;
    desk_.Submit(Job(id), [&](SubmitResult r) { result = r; });
    table_.Deliver();
    return result;
  }

  CancelResult Cancel(const std::string& id) {
    CancelResult result = CancelResult::kUnknown;
    desk_.Cancel(id, [&](CancelResult r) { result = r; });
    table_.Deliver();
    return result;
  }

  StateResult State(const std::string& id) {
    StateResult result;
    desk_.StoredState(id, [&](const StateResult& r) { result = r; });
    table_.Deliver();
    return result;
  }

  FaultyTable table_;
  JobDesk desk_{table_.AsTable()};
};

TEST_F(JobDeskTest, SameIdStaysOneJob) {
  EXPECT_EQ(Submit("a"), SubmitResult::kAccepted);
  EXPECT_EQ(Submit("a"), SubmitResult::kAlreadyStored);
}

// Found on the large site (scale-2): all that came while the store had been
// silent for seconds was sent, and ended without a clear answer.
TEST_F(JobDeskTest, NothingIsSentToATableThatIsKnownToBeSilent) {
  desk_.SetTableSilent(true);
  EXPECT_EQ(Submit("a"), SubmitResult::kRefused);
  EXPECT_TRUE(table_.model().rows().empty());
  desk_.SetTableSilent(false);
  EXPECT_EQ(Submit("a"), SubmitResult::kAccepted);
}

// What waits behind a transaction that the table has not answered is unsent.
TEST_F(JobDeskTest, WhatWaitsBehindAnUnansweredCallIsRefusedUnsent) {
  table_.set_fault(TableFault::kAnswerLost);
  SubmitResult first = SubmitResult::kAccepted;
  SubmitResult second = SubmitResult::kAccepted;
  desk_.Submit(Job("a"), [&](SubmitResult r) { first = r; });
  desk_.Submit(Job("b"), [&](SubmitResult r) { second = r; });
  desk_.SetTableSilent(true);
  EXPECT_EQ(second, SubmitResult::kRefused);
  table_.Deliver();
  EXPECT_EQ(first, SubmitResult::kUnknown);
}

// Found on the large site's incident: the store refused a transaction of ours
// for its entries. It counts a condition, a row and a marker for each workflow.
TEST_F(JobDeskTest, TransactionsStayBelowTheTablesLimit) {
  constexpr size_t kMostEntries = 100;
  size_t most = 0;
  Table counting = table_.AsTable();
  counting.commit = [&](Transaction transaction, CommitDone done) {
    size_t entries = transaction.checks.size() + transaction.writes.size();
    for (const RowWrite& write : transaction.writes) {
      if (write.expected_version != kAnyVersion) ++entries;
    }
    most = std::max(most, entries);
    table_.AsTable().commit(std::move(transaction), std::move(done));
  };
  JobDesk desk(counting);
  int accepted = 0;
  for (int i = 0; i < 90; ++i) {
    desk.Submit(Job("j" + std::to_string(i)), [&](SubmitResult result) {
      accepted += static_cast<int>(result == SubmitResult::kAccepted);
    });
  }
  table_.Deliver();
  EXPECT_EQ(accepted, 90);
  EXPECT_LE(most, kMostEntries);
  EXPECT_GT(most, kMostEntries / 2);  // They do share transactions.
}

struct FaultCase {
  TableFault fault;
  SubmitResult submitted;
  SubmitResult submitted_again;
};

class JobDeskFaultTest : public JobDeskTest,
                         public testing::WithParamInterface<FaultCase> {};

// A refusal is said only of what was not and will not be stored.
TEST_P(JobDeskFaultTest, AnswerIsTrueOfTheTable) {
  table_.set_fault(GetParam().fault);
  EXPECT_EQ(Submit("a"), GetParam().submitted);
  table_.set_fault(TableFault::kNone);
  EXPECT_EQ(Submit("a"), GetParam().submitted_again);
}

INSTANTIATE_TEST_SUITE_P(
    Faults, JobDeskFaultTest,
    testing::Values(FaultCase{TableFault::kDown, SubmitResult::kRefused,
                              SubmitResult::kAccepted},
                    FaultCase{TableFault::kAnswerLost, SubmitResult::kUnknown,
                              SubmitResult::kAlreadyStored},
                    FaultCase{TableFault::kLate, SubmitResult::kUnknown,
                              SubmitResult::kAccepted}));

TEST_F(JobDeskTest, SubmissionsShareATransactionAndAreToldApart) {
  EXPECT_EQ(Submit("b"), SubmitResult::kAccepted);
  std::map<std::string, SubmitResult> results;
  for (const char* id : {"a", "c", "d", "b", "e"}) {
    desk_.Submit(Job(id), [&results, id](SubmitResult r) { results[id] = r; });
  }
  table_.Deliver();
  EXPECT_EQ(results.size(), 5);
  for (const auto& [id, result] : results) {
    EXPECT_EQ(result, id == "b" ? SubmitResult::kAlreadyStored
                                : SubmitResult::kAccepted)
        << id;
  }
}

TEST_F(JobDeskTest, CancelIsStoredAndShown) {
  Submit("a");
  EXPECT_EQ(Cancel("a"), CancelResult::kCancelled);
  EXPECT_EQ(Cancel("a"), CancelResult::kCancelled);
  EXPECT_EQ(State("a").state, WorkflowState::kCancelled);
}

TEST_F(JobDeskTest, UnknownJobIsToldApartFromAnUnansweringTable) {
  EXPECT_EQ(Cancel("a"), CancelResult::kNoSuchJob);
  EXPECT_TRUE(State("a").answered);
  EXPECT_FALSE(State("a").state);
  table_.set_fault(TableFault::kDown);
  EXPECT_EQ(Cancel("a"), CancelResult::kUnknown);
  EXPECT_FALSE(State("a").answered);
}

// A submission that was unknown here and refused there was said to be
// refused, yet ran (hunted days with a slow store).
TEST(AfterRelayTest, OnlyTwoRefusalsMakeARefusal) {
  constexpr auto kRefused = static_cast<uint8_t>(SubmitResult::kRefused);
  constexpr auto kAccepted = static_cast<uint8_t>(SubmitResult::kAccepted);
  using R = SubmitResult;
  EXPECT_EQ(Scheduler::AfterRelay(R::kUnknown, kRefused), R::kUnknown);
  EXPECT_EQ(Scheduler::AfterRelay(R::kRefused, kRefused), R::kRefused);
  EXPECT_EQ(Scheduler::AfterRelay(R::kRefused, std::nullopt), R::kUnknown);
  EXPECT_EQ(Scheduler::AfterRelay(R::kUnknown, kAccepted), R::kAccepted);
}

}  // namespace
}  // namespace beamhill
