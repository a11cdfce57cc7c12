// Limits retries to a percentage of requests, so that retries can't amplify an
// overload.
//
//   RetryBudget budget(/*percent=*/20);
//   budget.OnRequest();
//   if (refused && budget.TakeRetry()) ...
#ifndef BEAMHILL_ROUTING_RETRY_BUDGET_H_
#define BEAMHILL_ROUTING_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace beamhill {

class RetryBudget {
 public:
  explicit RetryBudget(int64_t percent) : percent_(percent) {}

  void set_percent(int64_t percent) { percent_ = percent; }
  // Counts a first attempt, which earns a share of a retry.
  void OnRequest() {
    hundredths_of_retry_ =
        std::min(hundredths_of_retry_ + percent_, kMaxSavedRetries * 100);
  }
  // Takes one retry out of the budget; returns false if there is none left.
  bool TakeRetry() {
    if (hundredths_of_retry_ < 100) return false;
    hundredths_of_retry_ -= 100;
    return true;
  }

 private:
  // The retries that can accumulate unused.
  static constexpr int64_t kMaxSavedRetries = 20;

  int64_t percent_;
  // The budget left, in hundredths of a retry.
  int64_t hundredths_of_retry_ = kMaxSavedRetries * 100;
};

}  // namespace beamhill

#endif  // BEAMHILL_ROUTING_RETRY_BUDGET_H_
