#include "beamhill/overload/listener_metrics.h"

namespace beamhill {

void AddListenerMetrics(const std::vector<NamedListener>& listeners,
                        Metrics& metrics) {
  const auto add = [&](const char* name, const char* help,
                       uint64_t ListenerCounts::*count,
                       const MetricLabels& labels = {}) {
    for (const auto& [listener, read] : listeners) {
      MetricLabels all = {{"listener", listener}};
      all.insert(all.end(), labels.begin(), labels.end());
      metrics.AddGauge(
          name, help,
          [read = read, count] { return static_cast<double>(read().*count); },
          std::move(all));
    }
  };
  add("beamhill_listener_connections", "Open connections of clients.",
      &ListenerCounts::connections);
  add("beamhill_listener_bytes", "Memory held for clients.",
      &ListenerCounts::bytes);
  constexpr char kClosed[] = "beamhill_listener_closed_total";
  constexpr char kClosedHelp[] = "Connections closed to keep a limit.";
  add(kClosed, kClosedHelp, &ListenerCounts::closed_for_connections,
      {{"limit", "connections"}});
  add(kClosed, kClosedHelp, &ListenerCounts::closed_for_bytes,
      {{"limit", "memory"}});
  add(kClosed, kClosedHelp, &ListenerCounts::closed_for_time,
      {{"limit", "time"}});
  constexpr char kRefused[] = "beamhill_listener_refused_total";
  constexpr char kRefusedHelp[] = "Requests refused before they were handled.";
  add(kRefused, kRefusedHelp, &ListenerCounts::requests_refused,
      {{"reason", "capacity"}});
  add(kRefused, kRefusedHelp, &ListenerCounts::requests_rejected,
      {{"reason", "malformed"}});
}

}  // namespace beamhill
