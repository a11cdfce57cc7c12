// What an executor has seen of its runner's present life, to be told once that
// life is over: ends that nobody has settled, and which runs may have taken the
// runner down.
//
// A task that takes its runner down does so as it starts. So of a runner that
// is lost, only what had just begun when it was last heard is under suspicion.
//
//   IncarnationRecord record;
//   record.OnAsked(run, now);         // A start is asked of the runner.
//   record.OnPollReply(view, asked_at);    // The runner has answered a look.
//   PastLife past = record.Describe("life-1", /*announced=*/false);
#ifndef BEAMHILL_EXECUTOR_INCARNATION_RECORD_H_
#define BEAMHILL_EXECUTOR_INCARNATION_RECORD_H_

#include <map>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"
#include "beamhill/executor/task_runner.h"

namespace beamhill {

class IncarnationRecord {
 public:
  void OnAsked(const RunRef& run, TimePoint now) { asked_[run] = now; }
  void OnNeverBegun(const RunRef& run) { asked_.erase(run); }
  // The runner has answered a call that was sent then, so what was asked of it
  // kCrashWindow before that has not taken it down.
  void OnAnswered(TimePoint sent_at);
  // The same, with all that runs there and all ends that are not settled. The
  // view is kept as it is, not copied: several come each second.
  void OnPollReply(RunnerView view, TimePoint sent_at);

  // `announced`: the runner had said that it leaves.
  PastLife Describe(const std::string& incarnation, bool announced) const;

 private:
  std::map<RunRef, TimePoint> asked_;  // Within kCrashWindow.
  RunnerView last_view_;
};

// The names of the runs for a log line, the first dozen of them.
std::string RunNames(const std::vector<RunRef>& runs);

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_INCARNATION_RECORD_H_
