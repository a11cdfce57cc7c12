#include "beamhill/http/http_types.h"

#include <strings.h>

#include <algorithm>
#include <array>

namespace beamhill {
namespace {

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

// Hop-by-hop headers (RFC 9110 section 7.6.1), and headers that each hop sets
// itself, such as Host and Content-Length.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",        "keep-alive", "proxy-connection", "te",
    "transfer-encoding", "trailer",    "upgrade",          "host",
    "content-length",    "expect"};

}  // namespace

std::optional<std::string> FindHeader(const HttpHeaders& headers,
                                      std::string_view name) {
  const auto it = std::find_if(
      headers.begin(), headers.end(),
      [&](const HttpHeader& h) { return EqualsIgnoreCase(h.first, name); });
  if (it == headers.end()) return std::nullopt;
  return it->second;
}

bool IsHopByHopHeader(std::string_view name) {
  return std::any_of(
      kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
      [&](std::string_view hop) { return EqualsIgnoreCase(hop, name); });
}

}  // namespace beamhill
