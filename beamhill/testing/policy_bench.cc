#include "beamhill/testing/policy_bench.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include "beamhill/placement/interference_model.h"
#include "beamhill/placement/placement_policy.h"
#include "beamhill/placement/throttle_controller.h"
#include "beamhill/placement/worker_health.h"

namespace beamhill {
namespace {

constexpr int kVms = 11;
constexpr Duration kStep = std::chrono::seconds(1);
constexpr size_t kReportLagSteps = 3;
// Sigmas of log-normal noise.
constexpr double kReportNoise = 0.2;
constexpr double kRequestNoise = 0.35;
constexpr int kRequestsPerStep = 10;
constexpr double kServiceShare = 0.25;  // Share of a VM kept for its service.
constexpr double kThrottledSpeed = 0.35;
constexpr double kEvictionLossSeconds = 5;
constexpr double kOfferedBatchLoad = 0.85;  // Share of the batch capacity.
constexpr int kEvictionsPerHour = 120;
constexpr int kClasses = 6;
constexpr double kMeanDeclaredRunSeconds = 60;

struct HallParameters {
  double cores;
  double base_ms;
  Duration target;
  PolicyWeights weights;
};

HallParameters ParametersOf(HallShape shape) {
  if (shape == HallShape::kTsagaanTal) {
    return {32, 20, std::chrono::milliseconds(60), {70, 20, 10}};
  }
  return {16, 25, std::chrono::milliseconds(100), {25, 45, 30}};
}

struct Task {
  std::string work_class;
  double cores = 1;
  double work = 0;  // Seconds remaining at full speed.
  double age = 0;   // Seconds since it was placed.
};

struct Vm {
  std::string name;
  std::vector<Task> tasks;
  ThrottleController throttle;
  double service_load = 1;  // Load of its service over the usual load.
  double interference = 1;  // Smoothed ratio of reported to expected latency.
  // Reports in flight: the loads when each was sent, and the latency.
  std::deque<std::pair<ClassLoads, Duration>> reports;
};

class SimulatedHall {
 public:
  explicit SimulatedHall(const PolicyBenchOptions& options)
      : options_(options),
        parameters_(ParametersOf(options.shape)),
        random_(options.seed),
        policy_([this](const ClassLoads& l) { return Predict(l); },
                parameters_.weights),
        vms_(kVms) {
    for (int i = 0; i < kClasses; ++i) {
      const std::string name = "class-" + std::to_string(i);
      classes_.push_back(name);
      true_weights_[name] = i % 2 == 0 ? Uniform(0.1, 0.8) : Uniform(2, 6);
    }
    for (int i = 0; i < kVms; ++i) {
      vms_[Index(i)].name = "vm-" + std::to_string(i);
    }
    failing_vm_ = static_cast<size_t>(Uniform(0, kVms));
  }

  PolicyResult Run() {
    const auto steps = static_cast<int>(options_.length / kStep);
    for (int step = 0; step < steps; ++step) {
      now_ += kStep;
      ShiftLoad(step);
      SubmitArrivals(step, steps);
      PlaceWaiting();
      for (size_t i = 0; i < vms_.size(); ++i) {
        ServeRequests(vms_[i]);
        AdvanceTasks(vms_[i], Fails(i, step, steps));
        ProcessReport(vms_[i]);
      }
    }
    return Result();
  }

 private:
  static size_t Index(int i) { return static_cast<size_t>(i); }
  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random_);
  }
  double Lognormal(double sigma) {
    return std::lognormal_distribution<double>(0, sigma)(random_);
  }
  bool Chance(double probability) { return Uniform(0, 1) < probability; }
  bool is_oracle() const { return options_.policy == HallPolicy::kOracle; }
  bool uses_policy() const {
    return is_oracle() || options_.policy == HallPolicy::kBeamhill;
  }

  // Whether the worker fails its tasks: one does, in the middle third of a run.
  bool Fails(size_t vm, int step, int steps) const {
    return vm == failing_vm_ && step > steps / 3 && step < steps * 2 / 3;
  }

  ClassLoads LoadsOf(const Vm& vm) const {
    return LoadsAt(vm, vm.throttle.throttled() ? kThrottledSpeed : 1);
  }

  ClassLoads LoadsAt(const Vm& vm, double speed) const {
    ClassLoads loads;
    for (const Task& task : vm.tasks) {
      loads[task.work_class] += task.cores / parameters_.cores * speed;
    }
    return loads;
  }

