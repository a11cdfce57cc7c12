// beamhill-slopes: measures the cost of a cell's owner and agents at several
// cell sizes, through the real message codec, and fits a line to the points.
//
// Time is virtual; processor time is that of this thread, attributed to the
// owner or the agents. Prints JSON, which tools/measure-slopes saves.
#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <vector>

#include "beamhill/cell/rows.h"
#include "beamhill/testing/slope_cell.h"

namespace beamhill {
namespace {

using Json = nlohmann::json;

struct Point {
  double x = 0;
  double y = 0;
};

// Fits a line by least squares. Reports the largest residual as a share of the
// largest value.
Json FitLine(const std::vector<Point>& points) {
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  const auto n = static_cast<double>(points.size());
  for (const Point& p : points) {
    sx += p.x;
    sy += p.y;
    sxx += p.x * p.x;
    sxy += p.x * p.y;
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double constant = (sy - slope * sx) / n;
  double worst = 0;
  double largest = 0;
  Json point_list = Json::array();
  for (const Point& p : points) {
    worst = std::max(worst, std::fabs(p.y - slope * p.x - constant));
    largest = std::max(largest, std::fabs(p.y));
    point_list.push_back({p.x, p.y});
  }
  return {{"slope", slope},
          {"constant", constant},
          {"residual_share", largest == 0 ? 0 : worst / largest},
          {"points", point_list}};
}

Json MeasureCells() {
  std::map<std::string, std::vector<Point>> series;
  for (const int agents : {30, 100, 300, 700}) {
    SlopeCell cell(agents);
    const auto x = static_cast<double>(agents);
    const auto add = [&](const char* name, double y) {
      series[name].push_back({x, y});
    };
    const UsageTotals idle = cell.MeasureIdle();
    const double seconds = kIdleSeconds;
    add("owner_idle_cpu_us_per_s", idle.owner_cpu * 1e6 / seconds);
    add("agents_idle_cpu_us_per_s", idle.agent_cpu * 1e6 / seconds);
    add("cell_idle_bytes_per_s", static_cast<double>(idle.bytes) / seconds);
    add("cell_idle_messages_per_s",
        static_cast<double>(idle.messages) / seconds);
    add("owner_and_agents_heap_bytes",
        static_cast<double>(cell.idle_heap_bytes()));
    add("snapshot_bytes", static_cast<double>(cell.snapshot_bytes()));
    uint64_t starts = 0;
    const uint64_t snapshots_before = cell.snapshots();
    const UsageTotals load = cell.MeasureLoad(&starts);
    const auto per_start = static_cast<double>(starts);
    add("starts_per_s", per_start / kLoadSeconds);
    add("owner_cpu_us_per_start", load.owner_cpu * 1e6 / per_start);
    add("agent_cpu_us_per_start", load.agent_cpu * 1e6 / per_start);
    add("bytes_per_start", static_cast<double>(load.bytes) / per_start);
    add("messages_per_start", static_cast<double>(load.messages) / per_start);
    add("agent_bytes_per_s_at_load",
        static_cast<double>(load.bytes) / kLoadSeconds / x);
    add("row_writes_per_1000_starts",
        static_cast<double>(cell.snapshots() - snapshots_before) * 1000 /
            per_start);
  }
  Json fits = Json::object();
  for (const auto& [name, points] : series) fits[name] = FitLine(points);
  return fits;
}

// Measures the size of snapshot rows by their content.
Json MeasureRows() {
  std::vector<Point> by_range;
  std::vector<Point> by_gap;
  for (const int count : {1, 10, 30, 100}) {
    CellSnapshot snapshot;
    for (int i = 0; i < count; ++i) {
      RangeProgress progress;
      progress.job = "j-01234567-89ab-cdef-0123-456789abcdef";
      progress.done = {{0, 5000}};
      progress.window = 6000;
      snapshot.ranges.push_back(progress);
    }
    by_range.push_back({static_cast<double>(count),
                        static_cast<double>(EncodeRow(snapshot).size())});
    RangeProgress gaps;
    for (int i = 0; i < count; ++i) {
      const auto at = static_cast<uint32_t>(10'000 + i * 3);
      gaps.done.push_back({at, at + 2});
    }
    CellSnapshot gapped;
    gapped.ranges.push_back(gaps);
    by_gap.push_back({static_cast<double>(count),
                      static_cast<double>(EncodeRow(gapped).size())});
  }
  return {{"snapshot_bytes_by_range", FitLine(by_range)},
          {"snapshot_bytes_by_gap_in_done_tasks", FitLine(by_gap)}};
}

}  // namespace
}  // namespace beamhill

int main() {
  const beamhill::Json result = {{"cell_by_agents", beamhill::MeasureCells()},
                                 {"rows", beamhill::MeasureRows()}};
  std::cout << result.dump(1) << "\n";
  return 0;
}
