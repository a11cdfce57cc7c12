#include "beamhill/event/tcp_listener.h"

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace beamhill {
namespace {

constexpr int kBacklog = 128;
// After a failure to accept, as for want of descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(100);

// Owns a socket until it is released.
class ScopedSocket {
 public:
  explicit ScopedSocket(int fd) : fd_(fd) {}
  ~ScopedSocket() {
    if (fd_ >= 0) close(fd_);
  }
  ScopedSocket(const ScopedSocket&) = delete;
  ScopedSocket& operator=(const ScopedSocket&) = delete;
  int fd() const { return fd_; }
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

}  // namespace

struct TcpListener::Impl {
  EventLoop* loop = nullptr;
  AcceptHook on_accept;
  evconnlistener* listener = nullptr;
  uint16_t port = 0;
  Timer retry;

  ~Impl() {
    if (listener != nullptr) evconnlistener_free(listener);
  }

  // The event of a listening socket stays active while connections wait, so
  // without a pause the loop would do nothing else.
  void Pause() {
    evconnlistener_disable(listener);
    retry = loop->After(kAcceptRetryDelay,
                        [this] { evconnlistener_enable(listener); });
  }

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    static_cast<Impl*>(arg)->on_accept(fd);
  }
  static void OnError(evconnlistener*, void* arg) {
    static_cast<Impl*>(arg)->Pause();
  }
};

Result<std::unique_ptr<TcpListener>> TcpListener::Listen(EventLoop& loop,
                                                         const std::string& ip,
                                                         uint16_t port,
                                                         int buffer_bytes,
                                                         AcceptHook on_accept) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  if (inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return Error{ErrorCode::kInvalidArgument, "not an IPv4 address: " + ip,
                 "use dotted decimal notation, such as 127.0.0.1"};
  }
  const auto fail = [&] {
    return Error{ErrorCode::kUnavailable,
                 "cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                     std::strerror(errno),
                 "check that the address belongs to this VM and that no other "
                 "process uses the port"};
  };
  ScopedSocket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (socket.fd() < 0) return fail();
  const int on = 1;
  setsockopt(socket.fd(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  setsockopt(socket.fd(), SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  // Accepted sockets inherit the sizes. They must be set before the connection
  // is established, since the window that is offered follows from them.
  setsockopt(socket.fd(), SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
             sizeof(buffer_bytes));
  setsockopt(socket.fd(), SOL_SOCKET, SO_SNDBUF, &buffer_bytes,
             sizeof(buffer_bytes));
  socklen_t size = sizeof(address);
  if (bind(socket.fd(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(socket.fd(), kBacklog) != 0 ||
      getsockname(socket.fd(), reinterpret_cast<sockaddr*>(&address), &size) !=
          0) {
    return fail();
  }
  auto impl = std::make_unique<Impl>();
  impl->loop = &loop;
  impl->on_accept = std::move(on_accept);
  impl->port = ntohs(address.sin_port);
  impl->listener = evconnlistener_new(
      loop.base(), &Impl::OnAccept, impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, socket.fd());
  if (impl->listener == nullptr) return fail();
  socket.Release();
  evconnlistener_set_error_cb(impl->listener, &Impl::OnError);
  return std::make_unique<TcpListener>(std::move(impl));
}

TcpListener::TcpListener(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
TcpListener::~TcpListener() = default;

uint16_t TcpListener::port() const { return impl_->port; }

size_t DescriptorLimit() {
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  return limit.rlim_cur;
}

}  // namespace beamhill
