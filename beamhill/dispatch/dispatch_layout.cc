// The part of Dispatcher that decides which VMs serving tasks stand on, by
// what was learned of whom fillers disturb.
#include <algorithm>
#include <cmath>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

using dispatch_internal::Vm;
constexpr Duration kLayoutInterval = std::chrono::milliseconds(1000);
// Share of a VM that a filler is taken to have when it is asked whether it is
// harmful to a serving image.
constexpr double kUsualShare = 0.2;
// Demand is smoothed over some seconds: images come and go with their jobs.
constexpr double kDemandSmoothing = 0.2;
// A move takes a serving task away for one or two seconds; it must win this
// much processor time for fillers.
constexpr double kLeastGainCores = 1.0;
// One relocation at a time for so many VMs, so that a layout comes about in
// seconds at any size and what it changed is seen before the next step.
constexpr size_t kVmsOfOneRelocation = 12;
// A task that began less long ago may still be warming up, and counts as away.
constexpr Duration kAtWorkAfter = std::chrono::milliseconds(2500);

ServingLayout::Images ServingOn(const Vm& vm) {
  ServingLayout::Images images;
  for (const auto& [image, serving] : vm.serving) images.insert(image);
  return images;
}

}  // namespace

double Dispatcher::FreeCores(const Vm& vm) {
  const auto room = static_cast<double>(vm.status.capacity.cpu_millis -
                                        (vm.used.cpu_millis - vm.serving_cpu));
  const double serving =
      dispatch_internal::kServingUse * static_cast<double>(vm.serving_cpu);
  return (room - serving) / kMillicoresPerCore;
}

void Dispatcher::UpdateDemand() {
  std::map<std::string, double> asked;
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    for (const WorkflowStep& step : job->progress.workflow().steps) {
      if (!step.fills) continue;
      const auto cpu = static_cast<double>(step.each.cpu_millis) * step.tasks;
      asked[step.image] += cpu / kMillicoresPerCore;
    }
  }
  for (const auto& [image, cores] : asked) filler_demand_.emplace(image, cores);
  for (auto& [image, smoothed] : filler_demand_) {
    const auto it = asked.find(image);
    const double cores = it == asked.end() ? 0 : it->second;
    smoothed += kDemandSmoothing * (cores - smoothed);
  }
}

bool Dispatcher::Harms(const std::string& filling,
                       const std::string& serving) const {
  const auto target = tail_targets_.find(serving);
  const auto tail = interference_.Predict(serving, {{filling, kUsualShare}});
  if (!tail || target == tail_targets_.end()) return false;
  return ToMillis(*tail) >
         dispatch_internal::kHarmfulRatio * ToMillis(target->second);
}

void Dispatcher::RefreshLayout(TimePoint now) {
  if (now - layout_at_ < kLayoutInterval) return;
  layout_at_ = now;
  UpdateDemand();
  std::vector<ServingLayout::Vm> vms;
  for (const auto& [name, vm] : vms_) {
    if (vm.answered) vms.push_back({ServingOn(vm), FreeCores(vm)});
  }
  layout_ = ServingLayout::Create(
      filler_demand_,
      [this](const std::string& filling, const std::string& serving) {
        return Harms(filling, serving);
      },
      vms);
  RelocateServing(now);
}

double Dispatcher::LayoutLoss(const Vm& vm, const std::string& image,
                              int64_t cpu_millis) const {
  const ServingLayout::Images before = ServingOn(vm);
  ServingLayout::Images after = before;
  after.insert(image);
  const double free = FreeCores(vm);
  const double used = dispatch_internal::kServingUse *
                      static_cast<double>(cpu_millis) / kMillicoresPerCore;
  return layout_.Worth(before, free) - layout_.Worth(after, free - used);
}

double Dispatcher::LayoutGain(const Vm& vm, const std::string& image) const {
  ServingLayout::Images after = ServingOn(vm);
  const double before = layout_.Worth(after, FreeCores(vm));
  after.erase(image);
  int64_t cpu = 0;
  for (const auto& [run, held] : vm.held) {
    const bool serves = held.tail_target > Duration(0);
    if (serves && held.image == image) cpu += held.amount.cpu_millis;
  }
  const double freed =
      dispatch_internal::kServingUse * static_cast<double>(cpu) / kMillicoresPerCore;
  return layout_.Worth(after, FreeCores(vm) + freed) - before;
}

bool Dispatcher::AllAtWork(const Job& job, const RunRef& except,
                           TimePoint now) const {
  const TaskRef& ref = except.task;
  const auto& tasks = job.progress.TasksOf(ref.round, ref.step);
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const bool held = tasks[i].phase == WorkflowProgress::Phase::kHeld;
    if (!held || now - tasks[i].held_since < kAtWorkAfter) return false;
    const auto vm = vms_.find(tasks[i].vm);
    if (vm == vms_.end()) return false;
    const RunRef run{{ref.workflow, ref.round, ref.step, i}, tasks[i].run};
    const bool runs = vm->second.held.count(run) > 0;
    if (!runs || vm->second.stops.Has(run)) return false;
  }
  return true;
}

// The least that another VM loses by taking the task over.
std::optional<double> Dispatcher::LeastLoss(
    const std::string& except, const Job& job,
    const WorkflowProgress::OpenStep& at, TimePoint now) const {
  const WorkflowStep& step = job.progress.workflow().steps[at.step];
  std::optional<double> least;
  for (const auto& [name, vm] : vms_) {
    if (name == except || !Fits(vm, name, job, step, now)) continue;
    const uint32_t held = HeldOfStep(vm, job.progress.workflow().id, at);
    if (step.max_per_vm > 0 && held >= step.max_per_vm) continue;
    const double loss = LayoutLoss(vm, step.image, step.each.cpu_millis);
    if (!least || loss < *least) least = loss;
  }
  return least;
}

// All tasks of one image leave a VM together, or it gains nothing.
std::optional<Dispatcher::Relocation> Dispatcher::RelocationOf(
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
    const auto loss = may_move ? LeastLoss(name, *job->second,
                                           {run.task.round, run.task.step}, now)
                               : std::nullopt;
    if (!loss) return std::nullopt;
    plan.gain -= *loss + kLeastGainCores;
    plan.runs.push_back(run);
  }
  return plan;
}

void Dispatcher::RelocateServing(TimePoint now) {
  // While lasting tasks wait for room, one that is moved may find none.
  if (!kept_room_.empty()) return;
  std::vector<Relocation> plans;
  for (const auto& [name, vm] : vms_) {
    if (!vm.answered || vm.serving.size() < 2) continue;
    for (const auto& [image, serving] : vm.serving) {
      auto plan = RelocationOf(name, vm, image, now);
      if (plan && plan->gain > 0) plans.push_back(std::move(*plan));
    }
  }
  std::sort(plans.begin(), plans.end(),
            [](const auto& a, const auto& b) { return a.gain > b.gain; });
  const size_t limit = 1 + vms_.size() / kVmsOfOneRelocation;
  if (plans.size() > limit) plans.resize(limit);
  for (const Relocation& plan : plans) Relocate(plan, now);
}

void Dispatcher::Relocate(const Relocation& plan, TimePoint now) {
  for (const RunRef& run : plan.runs) {
    Job* job = Find(run.task.workflow);
    if (!AllAtWork(*job, run, now)) continue;
    MoveOff(plan.vm, vms_[plan.vm], *job, run, "fillers win by it", now);
  }
}

}  // namespace beamhill
