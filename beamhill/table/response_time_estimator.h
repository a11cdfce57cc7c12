// How long the table takes to answer, and so when an answer is to be taken for
// lost.
//
// Load that it answers: a table that has done a write and whose answer never
// comes is to be told from one that is merely slow. A fixed wait is too long
// for the first, where everything stands still behind one lost answer, and too
// short for the second, where each repeated write takes a turn from another. So
// what is overdue is looked for by a read, which takes no turn; only where that
// is answered quickly the write is repeated.
//
//   ResponseTimeEstimator times;
//   if (now - sent_at >= times.ReplyTimeout()) Look();
//   // When the look is answered:
//   const bool lost = times.ImpliesLostReply(took);
//   times.Add(took);
//   if (lost) SendAgain();
#ifndef BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_
#define BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_

#include <algorithm>

#include "beamhill/base/time.h"

namespace beamhill {

class ResponseTimeEstimator {
 public:
  // Takes in how long an answer took.
  void Add(Duration took) {
    // The longest of late, which fades over some ten answers.
    usual_ = std::max(took, usual_ * (kMemory - 1) / kMemory);
  }

  // Whether an answer that took so long shows that one that is overdue is lost.
  bool ImpliesLostReply(Duration took) const { return took * kUsualTimes <= ReplyTimeout(); }

  // How long to wait for an answer before it is overdue.
  Duration ReplyTimeout() const {
    return std::clamp(usual_ * kUsualTimes, kLeastPatience, kMostPatience);
  }

 private:
  static constexpr int kMemory = 8;
  static constexpr int kUsualTimes = 3;
  // A paused or busy process hears an answer this late.
  static constexpr Duration kLeastPatience = std::chrono::milliseconds(150);
  static constexpr Duration kMostPatience = std::chrono::milliseconds(1500);

  Duration usual_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_
