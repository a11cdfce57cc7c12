// The clock that all components use, with its time and duration types.
//
// Leases are measured on CLOCK_BOOTTIME, which keeps running while a VM is
// suspended, so that a lease holder finds its lease expired after a suspend.
// Wall-clock time is used for log lines only.
//
//   const TimePoint sent = BootClock::now();
//   const Duration waited = BootClock::now() - sent;
#ifndef BEAMHILL_BASE_TIME_H_
#define BEAMHILL_BASE_TIME_H_

#include <chrono>

namespace beamhill {

// CLOCK_BOOTTIME in microseconds. Meets the C++ named requirement Clock.
struct BootClock {
  using rep = std::chrono::microseconds::rep;
  using period = std::chrono::microseconds::period;
  using duration = std::chrono::microseconds;
  using time_point = std::chrono::time_point<BootClock>;
  // Required by Clock. NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

using TimePoint = BootClock::time_point;
using Duration = BootClock::duration;

// Returns milliseconds with their fraction, for logs, state dumps and metrics.
inline double ToMillis(Duration d) {
  return static_cast<double>(d.count()) / 1000.0;
}

}  // namespace beamhill

#endif  // BEAMHILL_BASE_TIME_H_
