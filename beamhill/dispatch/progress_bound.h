// Bounds how long a healthy VM may need for one percent of a task, so that its
// executor can tell whether a run that has not progressed at all is stalled.
//
// An executor compares the CPU that a run uses with what a percent of its work
// took before. A run that has not progressed since its start has no such
// measure. The owner knows how long the other tasks of its step took, on
// whichever VM, or at least what was estimated.
//
// Reads no clock and does no I/O.
//
//   for (const OverdueRun& run : FindOverdueRuns(progress, reliable, now)) {
//     messages[run.vm].runs.push_back({run.run, run.cpu_per_percent});
//   }
#ifndef BEAMHILL_DISPATCH_PROGRESS_BOUND_H_
#define BEAMHILL_DISPATCH_PROGRESS_BOUND_H_

#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/workflow/workflow.h"
#include "beamhill/workflow/workflow_progress.h"

namespace beamhill {

// Returns the time within which a healthy VM gains a percent of a task of the
// step, running at the requested CPU. This is a whole run of the slowest other
// task of the step. Before two of them are done, it follows from the expected
// run time, which may be wrong by a factor of 100, or by one of 10 if it is
// reliable. It grows each time that a task of the step was moved because of it.
// Returns nullopt if no run time is expected, for long-running tasks, and for
// gangs, whose members wait for each other.
std::optional<Duration> MaxTimePerPercent(const WorkflowProgress& progress,
                                          uint32_t step, bool reliable);

// A run that has lasted for longer than a percent of its work may take.
struct OverdueRun {
  RunRef run;
  std::string vm;
  Duration cpu_per_percent{};  // CPU time that a percent takes at most.
};

// Returns the overdue runs of the workflow, by step, round and index.
// `reliable`: whether expected run times are, see RunTimeEstimator::IsReliable.
std::vector<OverdueRun> FindOverdueRuns(const WorkflowProgress& progress,
                                        bool reliable, TimePoint now);

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PROGRESS_BOUND_H_
