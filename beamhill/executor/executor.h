// Carries out the owner's orders on the runner of one VM and reports their
// outcomes to the owner.
//
// The owner decides what runs. The executor
//  - obeys only the owner with the highest epoch;
//  - extends the runner's lease no further than the owner has granted;
//  - discards orders that became invalid while they were queued;
//  - determines the outcome of calls that got no answer;
//  - keeps serving tasks within their latency targets by pacing the best-effort
//    tasks on the same VM.
//
//   Executor executor(options, runner, hooks);
//   executor.OnRunnerRegistered(status, clock);  // on each registration
//   executor.OnMessage(link, message);           // from an owner
//   executor.Tick();                             // every 100 ms
#ifndef BEAMHILL_EXECUTOR_EXECUTOR_H_
#define BEAMHILL_EXECUTOR_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/lifetime.h"
#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/executor/call_queue.h"
#include "beamhill/executor/incarnation_record.h"
#include "beamhill/executor/pacer.h"
#include "beamhill/executor/stall_detector.h"
#include "beamhill/executor/task_runner.h"

namespace beamhill {

struct ExecutorOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // The longest lease that the runner accepts.
  Duration max_lease = std::chrono::seconds(6);
  // A runner that has answered no call for this long counts as unreachable, and
  // no further leases are requested for it.
  Duration runner_unreachable_after = std::chrono::milliseconds(1500);
  // Added to the end of a lease before the lease counts as expired.
  Duration lease_margin = std::chrono::milliseconds(500);
  // How long interference by best-effort tasks may keep a serving task over its
  // target before users count it as harmed.
  Duration harm_after = kDefaultHarmAfter;
  // Grace period after a runner announced its exit, in which its tasks may
  // still be running. Afterwards it is polled to find out whether it has
  // exited.
  Duration exit_grace = std::chrono::milliseconds(600);
  // Whether to detect that the runner's tasks make no progress although it
  // answers calls. For deployments in which runners can fail in this way.
  bool detect_stalls = false;
};

struct ExecutorHooks {
  std::function<TimePoint()> now;
  // Sends a message on the link on which the current owner attached.
  std::function<void(uint64_t link, const DispatchMessage& message)> send;
  std::function<void(const std::string& event, const std::string& task,
                     const std::string& detail)>
      log;
  // Whether tasks may start here: a new owner would find this VM, and owners
  // that were replaced before this process started are rejected by
  // RejectOwnersBelow. If unset, they may.
  std::function<bool()> ready_for_starts;
};

struct ExecutorCounts {
  uint64_t starts = 0;        // Start calls sent to the runner.
  uint64_t refused = 0;       // Start calls that the runner refused.
  uint64_t unanswered = 0;    // Start calls that got no answer.
  uint64_t polls = 0;         // Polls sent to the runner.
  uint64_t paces = 0;         // Pace calls sent to the runner.
  uint64_t stale_orders = 0;  // From an earlier owner, link or incarnation.
  uint64_t withdrawn = 0;     // Starts stopped before they were sent.
  uint64_t outdated = 0;      // Starts that could not be sent in time.
  // Starts refused by this process; see ExecutorHooks::ready_for_starts.
  uint64_t not_ready = 0;
  // Owners refused or given up since a later one is known.
  uint64_t owners_refused = 0;
  uint64_t runners_lost = 0;   // Incarnations that ended unannounced.
  uint64_t stops = 0;          // Stop calls sent to the runner.
  uint64_t stops_overdue = 0;  // Stops not completed within kCancelLimit.
  // Stops sent again because the run continued after the runner accepted one.
  uint64_t stops_ineffective = 0;
  uint64_t stalls = 0;  // Stalls of the runner's tasks.
};

// What a process that was told to stop does next.
enum class ExitStep : uint8_t {
  kExit,      // Tasks may be running; they continue under their lease.
  kWithdraw,  // Nothing can be running: removes the VM's row, then exits.
  // The runner is silent, and some lease has not expired yet or the owner has
  // not been told.
  kWait,
};

class Executor {
 public:
  Executor(const ExecutorOptions& options, TaskRunner runner,
           ExecutorHooks hooks);

  // Handles the runner's registration or its renewal. A delayed registration of
  // an earlier incarnation is ignored, unless polls show that the incarnation
  // that registered last is not the one that answers.
  void OnRunnerRegistered(const VmStatus& status,
                          std::optional<RunnerClock> clock);
  // Handles the announcement of this incarnation that it is about to exit.
  void OnRunnerLeaving(const std::string& incarnation);

  // Rejects owners with a lower epoch from now on, even one that is attached.
  // `epoch` is that of the owner that the table names.
  void RejectOwnersBelow(uint64_t epoch);

