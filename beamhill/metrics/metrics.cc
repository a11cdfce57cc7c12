#include "beamhill/metrics/metrics.h"

#include <boost/histogram.hpp>
#include <sstream>

namespace beamhill {
namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

constexpr unsigned kBucketCount = 60;
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;

// Returns the labels, and `extra` if it isn't empty, as {key="value",...}.
std::string LabelText(const MetricLabels& labels, const std::string& extra) {
  std::string text;
  for (const auto& [key, value] : labels) {
    text += (text.empty() ? "" : ",") + key + "=\"" + value + "\"";
  }
  if (!extra.empty()) text += (text.empty() ? "" : ",") + extra;
  return text.empty() ? "" : "{" + text + "}";
}

}  // namespace

struct LatencyHistogram::Impl {
  decltype(bh::make_histogram(
      LogAxis(kBucketCount, kMinSeconds, kMaxSeconds))) histogram =
      bh::make_histogram(LogAxis(kBucketCount, kMinSeconds, kMaxSeconds));
  uint64_t count = 0;
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram() : impl_(std::make_unique<Impl>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Record(Duration latency) {
  const double seconds = std::chrono::duration<double>(latency).count();
  impl_->histogram(seconds);
  impl_->sum_seconds += seconds;
  ++impl_->count;
}

uint64_t LatencyHistogram::count() const { return impl_->count; }

Duration LatencyHistogram::Quantile(double q) const {
  const double rank = q * static_cast<double>(impl_->count);
  double cumulative_count = 0;
  for (const auto& bin : bh::indexed(impl_->histogram, bh::coverage::all)) {
    cumulative_count += *bin;
    if (cumulative_count < rank || *bin == 0) continue;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::min(bin.bin().upper(), kMaxSeconds)));
  }
  return Duration(0);
}

// Exactly one of `counter`, `gauge` and `latency` is set.
struct Metrics::Entry {
  std::string name;
  std::string help;
  MetricLabels labels;
  std::unique_ptr<Counter> counter;
  std::function<double()> gauge;
  std::unique_ptr<LatencyHistogram> latency;
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

Metrics::Entry& Metrics::NewEntry(const std::string& name,
                                  const std::string& help,
                                  MetricLabels labels) {
  entries_.push_back(std::make_unique<Entry>());
  Entry& entry = *entries_.back();
  entry.name = name;
  entry.help = help;
  entry.labels = std::move(labels);
  return entry;
}

Counter& Metrics::AddCounter(const std::string& name, const std::string& help,
                             MetricLabels labels) {
  Entry& entry = NewEntry(name, help, std::move(labels));
  entry.counter = std::make_unique<Counter>();
  return *entry.counter;
}

void Metrics::AddGauge(const std::string& name, const std::string& help,
                       std::function<double()> read, MetricLabels labels) {
  Entry& entry = NewEntry(name, help, std::move(labels));
  entry.gauge = std::move(read);
}

LatencyHistogram& Metrics::AddLatency(const std::string& name,
                                      const std::string& help,
                                      MetricLabels labels) {
  Entry& entry = NewEntry(name, help, std::move(labels));
  entry.latency = std::make_unique<LatencyHistogram>();
  return *entry.latency;
}

std::string Metrics::ToPrometheus() const {
  std::ostringstream out;
  std::string last_name;
  for (const auto& entry : entries_) {
    if (entry->name != last_name) {
      const char* type = entry->counter ? "counter"
                         : entry->gauge ? "gauge"
                                        : "histogram";
      out << "# HELP " << entry->name << " " << entry->help << "\n# TYPE "
          << entry->name << " " << type << "\n";
      last_name = entry->name;
    }
    if (entry->counter) {
      out << entry->name << LabelText(entry->labels, "") << " "
          << entry->counter->value() << "\n";
    } else if (entry->gauge) {
      out << entry->name << LabelText(entry->labels, "") << " "
          << entry->gauge() << "\n";
    } else {
      const LatencyHistogram::Impl& h = *entry->latency->impl_;
      double cumulative_count = 0;
      for (const auto& bin : bh::indexed(h.histogram, bh::coverage::all)) {
        cumulative_count += *bin;
        if (*bin == 0 || bin.bin().upper() > kMaxSeconds) continue;
        out << entry->name << "_bucket"
            << LabelText(entry->labels,
                         "le=\"" + std::to_string(bin.bin().upper()) + "\"")
            << " " << static_cast<uint64_t>(cumulative_count) << "\n";
      }
      out << entry->name << "_bucket" << LabelText(entry->labels, "le=\"+Inf\"")
          << " " << h.count << "\n"
          << entry->name << "_sum" << LabelText(entry->labels, "") << " "
          << h.sum_seconds << "\n"
          << entry->name << "_count" << LabelText(entry->labels, "") << " "
          << h.count << "\n";
    }
  }
  return out.str();
}

}  // namespace beamhill
