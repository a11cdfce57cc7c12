// Reads what the machine gives a process from its settings.
//
//   const ProcessResources resources = ReadResources(config, "", {});
#ifndef BEAMHILL_CONFIG_PROCESS_RESOURCES_H_
#define BEAMHILL_CONFIG_PROCESS_RESOURCES_H_

#include <string>

#include "beamhill/config/config.h"
#include "beamhill/overload/listener_limits.h"

namespace beamhill {

// Reads the keys `memory_mb`, in units of 10^6 bytes, and `descriptors`, both
// optional and both behind `prefix`. Without the first the memory is that of
// `defaults`; without the second the process's own limit of descriptors
// applies, and never more than that.
ProcessResources ReadResources(Config& config, const std::string& prefix,
                               const ProcessResources& defaults);

}  // namespace beamhill

#endif  // BEAMHILL_CONFIG_PROCESS_RESOURCES_H_
