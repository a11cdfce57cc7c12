#include "beamhill/link/link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cstring>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include "beamhill/event/tcp_listener.h"
#include "beamhill/overload/connection_limiter.h"

namespace beamhill {
namespace {

// What is read of a link at a time.
constexpr size_t kReadBufferBytes = 16 * 1024;
// What a peer may leave unread: more than the largest message.
constexpr size_t kMaxOutputBytes = 8 * 1024 * 1024;

// websocketpp prescribes the names below.
// NOLINTBEGIN(readability-identifier-naming)
// Configures websocketpp for one thread and without its own logging. The read
// buffer is small because every connection has one and an entry holds thousands
// of connections. Sizes are in bytes.
template <typename Base>
struct LinkConfig : Base {
  using type = LinkConfig;
  using concurrency_type = websocketpp::concurrency::none;
  using elog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
  using alog_type =
      websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
  static bool const enable_multithreading = false;
  struct transport_config : Base::transport_config {
    using concurrency_type = typename type::concurrency_type;
    using elog_type = typename type::elog_type;
    using alog_type = typename type::alog_type;
    static bool const enable_multithreading = false;
  };
  using transport_type =
      websocketpp::transport::iostream::endpoint<transport_config>;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const size_t connection_read_buffer_size = 2048;
  static const size_t max_message_size = 4 * 1024 * 1024;
};

// NOLINTEND(readability-identifier-naming)

using WsServer = websocketpp::server<LinkConfig<websocketpp::config::core>>;
using WsClient =
    websocketpp::client<LinkConfig<websocketpp::config::core_client>>;

struct BuffereventDeleter {
  void operator()(bufferevent* bev) const { bufferevent_free(bev); }
};
using BuffereventPtr = std::unique_ptr<bufferevent, BuffereventDeleter>;

void DisableNagle(bufferevent* bev) {
  const int on = 1;
  setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

bool ParseSockaddr(const Address& address, sockaddr_in* out) {
  std::memset(out, 0, sizeof(*out));
  out->sin_family = AF_INET;
  out->sin_port = htons(address.port);
  return inet_pton(AF_INET, address.ip.c_str(), &out->sin_addr) == 1;
}

LinkId NextLinkId() {
  static LinkId last_id = 0;
  return ++last_id;
}

// The endpoints hold only configuration, so that one of each kind serves the
// whole process.
WsServer& ServerEndpoint() {
  static WsServer endpoint;
  return endpoint;
}

WsClient& ClientEndpoint() {
  static WsClient endpoint;
  return endpoint;
}

}  // namespace

struct Link::Impl {
  const LinkId id = NextLinkId();
  EventLoop* loop = nullptr;
  Link* self = nullptr;
  LinkHooks hooks;
  BuffereventPtr bev;
  // Exactly one is set: `server` for an accepted link, `client` for a dialed
  // one.
  WsServer::connection_ptr server;
  WsClient::connection_ptr client;
  bool open = false;
  bool closed = false;
  uint64_t sent_bytes = 0;
  uint64_t received_bytes = 0;
  size_t unfinished_bytes = 0;  // Received since the last complete message.
  // Called when HeldBytes() has changed, after each message and by
  // MarkTrusted(). May be empty.
  std::function<void()> on_held_bytes;
  std::function<void()> on_message_done;
  std::function<void()> on_trusted;
  Timer close_timer;
  Timer handshake_timer;

  ~Impl() {
    closed = true;
    if (server) Detach(*server);
    if (client) Detach(*client);
  }

  // Removes all handlers that refer to this object and ends the WebSocket
  // connection without writing to the socket.
  template <typename Connection>
  void Detach(Connection& connection) {
    connection.set_message_handler(nullptr);
    connection.set_open_handler(nullptr);
    connection.set_pong_handler(nullptr);
    connection.set_write_handler(
        [](websocketpp::connection_hdl, char const*, size_t) {
          return websocketpp::lib::error_code();
        });
    connection.eof();
  }

  template <typename Connection>
  void Attach(Connection& connection) {
    using MessagePtr = typename Connection::message_ptr;
    connection.set_write_handler(
        [this](websocketpp::connection_hdl, char const* bytes, size_t size) {
          sent_bytes += size;
          if (bev) bufferevent_write(bev.get(), bytes, size);
          return websocketpp::lib::error_code();
        });
    connection.set_open_handler([this](websocketpp::connection_hdl) {
      open = true;
      handshake_timer.Cancel();
      unfinished_bytes = 0;
      if (hooks.on_open) hooks.on_open(*self);
    });
    connection.set_message_handler(
        [this](websocketpp::connection_hdl, MessagePtr message) {
          unfinished_bytes = 0;
          if (on_message_done) on_message_done();
          if (!closed) hooks.on_message(*self, message->get_payload());
        });
    connection.set_pong_handler(
        [this](websocketpp::connection_hdl, const std::string&) {
          if (!closed && hooks.on_pong) hooks.on_pong(*self);
        });
    connection.set_close_handler(
        [this](websocketpp::connection_hdl) { ScheduleClose(); });
    connection.set_fail_handler(
        [this](websocketpp::connection_hdl) { ScheduleClose(); });
  }

