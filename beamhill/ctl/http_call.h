// Blocking HTTP calls for command-line tools. Daemons use HttpClient, which
// doesn't block the event loop.
//
//   Result<HttpResponse> response =
//       CallAndWait(server, {"GET", "/v1/jobs", {}, ""}, timeout);
#ifndef BEAMHILL_CTL_HTTP_CALL_H_
#define BEAMHILL_CTL_HTTP_CALL_H_

#include <memory>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_client.h"

namespace beamhill {

// Makes the call on an event loop of its own and waits for the answer. Errors:
//   kUnavailable: the request was not sent;
//   kUnknownOutcome: the request was sent, but no answer arrived.
Result<HttpResponse> CallAndWait(const Address& server, const HttpCall& call,
                                 Duration timeout);

}  // namespace beamhill

#endif  // BEAMHILL_CTL_HTTP_CALL_H_
