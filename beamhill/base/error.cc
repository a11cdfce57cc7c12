#include "beamhill/base/error.h"

#include <cstdio>
#include <cstdlib>

namespace beamhill {

std::string_view ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kResourceExhausted:
      return "resource_exhausted";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownOutcome:
      return "unknown_outcome";
    case ErrorCode::kPermissionDenied:
      return "permission_denied";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

void CheckInvariant(bool holds, std::string_view text) {
  if (holds) return;
  std::fprintf(stderr, "invariant violated: %.*s\n",
               static_cast<int>(text.size()), text.data());
  std::abort();
}

}  // namespace beamhill