  // Memory held for what the peer has begun to send and has not read.
  size_t HeldBytes() const {
    if (!bev) return 0;
    return unfinished_bytes +
           evbuffer_get_length(bufferevent_get_input(bev.get())) +
           evbuffer_get_length(bufferevent_get_output(bev.get()));
  }

  // Frees the socket at once. Not to be called from the link's own callbacks.
  void CloseSocket() {
    ScheduleClose();
    bev.reset();
  }

  // Stops reading and sending, then closes the socket and calls on_close from
  // the event loop, since libevent and websocketpp may be using them here.
  void ScheduleClose() {
    open = false;
    if (closed) return;
    closed = true;
    close_timer = loop->After(Duration(0), [this] {
      bev.reset();
      if (hooks.on_close) hooks.on_close(*self);
    });
  }

  void Read() {
    evbuffer* input = bufferevent_get_input(bev.get());
    while (!closed) {
      const size_t size = evbuffer_get_contiguous_space(input);
      if (size == 0) break;
      const std::string bytes(
          reinterpret_cast<char*>(evbuffer_pullup(input, size)), size);
      evbuffer_drain(input, size);
      received_bytes += size;
      unfinished_bytes += size;
      if (server) server->read_all(bytes.data(), bytes.size());
      if (client) client->read_all(bytes.data(), bytes.size());
    }
    if (on_held_bytes) on_held_bytes();
  }

  static void OnRead(bufferevent*, void* arg) {
    static_cast<Impl*>(arg)->Read();
  }

  static void OnEvent(bufferevent* bev, short what, void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      DisableNagle(bev);
      ClientEndpoint().connect(impl->client);
      return;
    }
    impl->ScheduleClose();
  }

