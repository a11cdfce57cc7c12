// Ends every long overrun of a serving task on one VM, whatever else decides
// how fast fillers work there.
//
// Answers the load where batch work and services together want more than a VM
// has for many seconds. Once a serving image has been over its target for two
// seconds all fillers of the VM rest until no tail is near its target. It rests
// on measurements alone: what is known of who disturbs whom may be wrong.
// Users count harm after 4 s, or as the settings say: a sample trails its cause
// by up to a second, a look and an order take a third of one.
//
//   LatencyGuard guard;
//   guard.Observe(serving, best_effort_active, now);
//   if (guard.resting()) PaceAll(0);
#ifndef BEAMHILL_EXECUTOR_LATENCY_GUARD_H_
#define BEAMHILL_EXECUTOR_LATENCY_GUARD_H_

#include <map>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/executor/serving_sample.h"

namespace beamhill {

// When users count harm, unless the settings say otherwise.
inline constexpr Duration kDefaultHarmAfter = std::chrono::seconds(4);

class LatencyGuard {
 public:
  // `harm_after`: for how long a task may be over its target until users count
  // it as harmed.
  explicit LatencyGuard(Duration harm_after = kDefaultHarmAfter);

  // Takes in the newest samples of the VM, and whether some filler is seen at
  // work: orders may be lost, so a rest counts only from when none is.
  void Observe(const std::vector<ServingSample>& serving,
               bool best_effort_active, TimePoint now);

  // Whether all fillers of the VM are to rest.
  bool paused() const { return paused_; }
  // Whether the last rest has ended by its time, with a tail still up: so the
  // load is the service's own. Until the next rest, or until no tail is up.
  bool last_pause_ineffective() const { return last_pause_ineffective_; }

 private:
  // A serving image that is over its target, or close below it.
  struct Overrun {
    TimePoint since{};
    TimePoint last_over{};
  };

  void UpdateOverruns(const std::vector<ServingSample>& serving, TimePoint now);
  // For how long the one has lasted that has lasted longest.
  Duration LongestOverrun() const;

  Duration pause_after_;                     // How long an overrun may last.
  std::map<std::string, Overrun> overruns_;  // By serving image.
  bool paused_ = false;
  bool last_pause_ineffective_ = false;
  TimePoint paused_since_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_LATENCY_GUARD_H_
