#include "beamhill/testing/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "beamhill/base/error.h"

namespace beamhill {
namespace {

// Ports below the kernel's ephemeral range, divided into slices. A test
// process takes the slice that its process id selects.
constexpr int kFirstPort = 10'000;
constexpr int kSliceSize = 400;
constexpr int kSliceCount = 50;

bool IsFree(uint16_t port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const bool bound =
      bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return bound;
}

}  // namespace

uint16_t FreePort() {
  static int next = 0;
  const int slice = kFirstPort + getpid() % kSliceCount * kSliceSize;
  for (int attempts = 0; attempts < kSliceSize; ++attempts) {
    const auto port = static_cast<uint16_t>(slice + next++ % kSliceSize);
    if (IsFree(port)) return port;
  }
  CheckInvariant(false, "the process's port slice has a free port");
  return 0;
}

}  // namespace beamhill