  void EnableEvents() {
    bufferevent_setcb(bev.get(), &OnRead, nullptr, &OnEvent, this);
    bufferevent_setwatermark(bev.get(), EV_READ, 0, kReadBufferBytes);
    bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
  }
};

std::unique_ptr<Link> Link::Dial(EventLoop& loop, const Address& peer,
                                 LinkHooks hooks) {
  auto impl = std::make_unique<Impl>();
  Impl* raw = impl.get();
  raw->loop = &loop;
  raw->hooks = std::move(hooks);
  raw->bev.reset(
      bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  websocketpp::lib::error_code ec;
  raw->client = ClientEndpoint().get_connection(
      "ws://" + peer.ip + ":" + std::to_string(peer.port) + "/", ec);
  raw->Attach(*raw->client);
  auto link = std::make_unique<Link>(std::move(impl));
  raw->EnableEvents();
  sockaddr_in address{};
  if (!ParseSockaddr(peer, &address) ||
      bufferevent_socket_connect(raw->bev.get(),
                                 reinterpret_cast<sockaddr*>(&address),
                                 sizeof(address)) != 0) {
    raw->ScheduleClose();
  }
  return link;
}

Link::Link(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {
  impl_->self = this;
}
Link::~Link() = default;

void Link::Send(std::string_view frame) {
  if (!impl_->open) return;
  constexpr auto kBinary = websocketpp::frame::opcode::binary;
  if (impl_->server) impl_->server->send(frame.data(), frame.size(), kBinary);
  if (impl_->client) impl_->client->send(frame.data(), frame.size(), kBinary);
  if (BufferedBytes() > kMaxOutputBytes) impl_->ScheduleClose();
  if (impl_->on_held_bytes) impl_->on_held_bytes();
}

void Link::Ping() {
  if (!impl_->open) return;
  // A ping fails only on a link that is about to close.
  websocketpp::lib::error_code ignored;
  if (impl_->server) impl_->server->ping("", ignored);
  if (impl_->client) impl_->client->ping("", ignored);
}

void Link::MarkTrusted() {
  if (impl_->on_trusted) impl_->on_trusted();
}

void Link::Close() { impl_->ScheduleClose(); }

LinkId Link::id() const { return impl_->id; }

bool Link::is_open() const { return impl_->open; }

size_t Link::BufferedBytes() const {
  if (impl_->bev == nullptr) return 0;
  return evbuffer_get_length(bufferevent_get_output(impl_->bev.get()));
}

uint64_t Link::bytes_sent() const { return impl_->sent_bytes; }
uint64_t Link::bytes_received() const { return impl_->received_bytes; }

struct LinkListener::Impl {
  EventLoop* loop = nullptr;
  AcceptHook on_accept;
  LinkListenerLimits limits;
  ConnectionLimiter limiter;
  ListenerCounts counts;
  std::unique_ptr<TcpListener> listener;
  std::map<LinkId, std::unique_ptr<Link>> links;

  explicit Impl(const LinkListenerLimits& listener_limits)
      : limits(listener_limits), limiter(listener_limits.total) {}

  void Accept(int fd) {
    auto impl = std::make_unique<Link::Impl>();
    Link::Impl* raw = impl.get();
    raw->loop = loop;
    raw->bev.reset(
        bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    DisableNagle(raw->bev.get());
    raw->server = ServerEndpoint().get_connection();
    raw->server->set_max_message_size(limits.max_message_bytes);
    raw->Attach(*raw->server);
    auto link = std::make_unique<Link>(std::move(impl));
    raw->hooks = on_accept(*link);
    auto wrapped_on_close = raw->hooks.on_close;
    raw->hooks.on_close = [this, wrapped_on_close](Link& closed) {
      limiter.Remove(closed.id());
      if (wrapped_on_close) wrapped_on_close(closed);
      DestroyLater(closed);
    };
    Watch(*raw);
    links.emplace(raw->id, std::move(link));
    raw->EnableEvents();
    raw->server->start();
    CloseExcessLinks();
  }

  // Keeps the limits for the link.
  void Watch(Link::Impl& link) {
    limiter.Add(link.id, BootClock::now());
    link.on_message_done = [this, id = link.id] {
      if (!limiter.Contains(id)) return;
      const TimePoint now = BootClock::now();
      limiter.BeginPhase(id, now);
      limiter.Protect(id, now + limits.active_time);
    };
    link.on_trusted = [this, id = link.id] { limiter.Remove(id); };
    link.on_held_bytes = [this, &link] {
      if (!limiter.Contains(link.id)) return;
      limiter.SetBytes(link.id, link.HeldBytes());
      CloseExcessBytes();
    };
    link.handshake_timer = loop->After(limits.handshake_timeout, [this, &link] {
      ++counts.closed_for_time;
      link.ScheduleClose();
    });
  }

  // Frees the descriptors at once, for the links that are being accepted.
  void CloseExcessLinks() {
    while (const auto excess = TakeExcess()) excess->CloseSocket();
  }

  // Called while links are in use, whose sockets therefore stay until later.
  void CloseExcessBytes() {
    while (const auto excess = TakeExcess()) excess->ScheduleClose();
  }

  // Returns the link to close next, which no longer counts; null if none is.
  Link::Impl* TakeExcess() {
    if (!limiter.IsExceeded()) return nullptr;
    const auto excess = limiter.FindExcess(BootClock::now());
    if (!excess) return nullptr;
    ++(excess->reason == ConnectionLimiter::Reason::kBytes
           ? counts.closed_for_bytes
           : counts.closed_for_connections);
    limiter.Remove(excess->id);
    return links.at(excess->id)->impl_.get();
  }

  // Destroys the link from the event loop, since this is called from its hook.
  void DestroyLater(Link& link) {
    const auto it = links.find(link.id());
    loop->DestroyLater(std::move(it->second));
    links.erase(it);
  }
};

Result<std::unique_ptr<LinkListener>> LinkListener::Listen(
    EventLoop& loop, const Address& address, AcceptHook on_accept,
    const LinkListenerLimits& limits) {
  auto impl = std::make_unique<Impl>(limits);
  impl->loop = &loop;
  impl->on_accept = std::move(on_accept);
  auto listener = TcpListener::Listen(
      loop, address.ip, address.port, limits.socket_buffer_bytes,
      [raw = impl.get()](int fd) { raw->Accept(fd); });
  if (!IsOk(listener)) return ErrorOf(listener);
  impl->listener = std::move(ValueOf(listener));
  return std::make_unique<LinkListener>(std::move(impl));
}

LinkListener::LinkListener(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
LinkListener::~LinkListener() = default;

uint16_t LinkListener::port() const { return impl_->listener->port(); }

ListenerCounts LinkListener::counts() const {
  ListenerCounts counts = impl_->counts;
  counts.connections = impl_->links.size();
  counts.bytes = impl_->limiter.bytes();
  return counts;
}

}  // namespace beamhill
