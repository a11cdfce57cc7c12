// Random seeds for values that must differ each time a process starts, such as
// incarnations and jitter. Code whose decisions are tested takes a random
// source as a hook instead.
//
//   std::mt19937_64 random(RandomSeed());
#ifndef BEAMHILL_BASE_RANDOM_H_
#define BEAMHILL_BASE_RANDOM_H_

#include <cstdint>

namespace beamhill {

// Returns 64 bits from the operating system.
uint64_t RandomSeed();

}  // namespace beamhill

#endif  // BEAMHILL_BASE_RANDOM_H_
