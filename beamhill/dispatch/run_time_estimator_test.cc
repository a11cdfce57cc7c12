// What guesses and times of a queue teach.
#include "beamhill/dispatch/run_time_estimator.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace beamhill {
namespace {

using std::chrono::milliseconds;

TEST(RunTimesTest, GuessesCountUntilEnoughIsKnown) {
  RunTimeEstimator times;
  EXPECT_EQ(times.Expect("q", milliseconds(700)), milliseconds(700));
  times.Observe("q", milliseconds(700), milliseconds(2000));
  EXPECT_EQ(times.Expect("q", milliseconds(700)), milliseconds(700));
  EXPECT_EQ(times.Expect("q", Duration(0)), Duration(0));
}

TEST(RunTimesTest, QueuesThatGuessTooLowAreCorrected) {
  RunTimeEstimator times;
  for (int i = 1; i <= 60; ++i) {
    times.Observe("q", milliseconds(50 * i), milliseconds(100 * i));
  }
  const double expected = ToMillis(times.Expect("q", milliseconds(1000)));
  EXPECT_NEAR(expected, 2000, 120);
  EXPECT_EQ(times.Expect("other", milliseconds(1000)), milliseconds(1000));
}

// As on the users' sheets: times spread by half, and guesses are off by half.
TEST(RunTimesTest, ExpectationsAreCloserThanRoughGuesses) {
  std::mt19937_64 random(1);
  std::normal_distribution<double> spread(0, 0.5);
  RunTimeEstimator times;
  double off_guess = 0;
  double off_expected = 0;
  for (int i = 0; i < 400; ++i) {
    const auto taken = std::chrono::duration_cast<Duration>(
        milliseconds(1700) * std::exp(spread(random)));
    const auto guess =
        std::chrono::duration_cast<Duration>(taken * std::exp(spread(random)));
    const auto error = [&](Duration said) {
      return std::abs(std::log(ToMillis(said) / ToMillis(taken)));
    };
    if (i >= 40) {
      off_guess += error(guess);
      off_expected += error(times.Expect("q", guess));
    }
    times.Observe("q", guess, taken);
  }
  EXPECT_LT(off_expected, 0.8 * off_guess);
}

}  // namespace
}  // namespace beamhill
