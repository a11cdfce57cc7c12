// What one look at a runner tells of a serving task.
#ifndef BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_
#define BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_

#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// One serving task's tail latency over the last half second.
struct ServingSample {
  std::string image;
  Duration tail{};
  Duration target{};  // Zero: it has none.

  // Tail over target; 0 without a target.
  double ratio() const {
    return target > Duration(0) ? ToMillis(tail) / ToMillis(target) : 0;
  }
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_
