// Carries out the owner's orders on one VM's runner and reports what becomes
// of them.
//
// It decides nothing about what runs. Its own matters are: obey the highest
// epoch only; extend the runner's lease no further than the owner has granted;
// let no order leave that has become wrong while it waited for its turn; find
// out what became of calls without an answer; keep serving tasks under their
// targets by pacing the fillers beside them.
//
//   Executor executor(options, runner, hooks);
//   executor.OnRunnerRegistered(status, clock);           // the runner's
//   registration executor.OnMessage(link, message);          // from an owner
//   executor.Tick();                            // every 100 ms
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
#include "beamhill/executor/task_runner.h"

namespace beamhill {

struct ExecutorOptions {
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // The longest lease that the runner takes.
  Duration max_lease = std::chrono::seconds(6);
  // Without an answer for so long the runner counts as out of reach, and no
  // more leases are asked for.
  Duration runner_unreachable_after = std::chrono::milliseconds(1500);
  // Added to the end of a lease before it is believed to be over.
  Duration lease_margin = std::chrono::milliseconds(500);
  // For how long a serving task may be over its target through fillers until
  // users count it as harmed.
  Duration harm_after = kDefaultHarmAfter;
  // After a runner says that it ends, its tasks may live on for so long. Then
  // it is asked whether it has.
  Duration leave_poll_delay = std::chrono::milliseconds(600);
};

struct ExecutorHooks {
  std::function<TimePoint()> now;
  // To the link that the current owner attached on.
  std::function<void(uint64_t link, const DispatchMessage& message)> send;
  std::function<void(const std::string& event, const std::string& task,
                     const std::string& detail)>
      log;
};

struct ExecutorCounts {
  uint64_t starts = 0;
  uint64_t refused = 0;
  uint64_t unanswered = 0;
  uint64_t polls = 0;
  uint64_t paces = 0;
  uint64_t stale_orders = 0;
  uint64_t withdrawn = 0;  // Starts that never left, for a stop came first.
  uint64_t outdated = 0;   // Starts that could not leave in time.
  uint64_t runners_lost = 0;
  uint64_t stops = 0;          // Stops asked of the runner.
  uint64_t stops_overdue = 0;  // Ordered stops that took too long.
  // Stops asked once more since the runner took one and the run went on.
  uint64_t stops_ineffective = 0;
};

class Executor {
 public:
  Executor(const ExecutorOptions& options, TaskRunner runner,
           ExecutorHooks hooks);

  // The runner has registered or renewed its registration. One of an earlier
  // life, which was long on its way, changes nothing; which of two is the
  // earlier one is settled by who answers looks.
  void OnRunnerRegistered(const VmStatus& status,
                          std::optional<RunnerClock> clock);
  // The runner of that life has said that it ends now.
  void OnRunnerLeaving(const std::string& incarnation);

  void OnMessage(uint64_t link, const DispatchMessage& message);
  void OnLinkDown(uint64_t link);
  void Tick();

  uint64_t epoch() const { return epoch_; }
  bool owned() const { return owner_link_.has_value(); }
  // Whether its runner has said that it ends, and its tasks are gone.
  bool runner_is_gone() const { return runner_is_gone_; }
  // How long ago the owner that is obeyed last said anything, or this process
  // began. It says something each second or two, also while there is no runner
  // to give leases to.
  Duration SinceOwner() const { return hooks_.now() - owner_heard_at_; }
  const ExecutorCounts& counts() const { return counts_; }
  const VmStatus& status() const { return status_; }
  // Starts that wait for their turn at the runner.
  size_t starts_waiting() const { return start_queue_.waiting(); }
  // For how long the oldest stop that an owner has ordered is not settled; zero
  // without any.
  Duration OldestStop() const;
  std::string Dump() const;

 private:
  enum class Phase : uint8_t {
    kWaiting,    // The start has not left; it can't have taken effect.
    kStarting,   // The start has left, and its answer is not in.
    kUncertain,  // It got no answer; a look will tell.
    kStopping,   // A stop waits, is open or is to be sent.
    kStopped,    // The runner took the stop; looks tell what it did.
  };
  struct Order {
    Phase phase = Phase::kWaiting;
    TimePoint phase_began_at{};  // When the phase began; a later look decides.
    // A stop waits for its turn or its answer.
    bool stop_pending = false;
    bool report_begin = false;
    TimePoint retry_at{};
    std::optional<TimePoint> stop_ordered_at;
    bool overdue_logged = false;  // The stop, and this is logged.
  };
  // What is kept of a call while it waits; the rest is added as it leaves.
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
  // For whom a call was made: its answer means nothing to anyone later.
  struct CallContext {
    uint64_t epoch = 0;
    std::string incarnation;
  };
  struct PacedRun {
    TaskTraits traits;
    // As last ordered; unknown after an order without an answer, and of a run
    // that an earlier run of this process has paced.
    int percent = kFullPacePercent;
    TimePoint ordered_at{};
    bool answered = true;           // The last order is.
    uint64_t last_sent_number = 0;  // Number of the last order that left.
  };

