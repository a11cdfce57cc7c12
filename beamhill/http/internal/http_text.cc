#include "beamhill/http/internal/http_text.h"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <boost/beast/http/status.hpp>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <ostream>  // Used by status.hpp, which does not include it.

namespace beamhill {
namespace http_internal {
namespace {

namespace http = boost::beast::http;

struct UriDeleter {
  void operator()(evhttp_uri* uri) const { evhttp_uri_free(uri); }
};

std::string DecodePath(const char* path) {
  size_t size = 0;
  char* decoded = evhttp_uridecode(path, 0, &size);
  if (decoded == nullptr) return path;
  std::string result(decoded, size);
  free(decoded);
  return result;
}

std::string HttpDate() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  char text[64];
  return {text,
          std::strftime(text, sizeof(text), "%a, %d %b %Y %H:%M:%S GMT", &utc)};
}

bool IsSafe(const std::string& text) {
  return text.find_first_of("\r\n") == std::string::npos;
}

}  // namespace

bool SetTarget(const std::string& target, HttpRequest& request) {
  const std::unique_ptr<evhttp_uri, UriDeleter> uri(
      evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT));
  if (!uri) return false;
  const char* path = evhttp_uri_get_path(uri.get());
  request.raw_path = path == nullptr || *path == '\0' ? "/" : path;
  request.path = DecodePath(request.raw_path.c_str());
  const char* query = evhttp_uri_get_query(uri.get());
  if (query == nullptr) return true;
  request.raw_query = query;
  evkeyvalq params{};
  if (evhttp_parse_query_str(query, &params) == 0) {
    for (evkeyval* kv = params.tqh_first; kv != nullptr;
         kv = kv->next.tqe_next) {
      request.query[kv->key] = kv->value;
    }
  }
  evhttp_clear_headers(&params);
  return true;
}

bool HasBody(int status) {
  constexpr int kFirstFinal = 200;
  return status >= kFirstFinal &&
         status != static_cast<int>(http::status::no_content) &&
         status != static_cast<int>(http::status::not_modified);
}

std::string ResponseHead(int status, const HttpHeaders& headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  head.append(reason.data(), reason.size());
  head += "\r\nDate: " + HttpDate() + "\r\n";
  for (const auto& [name, value] : headers) {
    if (IsHopByHopHeader(name) || !IsSafe(name) || !IsSafe(value)) continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  return head;
}

size_t MemoryOf(const HttpRequest& request) {
  size_t bytes = request.body.capacity() + request.path.capacity() +
                 request.raw_path.capacity() + request.raw_query.capacity();
  for (const auto& [name, value] : request.headers) {
    bytes += name.size() + value.size() + kFieldBytes;
  }
  for (const auto& [name, value] : request.query) {
    bytes += name.size() + value.size() + kFieldBytes;
  }
  return bytes;
}

}  // namespace http_internal
}  // namespace beamhill
