// Stores workflows and cancellations in the table and reads their state from
// it. Works in any scheduler process, whichever one owns the work.
//
// A workflow is stored before it is accepted. A marker row stored with it lets
// the owner find it if the direct notice is lost.
//
// Submissions that arrive while a transaction is open share the next one, which
// reduces the load on a slow table. If an answer is overdue, a read checks
// whether the submission is stored; if it is not and the read was answered
// quickly, the write is repeated. Repeating is safe because the write requires
// that the workflow's row does not exist.
//
// A cancellation of a workflow that is not stored leaves a tombstone in its
// place (see tombstone.h): whichever of the two is stored first, the caller of
// the other one is told so.
//
// While the table is known to answer nobody (to be down), submissions are
// refused without being sent: the outcome of one that is sent would be unknown,
// and its caller could not retry.
//
//   JobRepository repository(table);
//   repository.Submit(workflow, [](SubmitResult result) { ... });
//   repository.Tick();  // Every 50 ms.
#ifndef BEAMHILL_SCHEDULER_JOB_REPOSITORY_H_
#define BEAMHILL_SCHEDULER_JOB_REPOSITORY_H_

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

// Outcome of storing a submission.
enum class SubmitResult : uint8_t {
  kAccepted,       // Stored by this call.
  kAlreadyStored,  // An earlier call has stored it.
  kRefused,        // Not stored, and never will be by this call.
  kUnknown,        // It may have been stored.
  kCancelled,      // Cancelled first; neither stored now nor by a later call.
  // Refused, since the open work takes too much memory: any other scheduler
  // would refuse it, too.
  kResourceExhausted,
  kTooLarge,  // Larger than the table's rows; never stored.
};

enum class CancelResult : uint8_t {
  kCancelled,
  kNoSuchJob,  // Not stored; a submission under way will not be stored either.
  kUnknown,
};

struct StateResult {
  // False if neither the owner nor the table could be queried.
  bool answered = false;
  // Empty if there is no such workflow.
  std::optional<WorkflowState> state;
};

class JobRepository {
 public:
  using StateDone = std::function<void(StateResult)>;
  // Receives nullopt if there is no such workflow or it can't be read.
  using LoadDone = std::function<void(std::optional<Workflow>,
                                      std::optional<ProgressRecord>)>;

  // `table_silence` returns the time since the table last answered any call of
  // this process. If it is long, submissions wait for the answer to a read
  // before they are sent.
  explicit JobRepository(
      Table table,
      std::function<TimePoint()> now = [] { return BootClock::now(); },
      std::function<Duration()> table_silence = [] { return Duration(0); });

  // Stores the workflow unless one with its id is stored. A second call for an
  // id whose first call is unanswered gets the same answer. Refuses it at once
  // if it does not fit into a row, or if the pending submissions take too much
  // memory together.
  void Submit(const Workflow& workflow, std::function<void(SubmitResult)> done);
  // Checks overdue submissions and ends those that have been unanswered for too
  // long.
  void Tick();
  // Sets whether the table is known to be down. If it is, ends the submissions
  // that no open transaction contains.
  void SetTableDown(bool down);
  // Submissions refused for the memory of those that were pending.
  uint64_t refused_for_memory() const { return refused_for_memory_; }
  // Stores a cancellation of the workflow or, if that is not stored, a
  // tombstone in its place. Ends a submission of it that is pending here.
  void Cancel(const std::string& workflow,
              std::function<void(CancelResult)> done);
  // Reads the state of the workflow from the table.
  void StoredState(const std::string& workflow, StateDone done);
  // Reads the workflow and its progress record, for an owner that found its
  // marker.
  void Load(const std::string& workflow, LoadDone done);

 private:
  struct Submission {
    Workflow workflow;
    std::vector<std::function<void(SubmitResult)>> done;
    int open = 0;  // Unanswered transactions that contain it.
    // Some transaction may have stored it or may yet do so.
    bool may_be_stored = false;
    size_t bytes = 0;  // Memory of the workflow and of `done`.
    TimePoint added_at{};
    std::optional<TimePoint> first_sent_at;
  };
  using Number = uint64_t;  // Assigned in order of arrival.

