#include "beamhill/overload/listener_limits.h"

#include <algorithm>

namespace beamhill {
namespace {

// The platform reserves descriptors for files.
constexpr size_t kFileDescriptors = 200;
constexpr size_t kFileDivisor = 4;  // Of processes with few descriptors.
// Enough for a load balancer and operators beside clients that don't behave.
constexpr size_t kMinConnections = 8;
constexpr size_t kClientMemoryDivisor = 4;
constexpr size_t kClientDescriptorDivisor = 2;

}  // namespace

ListenerLimits ShareOf(const ProcessResources& resources, double share) {
  const size_t client_bytes = resources.memory_bytes / kClientMemoryDivisor;
  const size_t files =
      std::min(kFileDescriptors, resources.descriptors / kFileDivisor);
  const size_t by_descriptors =
      (resources.descriptors - files) / kClientDescriptorDivisor;
  const size_t by_memory = client_bytes / (2 * kSocketBufferBytes);
  const auto part = [share](size_t whole) {
    return static_cast<size_t>(share * static_cast<double>(whole));
  };
  return {std::max(kMinConnections, part(std::min(by_descriptors, by_memory))),
          part(client_bytes)};
}

}  // namespace beamhill
