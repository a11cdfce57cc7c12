// How fast the filling tasks of one VM may work, so that the serving tasks
// beside them stay under their targets.
//
// Pure feedback on late measurements: cut quickly when a serving task nears
// its target, wait for the effect to show, and give back step by step.
//
//   Pacer pacer;
//   int percent = pacer.Observe(samples, now);
#ifndef BEAMHILL_EXECUTOR_PACER_H_
#define BEAMHILL_EXECUTOR_PACER_H_

#include <cstdint>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// One serving task's tail latency over the last half second.
struct TailSample {
  Duration tail{};
  Duration target{};
};

class Pacer {
 public:
  // The percentage at which fillers may work from now on.
  int Observe(const std::vector<TailSample>& samples, TimePoint now);
  int percent() const { return percent_; }

 private:
  int percent_ = 100;
  TimePoint changed_at_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_PACER_H_
