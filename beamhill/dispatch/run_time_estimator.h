// Estimates how long tasks run, from the run times that submitters declare and
// the run times measured for earlier steps of the same queue.
//
// Declared run times are off by half in either direction, but under overload
// they decide which tasks run first and which count as late. Tasks of one queue
// are similar enough that earlier run times help: the estimate lies between the
// declared time and the queue's mean, closer to the mean the less accurate the
// queue's declarations have been. Both are kept as logarithms, since both vary
// by factors.
//
// Reads no clock and does no I/O. Takes one observation for each finished step,
// independent of its number of tasks.
//
//   RunTimeEstimator estimator;
//   estimator.Observe("batch", declared, measured);
//   Duration expected = estimator.Expect("batch", declared);
#ifndef BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_
#define BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

class RunTimeEstimator {
 public:
  // Records the declared and the measured run time of a finished step's tasks.
  void Observe(const std::string& queue, Duration declared, Duration measured);
  // Returns the expected run time of a task of the queue. This is `declared`
  // itself if it is zero or the queue has too few observations.
  Duration Expect(const std::string& queue, Duration declared) const;
  // Whether expectations for the queue are right within a factor of 10, as far
  // as its finished steps tell: the mean of the errors plus three standard
  // deviations is below that. False before there are enough steps.
  bool IsReliable(const std::string& queue) const;

 private:
  // Exponentially weighted mean and variance.
  struct Distribution {
    double mean = 0;
    double variance = 0;
    void Add(double value, double weight);
  };
  struct QueueStatistics {
    int steps = 0;
    Distribution log_run_time;  // Logarithm of the measured time in seconds.
    Distribution log_error;     // Logarithm of declared over measured time.
  };

  std::map<std::string, QueueStatistics> queues_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_
