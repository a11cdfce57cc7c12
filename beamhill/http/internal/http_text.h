// The text of HTTP requests and responses, and what it takes in memory.
//
//   std::string head = ResponseHead(200, {{"Content-Type", "text/plain"}});
#ifndef BEAMHILL_HTTP_INTERNAL_HTTP_TEXT_H_
#define BEAMHILL_HTTP_INTERNAL_HTTP_TEXT_H_

#include <cstddef>
#include <string>

#include "beamhill/http/http_types.h"

namespace beamhill {
namespace http_internal {

// Of a header field in memory, beside its text.
inline constexpr size_t kFieldBytes = 96;

// Sets the path and the query of the request. Returns false if the target is
// not a URI.
bool SetTarget(const std::string& target, HttpRequest& request);

// Whether responses with the status have a body.
bool HasBody(int status);

// Returns the status line and the headers that do not depend on the connection,
// without headers that only apply to one connection or contain a line break.
std::string ResponseHead(int status, const HttpHeaders& headers);

// Approximate memory of a request, in bytes.
size_t MemoryOf(const HttpRequest& request);

}  // namespace http_internal
}  // namespace beamhill

#endif  // BEAMHILL_HTTP_INTERNAL_HTTP_TEXT_H_
