// A latency measurement of a serving task, taken from one poll of its runner.
//
//   const ServingSample sample{"web", milliseconds(18), milliseconds(20)};
//   sample.ratio();  // 0.9
#ifndef BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_
#define BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_

#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

// The tail latency of one serving task over the last half second.
struct ServingSample {
  std::string image;
  Duration tail{};
  Duration target{};  // Zero for a task without a target.

  // Ratio of tail to target; 0 without a target.
  double ratio() const {
    return target > Duration(0) ? ToMillis(tail) / ToMillis(target) : 0;
  }
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_SERVING_SAMPLE_H_