  Number Add(const Workflow& workflow);
  // Whether a submission may take so much memory beside those that are pending.
  bool HasRoomFor(size_t bytes) const;
  void AddCallback(Submission& submission,
                   std::function<void(SubmitResult)> done);
  std::map<Number, Submission>::iterator FindSubmission(
      const std::string& workflow);
  // Whether pending submissions may be sent: an answer has arrived since the
  // last transaction, or none is expected any more.
  bool CanSend() const;
  // Whether the table has recently answered, so that a transaction sent now is
  // likely to be answered as well.
  bool TableResponds() const;
  // Whether it is time for a read that shows whether the table answers again,
  // since the outcome of the last transaction is unknown.
  bool CheckDue() const;
  // Reads the row of the oldest pending submission to see whether its
  // transaction took effect, and whether the table answers.
  void CheckStored();
  void OnStoredCheck(Number number, TimePoint sent_at,
                     const std::optional<Row>& row);
  // Whether it is too late to send the submission: its caller has given up, and
  // tombstones are kept only for so long.
  bool IsExpired(const Submission& submission) const;
  // Sends the pending submissions; while the table does not respond, only those
  // that an earlier transaction may have stored.
  void SendPending();
  void Send(const std::vector<Number>& batch);
  void OnBatchAnswer(const std::vector<Number>& batch, TimePoint sent_at,
                     const CommitAnswer& answer);
  // Ends the submissions whose rows are among `current_rows`. The others are
  // sent again together or, if the table has reported no rows, one by one; the
  // outcome of one that was sent alone is then unknown.
  void OnConflict(const std::vector<Number>& batch,
                  const std::vector<Row>& current_rows, bool sent_alone);
  void OnSubmissionAnswer(Number number, CommitResult result);
  // Ends a submission whose row exists.
  void FinishByRow(Number number, const Row& row);
  void Finish(Number number, SubmitResult result);
  // Ends a submission that no open transaction contains: as unknown if it may
  // be stored, otherwise as refused.
  void FinishIdle(Number number);
  std::vector<Number> PendingSubmissions() const;

  // Reads one row, with version 0 if it does not exist; passes nullopt if the
  // read failed.
  void ReadRow(const std::string& key,
               std::function<void(std::optional<Row>)> done);
  // Reads the workflow's row and writes what the cancellation needs; starts
  // again if the row changes meanwhile. `attempts` includes this one.
  void TryCancel(const std::string& workflow, int attempts,
                 std::function<void(CancelResult)> done);
  void StoreCancel(const std::string& workflow, const Row& row, int attempts,
                   std::function<void(CancelResult)> done);
  // Ends the pending submission of a workflow that a tombstone replaces.
  void FinishCancelled(const std::string& workflow);
  void LoadRecord(const std::string& id, Workflow workflow, LoadDone done);
  void ReadStateIfStored(const std::string& workflow, bool cancelled,
                         StateDone done);
  void ReadProgressState(const std::string& workflow, bool cancelled,
                         StateDone done);

  Table table_;
  std::function<TimePoint()> now_;
  std::function<Duration()> table_silence_;
  std::map<Number, Submission> submissions_;
  size_t pending_bytes_ = 0;  // Of all submissions.
  uint64_t refused_for_memory_ = 0;
  Number last_number_ = 0;
  ResponseTimeEstimator answer_times_;
  int open_ = 0;                  // Unanswered transactions.
  bool awaiting_answer_ = false;  // Since the last transaction.
  bool check_in_flight_ = false;
  TimePoint last_check_{};
  TimePoint last_sent_{};
  // Backoff after refusals, and its end.
  Duration retry_delay_{};
  TimePoint retry_at_{};
  bool table_down_ = false;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_JOB_REPOSITORY_H_
