// Takes in workflows and cancellations and answers for their state, from the
// table: any scheduler process can do this, whoever owns the work.
//
// A workflow is stored before it is accepted. A marker beside it tells the
// owner of it should the direct notice be lost.
//
// Submissions that come while a transaction is open share the next one, so that
// a slow table gets fewer of them. One whose answer is overdue is looked for,
// and repeated where the table answers reads quickly: its rows must not be
// there yet, so that a second one changes nothing.
//
// While the table is known to answer nobody, submissions are refused at once
// and unsent: one that is sent ends without a clear answer, after which callers
// can't try again.
//
//   JobDesk desk(table);
//   desk.Submit(workflow, [](SubmitResult result) { ... });
//   desk.Tick();                                            // each 50 ms
#ifndef BEAMHILL_SCHEDULER_JOB_DESK_H_
#define BEAMHILL_SCHEDULER_JOB_DESK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/table/response_time_estimator.h"
#include "beamhill/table/row_names.h"
#include "beamhill/table/table.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

enum class SubmitResult : uint8_t {
  kAccepted,       // Stored by this call.
  kAlreadyStored,  // An earlier call has stored it.
  kRefused,        // Not stored, and never will be by this call.
  kUnknown,        // It may have been stored.
};

enum class CancelResult : uint8_t { kCancelled, kNoSuchJob, kUnknown };

struct StateResult {
  // False when neither the owner nor the table could be asked.
  bool answered = false;
  // Empty: there is no such workflow.
  std::optional<WorkflowState> state;
};

class JobDesk {
 public:
  using StateDone = std::function<void(StateResult)>;
  // Gets nothing when there is no such workflow, or it can't be read.
  using LoadDone = std::function<void(std::optional<Workflow>,
                                      std::optional<ProgressRecord>)>;

  explicit JobDesk(
      Table table,
      std::function<TimePoint()> now = [] { return BootClock::now(); });

  // Stores the workflow, unless one of its id is stored. A second call for one
  // that is not answered yet gets the same answer.
  void Submit(const Workflow& workflow, std::function<void(SubmitResult)> done);
  // Looks for what is overdue, and gives up what has not been answered for
  // long.
  void Tick();
  // Whether the table is known to answer nobody. Refuses what waits if so.
  void SetTableSilent(bool silent);
  // Stores that the workflow is cancelled, if it is stored.
  void Cancel(const std::string& workflow,
              std::function<void(CancelResult)> done);
  // As far as it is stored.
  void StoredState(const std::string& workflow, StateDone done);
  // The workflow and its record, for an owner that has found its marker.
  void Load(const std::string& workflow, LoadDone done);

 private:
  struct Submission {
    Workflow workflow;
    std::vector<std::function<void(SubmitResult)>> done;
    int open = 0;         // Transactions that hold it and are not answered.
    bool unsure = false;  // One may have stored it, or may yet do so.
    std::optional<TimePoint> first_sent;
  };
  using Number = uint64_t;  // Submissions are numbered as they come.

  Number Add(const Workflow& workflow);
  // Whether what waits may go: an answer has come since the last transaction,
  // or none is to be expected any more.
  bool MaySend() const;
  void Look();
  void OnLook(Number number, TimePoint sent_at, const std::optional<Row>& row);
  void SendWaiting();
  void Send(const std::vector<Number>& batch);
  void OnSent(const std::vector<Number>& batch, TimePoint sent_at,
              const CommitAnswer& answer);
  // One of several is there already: ends those that are, by the answer. The
  // others go again, together.
  void OnBatchConflict(const std::vector<Number>& batch,
                       const std::vector<Row>& standing);
  void OnSentOne(Number number, CommitResult result);
  void Finish(Number number, SubmitResult result);
  // Ends one that no open transaction holds, by what is known of it.
  void FinishAsKnown(Number number);
  std::vector<Number> Waiting() const;

  // The row, with version 0 when there is none; nothing when the read failed.
  void ReadRow(const std::string& key,
               std::function<void(std::optional<Row>)> done);
  // `version` is that of the workflow's row.
  void StoreCancel(const std::string& workflow, uint64_t version,
                   std::function<void(CancelResult)> done);
  void LoadRecord(const std::string& id, Workflow workflow, LoadDone done);
  void StateIfStored(const std::string& workflow, bool cancelled,
                     StateDone done);
  void StateByProgress(const std::string& workflow, bool cancelled,
                       StateDone done);

  Table table_;
  std::function<TimePoint()> now_;
  std::map<Number, Submission> submissions_;
  Number last_number_ = 0;
  ResponseTimeEstimator answer_times_;
  int open_ = 0;
  bool unanswered_ = false;  // Nothing has come since the last transaction.
  bool looking_ = false;
  TimePoint last_sent_{};
  // After refusals: a pause that grows, and its end.
  Duration pause_{};
  TimePoint not_before_{};
  bool table_silent_ = false;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_JOB_DESK_H_
