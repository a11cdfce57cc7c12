#include "beamhill/link/link.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace beamhill {
namespace {

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
  Timer close_timer;

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
          bufferevent_write(bev.get(), bytes, size);
          return websocketpp::lib::error_code();
        });
    connection.set_open_handler([this](websocketpp::connection_hdl) {
      open = true;
      if (hooks.on_open) hooks.on_open(*self);
    });
    connection.set_message_handler(
        [this](websocketpp::connection_hdl, MessagePtr message) {
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
      if (server) server->read_all(bytes.data(), bytes.size());
      if (client) client->read_all(bytes.data(), bytes.size());
    }
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
}

void Link::Ping() {
  if (!impl_->open) return;
  // A ping fails only on a link that is about to close.
  websocketpp::lib::error_code ignored;
  if (impl_->server) impl_->server->ping("", ignored);
  if (impl_->client) impl_->client->ping("", ignored);
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
  evconnlistener* listener = nullptr;
  uint16_t port = 0;
  std::map<Link*, std::unique_ptr<Link>> links;

  ~Impl() {
    if (listener != nullptr) evconnlistener_free(listener);
  }

  void Accept(evutil_socket_t fd) {
    auto impl = std::make_unique<Link::Impl>();
    Link::Impl* raw = impl.get();
    raw->loop = loop;
    raw->bev.reset(
        bufferevent_socket_new(loop->base(), fd, BEV_OPT_CLOSE_ON_FREE));
    DisableNagle(raw->bev.get());
    raw->server = ServerEndpoint().get_connection();
    raw->Attach(*raw->server);
    auto link = std::make_unique<Link>(std::move(impl));
    raw->hooks = on_accept(*link);
    auto wrapped_on_close = raw->hooks.on_close;
    raw->hooks.on_close = [this, wrapped_on_close](Link& closed) {
      if (wrapped_on_close) wrapped_on_close(closed);
      DestroyLater(closed);
    };
    links.emplace(link.get(), std::move(link));
    raw->EnableEvents();
    raw->server->start();
  }

  // Destroys the link from the event loop, since this is called from its hook.
  void DestroyLater(Link& link) {
    const auto it = links.find(&link);
    loop->DestroyLater(std::move(it->second));
    links.erase(it);
  }

  static void OnAccept(evconnlistener*, evutil_socket_t fd, sockaddr*, int,
                       void* arg) {
    static_cast<Impl*>(arg)->Accept(fd);
  }
};

Result<std::unique_ptr<LinkListener>> LinkListener::Listen(
    EventLoop& loop, const Address& address, AcceptHook on_accept) {
  auto impl = std::make_unique<Impl>();
  impl->loop = &loop;
  impl->on_accept = std::move(on_accept);
  sockaddr_in bind_to{};
  if (!ParseSockaddr(address, &bind_to)) {
    return Error{ErrorCode::kInvalidArgument,
                 "not an IPv4 address: " + address.ip,
                 "use dotted decimal notation, such as 127.0.0.1"};
  }
  impl->listener = evconnlistener_new_bind(
      loop.base(), &Impl::OnAccept, impl.get(),
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
      reinterpret_cast<sockaddr*>(&bind_to), sizeof(bind_to));
  if (impl->listener == nullptr) {
    return Error{
        ErrorCode::kUnavailable,
        "cannot listen on " + address.ip + ":" + std::to_string(address.port) +
            ": " + std::strerror(errno),
        "check that the address belongs to this VM and that no other process "
        "uses the port"};
  }
  socklen_t size = sizeof(bind_to);
  getsockname(evconnlistener_get_fd(impl->listener),
              reinterpret_cast<sockaddr*>(&bind_to), &size);
  impl->port = ntohs(bind_to.sin_port);
  return std::make_unique<LinkListener>(std::move(impl));
}

LinkListener::LinkListener(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
LinkListener::~LinkListener() = default;

uint16_t LinkListener::port() const { return impl_->port; }

}  // namespace beamhill
