// Dispatcher: learns how best-effort tasks interfere with serving tasks.
#include <algorithm>
#include <cmath>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// Smaller changes of a weight, absolute or relative, have no effect at an
// executor: best-effort tasks use a tenth to a third of a VM, and targets are
// some 20 ms.
constexpr Duration kWeightSlack = std::chrono::milliseconds(3);
constexpr int kWeightSlackDivisor = 8;

bool SameEffect(const InterferenceWeight& now, const InterferenceWeight& sent) {
  const Duration slack = std::max(
      kWeightSlack, std::chrono::abs(sent.per_vm) / kWeightSlackDivisor);
  return now.serving == sent.serving &&
         now.best_effort_image == sent.best_effort_image &&
         std::chrono::abs(now.per_vm - sent.per_vm) <= slack;
}

// Whether an executor that has `sent` needs no update to `now`. Both are sorted
// by images; pairs that are gone from `now` are ignored.
bool SameEffect(const std::vector<InterferenceWeight>& now,
                const std::vector<InterferenceWeight>& sent) {
  auto it = sent.begin();
  for (const InterferenceWeight& weight : now) {
    const auto same = [&](const InterferenceWeight& t) {
      return t.serving == weight.serving &&
             t.best_effort_image == weight.best_effort_image;
    };
    it = std::find_if(it, sent.end(), same);
    if (it == sent.end() || !SameEffect(weight, *it)) return false;
  }
  return true;
}

}  // namespace

void Dispatcher::OnInterference(const std::string& vm,
                                const VmInterference& report) {
  Vm& state = vms_[vm];
  const int64_t whole = state.status.capacity.cpu_millis;
  if (report.epoch != options_.epoch || whole <= 0) return;
  ClassLoads loads;
  for (const BestEffortLoad& load : report.best_effort_loads) {
    loads[load.image] =
        static_cast<double>(load.cpu_millis) / static_cast<double>(whole);
  }
  InvalidateCaches(state);
  state.paces.clear();
  state.best_effort_cpu_in_use = 0;
  for (const BestEffortLoad& load : report.best_effort_loads) {
    state.paces[load.image] = load.percent;
    state.best_effort_cpu_in_use += load.cpu_millis;
  }
  // While a runner warms up or stalls, tails are long without any interference.
  if (state.cold || state.status.stalled) return;
  for (const ServingTailLatency& serving : report.serving) {
    interference_.Observe(serving.image, loads, serving.tail);
  }
}

InterferenceRecord Dispatcher::LearnedInterference() const {
  InterferenceRecord record;
  for (const auto& summary : interference_.Summaries()) {
    InterferenceRecord::Image image{summary.serving, summary.alone, {}};
    for (const auto& weight : summary.weights) {
      image.weights.push_back(
          {weight.serving, weight.best_effort, weight.per_vm});
    }
    record.images.push_back(std::move(image));
  }
  return record;
}

void Dispatcher::RestoreInterference(const InterferenceRecord& record) {
  for (const InterferenceRecord::Image& image : record.images) {
    PairwiseInterference::Summary summary{image.serving, image.alone, {}};
    for (const InterferenceWeight& weight : image.weights) {
      summary.weights.push_back(
          {weight.serving, weight.best_effort_image, weight.per_vm});
    }
    interference_.Restore(summary);
  }
  RefitInterference();
}

void Dispatcher::SendInterferenceWeights() {
  // They would be outdated by the time they can be sent.
  if (authority_ == Authority::kNone) return;
  for (auto& [name, vm] : vms_) {
    if (vm.has_inventory) SendWeightsTo(name, vm);
  }
}

