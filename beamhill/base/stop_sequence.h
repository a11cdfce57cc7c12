// Decides when a process that was told to stop may exit without losing a
// request.
//
// The load balancer keeps sending connections until it notices that the process
// isn't ready any more, and the event loop sends an answer only some iterations
// after it was handed over. Reads no clock: the caller passes the time.
//
//   StopSequence stop({grace}, now);
//   stop.OnActivity(now);  // A request was received or answered.
//   if (stop.MayExit(now, open_requests, work_released)) loop.Stop();
#ifndef BEAMHILL_BASE_STOP_SEQUENCE_H_
#define BEAMHILL_BASE_STOP_SEQUENCE_H_

#include <cstddef>

#include "beamhill/base/time.h"

namespace beamhill {

struct StopSequenceOptions {
  // Time that the platform leaves a process between SIGTERM and SIGKILL.
  Duration grace{};
  // Part of `grace` that is reserved for the exit itself.
  Duration exit_margin = std::chrono::milliseconds(700);
  // Time until the load balancer sends no more connections. It checks readiness
  // every second and deregisters a process after two failed checks.
  Duration deregistration_delay = std::chrono::milliseconds(3100);
  // Time without activity after which the last answers have been sent, even on
  // a VM with an eighth of a core.
  Duration quiet_period = std::chrono::milliseconds(300);
};

class StopSequence {
 public:
  // `began` is the time at which the process was told to stop.
  StopSequence(const StopSequenceOptions& options, TimePoint began)
      : options_(options), began_(began), active_at_(began) {}

  // To be called when a request is received or answered.
  void OnActivity(TimePoint now) { active_at_ = now; }

  // Returns whether the load balancer has had time to deregister the process,
  // so that new connections may be refused.
  bool MayRefuseConnections(TimePoint now) const;
  // Returns whether the process may exit: either `grace` less its margin is
  // over, or it may refuse connections, has no open requests and no recent
  // activity, and has released the work that it owned.
  bool MayExit(TimePoint now, size_t open_requests, bool work_released) const;

 private:
  StopSequenceOptions options_;
  TimePoint began_;
  TimePoint active_at_;
};

}  // namespace beamhill

#endif  // BEAMHILL_BASE_STOP_SEQUENCE_H_
