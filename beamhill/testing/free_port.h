// Ports for processes that a test starts.
#ifndef BEAMHILL_TESTING_FREE_PORT_H_
#define BEAMHILL_TESTING_FREE_PORT_H_

#include <cstdint>

namespace beamhill {

// A TCP port of the loopback address that was free a moment ago. Another
// process may take it before it is used.
uint16_t FreePort();

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_FREE_PORT_H_
