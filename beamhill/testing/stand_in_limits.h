// Limits of stand-ins for tests, whose only clients are the processes under
// test: as good as none.
//
//   auto server = HttpServer::Listen(loop, ip, port, StandInLimits(), handler);
#ifndef BEAMHILL_TESTING_STAND_IN_LIMITS_H_
#define BEAMHILL_TESTING_STAND_IN_LIMITS_H_

#include "beamhill/http/http_server.h"

namespace beamhill {

inline HttpServerLimits StandInLimits() {
  constexpr ListenerLimits kTotal{/*max_connections=*/100'000,
                                  /*max_bytes=*/size_t{4} << 30};
  HttpServerLimits limits;
  limits.total = kTotal;
  return limits;
}

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_STAND_IN_LIMITS_H_
