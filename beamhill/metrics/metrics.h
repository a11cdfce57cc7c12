// The metrics of a process: counters, gauges and latency histograms, exported
// in the Prometheus text format. Not thread-safe.
//
//   Metrics metrics;
//   Counter& ran = metrics.AddCounter("beamhill_requests_total",
//                                     "Requests by outcome.",
//                                     {{"outcome", "ran"}});
//   ran.Add();
//   std::string text = metrics.ToPrometheus();
#ifndef BEAMHILL_METRICS_METRICS_H_
#define BEAMHILL_METRICS_METRICS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"

namespace beamhill {

// Pairs of label name and value.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

class Counter {
 public:
  void Add(uint64_t n = 1) { value_ += n; }
  uint64_t value() const { return value_; }

 private:
  uint64_t value_ = 0;
};

// Counts latencies from 100 us to 100 s in 60 buckets of equal width on a
// logarithmic scale, and smaller and larger ones in a bucket each.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();

  void Record(Duration latency);
  uint64_t count() const;
  // Returns the upper bound of the bucket that contains the quantile `q`, which
  // is from 0 to 1, but at most 100 s. Returns 0 if the histogram is empty.
  Duration Quantile(double q) const;

 private:
  friend class Metrics;
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

// The registry that owns all metrics of a process.
class Metrics {
 public:
  Metrics();
  ~Metrics();

  // These add a metric. Metrics with the same name and different labels must be
  // added one after the other, since Prometheus expects them as one group. The
  // returned references are valid as long as this object.
  Counter& AddCounter(const std::string& name, const std::string& help,
                      MetricLabels labels = {});
  // `read` is called by ToPrometheus.
  void AddGauge(const std::string& name, const std::string& help,
                std::function<double()> read, MetricLabels labels = {});
  LatencyHistogram& AddLatency(const std::string& name, const std::string& help,
                               MetricLabels labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string ToPrometheus() const;

 private:
  struct Entry;
  Entry& NewEntry(const std::string& name, const std::string& help,
                  MetricLabels labels);
  std::vector<std::unique_ptr<Entry>> entries_;
};

}  // namespace beamhill

#endif  // BEAMHILL_METRICS_METRICS_H_
