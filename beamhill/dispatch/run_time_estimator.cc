#include "beamhill/dispatch/run_time_estimator.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace beamhill {
namespace {

// Observations of a queue before they affect estimates.
constexpr int kMinSteps = 8;
// Observations of a queue before its expectations can count as reliable, and
// the factor by which these may then be wrong.
constexpr int kMinStepsForReliability = 3;
constexpr double kReliableFactor = 10;
constexpr double kDeviations = 3;
// Weight of a new observation once there are many: about the last 40 count,
// which arrive within half a minute.
constexpr double kMinWeight = 0.025;
// Lower bound of variances, so that equal observations do not outweigh
// everything else.
constexpr double kMinVariance = 0.01;

double LogSeconds(Duration time) {
  return std::log(std::chrono::duration<double>(time).count());
}

}  // namespace

void RunTimeEstimator::Distribution::Add(double value, double weight) {
  const double deviation = value - mean;
  mean += weight * deviation;
  variance = (1 - weight) * (variance + weight * deviation * deviation);
}

void RunTimeEstimator::Observe(const std::string& queue, Duration declared,
                               Duration measured) {
  if (declared <= Duration(0) || measured <= Duration(0)) return;
  QueueStatistics& known = queues_[queue];
  ++known.steps;
  const double weight = std::max(kMinWeight, 1.0 / known.steps);
  known.log_run_time.Add(LogSeconds(measured), weight);
  known.log_error.Add(LogSeconds(declared) - LogSeconds(measured), weight);
}

bool RunTimeEstimator::IsReliable(const std::string& queue) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || it->second.steps < kMinStepsForReliability) {
    return false;
  }
  const Distribution& error = it->second.log_error;
  return std::abs(error.mean) + kDeviations * std::sqrt(error.variance) <=
         std::log(kReliableFactor);
}

Duration RunTimeEstimator::Expect(const std::string& queue,
                                  Duration declared) const {
  const auto it = queues_.find(queue);
  if (it == queues_.end() || it->second.steps < kMinSteps ||
      declared <= Duration(0)) {
    return declared;
  }
  const QueueStatistics& known = it->second;
  const double corrected = LogSeconds(declared) - known.log_error.mean;
  const double error_variance =
      std::max(known.log_error.variance, kMinVariance);
  const double run_variance =
      std::max(known.log_run_time.variance, kMinVariance);
  const double expected =
      (corrected * run_variance + known.log_run_time.mean * error_variance) /
      (run_variance + error_variance);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::exp(expected)));
}

}  // namespace beamhill
