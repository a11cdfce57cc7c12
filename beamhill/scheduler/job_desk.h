// Takes in workflows and cancellations and answers for their state, from the
// table: any scheduler process can do this, whoever owns the work.
//
// A workflow is stored before it is accepted. A marker beside it tells the
// owner of it should the direct notice be lost.
//
// Submissions that come while transactions are open share the next one, so
// that a slow table gets fewer of them.
//
// While the table is known to answer nobody, submissions are refused at once
// and unsent: one that is sent ends without a clear answer, after which callers
// can't try again.
//
//   JobDesk desk(table);
//   desk.Submit(workflow, [](SubmitResult result) { ... });
#ifndef BEAMHILL_SCHEDULER_JOB_DESK_H_
#define BEAMHILL_SCHEDULER_JOB_DESK_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/dispatch/dispatch_messages.h"
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

  explicit JobDesk(Table table) : table_(std::move(table)) {}

  // Stores the workflow, unless one of its id is stored.
  void Submit(const Workflow& workflow, std::function<void(SubmitResult)> done);
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
    std::function<void(SubmitResult)> done;
  };

  void SendWaiting();
  void Send(std::vector<Submission> batch);
  void OnSent(const std::vector<Submission>& batch, CommitResult result);

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
  std::vector<Submission> waiting_;
  int open_ = 0;
  bool table_silent_ = false;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_JOB_DESK_H_
