#include "beamhill/ctl/http_call.h"

#include "beamhill/config/config.h"

namespace beamhill {

Result<HttpResponse> CallAndWait(const Address& server, const HttpCall& call,
                                 Duration timeout) {
  auto loop = EventLoop::Create();
  if (!IsOk(loop)) return ErrorOf(loop);
  HttpClient client(*ValueOf(loop), server, 1);
  HttpOutcome outcome;
  client.Fetch(call, timeout, [&](const HttpOutcome& result) {
    outcome = result;
    ValueOf(loop)->Stop();
  });
  ValueOf(loop)->Run();
  if (outcome.delivery == HttpDelivery::kAnswered) return outcome.response;
  return Error{outcome.delivery == HttpDelivery::kNotSent
                   ? ErrorCode::kUnavailable
                   : ErrorCode::kUnknownOutcome,
               "no answer from " + ToString(server),
               "check the address and that the process is running"};
}

}  // namespace beamhill
