// Estimates the response time of the table, to detect lost replies to writes.
//
// A table whose reply to a write was lost must be told apart from a slow one. A
// fixed timeout is too long for a lost reply, which blocks all later writes,
// and too short for a slow table, where each repeated write takes the turn of
// another. Therefore an overdue write is first checked by a read, which does
// not queue behind writes; the write is repeated only if the read returned
// quickly.
//
//   ResponseTimeEstimator times;
//   if (now - sent_at >= times.ReplyTimeout()) SendRead();
//   // When the read returns after `took`:
//   const bool lost = times.ImpliesLostReply(took);
//   times.Add(took);
//   if (lost) RepeatWrite();
#ifndef BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_
#define BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_

#include <algorithm>

#include "beamhill/base/time.h"

namespace beamhill {

// Tracks the longest recent response time. Not thread-safe.
class ResponseTimeEstimator {
 public:
  // Adds the response time of one call.
  void Add(Duration took) {
    // Decaying maximum: a long response time fades over about ten calls.
    recent_max_ = std::max(took, recent_max_ * (kDecaySteps - 1) / kDecaySteps);
  }

  // Returns whether a read that took this long is so quick that the reply to an
  // overdue write must be lost.
  bool ImpliesLostReply(Duration took) const {
    return took * kTimeoutFactor <= ReplyTimeout();
  }

  // Returns the time after which a reply is overdue.
  Duration ReplyTimeout() const {
    return std::clamp(recent_max_ * kTimeoutFactor, kMinReplyTimeout,
                      kMaxReplyTimeout);
  }

 private:
  static constexpr int kDecaySteps = 8;
  static constexpr int kTimeoutFactor = 3;
  // A process that was paused or busy receives a reply up to this late.
  static constexpr Duration kMinReplyTimeout = std::chrono::milliseconds(150);
  static constexpr Duration kMaxReplyTimeout = std::chrono::milliseconds(1500);

  Duration recent_max_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_TABLE_RESPONSE_TIME_ESTIMATOR_H_
