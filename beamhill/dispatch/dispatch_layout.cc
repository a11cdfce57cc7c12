// Dispatcher: decides which VMs serving tasks run on, by the learned
// interference of best-effort tasks.
#include <algorithm>
#include <cmath>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

using dispatch_internal::Vm;
constexpr Duration kLayoutInterval = std::chrono::milliseconds(1000);
// Share of a VM that a best-effort image is assumed to use when its harm to a
// serving image is predicted.
constexpr double kAssumedShare = 0.2;
// Weight of the newest sample, one per second. Demand is averaged over some
// seconds, as images come and go with their jobs.
constexpr double kDemandSmoothing = 0.2;
// Minimum gain of a move in cores for best-effort tasks, as it interrupts a
// serving task for 1 to 2 s.
constexpr double kMinGainCores = 1.0;
// One relocation at a time per this many VMs: a layout changes within seconds
// at any size, and the effect of a change is seen before the next one.
constexpr size_t kVmsPerRelocation = 12;

ServingLayout::Images ServingImagesOn(const Vm& vm) {
  ServingLayout::Images images;
  for (const auto& [image, serving] : vm.serving) images.insert(image);
  return images;
}

}  // namespace

void Dispatcher::UpdateBestEffortDemand() {
  std::map<std::string, double> asked;
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    for (const WorkflowStep& step : job->progress.workflow().steps) {
      if (!step.best_effort) continue;
      const auto cpu = static_cast<double>(step.each.cpu_millis) * step.tasks;
      asked[step.image] += cpu / kMillicoresPerCore;
    }
  }
  for (const auto& [image, cores] : asked) image_demand_.emplace(image, cores);
  for (auto& [image, smoothed] : image_demand_) {
    const auto it = asked.find(image);
    const double cores = it == asked.end() ? 0 : it->second;
    smoothed += kDemandSmoothing * (cores - smoothed);
  }
}

bool Dispatcher::IsHarmfulTo(const std::string& best_effort,
                             const std::string& serving) const {
  const auto target = tail_targets_.find(serving);
  const auto tail =
      interference_.Predict(serving, {{best_effort, kAssumedShare}});
  if (!tail || target == tail_targets_.end()) return false;
  return ToMillis(*tail) >
         dispatch_internal::kHarmfulTailRatio * ToMillis(target->second);
}

void Dispatcher::RefreshLayout(TimePoint now) {
  if (now - layout_refreshed_at_ < kLayoutInterval) return;
  layout_refreshed_at_ = now;
  UpdateBestEffortDemand();
  std::vector<ServingLayout::VmCores> vms;
  for (const auto& [name, vm] : vms_) {
    if (vm.has_inventory) vms.push_back({ServingImagesOn(vm), FreeCores(vm)});
  }
  layout_ = ServingLayout::Create(
      image_demand_,
      [this](const std::string& best_effort, const std::string& serving) {
        return IsHarmfulTo(best_effort, serving);
      },
      vms);
  RelocateServing(now);
}

double Dispatcher::LayoutLoss(const Vm& vm, const std::string& image,
                              int64_t cpu_millis) const {
  const ServingLayout::Images before = ServingImagesOn(vm);
  ServingLayout::Images after = before;
  after.insert(image);
  const double free = FreeCores(vm);
  const double used = dispatch_internal::kServingUtilization *
                      static_cast<double>(cpu_millis) / kMillicoresPerCore;
  return layout_.EffectiveCores(before, free) -
         layout_.EffectiveCores(after, free - used);
}

double Dispatcher::LayoutGain(const Vm& vm, const std::string& image) const {
  ServingLayout::Images after = ServingImagesOn(vm);
  const double before = layout_.EffectiveCores(after, FreeCores(vm));
  after.erase(image);
  int64_t cpu = 0;
  for (const auto& [run, held] : vm.held) {
    const bool serves = held.tail_target > Duration(0);
    if (serves && held.image == image) cpu += held.amount.cpu_millis;
  }
  const double freed = dispatch_internal::kServingUtilization *
                       static_cast<double>(cpu) / kMillicoresPerCore;
  return layout_.EffectiveCores(after, FreeCores(vm) + freed) - before;
}

