#include "beamhill/testing/routing_bench.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/routing/retry_budget.h"
#include "beamhill/routing/runner_table.h"
#include "beamhill/testing/sim_world.h"

namespace beamhill {
namespace {

constexpr char kService[] = "svc";
constexpr Duration kNetworkDelay = std::chrono::microseconds(500);
constexpr double kMeanServiceMs = 10;
constexpr double kSlowFactor = 6;
constexpr Duration kFailureTime = std::chrono::milliseconds(1);
constexpr Duration kReportPeriod = std::chrono::milliseconds(50);
constexpr int64_t kRetryPercent = 20;

struct Runner {
  std::string name;
  uint32_t in_progress = 0;
  bool slow = false;
  bool failing = false;
  bool report_scheduled = false;
  // Callbacks of requests that wait at the gate for a slot.
  std::deque<std::function<void()>> wait_queue;
};

struct Request {
  size_t entry = 0;
  TimePoint started_at{};
  std::set<std::string> tried;
};

class RoutingSim {
 public:
  explicit RoutingSim(const RoutingBenchOptions& options)
      : options_(options), world_(options.seed) {
    for (int i = 0; i < options.runners; ++i) {
      runners_.emplace_back();
      runners_.back().name = "runner-" + std::to_string(i);
    }
    runners_[0].slow = options.one_slow;
    runners_[1].failing = options.one_failing;
    for (int i = 0; i < options.entries; ++i) {
      entries_.push_back(std::make_unique<Entry>(world_));
      for (const Runner& runner : runners_) {
        entries_.back()->table.OnLinkUp(runner.name, kService, options.slots);
      }
    }
  }

  RoutingResult Run() {
    const TimePoint end = world_.now() + options_.length;
    ScheduleArrival(end);
    while (world_.Step(end + std::chrono::seconds(5))) {
    }
    return Result();
  }

 private:
  struct Entry {
    explicit Entry(SimWorld& world)
        : table([&world] { return world.Uniform(); }) {}
    RunnerTable table;
    RetryBudget retries{kRetryPercent};
    // This entry's requests in progress at each runner.
    std::vector<int> own_in_progress = std::vector<int>(64, 0);
    size_t next_runner = 0;
  };

  double HealthyCapacity() const {
    double capacity = 0;
    for (const Runner& runner : runners_) {
      if (runner.failing) continue;
      capacity += options_.slots * 1000 / kMeanServiceMs /
                  (runner.slow ? kSlowFactor : 1);
    }
    return capacity;
  }

  double Exponential(double mean) {
    return -mean * std::log(1 - world_.Uniform());
  }

  void ScheduleArrival(TimePoint end) {
    const double gap_s = Exponential(1 / (HealthyCapacity() * options_.load));
    world_.After(Duration(static_cast<int64_t>(gap_s * 1e6)), [this, end] {
      if (world_.now() >= end) return;
      auto request = std::make_shared<Request>();
      request->entry = world_.Below(entries_.size());
      request->started_at = world_.now();
      ++offered_;
      entries_[request->entry]->retries.OnRequest();
      Send(request);
      ScheduleArrival(end);
    });
  }

  std::optional<size_t> Choose(Entry& entry, const Request& request) {
    const size_t n = runners_.size();
    switch (options_.policy) {
      case RoutingPolicy::kRandom:
        return world_.Below(n);
      case RoutingPolicy::kRoundRobin:
        return entry.next_runner++ % n;
      case RoutingPolicy::kLeastOfTwo: {
        const size_t a = world_.Below(n);
        const size_t b = world_.Below(n);
        return entry.own_in_progress[a] <= entry.own_in_progress[b] ? a : b;
      }
      case RoutingPolicy::kBeamhill:
        break;
    }
    const auto vm = entry.table.Pick(kService, request.tried, world_.now());
    if (!vm) return std::nullopt;
    return static_cast<size_t>(std::stoi(vm->substr(7)));
  }

  void Send(const std::shared_ptr<Request>& request) {
    Entry& entry = *entries_[request->entry];
    const auto choice = Choose(entry, *request);
    if (!choice) {
      ++not_run_;
      return;
    }
    const TimePoint sent = world_.now();
    request->tried.insert(runners_[*choice].name);
    ++entry.own_in_progress[*choice];
    entry.table.OnSent(runners_[*choice].name);
    world_.After(kNetworkDelay, [this, request, i = *choice, sent] {
      ArriveAtRunner(request, i, sent);
    });
  }