  void OnAttach(uint64_t link, const Attach& attach);
  void OnRenew(const RenewLease& renew);
  // Whether it comes from the owner that is obeyed, and concerns the runner's
  // present life; counts those that don't.
  bool IsCurrent(uint64_t link, uint64_t epoch, const std::string& incarnation);
  // Whether a later life has registered since.
  bool IsEarlierIncarnation(const std::string& incarnation) const;
  void NoteEarlierIncarnation(const std::string& incarnation);
  // Whether the runner's last life has said that it leaves.
  bool IsLeaving() const { return leaving_since_ || status_.draining; }
  // The runner's last life is over, or was silent past its leases. Keeps what
  // was seen of it for owners.
  void RecordPastIncarnation();
  void ForgetPastIncarnations(TimePoint now);
  // Forgets the starts and stops that wait or are open.
  void DropOrders();
  // Forgets all that belongs to one life of the runner.
  void ResetIncarnation();
  void NoteClock(const std::optional<RunnerClock>& clock);
  // The end of the granted lease by the runner's clock; nothing without a
  // lease or a reading of that clock.
  std::optional<RunnerClock> LeaseEndForRunner() const;
  void SendToOwner(const DispatchMessage& message);
  // Some time after a runner said that it ends: asks whether it has.
  void PollLeavingRunner(TimePoint now);
  // What a look shows of that. The word may have been that of an earlier start
  // of the runner, held up on its way.
  void OnLeavingRunnerPolled(RunnerVerdict verdict, TimePoint sent_at);
  void ForgetDepartedRunner();
  // Tells the owner that nothing runs, once every lease is over.
  void GiveUpSilentRunner(TimePoint now);
  void SendHeartbeat(TimePoint now);

  // In executor_orders.cc.
  void OnStartRuns(const StartRuns& starts);
  void OnStopRuns(const StopRuns& stops);
  void QueueStart(const StartRuns& starts, const RunRef& run,
                  const StartRun& start);
  // Lets waiting starts leave, as far as the runner takes them.
  void SendStarts();
  // Whether the start has left. If it must not any more, its owner is told.
  bool SendStart(const RunRef& run, const PendingStart& start);
  // Gives back starts that can't leave in time, for another VM to run.
  void DropOutdatedStarts(TimePoint now);
  void OnStartReply(const RunRef& run, TimePoint sent_at,
                    const RunnerReply& reply);
  // The owner may say it any number of times: what is under way goes on.
  void RequestStop(const RunRef& run);
  void QueueStop(const RunRef& run, Order& order);
  void SendStops();
  void RetryStops(TimePoint now);
  void LogOverdueStops(TimePoint now);
  void OnStopReply(const RunRef& run, const RunnerReply& reply);
  CallContext CurrentCallContext() const { return {epoch_, status_.life}; }
  bool IsCurrentContext(const CallContext& context) const {
    return context.epoch == epoch_ && context.incarnation == status_.life;
  }
  // The runner has begun the run: tells the owner, if it wants to hear that.
  void OnBegun(const RunRef& run);
  void ReportBegin(const RunRef& run);
  // Tells the owner that the run never begins.
  void ReportNotBegun(const RunRef& run, NotBegunReason reason);
  // What a look that was sent after a call shows is what became of the call.
  void ResolveOrders(const RunnerView& view, TimePoint sent_at);
  // The runner has taken a stop; a look that was sent then shows the run.
  void OnRunStillRunning(const RunRef& run, Order& order, TimePoint sent_at);

  // In executor_polling.cc.
  void OnEndsAcknowledged(const EndsSettled& settled);
  // Asks the runner what it holds; it may wait so long for an end.
  void PollRunner(std::chrono::milliseconds wait);
  // Looks at once, unless too many looks are open; returns whether it does.
  bool PollSoon();
  void PollIfDue(TimePoint now);
  std::chrono::milliseconds NextPollWait() const;
  void OnPollReply(RunnerView view, TimePoint sent_at, uint64_t epoch,
                   const std::string& incarnation);
  // The next registration is that of the life that answers, whichever it is.
  void NoteOtherIncarnation();
  void ReportEnds(const RunnerView& view);
  void SendInventory(const RunnerView& view);
  void SendEmptyInventory();
  void AddPastIncarnations(VmInventory& inventory) const;
  // Whether nothing can run on the VM any more, though its runner does not
  // answer: only this process calls it, and every lease that it or an earlier
  // run of it can have given has run out.
  bool AllLeasesExpired(TimePoint now) const;

