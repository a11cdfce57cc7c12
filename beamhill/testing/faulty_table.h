// A Table over the TableModel whose answers a test can lose, hold back or
// refuse.
//
//   FaultyTable faulty;
//   OwnershipKeeper keeper(options, faulty.AsTable(), hooks);
//   faulty.set_fault(TableFault::kAnswerLost);
//   keeper.Tick();
//   faulty.Deliver();        // runs the callbacks that are due
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
  kDown,        // Nothing is done, and the caller knows.
  kAnswerLost,  // Done, but the caller doesn't learn of it.
  kLate,        // Not done yet; ApplyLateCommits does it. The caller learns nothing.
};

class FaultyTable {
 public:
  void set_fault(TableFault fault) { fault_ = fault; }
  void LoseNextCommitAnswer() { lose_next_ = true; }
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

  // Runs every callback that is due, and those that these make due.
  void Deliver() {
    while (!due_.empty()) {
      const auto next = std::move(due_.front());
      due_.pop_front();
      next();
    }
  }

  // The store now does what it was late with.
  std::vector<CommitResult> ApplyLateCommits() {
    std::vector<CommitResult> results;
    for (const Transaction& transaction : std::exchange(late_, {})) {
      results.push_back(model_.Commit(transaction).result);
    }
    return results;
  }

 private:
  void Answer(std::function<void()> answer) {
    due_.push_back(std::move(answer));
  }

  void Commit(Transaction transaction, CommitDone done) {
    const TableFault fault =
        std::exchange(lose_next_, false) ? TableFault::kAnswerLost : fault_;
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
        late_.push_back(std::move(transaction));
        Answer([done] { done({CommitResult::kUnknown, {}}); });
        return;
    }
  }

  TableModel model_{0, 0};
  TableFault fault_ = TableFault::kNone;
  bool lose_next_ = false;
  std::deque<std::function<void()>> due_;
  std::vector<Transaction> late_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_FAULTY_TABLE_H_
