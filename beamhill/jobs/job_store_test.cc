#include "beamhill/jobs/job_store.h"

#include <gtest/gtest.h>

#include <optional>
#include <utility>

#include "beamhill/testing/faulty_table.h"

namespace beamhill {
namespace {

// A store that holds one accepted job with one part.
class JobStoreTest : public testing::Test {
 protected:
  JobStoreTest() {
    Table table = table_.AsTable();
    table.commit = [this, commit = table.commit](Transaction transaction,
                                                 const CommitDone& done) {
      commit(std::move(transaction), done);
      if (down_after_commit_) table_.set_fault(TableFault::kDown);
    };
    store_.emplace(table);
    JobSpec job;
    job.id = "j";
    job.tasks = 1;
    store_->Submit(job, {{"c", {0, 1}}}, [](const Result<JobAccepted>&) {});
    table_.Deliver();
  }

  Status Cancel() {
    std::optional<Status> answer;
    store_->Cancel("j", [&answer](Status status) { answer = status; });
    table_.Deliver();
    return answer.value();
  }

  bool RangeIsCancelled() {
    RangeRow range;
    const Row row = table_.model().Read({RangeKey("c", "j")})[0];
    return IsOk(DecodeRow(row.value, &range)) && range.cancelled;
  }

  FaultyTable table_;
  bool down_after_commit_ = false;
  std::optional<JobStore> store_;
};

// A cancellation whose reply was lost must be read back, not reported as
// failed.
TEST_F(JobStoreTest, CancellationWithLostReplyIsReadBack) {
  table_.LoseNextCommitAnswer();
  EXPECT_TRUE(IsOk(Cancel()));
  EXPECT_TRUE(RangeIsCancelled());
}

// Guards against telling the caller that a cancellation had no effect: its
// reply was lost and the table was down afterwards, so it may have taken
// effect.
TEST_F(JobStoreTest, CancellationWithLostReplyAndTableDownHasUnknownOutcome) {
  table_.LoseNextCommitAnswer();
  down_after_commit_ = true;
  const Status status = Cancel();
  ASSERT_FALSE(IsOk(status));
  EXPECT_EQ(ErrorOf(status).code, ErrorCode::kUnknownOutcome);
  EXPECT_TRUE(RangeIsCancelled());
}

// A cancellation that the table refused at the first try has no effect.
TEST_F(JobStoreTest, CancellationThatWasNeverSentIsUnavailable) {
  table_.set_fault(TableFault::kDown);
  const Status status = Cancel();
  ASSERT_FALSE(IsOk(status));
  EXPECT_EQ(ErrorOf(status).code, ErrorCode::kUnavailable);
  EXPECT_FALSE(RangeIsCancelled());
}

}  // namespace
}  // namespace beamhill
