#include "beamhill/base/time.h"

#include <ctime>

namespace beamhill {

BootClock::time_point BootClock::now() noexcept {
  timespec ts{};
  clock_gettime(CLOCK_BOOTTIME, &ts);
  return time_point(std::chrono::seconds(ts.tv_sec) +
                    std::chrono::duration_cast<std::chrono::microseconds>(
                        std::chrono::nanoseconds(ts.tv_nsec)));
}

}  // namespace beamhill