  // In executor_pacing.cc.
  void OnRunTraits(const RunTraitsList& list);
  void OnInterferenceWeights(const PressureWeights& learned);
  void OnPacePolicy(const PacePolicyNotice& notice);
  void UpdatePaces(const RunnerView& view, TimePoint sent_at, TimePoint now);
  // Finds fillers that work though they were ordered to rest, or the reverse:
  // an order may be lost, or be carried out after a newer one.
  void CheckPaces(const RunnerView& view, TimePoint sent_at, TimePoint now);
  // What a look shows of the tasks that pacing heeds.
  struct PacingView {
    std::vector<ServingSample> serving;
    Pacer::BestEffortShares best_effort;
    std::vector<RunRef> best_effort_runs;
    bool best_effort_active = false;  // Some filler uses processors.
    // Processor time that is left for fillers.
    int64_t free_cpu_millis = 0;
  };
  PacingView ViewForPacing(const RunnerView& view) const;
  // Gives fillers their paces, in their order: each gets what its image may
  // still use of the disturbance that serving tasks bear, and what is left of
  // the processors. The last ones rest rather than slow the first.
  void AssignPaces(std::vector<RunRef> best_effort_runs,
                   int64_t free_cpu_millis);
  // Holds a filler that has just begun to the pace that its image has here: it
  // begins at full speed, and the next look is up to a quarter of a second off.
  void PaceNewBestEffortRun(const RunRef& run);
  void OrderPace(const RunRef& run, int percent);
  void SendPaces();
  // `number` is that of the order, in the order in which they left.
  void OnPaceReply(const RunRef& run, uint64_t number,
                   const RunnerReply& reply);
  // One tail for each serving image, the worst: its tasks on a VM share fate.
  void ReportInterference(const std::vector<ServingSample>& serving,
                          const Pacer::BestEffortShares& best_effort,
                          TimePoint now);

  ExecutorOptions options_;
  TaskRunner runner_;
  ExecutorHooks hooks_;

  uint64_t epoch_ = 0;
  std::optional<uint64_t> owner_link_;
  bool inventory_wanted_ = false;
  // A look that was sent earlier may not show what became of some order that
  // is forgotten by now.
  TimePoint inventory_after_{};
  bool empty_inventory_sent_ =
      false;  // In this attachment, for want of an answer.
  TimePoint started_at_{};
  TimePoint owner_heard_at_{};
  TimePoint lease_end_{};
  TimePoint last_heartbeat_{};

  VmStatus status_;
  // Lives of the runner that a later one has followed, the newest last.
  std::deque<std::string> earlier_incarnations_;
  // Another life answers at the runner's address than the one that registered
  // last.
  bool other_incarnation_answers_ = false;
  std::optional<TimePoint> leaving_since_;
  std::optional<TimePoint> leave_polled_at_;
  bool runner_is_gone_ = false;
  RunnerClock clock_{};  // The runner's reading at `clock_at_`.
  TimePoint clock_at_{};
  bool clock_known_ = false;
  TimePoint last_answer_{};  // Of the runner, to any call.

  std::map<RunRef, Order> orders_;
  CallQueue<PendingStart> start_queue_;
  CallQueue<PendingStop> stop_queue_;
  CallQueue<PendingPace> pace_queue_;
  IncarnationRecord incarnation_record_;
  // Lives that ended of late, the newest last, and when each did.
  std::deque<std::pair<TimePoint, PastLife>> past_incarnations_;
  std::map<RunRef, PacedRun> paced_;
  Pacer pacer_;
  PacePolicy pace_policy_ = PacePolicy::kCautious;
  TimePoint interference_reported_at_{};
  bool idle_reported_ = false;  // On this link: nothing is paced any more.
  uint64_t acknowledged_through_ = 0;  // Ends that may be forgotten.
  uint64_t highest_end_listed_ = 0;
  uint64_t reported_through_ = 0;  // Ends up to here were sent on this link.
  TimePoint reported_at_{};
  int polls_in_flight_ = 0;
  bool long_poll_in_flight_ = false;
  TimePoint next_poll_at_{};
  ExecutorCounts counts_;
  Lifetime lifetime_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_EXECUTOR_H_
