// Detects that the tasks of a runner make no progress although the runner
// answers calls, from the answers to polls alone.
//
// Two kinds of evidence lead to it, each over at least 500 ms in which
// nothing on the VM progressed:
//  - Runs use CPU without progress. Together they have used several times the
//    CPU that a percent of their work took before. What a run has gained when
//    it is first listed counts too if the time of its start is known. For a run
//    that has not progressed yet, a bound that the owner knows takes the place
//    of that, unless serving tasks on the VM have normal tail latencies.
//  - The tail latencies of all serving tasks are above fifty times their
//    targets.
// A run that progresses clears the state. On a VM without other active runs,
// so do tail latencies that have returned to normal.
//
// The answer to a poll shows the runner's state at an unknown moment before it
// arrived. Elapsed time is therefore underestimated where it counts as
// evidence, and overestimated where it is the measure for it.
//
//   StallDetector detector;
//   detector.Observe(poll);
//   if (detector.stalled()) ReportStall();
#ifndef BEAMHILL_EXECUTOR_STALL_DETECTOR_H_
#define BEAMHILL_EXECUTOR_STALL_DETECTOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/executor/serving_sample.h"
#include "beamhill/executor/task_runner.h"

namespace beamhill {

// Whether a tail latency is too high to be explained by interference, which
// raises it to 15 times its target at most.
bool ExceedsInterference(const ServingSample& sample);

// One running run as a poll lists it, with what the executor knows of it.
struct StallRow {
  const RunningRun* running = nullptr;  // Not null; only read by Observe.
  Duration tail_target{};               // Zero for a run that does not serve.
  // CPU that the run requests, in thousandths of a core; 0 if unknown.
  int64_t cpu_millis = 0;
  // When its pace was last ordered; the epoch of the clock if never.
  TimePoint pace_ordered_at{};
  bool paused = false;  // Its pace is zero.
};

// The answer to one poll.
struct StallPoll {
  TimePoint sent_at{};
  TimePoint answered_at{};
  // How long the runner was allowed to delay its answer.
  Duration wait{};
  // Whether the runner has been up for long enough to run at full speed.
  bool warm = true;
  std::vector<StallRow> rows;
  const std::vector<RunEnd>* ended = nullptr;  // As listed; not null.
};

class StallDetector {
 public:
  enum class Evidence : uint8_t { kNone, kCpuWithoutProgress, kTailLatencies };

  // Records that a start of the run, from the beginning of its work, is sent to
  // the runner.
  void OnStartSent(const RunRef& run, TimePoint now);
  // Sets the CPU time in which the run gains a percent unless the runner is
  // stalled. Used while the run has not progressed.
  void SetProgressBound(const RunRef& run, Duration cpu_time, TimePoint now);

  // Updates the state by a poll's answer. Answers may arrive in any order: one
  // to a poll sent before the newest one only counts as evidence of progress.
  void Observe(const StallPoll& poll);

  // Whether the newest poll lists any run.
  bool has_runs() const { return !runs_.empty(); }
  bool stalled() const { return evidence_ != Evidence::kNone; }
  // The evidence that led to the current stall; kNone without one.
  Evidence evidence() const { return evidence_; }
  // How long no run has progressed although some use CPU, underestimated.
  Duration without_progress() const { return without_progress_; }
  // Number of runs of the newest poll that use CPU, and of those among them
  // for which it is known how much CPU a percent takes.
  int active_runs() const { return active_runs_; }
  int judged_runs() const { return judged_runs_; }

 private:
  struct RunState {
    uint64_t poll = 0;  // Number of the newest poll that lists the run.
    int percent = 0;    // Highest one listed.
    int64_t measurement = 0;
    // When a serving run was first listed at 100 percent.
    TimePoint serving_since = TimePoint::max();
    // CPU time up to the last rise of the percentage and since, overestimated,
    // in thousandths of a core times milliseconds.
    double cpu_to_last_rise = 0;
    double cpu_since_last_rise = 0;
    int gained_percent = 0;  // By all rises seen.
    // From the start to the first listing, and what it gained in that time;
    // zero if the start is not known.
    Duration time_to_first_percent{};
    int first_percent = 0;
    int64_t highest_measurement = 0;
    // Since the last progress on the VM and with an unchanged pace,
    // underestimated.
    double cpu_without_progress = 0;
    Duration time_without_progress{};
  };
  struct ProgressBound {
    Duration cpu_time{};
    TimePoint set_at{};
  };
  // Bounds of the time between the states that two polls show.
  struct Elapsed {
    Duration at_least{};
    Duration at_most{};
  };
  // Sums over the runs that count as evidence of one poll.
  struct Sums {
    bool progress = false;
    int active_runs = 0;   // Runs that use CPU.
    int runs = 0;          // Of these, runs whose cost of a percent is known.
    double percent = 0;    // That these would have gained at that cost.
    int bounded_runs = 0;  // Of these, runs that only a bound is known for.
    Duration longest{};    // Time without progress of any of these.
    int serving = 0;       // Tasks that have begun to serve.
    int steady_samples = 0;
    int high_samples = 0;          // Tails that exceed interference.
    bool all_samples_high = true;  // Of tasks that have begun to serve.
    bool may_progress = false;     // Some run does not serve and is not paused.
  };

  bool NoteEnds(const std::vector<RunEnd>& ended);
  // Notes the percentage and returns whether it is higher than before.
  bool NotePercent(RunState& run, int percent) const;
  void ObserveRun(const StallRow& row, const StallPoll& poll,
                  const Elapsed& elapsed, Sums& sums);
  static void ObserveServing(const StallRow& row, const StallPoll& poll,
                             const RunState& run, Sums& sums);
  void ObserveFirstListing(const RunningRun& running, const StallPoll& poll,
                           RunState& run) const;
  void ObserveCpu(const StallRow& row, bool settled, bool rose,
                  const Elapsed& elapsed, RunState& run, Sums& sums) const;
  // How many percent the run would have gained by the CPU that it has used
  // without progress; nullopt if it has not progressed yet.
  static std::optional<double> LostPercent(const StallRow& row,
                                           const RunState& run);
  // Whether the run has used more CPU without progress than its bound allows;
  // nullopt if there is no bound.
  std::optional<bool> ExceedsBound(const RunRef& ref,
                                   const RunState& run) const;
  void OnProgress();
  void UpdateEvidence(const Sums& sums, const StallPoll& poll,
                      const Elapsed& elapsed);
  void ForgetAbsentRuns(size_t listed);
  // Forgets starts and bounds of runs that are not listed in time.
  void ForgetUnlistedRuns(TimePoint now);

  Evidence evidence_ = Evidence::kNone;
  uint64_t polls_ = 0;  // Observed in the order in which they were sent.
  uint64_t polls_without_progress_ = 0;
  Duration without_progress_{};
  int active_runs_ = 0;
  int judged_runs_ = 0;
  TimePoint sent_at_{};  // Of the newest poll.
  TimePoint answered_at_{};
  TimePoint state_at_{};       // See StateTime.
  uint64_t highest_done_ = 0;  // Highest number of an end as done.
  // Whether all tails were too high by the newest poll, and for how long.
  bool tails_high_ = false;
  Duration tails_high_for_{};
  int polls_with_normal_tails_ = 0;
  std::map<RunRef, RunState> runs_;
  std::map<RunRef, TimePoint> starts_sent_;  // Of runs not listed yet.
  std::map<RunRef, ProgressBound> bounds_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_STALL_DETECTOR_H_
