// How long tasks really run, where submitters' guesses are rough.
//
// The load that it answers: guesses are off by half either way, and who goes
// first under overload, and who is late, hangs on them. A queue's tasks are
// alike enough that what its steps took tells something of the next one: a
// guess is drawn towards that, the more the rougher the queue's guesses have
// been. Both are kept as logarithms, since both spread by factors.
//
// Pure. One observation for each step that is done, however wide it was.
//
//   RunTimeEstimator times;
//   times.Observe("batch", declared, measured);
//   Duration run = times.Expect("batch", declared);
#ifndef BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_
#define BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_

#include <map>
#include <string>

#include "beamhill/base/time.h"

namespace beamhill {

class RunTimeEstimator {
 public:
  // A step of the queue was declared to take so long a task, and took so long.
  void Observe(const std::string& queue, Duration declared, Duration measured);
  // What a task of the queue with this guess is expected to take. The guess
  // itself as long as little is known, or without one.
  Duration Expect(const std::string& queue, Duration declared) const;

 private:
  // Mean and variance of what was added, the newest counting most.
  struct Spread {
    double mean = 0;
    double variance = 0;
    void Add(double value, double weight);
  };
  struct Queue {
    int steps = 0;
    Spread taken;  // Logarithm of the time in seconds.
    Spread off;    // Logarithm of the guess over the time.
  };

  std::map<std::string, Queue> queues_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RUN_TIME_ESTIMATOR_H_
