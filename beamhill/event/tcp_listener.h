// Accepts TCP connections with buffers of a fixed size in the kernel.
//
//   auto listener = TcpListener::Listen(loop, "127.0.0.1", 0, buffer_bytes,
//                                       [](int fd) { ... });
#ifndef BEAMHILL_EVENT_TCP_LISTENER_H_
#define BEAMHILL_EVENT_TCP_LISTENER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"

namespace beamhill {

class TcpListener {
 public:
  struct Impl;
  // Takes ownership of the descriptor, a non-blocking socket.
  using AcceptHook = std::function<void(int fd)>;

  // Starts accepting connections. Port 0 binds any free port. The kernel holds
  // about `buffer_bytes` of each connection, at most twice as many, that the
  // process has not read, and as many that the peer has not. Fails with
  // kInvalidArgument when `ip` is not an IPv4 address, and with kUnavailable
  // when the address can't be bound.
  static Result<std::unique_ptr<TcpListener>> Listen(EventLoop& loop,
                                                     const std::string& ip,
                                                     uint16_t port,
                                                     int buffer_bytes,
                                                     AcceptHook on_accept);
  explicit TcpListener(std::unique_ptr<Impl> impl);
  // Refuses connections from now on.
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  uint16_t port() const;

 private:
  std::unique_ptr<Impl> impl_;
};

// Returns how many descriptors the process may have open.
size_t DescriptorLimit();

}  // namespace beamhill

#endif  // BEAMHILL_EVENT_TCP_LISTENER_H_
