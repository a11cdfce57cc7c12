// When a process that was told to stop may exit without cutting off a request.
//
// Pure. The balancer goes on sending connections until it has noticed that
// the process isn't ready, and an answer that was handed to the event loop is
// on its way only some loop turns later.
//
//   StopSequence stop({grace}, now);
//   stop.OnActivity(now);                  // a request came or was answered
//   if (stop.MayExit(now, open_requests, work_given_up)) loop.Stop();
#ifndef BEAMHILL_BASE_STOP_SEQUENCE_H_
#define BEAMHILL_BASE_STOP_SEQUENCE_H_

#include <cstddef>

#include "beamhill/base/time.h"

namespace beamhill {

struct StopSequenceOptions {
  // What the platform gives a process between the signal and its kill.
  Duration grace{};
  // Kept of it for the exit itself.
  Duration exit_margin = std::chrono::milliseconds(700);
  // The balancer asks each second, and believes two misses.
  Duration deregistration_delay = std::chrono::milliseconds(3100);
  // Answers that were written last are on their way after so long, also on a
  // VM with an eighth of a core.
  Duration quiet = std::chrono::milliseconds(300);
};

class StopSequence {
 public:
  StopSequence(const StopSequenceOptions& options, TimePoint began)
      : options_(options), began_(began), active_at_(began) {}

  // A request was taken or answered.
  void OnActivity(TimePoint now) { active_at_ = now; }

  // Whether the balancer has had time to send callers elsewhere, so that new
  // connections need not be taken any more.
  bool MayRefuseConnections(TimePoint now) const;
  // `released`: what the process owned is given up.
  bool MayExit(TimePoint now, size_t open_requests, bool released) const;

 private:
  StopSequenceOptions options_;
  TimePoint began_;
  TimePoint active_at_;
};

}  // namespace beamhill

#endif  // BEAMHILL_BASE_STOP_SEQUENCE_H_
