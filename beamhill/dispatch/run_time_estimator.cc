#include "beamhill/dispatch/run_time_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace beamhill {
namespace {

// Steps of a queue before what they took is heeded.
constexpr int kEnoughSteps = 8;
// Weight of a new step once there are many: some 40 count, half a minute of the
// users' days.
constexpr double kLeastWeight = 0.025;
// Keeps a queue whose steps all took alike from being certain.
constexpr double kLeastVariance = 0.01;

double LogSeconds(Duration time) {
  return std::log(std::chrono::duration<double>(time).count());
}

}  // namespace

void RunTimeEstimator::Spread::Add(double value, double weight) {
  const double moved = value - mean;
  mean += weight * moved;
  variance = (1 - weight) * (variance + weight * moved * moved);
}

void RunTimeEstimator::Observe(const std::string& queue, Duration declared,
                               Duration measured) {
  if (declared <= Duration(0) || measured <= Duration(0)) return;
  Queue& known = queues_[queue];
  ++known.steps;
  const double weight = std::max(kLeastWeight, 1.0 / known.steps);
  known.taken.Add(LogSeconds(measured), weight);
  known.off.Add(LogSeconds(declared) - LogSeconds(measured), weight);
}

Duration RunTimeEstimator::Expect(const std::string& queue,
                                  Duration declared) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || it->second.steps < kEnoughSteps ||
      declared <= Duration(0)) {
    return declared;
  }
  const Queue& known = it->second;
  const double guess = LogSeconds(declared) - known.off.mean;
  const double guess_variance = std::max(known.off.variance, kLeastVariance);
  const double taken_variance = std::max(known.taken.variance, kLeastVariance);
  const double expected =
      (guess * taken_variance + known.taken.mean * guess_variance) /
      (taken_variance + guess_variance);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(expected)));
}

}  // namespace beamhill