  void OnMessage(uint64_t link, const DispatchMessage& message);
  void OnLinkDown(uint64_t link);
  void Tick();

  uint64_t epoch() const { return epoch_; }
  bool owned() const { return owner_link_.has_value(); }
  // Whether the runner has announced its exit and has since been found gone.
  bool runner_is_gone() const { return runner_is_gone_; }
  // Returns the next step of a process that was told to stop. A VM that goes
  // for good loses its runner first, often without an announcement; once this
  // process has ended, nobody can tell that nothing runs there.
  ExitStep NextExitStep() const;
  // Time since the last message of the current owner, or since the start of
  // this process if there was none. An owner sends one every second or two,
  // even while there is no runner to grant leases to.
  Duration SinceOwner() const { return hooks_.now() - owner_heard_at_; }
  const ExecutorCounts& counts() const { return counts_; }
  const VmStatus& status() const { return status_; }
  // How long no run has progressed although some use CPU; zero unless stalls
  // are detected.
  Duration WithoutProgress() const {
    return stall_detector_.without_progress();
  }
  // Number of starts that are queued for the runner.
  size_t starts_waiting() const { return start_queue_.waiting(); }
  // Age of the oldest ordered stop whose outcome is still open; zero if there
  // is none.
  Duration OldestStop() const;
  // Describes the state in one line, for diagnostics.
  std::string Dump() const;

 private:
  enum class Phase : uint8_t {
    kWaiting,    // The start is queued, so it can't have taken effect.
    kStarting,   // The start was sent and has not been answered yet.
    kUncertain,  // The start got no answer; a poll will show its outcome.
    kStopping,   // A stop is queued, in flight or due for a retry.
    kStopped,    // The runner accepted the stop; polls show its effect.
  };
  struct Order {
    Phase phase = Phase::kWaiting;
    // Only polls sent after this decide on the outcome.
    TimePoint phase_began_at{};
    bool stop_pending = false;  // A stop is queued or in flight.
    bool report_begin = false;
    TimePoint retry_at{};
    std::optional<TimePoint> stop_ordered_at;
    bool overdue_logged = false;
  };
  // The parts of a queued call; the others are added when it is sent.
  struct PendingStart {
    std::string payload;
    std::string checkpoint;
    std::string ticket;
    TimePoint latest_start{};
  };
  struct PendingStop {};
  struct PendingPace {
    int percent = kFullPacePercent;
  };
  // The owner's epoch and the runner incarnation that a call was made for. Its
  // answer is ignored once either has changed.
  struct CallContext {
    uint64_t epoch = 0;
    std::string incarnation;
  };
  struct PacedRun {
    TaskTraits traits;
    // The pace last ordered; kUnknownPercent after an order without an answer,
    // and for a run that an earlier incarnation of this process may have paced.
    int percent = kFullPacePercent;
    TimePoint ordered_at{};
    bool answered = true;           // Whether the last order was answered.
    uint64_t last_sent_number = 0;  // Number of the last order sent.
  };

  void OnAttach(uint64_t link, const Attach& attach);
  void OnRenew(const RenewLease& renew);
  // Whether an order comes from the current owner and is meant for the runner's
  // current incarnation. Counts the orders that are not.
  bool IsCurrent(uint64_t link, uint64_t epoch, const std::string& incarnation);
  // Whether another incarnation has registered after this one.
  bool IsEarlierIncarnation(const std::string& incarnation) const;
  void NoteEarlierIncarnation(const std::string& incarnation);
  // Whether the current incarnation has announced its exit or is draining.
  bool IsLeaving() const { return leaving_since_ || status_.draining; }
  // Records what is known of the current incarnation for owners, after it ended
  // or stayed silent beyond its leases.
  void RecordPastIncarnation();
  void ForgetPastIncarnations(TimePoint now);
  // Forgets all starts and stops, queued or in flight.
  void DropOrders();
  // Clears all state that belongs to one incarnation of the runner.
  void ResetIncarnation();
  void NoteClock(const std::optional<RunnerClock>& clock);
  // End of the granted lease by the runner's clock; nullopt without a valid
  // lease or a reading of that clock.
  std::optional<RunnerClock> LeaseEndForRunner() const;
  void SendToOwner(const DispatchMessage& message);
  // Polls a runner that announced its exit, after `exit_grace`.
  void PollLeavingRunner(TimePoint now);
  // Handles the result of that poll. A runner that answers has not exited: the
  // announcement may have been a delayed one of an earlier incarnation.
  void OnLeavingRunnerPolled(RunnerVerdict verdict, TimePoint sent_at);
  void ForgetDepartedRunner();
  // Reports an empty inventory once every lease of a silent runner has expired.
  void GiveUpSilentRunner(TimePoint now);
  void SendHeartbeat(TimePoint now);

