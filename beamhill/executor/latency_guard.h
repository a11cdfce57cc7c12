// Bounds how long the serving tasks of one VM may exceed their latency targets,
// independently of how the paces of best-effort tasks are chosen otherwise.
//
// It acts when best-effort and serving tasks together demand more than the VM
// has for many seconds: once a serving image has been over its target for two
// seconds, all best-effort tasks of the VM are paused until no tail is near its
// target. It relies on measurements alone, since learned weights for the
// interference between images may be wrong.
//
// Users count a task as harmed after 4 s over its target, unless the settings
// say otherwise. Two seconds leave time for the delays: a sample lags behind
// its cause by up to a second, a poll and a pace order take a third of a
// second.
//
//   LatencyGuard guard;
//   guard.Observe(serving, best_effort_active, now);
//   if (guard.paused()) PaceAll(0);
#ifndef BEAMHILL_EXECUTOR_LATENCY_GUARD_H_
#define BEAMHILL_EXECUTOR_LATENCY_GUARD_H_

#include <map>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/executor/serving_sample.h"

namespace beamhill {

// Time over its target after which users count a serving task as harmed, unless
// the settings say otherwise.
inline constexpr Duration kDefaultHarmAfter = std::chrono::seconds(4);

class LatencyGuard {
 public:
  // `harm_after` is the time over its target after which users count a task as
  // harmed.
  explicit LatencyGuard(Duration harm_after = kDefaultHarmAfter);

  // Updates the state by the newest samples of the VM. `best_effort_active`
  // tells whether any best-effort run uses CPU by these samples: pace orders
  // may be lost, so a pause is timed from when none does.
  void Observe(const std::vector<ServingSample>& serving,
               bool best_effort_active, TimePoint now);

  // Whether all best-effort runs of the VM are to be paused.
  bool paused() const { return paused_; }
  // Whether the last pause timed out with a tail still near or over its target,
  // so that the load is the service's own. Holds until the next pause begins or
  // no serving image is over its target.
  bool last_pause_ineffective() const { return last_pause_ineffective_; }

 private:
  // A period in which a serving image is over its target or close below it.
  struct Overrun {
    TimePoint since{};
    TimePoint last_over{};
  };

  void UpdateOverruns(const std::vector<ServingSample>& serving, TimePoint now);
  Duration LongestOverrun() const;

  Duration pause_after_;                     // Overrun that starts a pause.
  std::map<std::string, Overrun> overruns_;  // By serving image.
  bool paused_ = false;
  bool last_pause_ineffective_ = false;
  TimePoint paused_since_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_LATENCY_GUARD_H_
