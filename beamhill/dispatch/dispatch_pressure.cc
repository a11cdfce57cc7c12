// The part of Dispatcher that learns how filling tasks disturb serving ones.
#include <algorithm>
#include <cmath>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// A weight that has moved by less than this, or this part of itself, changes
// nothing that an executor does: fillers have a tenth to a third of a VM, and
// targets are some 20 ms.
constexpr Duration kWeightSlack = std::chrono::milliseconds(3);
constexpr int kWeightSlackDivisor = 8;

bool SameInEffect(const PressureWeight& now, const PressureWeight& told) {
  const Duration slack = std::max(
      kWeightSlack, std::chrono::abs(told.per_vm) / kWeightSlackDivisor);
  return now.serving == told.serving && now.filling == told.filling &&
         std::chrono::abs(now.per_vm - told.per_vm) <= slack;
}

// Whether an executor that was told the one need not be told the other. Both
// are in the order of their images; pairs that have gone don't matter.
bool SameInEffect(const std::vector<PressureWeight>& now,
                  const std::vector<PressureWeight>& told) {
  auto it = told.begin();
  for (const PressureWeight& weight : now) {
    const auto same = [&](const PressureWeight& t) {
      return t.serving == weight.serving && t.filling == weight.filling;
    };
    it = std::find_if(it, told.end(), same);
    if (it == told.end() || !SameInEffect(weight, *it)) return false;
  }
  return true;
}

}  // namespace

void Dispatcher::OnPressure(const std::string& vm, const VmPressure& pressure) {
  Vm& state = vms_[vm];
  const int64_t whole = state.status.capacity.cpu_millis;
  if (pressure.epoch != options_.epoch || whole <= 0) return;
  ClassLoads loads;
  for (const FillingLoad& load : pressure.filling) {
    loads[load.image] =
        static_cast<double>(load.cpu_millis) / static_cast<double>(whole);
  }
  ForgetDerived(state);
  state.paces.clear();
  state.filling_cpu_in_use = 0;
  for (const FillingLoad& load : pressure.filling) {
    state.paces[load.image] = load.percent;
    state.filling_cpu_in_use += load.cpu_millis;
  }
  // A runner that is slow after its start lengthens tails by itself.
  if (state.cold) return;
  for (const ServingTail& serving : pressure.serving) {
    interference_.Observe(serving.image, loads, serving.tail);
  }
}

PressureRecord Dispatcher::LearnedPressure() const {
  PressureRecord record;
  for (const auto& summary : interference_.Summaries()) {
    PressureRecord::Image image{summary.serving, summary.alone, {}};
    for (const auto& weight : summary.weights) {
      image.weights.push_back({weight.serving, weight.filler, weight.per_vm});
    }
    record.images.push_back(std::move(image));
  }
  return record;
}

void Dispatcher::RecallPressure(const PressureRecord& record) {
  for (const PressureRecord::Image& image : record.images) {
    PairwiseInterference::Summary summary{image.serving, image.alone, {}};
    for (const PressureWeight& weight : image.weights) {
      summary.weights.push_back(
          {weight.serving, weight.filling, weight.per_vm});
    }
    interference_.Recall(summary);
  }
  RefitPressure();
}

void Dispatcher::SendWeights() {
  // They would be out of date once they leave.
  if (authority_ == Authority::kNone) return;
  for (auto& [name, vm] : vms_) {
    if (vm.answered) SendWeightsTo(name, vm);
  }
}

double Dispatcher::WaitingFillerCores(UnixMillis unix_now) const {
  double cores = 0;
  for (const auto& [id, job] : jobs_) {
    if (!MayStart(*job)) continue;
    for (const auto& open : job->progress.OpenSteps(unix_now)) {
      const WorkflowStep& step = job->progress.workflow().steps[open.step];
      if (!step.fills) continue;
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
  double asked = WaitingFillerCores(unix_now);
  double free = 0;
  for (const auto& [name, vm] : vms_) {
    if (!vm.answered) continue;
    asked += static_cast<double>(vm.filling_cpu) / kMillicoresPerCore;
    if (!IsEvacuated(vm)) free += FreeCores(vm);
  }
  const PacePolicy before = filler_load_.policy();
  filler_load_.Observe(asked, free);
  const PacePolicy policy = filler_load_.policy();
  if (policy == before) return;
  Decide("", "pace_policy",
         std::string(PacePolicyName(policy)) + ", fillers ask for " +
             std::to_string(std::lround(filler_load_.ratio() * 100)) +
             " % of what there is");
  for (const auto& [name, vm] : vms_) {
    if (vm.answered) Send(name, PacePolicyNotice{options_.epoch, policy});
  }
}

std::vector<PressureWeight> Dispatcher::WeightsOn(const Vm& vm) const {
  std::vector<PressureWeight> weights;
  for (const auto& [serving, runs] : vm.serving) {
    for (const auto& [filling, cpu] : vm.filling) {
      const auto weight = interference_.WeightOf(serving, filling);
      if (weight) weights.push_back({serving, filling, *weight});
    }
  }
  return weights;
}

void Dispatcher::SendWeightsTo(const std::string& name, Vm& vm) {
  vm.new_image = false;
  std::vector<PressureWeight> weights = WeightsOn(vm);
  if (weights.empty() || SameInEffect(weights, vm.told)) return;
  vm.told = weights;
  Send(name, PressureWeights{options_.epoch, std::move(weights)});
}

void Dispatcher::RefitPressure() {
  if (interference_.Refit()) ++interference_version_;
}

double Dispatcher::WorstTailRatio(const Vm& vm,
                                  const WorkflowStep& filler) const {
  if (vm.serving.empty()) return 0;
  if (vm.ratios_version != interference_version_) vm.ratios.clear();
  vm.ratios_version = interference_version_;
  for (const dispatch_internal::KnownRatio& known : vm.ratios) {
    if (known.cpu_millis == filler.each.cpu_millis &&
        known.image == filler.image) {
      return known.ratio;
    }
  }
  const double ratio = PredictTailRatio(vm, filler);
  vm.ratios.push_back({filler.each.cpu_millis, filler.image, ratio});
  return ratio;
}

double Dispatcher::PredictTailRatio(const Vm& vm,
                                    const WorkflowStep& filler) const {
  const auto whole =
      static_cast<double>(std::max<int64_t>(vm.status.capacity.cpu_millis, 1));
  ClassLoads loads;
  for (const auto& [image, cpu] : vm.filling) {
    loads[image] = static_cast<double>(cpu) / whole;
  }
  loads[filler.image] += static_cast<double>(filler.each.cpu_millis) / whole;
  double worst = 0;
  for (const auto& [image, serving] : vm.serving) {
    const auto tail = interference_.Predict(image, loads);
    if (!tail) continue;
    worst = std::max(worst, ToMillis(*tail) / ToMillis(serving.tail_target));
  }
  return worst;
}

}  // namespace beamhill
