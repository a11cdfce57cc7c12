// Records what an executor has observed of its runner's current incarnation, to
// be reported once that incarnation is over: unacknowledged ends, and the runs
// that may have crashed the runner.
//
// A task that crashes its runner does so as it starts. So when a runner is
// lost, only the runs that had just begun when it last answered are suspects.
//
//   IncarnationRecord record;
//   record.OnStartSent(run, now);
//   record.OnPollReply(view, sent_at);  // The runner answered a poll.
//   PastIncarnation past = record.Describe("vm-1/7", /*announced=*/false);
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
  void OnStartSent(const RunRef& run, TimePoint now) { starts_[run] = now; }
  void OnNeverBegun(const RunRef& run) { starts_.erase(run); }
  // The runner answered a call that was sent at `sent_at`, so starts sent more
  // than kCrashWindow before that have not crashed it.
  void OnAnswered(TimePoint sent_at);
  // Like OnAnswered, with the runs and unacknowledged ends listed by a poll.
  // The view is moved and not copied, since several arrive each second.
  void OnPollReply(RunnerView view, TimePoint sent_at);

  // Describes the incarnation to owners. `announced` tells whether it had
  // announced its exit.
  PastIncarnation Describe(const std::string& incarnation,
                           bool announced) const;

 private:
  // Starts sent at most kCrashWindow before the last call that was answered.
  std::map<RunRef, TimePoint> starts_;
  RunnerView last_view_;
};

// Names the runs for a log line: the first 12, and the number of the others.
std::string RunNames(const std::vector<RunRef>& runs);

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_INCARNATION_RECORD_H_
