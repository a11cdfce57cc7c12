// Fixtures for tests of JobRepository with an in-memory table.
//
//   TEST_F(JobRepositoryTest, ...) { EXPECT_EQ(Submit("a"), ...); }
#ifndef BEAMHILL_SCHEDULER_JOB_REPOSITORY_TEST_BASE_H_
#define BEAMHILL_SCHEDULER_JOB_REPOSITORY_TEST_BASE_H_

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/scheduler/job_repository.h"
#include "beamhill/testing/faulty_table.h"

namespace beamhill {

class JobRepositoryTest : public testing::Test {
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
    repository_.Submit(Job(id), [&](SubmitResult r) { result = r; });
    table_.Deliver();
    return result;
  }

  CancelResult Cancel(const std::string& id) {
    CancelResult result = CancelResult::kUnknown;
    repository_.Cancel(id, [&](CancelResult r) { result = r; });
    table_.Deliver();
    return result;
  }

  StateResult State(const std::string& id) {
    StateResult result;
    repository_.StoredState(id, [&](const StateResult& r) { result = r; });
    table_.Deliver();
    return result;
  }

  // The table, which runs `on_commit_` once, just before the next commit.
  Table TableWithHook() {
    Table table = table_.AsTable();
    table.commit = [this, commit = table.commit](Transaction transaction,
                                                 CommitDone done) {
      if (on_commit_) std::exchange(on_commit_, nullptr)();
      commit(std::move(transaction), std::move(done));
    };
    return table;
  }

  FaultyTable table_;
  std::function<void()> on_commit_;
  JobRepository repository_{TableWithHook()};
};

// Holds back the table's answers until the test gives them.
class JobRepositoryAnswersTest : public JobRepositoryTest {
 protected:
  struct Held {
    std::vector<std::string> workflows;
    CommitDone done;
  };

  JobRepositoryAnswersTest() {
    Table table;
    table.commit = [this](const Transaction& transaction, CommitDone done) {
      Held held;
      for (const RowWrite& write : transaction.writes) {
        const std::string prefix = rows::kWorkflows;
        if (write.key.rfind(prefix, 0) != 0) continue;
        held.workflows.push_back(write.key.substr(prefix.size()));
      }
      held.done = std::move(done);
      held_.push_back(std::move(held));
    };
    table.read = [this](const std::vector<std::string>& keys, ReadAnswer done) {
      if (!answer_reads_) return;
      const TimePoint asked = now_;
      pending_reads_.push_back([this, asked, keys, done = std::move(done)] {
        if (now_ - asked < read_latency_) return false;
        table_silence_ = Duration(0);
        done(table_.model().Read(keys));
        return true;
      });
    };
    held_repository_ = std::make_unique<JobRepository>(
        table, [this] { return now_; }, [this] { return table_silence_; });
  }

  void SubmitHeld(const std::string& id) {
    held_repository_->Submit(Job(id),
                             [this, id](SubmitResult r) { results_[id] = r; });
  }

  void AdvanceClock(Duration time) {
    const TimePoint end = now_ + time;
    for (; now_ < end; now_ += std::chrono::milliseconds(50)) {
      held_repository_->Tick();
      for (const auto& pending_read : std::exchange(pending_reads_, {})) {
        if (!pending_read()) pending_reads_.push_back(pending_read);
      }
    }
  }

  void AnswerHeld(size_t number, CommitResult result) {
    held_.at(number).done({result, {}});
  }

  TimePoint now_{std::chrono::hours(1)};
  Duration table_silence_{};
  bool answer_reads_ = true;
  Duration read_latency_{};
  // Each returns true once answered.
  std::vector<std::function<bool()>> pending_reads_;
  std::vector<Held> held_;
  std::map<std::string, SubmitResult> results_;
  std::unique_ptr<JobRepository> held_repository_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_JOB_REPOSITORY_TEST_BASE_H_