  // Returns the mean latency with interference, which grows superlinearly.
  double TrueLatencyMs(const ClassLoads& loads, double service_load) const {
    double slowdown = 0;
    for (const auto& [name, share] : loads) {
      slowdown += true_weights_.at(name) * share;
    }
    return parameters_.base_ms * service_load *
           (1 + slowdown + 0.1 * slowdown * slowdown);
  }

  InterferenceModel::Prediction Predict(const ClassLoads& loads) const {
    if (!is_oracle()) return model_.Predict(loads);
    return {Duration(static_cast<int64_t>(TrueLatencyMs(loads, 1) * 1000)),
            Duration(0)};
  }

  // Drifts the service load of each VM towards 1, with rare jumps.
  void ShiftLoad(int step) {
    for (Vm& vm : vms_) {
      vm.service_load += 0.02 * (1 - vm.service_load) + Uniform(-0.02, 0.02);
      if (Chance(0.0008)) vm.service_load = Uniform(1.3, 2.0);
      vm.service_load = std::clamp(vm.service_load, 0.6, 2.0);
    }
    (void)step;
  }

  void Submit(const std::string& work_class, int tasks) {
    for (int i = 0; i < tasks; ++i) {
      Task task;
      task.work_class = work_class;
      task.cores = std::floor(Uniform(1, 4));
      // Differs widely from the declared run time.
      task.work = kMeanDeclaredRunSeconds * Lognormal(0.8);
      waiting_.push_back(task);
    }
  }

  void SubmitArrivals(int step, int steps) {
    const double capacity = kVms * parameters_.cores * (1 - kServiceShare);
    const double mean_task = 2.0 * kMeanDeclaredRunSeconds * std::exp(0.32);
    const double jobs_per_step = capacity * kOfferedBatchLoad / mean_task / 20;
    if (Chance(jobs_per_step) && waiting_.size() < 400) {
      Submit(classes_[Index(static_cast<int>(Uniform(0, kClasses)))], 20);
    }
    const bool burst = step % (steps / 6) == steps / 12;
    if (burst) Submit("class-1", static_cast<int>(capacity / 8));
  }

