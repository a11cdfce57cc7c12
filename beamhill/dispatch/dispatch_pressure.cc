// The part of Dispatcher that heeds how filling tasks disturb serving ones.
#include <algorithm>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

// A filler that is held below this pace for so long is moved to a VM where it
// is expected to disturb nothing, if there is one. A move costs the stop, the
// start and the restoring of a checkpoint, some 0.3 s in all.
constexpr int32_t kStarvedPercent = 45;
constexpr Duration kStarvedFor = std::chrono::milliseconds(700);
// A filler is not brought to where it would bring a serving image above this
// part of its target: it would be held back there, after a burst of harm.
constexpr double kForbiddenRatio = 1.15;
constexpr Duration kMoveInterval = std::chrono::milliseconds(250);
constexpr int kMovesOfVm = 2;

}  // namespace

void Dispatcher::OnPressure(const std::string& vm, const VmPressure& pressure,
                            TimePoint now) {
  Vm& state = vms_[vm];
  const int64_t whole = state.status.capacity.cpu_millis;
  if (pressure.epoch != options_.epoch || whole <= 0) return;
  ClassLoads loads;
  for (const FillingLoad& load : pressure.filling) {
    loads[load.image] =
        static_cast<double>(load.cpu_millis) / static_cast<double>(whole);
  }
  std::map<std::string, TimePoint> starved;
  state.paces.clear();
  state.filling_cpu_in_use = 0;
  for (const FillingLoad& load : pressure.filling) {
    state.paces[load.image] = load.percent;
    state.filling_cpu_in_use += load.cpu_millis;
    if (load.percent >= kStarvedPercent) continue;
    const auto it = state.starved_since.find(load.image);
    starved[load.image] = it == state.starved_since.end() ? now : it->second;
  }
  state.starved_since = std::move(starved);
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

// The worst tail over its target, by what was learned, if the filler came
// here and worked at full speed; 0 where nothing serves or is known.
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

// Whether the processor time that is left over here is enough for the filler,
// counting fillers that are paced by what their pace lets them use, and
// whether it is expected to be let work. Once late, it goes anywhere.
bool Dispatcher::HasRoomToFill(const Vm& vm, const Job& job,
                               const WorkflowStep& filler,
                               TimePoint now) const {
  double filling = 0;
  for (const auto& [image, cpu] : vm.filling) {
    const auto it = vm.paces.find(image);
    const int32_t percent = it == vm.paces.end() ? 100 : it->second;
    filling += static_cast<double>(cpu) * percent / 100;
  }
  const auto rest = static_cast<double>(vm.status.capacity.cpu_millis -
                                        (vm.used.cpu_millis - vm.serving_cpu));
  const double left =
      rest - filling - kServingUse * static_cast<double>(vm.serving_cpu);
  if (left < static_cast<double>(filler.each.cpu_millis)) return false;
  if (now > job.due) return true;
  const auto pace = vm.paces.find(filler.image);
  const bool starved = pace != vm.paces.end() && pace->second < kStarvedPercent;
  return !starved && WorstTailRatio(vm, filler) < kForbiddenRatio;
}

bool Dispatcher::HasCalmPlace(const std::string& except, const Job& job,
                              const WorkflowStep& step, TimePoint now) const {
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    const auto& [name, vm] = entry;
    return name != except && Fits(vm, name, job, step, now) &&
           WorstTailRatio(vm, step) < kHarmfulRatio;
  });
}

int Dispatcher::MoveStarvedOf(const std::string& name, Vm& vm,
                              const std::string& image, TimePoint now) {
  int moves = 0;
  for (const auto& [run, held] : std::map<RunRef, HeldRun>(vm.held)) {
    if (moves >= kMovesOfVm) break;
    if (held.image != image || held.filling_cpu == 0 || held.stopping) continue;
    Job* job = Find(run.task.workflow);
    if (job == nullptr || job->progress.over()) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    if (!step.saves_progress || step.gang ||
        !HasCalmPlace(name, *job, step, now)) {
      continue;
    }
    job->progress.At(run.task).avoid_vm = name;
    Stop(name, vm, run);
    ++moves;
    ++counts_.moved;
    Decide(run.task.workflow, "run_moved",
           run.task.ToString() + " run " + std::to_string(run.run) + " off " +
               name + ": paced low beside what it disturbs");
  }
  return moves;
}

void Dispatcher::MoveStarved(TimePoint now) {
  if (now - moved_at_ < kMoveInterval) return;
  moved_at_ = now;
  for (auto& [name, vm] : vms_) {
    for (auto& [image, since] : vm.starved_since) {
      if (now - since < kStarvedFor) continue;
      // What was moved frees the rest; look again after the same time.
      if (MoveStarvedOf(name, vm, image, now) > 0) since = now;
    }
  }
}

}  // namespace beamhill
