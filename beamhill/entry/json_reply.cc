#include "beamhill/entry/json_reply.h"

#include <nlohmann/json.hpp>

namespace beamhill {

int HttpStatusFor(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return 400;
    case ErrorCode::kPermissionDenied:
      return 401;
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kResourceExhausted:
      return 429;
    case ErrorCode::kUnavailable:
      return 503;
    case ErrorCode::kUnknownOutcome:
      return 504;
    case ErrorCode::kInternal:
      return 500;
  }
  return 500;
}

HttpResponse ErrorReply(const Error& error) {
  return ErrorReply(HttpStatusFor(error.code), error);
}

HttpResponse ErrorReply(int status, const Error& error) {
  const nlohmann::json body = {{"code", ErrorCodeName(error.code)},
                               {"message", error.message},
                               {"action", error.action}};
  HttpResponse response{
      status, {{"Content-Type", "application/json"}}, body.dump() + "\n"};
  if (status == 429 || status == 503) {
    response.headers.emplace_back("Retry-After", "1");
  }
  return response;
}

}  // namespace beamhill