  void ArriveAtRunner(const std::shared_ptr<Request>& request, size_t i,
                      TimePoint sent) {
    Runner& runner = runners_[i];
    if (runner.in_progress >= options_.slots) {
      if (runner.wait_queue.size() < options_.slots / 4) {
        runner.wait_queue.push_back(
            [this, request, i, sent] { ArriveAtRunner(request, i, sent); });
        return;
      }
      world_.After(kNetworkDelay,
                   [this, request, i] { OnRequestRefused(request, i); });
      return;
    }
    ++runner.in_progress;
    if (runner.in_progress > options_.slots) ++over_slots_;
    ScheduleReport(i);
    const double mean = kMeanServiceMs * (runner.slow ? kSlowFactor : 1);
    const Duration service =
        runner.failing
            ? kFailureTime
            : Duration(static_cast<int64_t>(Exponential(mean) * 1000));
    world_.After(service, [this, request, i, sent] {
      --runners_[i].in_progress;
      ScheduleReport(i);
      if (!runners_[i].wait_queue.empty()) {
        const auto resume = runners_[i].wait_queue.front();
        runners_[i].wait_queue.pop_front();
        resume();
      }
      world_.After(kNetworkDelay,
                   [this, request, i, sent] { OnAnswer(request, i, sent); });
    });
  }

  void OnRequestRefused(const std::shared_ptr<Request>& request, size_t i) {
    Entry& entry = *entries_[request->entry];
    --entry.own_in_progress[i];
    entry.table.OnRefused(runners_[i].name);
    if (entry.retries.TakeRetry()) return Send(request);
    ++not_run_;
  }

  void OnAnswer(const std::shared_ptr<Request>& request, size_t i,
                TimePoint sent) {
    Entry& entry = *entries_[request->entry];
    --entry.own_in_progress[i];
    const bool failed = runners_[i].failing;
    entry.table.OnEnded(runners_[i].name, world_.now() - sent, failed,
                        world_.now());
    if (failed) {
      ++errors_;
      return;
    }
    latencies_.push_back(ToMillis(world_.now() - request->started_at));
  }

  // Sends a report to all entries shortly after a change; changes until then
  // are in the same report.
  void ScheduleReport(size_t i) {
    if (runners_[i].report_scheduled) return;
    runners_[i].report_scheduled = true;
    // A slot freed on a full runner is reported at once.
    const bool was_full = runners_[i].in_progress + 1 == options_.slots;
    world_.After(was_full ? Duration(0) : kReportPeriod / 10, [this, i] {
      runners_[i].report_scheduled = false;
      RunnerReport report;
      report.in_progress = runners_[i].in_progress;
      report.limit = options_.slots;
      world_.After(kNetworkDelay, [this, i, report] {
        for (const auto& entry : entries_) {
          entry->table.OnReport(runners_[i].name, report, world_.now());
        }
      });
    });
  }

  RoutingResult Result() {
    RoutingResult result;
    std::sort(latencies_.begin(), latencies_.end());
    const auto at = [this](double q) {
      return latencies_[static_cast<size_t>(
          q * static_cast<double>(latencies_.size() - 1))];
    };
    const auto offered = static_cast<double>(offered_);
    const double seconds =
        std::chrono::duration<double>(options_.length).count();
    result.p50_ms = at(0.5);
    result.p99_ms = at(0.99);
    result.goodput =
        static_cast<double>(latencies_.size()) / seconds / HealthyCapacity();
    result.errors = static_cast<double>(errors_) / offered;
    result.not_run = static_cast<double>(not_run_) / offered;
    result.over_slots = over_slots_;
    return result;
  }

  RoutingBenchOptions options_;
  SimWorld world_;
  std::vector<Runner> runners_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::vector<double> latencies_;
  uint64_t offered_ = 0;
  uint64_t not_run_ = 0;
  uint64_t errors_ = 0;
  uint64_t over_slots_ = 0;
};

}  // namespace

const char* RoutingPolicyName(RoutingPolicy policy) {
  static constexpr const char* kNames[] = {"random", "round-robin",
                                           "least-of-two", "beamhill"};
  return kNames[static_cast<int>(policy)];
}

RoutingResult RunRoutingBench(const RoutingBenchOptions& options) {
  RoutingSim sim(options);
  return sim.Run();
}

}  // namespace beamhill
