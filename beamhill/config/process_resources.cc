#include "beamhill/config/process_resources.h"

#include <algorithm>

#include "beamhill/event/tcp_listener.h"

namespace beamhill {
namespace {

constexpr int64_t kMegabyte = 1000 * 1000;
constexpr int64_t kMinMemoryMb = 16;
constexpr int64_t kMaxMemoryMb = 1'000'000;
constexpr int64_t kMinDescriptors = 64;
constexpr int64_t kMaxDescriptors = 10'000'000;

}  // namespace

ProcessResources ReadResources(Config& config, const std::string& prefix,
                               const ProcessResources& defaults) {
  ProcessResources resources;
  resources.memory_bytes =
      config.Int(prefix + "memory_mb", kMinMemoryMb, kMaxMemoryMb,
                 static_cast<int64_t>(defaults.memory_bytes) / kMegabyte) *
      kMegabyte;
  const auto limit = static_cast<int64_t>(
      std::min<size_t>(DescriptorLimit(), kMaxDescriptors));
  resources.descriptors = std::min(
      limit, config.Int(prefix + "descriptors", kMinDescriptors,
                        kMaxDescriptors, std::max(limit, kMinDescriptors)));
  return resources;
}

}  // namespace beamhill
