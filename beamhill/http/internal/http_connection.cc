#include "beamhill/http/internal/http_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "beamhill/http/internal/http_text.h"

namespace beamhill {
namespace http_internal {
namespace {

namespace http = boost::beast::http;

// Collects a body in a string that grows with what has arrived. Unlike
// http::string_body it does not reserve the length that the client announces.
struct ReceivedBody {
  // Beast prescribes the names below.
  // NOLINTBEGIN(readability-identifier-naming)
  using value_type = std::string;
  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(http::header<kIsRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>&,
              boost::beast::error_code& error) {
      error = {};
    }
    template <typename Buffers>
    size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      size_t size = 0;
      for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        size += buffer.size();
      }
      return size;
    }
    static void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
  // NOLINTEND(readability-identifier-naming)
};

using Parser = http::request_parser<ReceivedBody>;

constexpr unsigned kHttp11 = 11;  // As Beast writes versions.
// How long a client may take to read the last response, in which it may still
// send this much.
constexpr Duration kLingerTime = std::chrono::seconds(2);
constexpr size_t kMaxLingerBytes = 256 * 1024;
// Room for a chunk's line behind a header of the full size.
constexpr size_t kChunkLineBytes = 2048;

struct BuffereventDeleter {
  void operator()(bufferevent* bev) const { bufferevent_free(bev); }
};

std::string ToString(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

bool IsAllowed(http::verb method) {
  switch (method) {
    case http::verb::get:
    case http::verb::post:
    case http::verb::head:
    case http::verb::put:
    case http::verb::delete_:
    case http::verb::options:
    case http::verb::patch:
      return true;
    default:
      return false;
  }
}

int StatusOf(http::error error) {
  switch (error) {
    case http::error::body_limit:
      return static_cast<int>(http::status::payload_too_large);
    case http::error::header_limit:
      return static_cast<int>(http::status::request_header_fields_too_large);
    default:
      return static_cast<int>(http::status::bad_request);
  }
}

}  // namespace

struct HttpConnection::Impl {
  EventLoop& loop;
  const HttpServerLimits& limits;
  Hooks hooks;
  std::unique_ptr<bufferevent, BuffereventDeleter> bev;
  Phase phase = Phase::kIdle;
  std::optional<Parser> parser;
  bool expect_handled = false;  // Of the request that is being received.
  size_t header_bytes = 0;      // Memory of its headers.
  ResponseForm form;            // Of the request that is being handled.
  bool refused = false;         // Part of the last request may still arrive.
  size_t lingered_bytes = 0;
  bool processing = false;  // In Process().
  TimePoint deadline{};     // Of the phase.
  TimePoint timer_at{};     // When `timer` runs; none if in the past.
  Timer timer;

  Impl(EventLoop& event_loop, const HttpServerLimits& server_limits)
      : loop(event_loop), limits(server_limits) {}

  size_t read_buffer_bytes() const {
    return limits.max_header_bytes + kChunkLineBytes;
  }