  // Places waiting tasks, skipping a class once one of its tasks did not fit.
  void PlaceWaiting() {
    std::map<std::string, bool> blocked;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      if (blocked[it->work_class]) {
        ++it;
        continue;
      }
      const auto vm = Choose(*it);
      if (!vm) {
        blocked[it->work_class] = true;
        ++it;
        continue;
      }
      it->age = 0;
      vms_[*vm].tasks.push_back(*it);
      it = waiting_.erase(it);
    }
  }

  double FreeCores(const Vm& vm) const {
    double used = parameters_.cores * kServiceShare;
    for (const Task& task : vm.tasks) used += task.cores;
    return parameters_.cores - used;
  }

  std::optional<size_t> Choose(const Task& task) const {
    std::vector<size_t> fitting;
    for (size_t i = 0; i < vms_.size(); ++i) {
      if (FreeCores(vms_[i]) < task.cores) continue;
      if (uses_policy() &&
          !health_.MayPlace(vms_[i].name, vms_[i].tasks.size(), now_)) {
        continue;
      }
      fitting.push_back(i);
    }
    if (fitting.empty()) return std::nullopt;
    if (options_.policy == HallPolicy::kFirstFit) return fitting.front();
    if (options_.policy == HallPolicy::kLeastLoaded) {
      return *std::max_element(fitting.begin(), fitting.end(),
                               [this](size_t a, size_t b) {
                                 return FreeCores(vms_[a]) < FreeCores(vms_[b]);
                               });
    }
    std::vector<VmLoad> candidates;
    for (const size_t i : fitting) {
      const Vm& vm = vms_[i];
      // Loads at full speed: those of a throttled VM rise when throttling ends.
      candidates.push_back({LoadsAt(vm, 1), FreeCores(vm) / parameters_.cores,
                            is_oracle() ? vm.service_load : vm.interference});
    }
    const auto choice =
        policy_.Choose(task.work_class, task.cores / parameters_.cores,
                       candidates, parameters_.target);
    if (!choice) return std::nullopt;
    return fitting[*choice];
  }

  void ServeRequests(Vm& vm) {
    const double mean = TrueLatencyMs(LoadsOf(vm), vm.service_load);
    for (int i = 0; i < kRequestsPerStep; ++i) {
      latencies_.push_back(mean * Lognormal(kRequestNoise));
    }
    const double reported = mean * (is_oracle() ? 1 : Lognormal(kReportNoise));
    vm.reports.emplace_back(LoadsOf(vm),
                            Duration(static_cast<int64_t>(reported * 1000)));
  }

  void AdvanceTasks(Vm& vm, bool fails) {
    const double speed = vm.throttle.throttled() ? kThrottledSpeed : 1;
    std::vector<Task> remaining;
    for (Task& task : vm.tasks) {
      task.age += 1;
      if (fails && task.age >= 2) {
        result_.lost_work += task.cores * 2;
        health_.OnEnded(vm.name, task.work_class, true, now_);
        waiting_.push_back(task);
        continue;
      }
      const double done = std::min(task.work, speed);
      task.work -= done;
      result_.throughput += done * task.cores;
      if (task.work > 0) {
        remaining.push_back(task);
      } else {
        health_.OnEnded(vm.name, task.work_class, false, now_);
      }
    }
    vm.tasks = std::move(remaining);
  }

  // Handles the report that arrives in this step, by throttling or evicting if
  // the latency is above the target.
  void ProcessReport(Vm& vm) {
    if (!is_oracle() && vm.reports.size() <= kReportLagSteps) return;
    const auto [loads, latency] = vm.reports.front();
    vm.reports.pop_front();
    if (options_.policy == HallPolicy::kBeamhill) {
      const double expected = ToMillis(model_.Predict(loads).mean);
      if (model_.samples() > 100) {
        vm.interference +=
            0.1 * (std::clamp(ToMillis(latency) / expected, 0.5, 3.0) -
                   vm.interference);
      }
      model_.Observe(loads, latency);
    }
    if (vm.throttle.Observe(latency, parameters_.target, now_) ==
        ThrottleAction::kEvict) {
      EvictOne(vm);
    }
  }

  void EvictOne(Vm& vm) {
    const double seconds =
        std::chrono::duration<double>(now_ - kStartTime).count();
    const double budget = kEvictionsPerHour * (0.2 + seconds / 3600);
    if (vm.tasks.empty() || static_cast<double>(result_.evictions) >= budget) {
      return;
    }
    const auto victim = std::max_element(
        vm.tasks.begin(), vm.tasks.end(), [this](const Task& a, const Task& b) {
          return LatencyContribution(a) < LatencyContribution(b);
        });
    ++result_.evictions;
    result_.lost_work += kEvictionLossSeconds * victim->cores;
    result_.throughput -= kEvictionLossSeconds * victim->cores;
    victim->work += kEvictionLossSeconds;
    waiting_.push_front(*victim);
    vm.tasks.erase(victim);
  }

  // Estimates what a task adds to the latency. Policies without a model rank
  // the youngest task highest.
  double LatencyContribution(const Task& task) const {
    const double share = task.cores / parameters_.cores;
    if (is_oracle()) return true_weights_.at(task.work_class) * share;
    if (options_.policy == HallPolicy::kBeamhill) {
      return ToMillis(model_.WeightOf(task.work_class)) * share;
    }
    return -task.age;
  }

  PolicyResult Result() {
    std::sort(latencies_.begin(), latencies_.end());
    const auto at = [this](double q) {
      return latencies_[static_cast<size_t>(
          q * static_cast<double>(latencies_.size() - 1))];
    };
    result_.p50_ms = at(0.5);
    result_.p99_ms = at(0.99);
    result_.p999_ms = at(0.999);
    return result_;
  }

  static constexpr TimePoint kStartTime{std::chrono::hours(1)};

  PolicyBenchOptions options_;
  HallParameters parameters_;
  std::mt19937_64 random_;
  InterferenceModel model_;
  PlacementPolicy policy_;
  WorkerHealth health_;
  std::vector<std::string> classes_;
  std::map<std::string, double> true_weights_;  // Known only to the oracle.
  std::vector<Vm> vms_;
  size_t failing_vm_ = 0;
  std::deque<Task> waiting_;
  TimePoint now_ = kStartTime;
  std::vector<double> latencies_;
  PolicyResult result_;
};

}  // namespace

const char* HallPolicyName(HallPolicy policy) {
  static constexpr const char* kNames[] = {"first-fit", "least-loaded",
                                           "beamhill", "oracle"};
  return kNames[static_cast<int>(policy)];
}

PolicyResult RunPolicyBench(const PolicyBenchOptions& options) {
  SimulatedHall hall(options);
  return hall.Run();
}

}  // namespace beamhill
