#include "beamhill/http/internal/evhttp_util.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

namespace beamhill {
namespace http_internal {

std::string Drain(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_remove(buffer, bytes.data(), bytes.size());
  return bytes;
}

HttpHeaders ReadHeaders(const evkeyvalq* headers) {
  HttpHeaders result;
  for (const evkeyval* kv = headers->tqh_first; kv != nullptr;
       kv = kv->next.tqe_next) {
    result.emplace_back(kv->key, kv->value);
  }
  return result;
}

void AddHeaders(evkeyvalq* to, const HttpHeaders& headers) {
  for (const HttpHeader& header : headers) {
    if (IsHopByHopHeader(header.first)) continue;
    evhttp_add_header(to, header.first.c_str(), header.second.c_str());
  }
}

}  // namespace http_internal
}  // namespace beamhill
