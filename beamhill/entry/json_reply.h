// HTTP responses that report an Error as JSON.
//
//   exchange.Reply(ErrorReply({ErrorCode::kNotFound, "no such path", "..."}));
#ifndef BEAMHILL_ENTRY_JSON_REPLY_H_
#define BEAMHILL_ENTRY_JSON_REPLY_H_

#include <string>

#include "beamhill/base/error.h"
#include "beamhill/http/http_types.h"

namespace beamhill {

// Returns the HTTP status for an error code.
int HttpStatusFor(ErrorCode code);

// Returns a response with the body {"code":..., "message":..., "action":...}.
// Without `status`, the status is that of the error's code. Status 429 and 503
// come with a Retry-After header.
HttpResponse ErrorReply(const Error& error);
HttpResponse ErrorReply(int status, const Error& error);

}  // namespace beamhill

#endif  // BEAMHILL_ENTRY_JSON_REPLY_H_
