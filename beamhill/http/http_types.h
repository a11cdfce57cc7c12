// HTTP request and response values, shared by server and client.
//
//   HttpResponse response{200, {{"Content-Type", "text/plain"}}, "hello\n"};
//   if (FindHeader(response.headers, "content-type") == "text/plain") ...
#ifndef BEAMHILL_HTTP_HTTP_TYPES_H_
#define BEAMHILL_HTTP_HTTP_TYPES_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace beamhill {

using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;

struct HttpRequest {
  std::string method;                        // "GET", "POST", ...
  std::string path;                          // Decoded, without the query.
  std::string raw_path;                      // As received, without the query.
  std::string raw_query;                     // As received, without '?'.
  std::map<std::string, std::string> query;  // Decoded.
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool close = false;  // The server closes the connection after this response.
};

// Returns the value of the first header with that name. Names are compared
// case-insensitively.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// Returns whether the header applies to a single connection and must not be
// forwarded.
bool IsHopByHopHeader(std::string_view name);

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_TYPES_H_
