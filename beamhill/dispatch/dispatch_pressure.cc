// The part of Dispatcher that learns how filling tasks disturb serving ones.
#include <algorithm>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {

void Dispatcher::OnPressure(const std::string& vm, const VmPressure& pressure) {
  Vm& state = vms_[vm];
  const int64_t whole = state.status.capacity.cpu_millis;
  if (pressure.epoch != options_.epoch || whole <= 0) return;
  ClassLoads loads;
  for (const FillingLoad& load : pressure.filling) {
    loads[load.image] =
        static_cast<double>(load.cpu_millis) / static_cast<double>(whole);
  }
  state.paces.clear();
  state.filling_cpu_in_use = 0;
  for (const FillingLoad& load : pressure.filling) {
    state.paces[load.image] = load.percent;
    state.filling_cpu_in_use += load.cpu_millis;
  }
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
}

void Dispatcher::SendWeights() {
  PressureWeights learned{options_.epoch, {}};
  for (const auto& weight : interference_.Weights()) {
    learned.weights.push_back({weight.serving, weight.filler, weight.per_vm});
  }
  if (learned.weights.empty()) return;
  for (const auto& [name, vm] : vms_) {
    if (vm.answered && !vm.serving.empty()) Send(name, learned);
  }
}

double Dispatcher::WorstTailRatio(const Vm& vm,
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