  // In executor_orders.cc.
  void OnStartRuns(const StartRuns& starts);
  void OnStopRuns(const StopRuns& stops);
  void QueueStart(const StartRuns& starts, const RunRef& run,
                  const StartRun& start);
  // Sends queued starts as far as the limit on calls in flight allows.
  void SendStarts();
  // Whether what starts now is known to later owners, and no earlier owner can
  // start it.
  //
  // A runner that has listed an active run is ready even if this process has
  // restarted and can't reach the table. It was given that run while the VM had
  // a row, by the latest owner of that time, and its lease has not expired
  // since. An owner that took over later could learn of the runner's work only
  // from the runner, which knows its epoch then and rejects earlier owners
  // itself. Without an active run it may be a runner that was silent until all
  // leases had expired, which is reported as empty without knowing that epoch.
  bool ReadyForStarts() const;
  // Records that an owner is refused or given up for one of a higher epoch.
  void LogRefusedOwner(uint64_t epoch);
  // Sends the start and returns true, or reports to the owner that the run does
  // not begin if the start is no longer valid.
  bool SendStart(const RunRef& run, const PendingStart& start);
  // Returns queued starts past their latest start time to the owner, which can
  // place them on another VM.
  void DropOutdatedStarts(TimePoint now);
  void OnStartReply(const RunRef& run, TimePoint sent_at,
                    const RunnerReply& reply);
  // Idempotent: a repeated order leaves a stop in progress unchanged.
  void RequestStop(const RunRef& run);
  void QueueStop(const RunRef& run, Order& order);
  void SendStops();
  void RetryStops(TimePoint now);
  void LogOverdueStops(TimePoint now);
  void OnStopReply(const RunRef& run, const RunnerReply& reply);
  CallContext CurrentCallContext() const {
    return {epoch_, status_.incarnation};
  }
  bool IsCurrentContext(const CallContext& context) const {
    return context.epoch == epoch_ &&
           context.incarnation == status_.incarnation;
  }
  // Handles a run that has begun: reports it if the owner asked for that.
  void OnBegun(const RunRef& run);
  void ReportBegin(const RunRef& run);
  // Reports to the owner that the run will never begin.
  void ReportNotBegun(const RunRef& run, NotBegunReason reason);
  // Determines outcomes of earlier calls from a poll that was sent after them.
  void ResolveOrders(const RunnerView& view, TimePoint sent_at);
  // Handles a run that a later poll still lists although the runner accepted
  // its stop.
  void OnRunStillRunning(const RunRef& run, Order& order, TimePoint sent_at);

  // In executor_polling.cc.
  void OnEndsAcknowledged(const EndsAcknowledged& acknowledged);
  // Asks the runner for its state. The runner delays its answer by up to `wait`
  // until it has an end to list.
  void PollRunner(std::chrono::milliseconds wait);
  // Polls at once and returns true, unless too many polls are in flight; in
  // that case the next poll is due immediately.
  bool PollSoon();
  void PollIfDue(TimePoint now);
  std::chrono::milliseconds NextPollWait() const;
  void OnPollReply(RunnerView view, TimePoint sent_at, Duration wait,
                   uint64_t epoch, const std::string& incarnation);
  // Notes that an incarnation other than the one registered last answers, so
  // that the next registration is accepted whichever incarnation it names.
  void NoteMismatch();
  void ReportEnds(const RunnerView& view);
  void OnProgressBounds(const ProgressBounds& bounds);
  // Updates VmStatus::stalled by a poll's answer and sends each change.
  void UpdateStalled(const RunnerView& view, TimePoint sent_at, Duration wait,
                     TimePoint now);
  void LogWithoutProgress(TimePoint now);
  void SendInventory(const RunnerView& view);
  void SendEmptyInventory();
  void AddPastIncarnations(VmInventory& inventory) const;
  bool OwnerAwaitsInventory() const {
    return owner_link_ && inventory_pending_;
  }
  bool RunnerIsSilent(TimePoint now) const {
    return now - last_answer_ >= options_.runner_unreachable_after;
  }
  // Whether nothing can be running on the VM although its runner does not
  // answer. Only this process grants the runner leases, so that holds once
  // every lease granted by it or by an earlier incarnation of it has expired.
  bool AllLeasesExpired(TimePoint now) const;

