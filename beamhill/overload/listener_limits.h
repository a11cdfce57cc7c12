// How much of a process its listeners may use for their clients.
//
//   const ProcessResources resources{128 << 20, 4096};
//   limits.callers = ShareOf(resources, 0.6);
#ifndef BEAMHILL_OVERLOAD_LISTENER_LIMITS_H_
#define BEAMHILL_OVERLOAD_LISTENER_LIMITS_H_

#include <cstddef>
#include <cstdint>

namespace beamhill {

// What the machine gives a process. The defaults are those of a small VM.
struct ProcessResources {
  size_t memory_bytes = size_t{128} * 1000 * 1000;
  size_t descriptors = 1024;
};

// Limits of one listener over all its connections.
struct ListenerLimits {
  size_t max_connections = 1024;
  // Memory for what clients have sent, for their requests that are being
  // handled, and for answers that they have not read.
  size_t max_bytes = size_t{32} * 1000 * 1000;
};

// Buffers of the kernel for each accepted connection, in bytes, each way. The
// kernel doubles this for its own bookkeeping.
inline constexpr int kSocketBufferBytes = 16 * 1024;

// Returns the limits of a listener that gets this share, from 0 to 1, of what
// the process has for clients. With all listeners' shares adding up to 1, their
// clients together take at most a quarter of the memory, the bytes that wait
// unread in the kernel another quarter, and their connections half of the
// descriptors that are not reserved for files.
ListenerLimits ShareOf(const ProcessResources& resources, double share);

// What a listener has done to keep its limits since its start, and what it
// holds now.
struct ListenerCounts {
  uint64_t connections = 0;  // Open.
  uint64_t bytes = 0;        // Held for clients.
  // Connections closed because there were too many, because of the memory that
  // they held, and because a phase took too long.
  uint64_t closed_for_connections = 0;
  uint64_t closed_for_bytes = 0;
  uint64_t closed_for_time = 0;
  uint64_t requests_refused = 0;   // For want of capacity.
  uint64_t requests_rejected = 0;  // Malformed or too large.
};

}  // namespace beamhill

#endif  // BEAMHILL_OVERLOAD_LISTENER_LIMITS_H_
