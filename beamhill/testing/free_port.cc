#include "beamhill/testing/free_port.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

#include "beamhill/base/error.h"

namespace beamhill {
namespace {

// Ports below the kernel's ephemeral range, divided into slices. A test
// process takes the first slice, from the one that its process id selects, that
// no other process has taken.
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

// Locks a slice for the life of this process and returns its first port. The
// lock keeps out other test processes while the processes of this one are down
// and their ports look free. Without it, two soak runs whose process ids
// selected the same slice were linked with each other (seed 731006).
int LockSlice() {
  for (int i = 0; i < kSliceCount; ++i) {
    const int slice = (getpid() + i) % kSliceCount;
    const std::string path =
        "/tmp/beamhill-test-ports-" + std::to_string(slice) + ".lock";
    constexpr mode_t kMode = 0666;
    const int fd = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kMode);
    if (fd < 0) continue;
    if (flock(fd, LOCK_EX | LOCK_NB) == 0) {
      return kFirstPort + slice * kSliceSize;
    }
    close(fd);
  }
  CheckInvariant(false, "a slice of ports is not locked");
  return 0;
}

}  // namespace

uint16_t FreePort() {
  static int next = 0;
  static const int kSlice = LockSlice();
  for (int attempts = 0; attempts < kSliceSize; ++attempts) {
    const auto port = static_cast<uint16_t>(kSlice + next++ % kSliceSize);
    if (IsFree(port)) return port;
  }
  CheckInvariant(false, "the process's port slice has a free port");
  return 0;
}

}  // namespace beamhill