bool Dispatcher::AllTasksRunning(const Job& job, const RunRef& except,
                                 TimePoint now) const {
  const TaskRef& ref = except.task;
  const auto& tasks = job.progress.TasksOf(ref.round, ref.step);
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const bool held = tasks[i].phase == WorkflowProgress::Phase::kHeld;
    if (!held || now - tasks[i].held_since < dispatch_internal::kStartUpTime) {
      return false;
    }
    const auto vm = vms_.find(tasks[i].vm);
    if (vm == vms_.end()) return false;
    const RunRef run{{ref.workflow, ref.round, ref.step, i}, tasks[i].run};
    const bool runs = vm->second.held.count(run) > 0;
    if (!runs || vm->second.stops.Has(run)) return false;
  }
  return true;
}

// The lowest loss at any other VM that could take the task over.
std::optional<double> Dispatcher::MinLayoutLoss(
    const std::string& except, const Job& job,
    const WorkflowProgress::OpenStep& at, TimePoint now) const {
  const WorkflowStep& step = job.progress.workflow().steps[at.step];
  std::optional<double> least;
  for (const auto& [name, vm] : vms_) {
    if (name == except ||
        FitObstacle(vm, name, job, step, now) != Obstacle::kNone) {
      continue;
    }
    const uint32_t held =
        dispatch_internal::HeldRunsOfStep(vm, job.progress.workflow().id, at);
    if (step.max_per_vm > 0 && held >= step.max_per_vm) continue;
    const double loss = LayoutLoss(vm, step.image, step.each.cpu_millis);
    if (!least || loss < *least) least = loss;
  }
  return least;
}

// All tasks of an image must leave the VM, as there is no gain otherwise.
std::optional<Dispatcher::Relocation> Dispatcher::PlanRelocation(
    const std::string& name, const Vm& vm, const std::string& image,
    TimePoint now) const {
  Relocation plan{LayoutGain(vm, image), name, {}};
  for (const auto& [run, held] : vm.held) {
    if (held.tail_target == Duration(0) || held.image != image) continue;
    const auto job = jobs_.find(run.task.workflow);
    if (job == jobs_.end() || vm.stops.Has(run)) return std::nullopt;
    const WorkflowStep& step =
        job->second->progress.workflow().steps[run.task.step];
    const bool may_move = step.long_running && !step.gang &&
                          MayStart(*job->second) &&
                          !job->second->progress.workflow().policy.needs_advice;
    const auto loss = may_move
                          ? MinLayoutLoss(name, *job->second,
                                          {run.task.round, run.task.step}, now)
                          : std::nullopt;
    if (!loss) return std::nullopt;
    plan.gain -= *loss + kMinGainCores;
    plan.runs.push_back(run);
  }
  return plan;
}

void Dispatcher::RelocateServing(TimePoint now) {
  // While long-running tasks wait for room, a moved one might find none.
  if (!reservations_.empty()) return;
  std::vector<Relocation> plans;
  for (const auto& [name, vm] : vms_) {
    if (!vm.has_inventory || vm.serving.size() < 2) continue;
    for (const auto& [image, serving] : vm.serving) {
      auto plan = PlanRelocation(name, vm, image, now);
      if (plan && plan->gain > 0) plans.push_back(std::move(*plan));
    }
  }
  std::sort(plans.begin(), plans.end(),
            [](const auto& a, const auto& b) { return a.gain > b.gain; });
  const size_t limit = 1 + vms_.size() / kVmsPerRelocation;
  if (plans.size() > limit) plans.resize(limit);
  for (const Relocation& plan : plans) Relocate(plan, now);
}

void Dispatcher::Relocate(const Relocation& plan, TimePoint now) {
  for (const RunRef& run : plan.runs) {
    Job* job = Find(run.task.workflow);
    if (!AllTasksRunning(*job, run, now)) continue;
    MigrateRun(plan.vm, vms_[plan.vm], *job, run,
               "frees cores for best-effort tasks", now);
  }
}

}  // namespace beamhill