double Dispatcher::WaitingBestEffortCores(UnixMillis unix_now) const {
  double cores = 0;
  for (const auto& [id, job] : jobs_) {
    if (!MayStart(*job)) continue;
    for (const auto& open : job->progress.OpenSteps(unix_now)) {
      const WorkflowStep& step = job->progress.workflow().steps[open.step];
      if (!step.best_effort) continue;
      const auto& tasks = job->progress.TasksOf(open.round, open.step);
      const auto waiting =
          std::count_if(tasks.begin(), tasks.end(), [](const auto& task) {
            return task.phase == WorkflowProgress::Phase::kWaiting;
          });
      cores += static_cast<double>(waiting * step.each.cpu_millis);
    }
  }
  return cores / kMillicoresPerCore;
}

void Dispatcher::RefreshPacePolicy(UnixMillis unix_now) {
  double asked = WaitingBestEffortCores(unix_now);
  double free = 0;
  for (const auto& [name, vm] : vms_) {
    if (!vm.has_inventory) continue;
    asked += static_cast<double>(vm.best_effort_cpu) / kMillicoresPerCore;
    if (!IsEvacuated(vm)) free += FreeCores(vm);
  }
  const PacePolicy before = best_effort_load_.policy();
  best_effort_load_.Observe(asked, free);
  const PacePolicy policy = best_effort_load_.policy();
  if (policy == before) return;
  LogDecision("", "pace_policy",
              std::string(PacePolicyName(policy)) + ", best-effort demand is " +
                  std::to_string(std::lround(best_effort_load_.ratio() * 100)) +
                  " % of the free processor time");
  for (const auto& [name, vm] : vms_) {
    if (vm.has_inventory) Send(name, PacePolicyNotice{options_.epoch, policy});
  }
}

std::vector<InterferenceWeight> Dispatcher::WeightsOn(const Vm& vm) const {
  std::vector<InterferenceWeight> weights;
  for (const auto& [serving, runs] : vm.serving) {
    for (const auto& [best_effort, cpu] : vm.best_effort) {
      const auto weight = interference_.WeightOf(serving, best_effort);
      if (weight) weights.push_back({serving, best_effort, *weight});
    }
  }
  return weights;
}

void Dispatcher::SendWeightsTo(const std::string& name, Vm& vm) {
  vm.has_new_image = false;
  std::vector<InterferenceWeight> weights = WeightsOn(vm);
  if (weights.empty() || SameEffect(weights, vm.sent_weights)) return;
  vm.sent_weights = weights;
  Send(name, InterferenceWeights{options_.epoch, std::move(weights)});
}

void Dispatcher::RefitInterference() {
  if (interference_.Refit()) ++interference_version_;
}

double Dispatcher::WorstTailRatio(const Vm& vm,
                                  const WorkflowStep& step) const {
  if (vm.serving.empty()) return 0;
  if (vm.tail_ratios_version != interference_version_) vm.tail_ratios.clear();
  vm.tail_ratios_version = interference_version_;
  for (const dispatch_internal::CachedTailRatio& known : vm.tail_ratios) {
    if (known.cpu_millis == step.each.cpu_millis && known.image == step.image) {
      return known.ratio;
    }
  }
  const double ratio = PredictTailRatio(vm, step);
  vm.tail_ratios.push_back({step.each.cpu_millis, step.image, ratio});
  return ratio;
}

double Dispatcher::PredictTailRatio(const Vm& vm,
                                    const WorkflowStep& step) const {
  const auto whole =
      static_cast<double>(std::max<int64_t>(vm.status.capacity.cpu_millis, 1));
  ClassLoads loads;
  for (const auto& [image, cpu] : vm.best_effort) {
    loads[image] = static_cast<double>(cpu) / whole;
  }
  loads[step.image] += static_cast<double>(step.each.cpu_millis) / whole;
  double worst = 0;
  for (const auto& [image, serving] : vm.serving) {
    const auto tail = interference_.Predict(image, loads);
    if (!tail) continue;
    worst = std::max(worst, ToMillis(*tail) / ToMillis(serving.tail_target));
  }
  return worst;
}

}  // namespace beamhill
