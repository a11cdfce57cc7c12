// Numbers of runs.
//
// A run of a task is identified by the epoch of the owner that ordered it and a
// count of the starts under that epoch. Both are encoded in one number whose
// order is that of the epochs, then of the counts, so that comparing numbers
// compares runs wherever they are seen: in the owner, the executor, the table
// and the runner, which refuses a run that is not above all it has ended.
//
// Owners before this encoding left room for 1,000 starts per epoch. Their
// numbers are below those of every later epoch in this one.
//
//   uint64_t run = std::max(last_run + 1, FirstRunOf(epoch));
#ifndef BEAMHILL_DISPATCH_RUN_NUMBER_H_
#define BEAMHILL_DISPATCH_RUN_NUMBER_H_

#include <cstdint>

namespace beamhill {

// Starts of one task under one epoch: ten a second for three years. A power of
// ten keeps numbers readable in logs. The platform's JSON is exact up to 2^53,
// which is nine million epochs.
inline constexpr uint64_t kRunsPerEpoch = 1'000'000'000;

// Returns the number of a task's first run under the epoch, which is at least
// 1.
constexpr uint64_t FirstRunOf(uint64_t epoch) {
  return (epoch - 1) * kRunsPerEpoch + 1;
}

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RUN_NUMBER_H_
