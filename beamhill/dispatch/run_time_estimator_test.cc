// Tests estimates from declared and measured run times.
#include "beamhill/dispatch/run_time_estimator.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

TEST(RunTimeEstimatorTest, DeclaredTimeIsUsedUntilThereAreEnoughSteps) {
  RunTimeEstimator estimator;
  EXPECT_EQ(estimator.Expect("q", milliseconds(700)), milliseconds(700));
  estimator.Observe("q", milliseconds(700), milliseconds(2000));
  EXPECT_EQ(estimator.Expect("q", milliseconds(700)), milliseconds(700));
  EXPECT_EQ(estimator.Expect("q", Duration(0)), Duration(0));
}

TEST(RunTimeEstimatorTest, QueueThatDeclaresTooLittleIsCorrected) {
  RunTimeEstimator estimator;
  for (int i = 1; i <= 60; ++i) {
    estimator.Observe("q", milliseconds(50 * i), milliseconds(100 * i));
  }
  const double expected = ToMillis(estimator.Expect("q", milliseconds(1000)));
  EXPECT_NEAR(expected, 2000, 120);
  EXPECT_EQ(estimator.Expect("other", milliseconds(1000)), milliseconds(1000));
}

TEST(RunTimeEstimatorTest, QueueIsReliableOnceItsDeclarationsWereRight) {
  RunTimeEstimator estimator;
  EXPECT_FALSE(estimator.IsReliable("q"));
  estimator.Observe("q", milliseconds(1000), milliseconds(500));
  estimator.Observe("q", milliseconds(1000), milliseconds(1500));
  EXPECT_FALSE(estimator.IsReliable("q"));
  estimator.Observe("q", milliseconds(1000), milliseconds(1000));
  EXPECT_TRUE(estimator.IsReliable("q"));
  estimator.Observe("q", milliseconds(1000), milliseconds(100000));
  EXPECT_FALSE(estimator.IsReliable("q"));
  for (int i = 0; i < 4; ++i) {
    estimator.Observe("late", milliseconds(1000), milliseconds(20000));
  }
  EXPECT_FALSE(estimator.IsReliable("late"));
}

// As in the users' workloads: run times vary by half, and declared times are
// off by half.
TEST(RunTimeEstimatorTest, EstimatesAreCloserThanInaccurateDeclarations) {
  std::mt19937_64 random(1);
  std::normal_distribution<double> log_factor(0, 0.5);
  RunTimeEstimator estimator;
  double declared_error = 0;
  double expected_error = 0;
  for (int i = 0; i < 400; ++i) {
    const auto measured = std::chrono::duration_cast<Duration>(
        milliseconds(1700) * std::exp(log_factor(random)));
    const auto declared = std::chrono::duration_cast<Duration>(
        measured * std::exp(log_factor(random)));
    const auto error = [&](Duration estimate) {
      return std::abs(std::log(ToMillis(estimate) / ToMillis(measured)));
    };
    if (i >= 40) {
      declared_error += error(declared);
      expected_error += error(estimator.Expect("q", declared));
    }
    estimator.Observe("q", declared, measured);
  }
  EXPECT_LT(expected_error, 0.8 * declared_error);
}

}  // namespace
}  // namespace beamhill
