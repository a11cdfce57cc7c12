// Metrics of a process's listeners.
//
//   AddListenerMetrics({{"callers", [&] { return api->counts(); }}}, metrics);
#ifndef BEAMHILL_OVERLOAD_LISTENER_METRICS_H_
#define BEAMHILL_OVERLOAD_LISTENER_METRICS_H_

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/metrics/metrics.h"
#include "beamhill/overload/listener_limits.h"

namespace beamhill {

// The name of a listener and a function that reads its counts.
using NamedListener = std::pair<std::string, std::function<ListenerCounts()>>;

// Adds gauges of all listeners; to be called once. The functions are called for
// as long as the metrics are read.
void AddListenerMetrics(const std::vector<NamedListener>& listeners,
                        Metrics& metrics);

}  // namespace beamhill

#endif  // BEAMHILL_OVERLOAD_LISTENER_METRICS_H_