  // In executor_pacing.cc.
  void OnRunTraits(const RunTraitsList& list);
  void OnWeights(const InterferenceWeights& learned);
  void OnPacePolicy(const PacePolicyNotice& notice);
  void UpdatePaces(const RunnerView& view, TimePoint sent_at, TimePoint now);
  // Detects best-effort runs that are active although paused, or the reverse:
  // an order may be lost, or take effect after a newer one. Their paces are
  // then unknown and are ordered again.
  void CheckPaces(const RunnerView& view, TimePoint sent_at, TimePoint now);
  // The part of a poll's answer that pacing depends on.
  struct PacingView {
    std::vector<ServingSample> serving;
    Pacer::BestEffortShares best_effort;
    std::vector<RunRef> best_effort_runs;
    bool best_effort_active = false;  // Some best-effort run uses CPU.
    int64_t free_cpu_millis = 0;      // Available to best-effort runs.
  };
  PacingView ViewForPacing(const RunnerView& view) const;
  // Assigns paces in order of best-effort rank. Each run gets a minimum share
  // and then what it asks for, as far as the pace of its image and the
  // remaining CPU allow; so a shortage slows the last ranks and not the first.
  void AssignPaces(std::vector<RunRef> best_effort_runs,
                   int64_t free_cpu_millis);
  // Applies the pace of its image to a best-effort run that has just begun. It
  // begins at full pace, and the next poll may be a quarter of a second away.
  void PaceNewBestEffortRun(const RunRef& run);
  void OrderPace(const RunRef& run, int percent);
  void SendPaces();
  // `number` counts pace orders in the sequence in which they were sent.
  void OnPaceReply(const RunRef& run, uint64_t number,
                   const RunnerReply& reply);
  // Sends the owner the worst tail latency of each serving image, since tasks
  // of one image on a VM are affected alike, and the CPU use of best-effort
  // images.
  void ReportInterference(const std::vector<ServingSample>& serving,
                          const Pacer::BestEffortShares& best_effort,
                          TimePoint now);

  ExecutorOptions options_;
  TaskRunner runner_;
  ExecutorHooks hooks_;

  uint64_t epoch_ = 0;  // Of the latest owner that this process has heard of.
  bool epoch_from_table_ = false;  // Else from the owner itself.
  std::optional<uint64_t> owner_link_;
  bool inventory_pending_ = false;
  // An inventory is built only from a poll sent at or after this time: an
  // earlier one may lack the outcome of an order that is no longer kept.
  TimePoint inventory_after_{};
  // For a silent runner, since the owner last attached.
  bool empty_inventory_sent_ = false;
  TimePoint started_at_{};
  TimePoint owner_heard_at_{};
  TimePoint lease_end_{};
  TimePoint last_heartbeat_at_{};

  VmStatus status_;
  // Ids of the runner's incarnations before the current one, newest last.
  std::deque<std::string> earlier_ids_;
  // An incarnation other than the one registered last answers at the runner's
  // address.
  bool other_incarnation_answers_ = false;
  std::optional<TimePoint> leaving_since_;
  std::optional<TimePoint> leave_polled_at_;
  bool runner_is_gone_ = false;
  // A poll has found it gone. Without an owner there is none, and the
  // announcement may be a delayed one of an earlier incarnation.
  bool departure_verified_ = false;
  // The runner has warmed up by then, as its last registration told.
  TimePoint warm_at_{};
  StallDetector stall_detector_;
  TimePoint stalled_since_{};  // Valid while `status_.stalled`.
  TimePoint without_progress_logged_at_{};
  RunnerClock clock_{};  // Reading of the runner's clock at `clock_at_`.
  TimePoint clock_at_{};
  bool clock_known_ = false;
  TimePoint last_answer_{};  // Of the current incarnation, to any call.

  // The current incarnation has listed an active run to this process: see
  // ReadyForStarts.
  bool active_run_listed_ = false;
  std::map<RunRef, Order> orders_;
  CallQueue<PendingStart> start_queue_;
  CallQueue<PendingStop> stop_queue_;
  CallQueue<PendingPace> pace_queue_;
  IncarnationRecord incarnation_record_;
  // Incarnations that ended recently, with the time of their end, newest last.
  std::deque<std::pair<TimePoint, PastIncarnation>> past_records_;
  std::map<RunRef, PacedRun> paced_;
  Pacer pacer_;
  PacePolicy pace_policy_ = PacePolicy::kCautious;
  TimePoint interference_reported_at_{};
  // Whether a report sent on this link has shown that no run is paced any more.
  bool idle_reported_ = false;
  uint64_t acknowledged_through_ = 0;  // Highest end the runner may forget.
  uint64_t highest_end_listed_ = 0;
  uint64_t reported_through_ = 0;  // Highest end sent on this link.
  TimePoint reported_at_{};
  int polls_in_flight_ = 0;
  bool long_poll_in_flight_ = false;
  bool idle_poll_in_flight_ = false;  // The long one, sent while idle.
  TimePoint next_poll_at_{};
  ExecutorCounts counts_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_EXECUTOR_H_