  void Open(int fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    bev.reset(bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(bev.get(), &OnRead, &OnWritten, &OnEvent, this);
    bufferevent_setwatermark(bev.get(), EV_READ, 0, read_buffer_bytes());
    // Runs from the last byte that was written.
    const timeval write_timeout = ToTimeval(limits.idle_timeout);
    bufferevent_set_timeouts(bev.get(), nullptr, &write_timeout);
    SetPhase(Phase::kIdle);
    bufferevent_enable(bev.get(), EV_READ | EV_WRITE);
  }

  // Whether the phase has a deadline. Handlers limit their own time, and
  // writing has a timeout that restarts with each write.
  bool IsTimed() const {
    return phase != Phase::kHandling && phase != Phase::kSending;
  }

  Duration TimeLimit() const {
    if (phase == Phase::kReceiving) return limits.request_timeout;
    return phase == Phase::kLingering ? kLingerTime : limits.idle_timeout;
  }

  void SetPhase(Phase next) {
    phase = next;
    ExtendDeadline();
    if (hooks.on_change) hooks.on_change();
  }

  // Arms no timer if one runs before the deadline: it then checks again.
  void ExtendDeadline() {
    if (!IsTimed()) return;
    const TimePoint now = BootClock::now();
    deadline = now + TimeLimit();
    if (timer_at > now && timer_at <= deadline) return;
    timer_at = deadline;
    timer = loop.After(deadline - now, [this] { OnTimer(); });
  }

  void OnTimer() {
    timer_at = {};
    if (!bev || !IsTimed()) return;
    const TimePoint now = BootClock::now();
    if (now < deadline) {
      timer_at = deadline;
      timer = loop.After(deadline - now, [this] { OnTimer(); });
      return;
    }
    if (phase != Phase::kLingering) hooks.on_timeout();
    Close();
  }

  void Close() {
    if (!bev) return;
    bev.reset();
    parser.reset();
    hooks.on_closed();
  }

  evbuffer* input() const { return bufferevent_get_input(bev.get()); }
  evbuffer* output() const { return bufferevent_get_output(bev.get()); }

  // Handles what has arrived until more is needed, or until a request waits for
  // its response.
  void Process() {
    if (processing) return;
    processing = true;
    while (bev && evbuffer_get_length(input()) > 0) {
      if (phase == Phase::kLingering) {
        Drop();
      } else if (phase == Phase::kIdle) {
        parser.emplace();
        parser->header_limit(static_cast<uint32_t>(limits.max_header_bytes));
        parser->body_limit(limits.max_body_bytes);
        parser->eager(true);
        expect_handled = false;
        header_bytes = 0;
        SetPhase(Phase::kReceiving);
      } else if (phase != Phase::kReceiving || !Parse()) {
        break;
      }
    }
    processing = false;
    if (bev && hooks.on_change) hooks.on_change();
  }

  void Drop() {
    const size_t size = evbuffer_get_length(input());
    lingered_bytes += size;
    evbuffer_drain(input(), size);
    if (lingered_bytes > kMaxLingerBytes) Close();
  }

  // Returns whether the next bytes may be parsed at once.
  bool Parse() {
    const size_t size = evbuffer_get_length(input());
    const char* bytes =
        reinterpret_cast<const char*>(evbuffer_pullup(input(), -1));
    const bool in_headers = !parser->is_header_done();
    boost::beast::error_code error;
    const size_t used =
        parser->put(boost::asio::const_buffer(bytes, size), error);
    // Fields are stored one by one as their lines arrive.
    if (in_headers) {
      header_bytes +=
          used + kFieldBytes * std::count(bytes, bytes + used, '\n');
    }
    evbuffer_drain(input(), used);
    if (error && error != http::error::need_more) {
      Reject(StatusOf(static_cast<http::error>(error.value())));
      return true;
    }
    if (error && used == 0 && size >= read_buffer_bytes()) {
      Reject(static_cast<int>(http::status::bad_request));
      return true;
    }
    if (parser->is_header_done() && !expect_handled) OnHeaders();
    if (parser->is_done()) {
      Deliver();
      return true;
    }
    return !error && used > 0;
  }

  void OnHeaders() {
    expect_handled = true;
    header_bytes = 0;
    for (const auto& field : parser->get()) {
      header_bytes +=
          field.name_string().size() + field.value().size() + kFieldBytes;
    }
    const bool waits = boost::beast::iequals(parser->get()[http::field::expect],
                                             "100-continue");
    if (!waits || parser->is_done()) return;
    constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
    bufferevent_write(bev.get(), kContinue, sizeof(kContinue) - 1);
  }

  void Deliver() {
    HttpRequest request;
    auto& message = parser->get();
    form.keep_alive = parser->keep_alive();
    form.chunked = message.version() >= kHttp11;
    form.has_body = message.method() != http::verb::head;
    const bool allowed = IsAllowed(message.method());
    request.method = ToString(message.method_string());
    const bool valid = SetTarget(ToString(message.target()), request);
    for (const auto& field : message) {
      request.headers.emplace_back(ToString(field.name_string()),
                                   ToString(field.value()));
    }
    request.body = std::move(message.body());
    parser.reset();
    header_bytes = 0;
    if (!allowed || !valid) {
      Reject(static_cast<int>(allowed ? http::status::bad_request
                                      : http::status::not_implemented));
      return;
    }
    SetPhase(Phase::kHandling);
    hooks.on_request(std::move(request));
  }

  void Reject(int status) {
    hooks.on_rejected();
    SendLast({status, {}, ""});
  }

  // Sends a response after which the connection carries nothing more.
  void SendLast(const HttpResponse& response) {
    parser.reset();
    header_bytes = 0;
    form = ResponseForm();
    refused = true;
    HttpResponse last = response;
    last.close = true;
    Respond(last);
  }

  void Respond(const HttpResponse& response) {
    if (response.close) form.keep_alive = false;
    std::string head = ResponseHead(response.status, response.headers);
    if (HasBody(response.status) && form.has_body) {
      head +=
          "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    }
    AddConnectionHeader(head);
    evbuffer_add(output(), head.data(), head.size());
    if (HasBody(response.status) && form.has_body) {
      evbuffer_add(output(), response.body.data(), response.body.size());
    }
    SetPhase(Phase::kSending);
  }

  void AddConnectionHeader(std::string& head) const {
    if (!form.keep_alive) {
      head += "Connection: close\r\n";
    } else if (!form.chunked) {
      head += "Connection: keep-alive\r\n";
    }
    head += "\r\n";
  }

  void StartResponse(int status, const HttpHeaders& headers) {
    form.has_body = form.has_body && HasBody(status);
    // Without chunks, the end of the connection ends the body.
    if (form.has_body && !form.chunked) form.keep_alive = false;
    std::string head = ResponseHead(status, headers);
    if (form.has_body && form.chunked) {
      head += "Transfer-Encoding: chunked\r\n";
    }
    AddConnectionHeader(head);
    evbuffer_add(output(), head.data(), head.size());
  }

  void SendChunk(std::string_view bytes) {
    if (bytes.empty() || !form.has_body) return;
    if (form.chunked) evbuffer_add_printf(output(), "%zx\r\n", bytes.size());
    evbuffer_add(output(), bytes.data(), bytes.size());
    if (form.chunked) evbuffer_add(output(), "\r\n", 2);
    if (hooks.on_change) hooks.on_change();
  }

  void EndResponse() {
    constexpr std::string_view kLastChunk = "0\r\n\r\n";
    if (form.has_body && form.chunked) {
      evbuffer_add(output(), kLastChunk.data(), kLastChunk.size());
    }
    SetPhase(Phase::kSending);
    // All may have been written already.
    if (bev && evbuffer_get_length(output()) == 0) OnSent();
  }

  void OnSent() {
    if (phase != Phase::kSending) return;
    if (form.keep_alive) {
      SetPhase(Phase::kIdle);
      Process();
      return;
    }
    if (!refused && evbuffer_get_length(input()) == 0) {
      Close();
      return;
    }
    shutdown(bufferevent_getfd(bev.get()), SHUT_WR);
    SetPhase(Phase::kLingering);
    Process();
  }

  static void OnRead(bufferevent*, void* arg) {
    static_cast<Impl*>(arg)->Process();
  }
  static void OnWritten(bufferevent*, void* arg) {
    static_cast<Impl*>(arg)->OnSent();
  }
  static void OnEvent(bufferevent*, short what, void* arg) {
    auto* impl = static_cast<Impl*>(arg);
    if ((what & BEV_EVENT_EOF) != 0 && impl->phase == Phase::kSending) {
      impl->form.keep_alive = false;  // The client may still read.
      return;
    }
    if ((what & BEV_EVENT_TIMEOUT) != 0) impl->hooks.on_timeout();
    impl->Close();
  }
};

HttpConnection::HttpConnection(EventLoop& loop, int fd,
                               const HttpServerLimits& limits, Hooks hooks)
    : impl_(std::make_unique<Impl>(loop, limits)) {
  impl_->Open(fd);
  impl_->hooks = std::move(hooks);
}
HttpConnection::~HttpConnection() = default;

void HttpConnection::Respond(const HttpResponse& response) {
  impl_->Respond(response);
}
void HttpConnection::StartResponse(int status, const HttpHeaders& headers) {
  impl_->StartResponse(status, headers);
}
void HttpConnection::SendChunk(std::string_view bytes) {
  impl_->SendChunk(bytes);
}
void HttpConnection::EndResponse() { impl_->EndResponse(); }

void HttpConnection::Refuse(const HttpResponse& response) {
  if (impl_->phase == Phase::kReceiving) {
    impl_->SendLast(response);
  } else {
    impl_->Close();
  }
}

void HttpConnection::Close() { impl_->Close(); }

HttpConnection::Phase HttpConnection::phase() const { return impl_->phase; }

size_t HttpConnection::HeldBytes() const {
  if (!impl_->bev) return 0;
  size_t bytes =
      evbuffer_get_length(impl_->input()) + OutputBytes() + impl_->header_bytes;
  if (impl_->parser) bytes += impl_->parser->get().body().capacity();
  return bytes;
}

size_t HttpConnection::OutputBytes() const {
  return impl_->bev ? evbuffer_get_length(impl_->output()) : 0;
}

}  // namespace http_internal
}  // namespace beamhill
