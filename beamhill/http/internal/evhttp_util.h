// Conversions between evhttp's C structures and HTTP values, shared by server
// and client.
//
//   request.headers = ReadHeaders(evhttp_request_get_input_headers(raw));
#ifndef BEAMHILL_HTTP_INTERNAL_EVHTTP_UTIL_H_
#define BEAMHILL_HTTP_INTERNAL_EVHTTP_UTIL_H_

#include <string>

#include "beamhill/http/http_types.h"

struct evbuffer;
struct evkeyvalq;

namespace beamhill {
namespace http_internal {

// Removes and returns all bytes of the buffer.
std::string Drain(evbuffer* buffer);
HttpHeaders ReadHeaders(const evkeyvalq* headers);
// Appends the headers to `to`, without hop-by-hop headers.
void AddHeaders(evkeyvalq* to, const HttpHeaders& headers);

}  // namespace http_internal
}  // namespace beamhill

#endif  // BEAMHILL_HTTP_INTERNAL_EVHTTP_UTIL_H_
