// A Table backed by TableModel, with faults that a test injects: unavailable,
// answers lost, commits applied late.
//
//   FaultyTable faulty;
//   OwnershipKeeper keeper(options, faulty.AsTable(), hooks);
//   faulty.set_fault(TableFault::kAnswerLost);
//   keeper.Tick();
//   faulty.Deliver();  // runs the pending callbacks
#ifndef BEAMHILL_TESTING_FAULTY_TABLE_H_
#define BEAMHILL_TESTING_FAULTY_TABLE_H_

#include <deque>
#include <functional>
#include <utility>

#include "beamhill/table/table.h"
#include "beamhill/testing/table_model.h"

namespace beamhill {

enum class TableFault {
  kNone,
  kDown,        // Calls are not applied, and the caller is told so.
  kAnswerLost,  // Commits are applied, but answered as unknown.
  kLate,        // Answered as unknown; applied by ApplyLateCommits.
};

class FaultyTable {
 public:
  void set_fault(TableFault fault) { fault_ = fault; }
  // Applies kAnswerLost to the next commit only.
  void LoseNextCommitAnswer() { lose_next_answer_ = true; }
  TableModel& model() { return model_; }

  Table AsTable() {
    Table table;
    table.read = [this](std::vector<std::string> keys, ReadAnswer done) {
      Answer([this, keys, done] {
        if (fault_ == TableFault::kNone) {
          done(model_.Read(keys));
        } else {
          done(Error{ErrorCode::kUnavailable, "down", ""});
        }
      });
    };
    table.scan = [this](std::string prefix, ReadAnswer done) {
      Answer([this, prefix, done] {
        if (fault_ == TableFault::kNone) {
          done(model_.Scan(prefix));
        } else {
          done(Error{ErrorCode::kUnavailable, "down", ""});
        }
      });
    };
    table.commit = [this](Transaction transaction, CommitDone done) {
      Commit(std::move(transaction), std::move(done));
    };
    return table;
  }

  // Runs all pending callbacks, including those that they add.
  void Deliver() {
    while (!due_callbacks_.empty()) {
      const auto next = std::move(due_callbacks_.front());
      due_callbacks_.pop_front();
      next();
    }
  }

  // Applies the commits held back under kLate, in order.
  std::vector<CommitResult> ApplyLateCommits() {
    std::vector<CommitResult> results;
    for (const Transaction& transaction : std::exchange(late_commits_, {})) {
      results.push_back(model_.Commit(transaction).result);
    }
    return results;
  }

 private:
  void Answer(std::function<void()> answer) {
    due_callbacks_.push_back(std::move(answer));
  }

  void Commit(Transaction transaction, CommitDone done) {
    const TableFault fault = std::exchange(lose_next_answer_, false)
                                 ? TableFault::kAnswerLost
                                 : fault_;
    switch (fault) {
      case TableFault::kNone: {
        const CommitAnswer answer = model_.Commit(transaction);
        Answer([answer, done] { done(answer); });
        return;
      }
      case TableFault::kDown:
        Answer([done] { done({CommitResult::kNotApplied, {}}); });
        return;
      case TableFault::kAnswerLost:
        model_.Commit(transaction);
        Answer([done] { done({CommitResult::kUnknown, {}}); });
        return;
      case TableFault::kLate:
        late_commits_.push_back(std::move(transaction));
        Answer([done] { done({CommitResult::kUnknown, {}}); });
        return;
    }
  }

  TableModel model_{0, 0};
  TableFault fault_ = TableFault::kNone;
  bool lose_next_answer_ = false;
  std::deque<std::function<void()>> due_callbacks_;
  std::vector<Transaction> late_commits_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_FAULTY_TABLE_H_
