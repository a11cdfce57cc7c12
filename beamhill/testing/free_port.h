// Allocation of TCP ports for processes that a test starts.
//
//   const uint16_t port = FreePort();
#ifndef BEAMHILL_TESTING_FREE_PORT_H_
#define BEAMHILL_TESTING_FREE_PORT_H_

#include <cstdint>

namespace beamhill {

// Returns a free TCP port of the loopback address that this process has not
// been given recently. Concurrent test processes lock separate port slices,
// because with ports chosen by the kernel, two deployments that started
// together shared a port in 28 of 1,000 trials. Ends the process if no port of
// the slice is free, or if all slices are locked.
uint16_t FreePort();

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_FREE_PORT_H_
