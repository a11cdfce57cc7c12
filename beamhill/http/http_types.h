// Requests and responses as plain values, shared by server and client.
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
  std::string raw_path;                      // As received.
  std::string raw_query;                     // As received, without '?'.
  std::map<std::string, std::string> query;  // Decoded.
  HttpHeaders headers;
  std::string body;
};

struct HttpResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool close = false;  // A server closes the connection after this answer.
};

// The first header of that name, compared without regard to case.
std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name);

// Whether a header is defined for one hop only and must not be forwarded.
bool IsHopByHopHeader(std::string_view name);

}  // namespace beamhill

#endif  // BEAMHILL_HTTP_HTTP_TYPES_H_
