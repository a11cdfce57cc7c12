// The runs that a runner had only just begun when it was last heard.
//
// A task that takes its runner down does so as it starts. Once a runner is
// lost, these are the runs that may have done it; what had been at work there
// for longer is a bystander.
//
//   RecentStarts starts;
//   starts.OnAsked(run, now);      // A start is asked of the runner.
//   starts.OnOver(run);            // It ended, or never began.
//   starts.OnHeard(asked_at);      // The runner has answered a call of then.
//   for (const RunRef& run : starts.Runs()) ...   // It is lost.
#ifndef BEAMHILL_EXECUTOR_RECENT_STARTS_H_
#define BEAMHILL_EXECUTOR_RECENT_STARTS_H_

#include <map>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"

namespace beamhill {

class RecentStarts {
 public:
  void OnAsked(const RunRef& run, TimePoint now) { asked_[run] = now; }
  void OnOver(const RunRef& run) { asked_.erase(run); }
  // The runner has answered a call that was sent then, so what was asked of it
  // kCrashWindow before that has not taken it down.
  void OnHeard(TimePoint sent_at);
  void Clear() { asked_.clear(); }

  // In their order.
  std::vector<RunRef> Runs() const;

 private:
  std::map<RunRef, TimePoint> asked_;
};

// The names of the runs for a log line, the first dozen of them.
std::string RunNames(const std::vector<RunRef>& runs);

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_RECENT_STARTS_H_
