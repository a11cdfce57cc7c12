// Dispatcher: shares out the processor time that serving tasks leave among
// best-effort tasks: where they have room, how they rank and which of them
// migrate.
#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

using dispatch_internal::BestEffortCpuSums;
using dispatch_internal::HeldRun;
using dispatch_internal::Vm;

// A best-effort run that stays below this pace for this long migrates to a VM
// with little interference, if there is one. A migration costs some 0.3 s: the
// stop, the start and the restoring of a checkpoint.
constexpr int32_t kStarvedPercent = 45;
constexpr Duration kStarvationTime = std::chrono::milliseconds(700);
// Best-effort tasks don't start where the predicted tail exceeds this share of
// a serving image's target: executors slow them down from about there on, so
// they would do harm first and be held back then.
constexpr double kMaxTailRatio = 0.95;
// Runs that save no progress migrate after this time, which is longer than most
// tasks take.
constexpr Duration kStarvationTimeWithoutCheckpoint =
    std::chrono::milliseconds(2500);
constexpr int32_t kFullPacePercent = 100;
// Share of a VM's free processor time that a task may take from best-effort
// tasks of higher rank.
constexpr double kMaxDisplacedShare = 0.25;
// Higher than the rank of any task.
constexpr double kLastRank = std::numeric_limits<double>::infinity();
constexpr Duration kStarvedInterval = std::chrono::milliseconds(250);
constexpr int kMaxMigrationsPerVm = 2;
// Relative change of a rank from which on executors are told.
constexpr double kRankSlack = 0.3;
constexpr Duration kRankInterval = std::chrono::milliseconds(500);
// A workflow that was idle this long gets one run on any VM with enough memory,
// even if it is slowed down there or displaces others. The limit is a third of
// the time after which users count the work as lost. With the minimum pace of a
// tenth that executors grant, each accepted workflow progresses under sustained
// overload.
constexpr Duration kMaxIdle = std::chrono::milliseconds(1000);
constexpr Duration kIdleInterval = std::chrono::milliseconds(100);
// Guaranteed runs may fill at most this share of a VM's memory and
// accelerators; the rest is left to work that is in time. Without the limit, an
// overload of 5 times as many open workflows as fit would take all. Above 0.5,
// so that there is room as long as half of the deployment is free.
constexpr double kGuaranteedRunMaxUse = 0.6;

// The last reported pace of the image's tasks, in percent.
int32_t PacePercentOf(const Vm& vm, const std::string& image) {
  const auto it = vm.paces.find(image);
  return it == vm.paces.end() ? kFullPacePercent : it->second;
}

// Returns the cached sums, computed first if they are invalid.
const BestEffortCpuSums& BestEffortCpuSumsOf(const Vm& vm) {
  BestEffortCpuSums& cache = vm.best_effort_sums;
  if (cache.valid) return cache;
  cache.valid = true;
  cache.sums.clear();
  for (const auto& [run, held] : vm.held) {
    if (held.best_effort_cpu == 0) continue;
    const double cpu = static_cast<double>(held.best_effort_cpu) *
                       PacePercentOf(vm, held.image) / kFullPacePercent;
    cache.sums.emplace_back(held.best_effort_rank, cpu);
  }
  std::sort(cache.sums.begin(), cache.sums.end());
  double sum = 0;
  for (auto& entry : cache.sums) sum = entry.second += sum;
  return cache;
}

// Whether a guaranteed run of that size leaves memory for work that is in time.
bool LeavesHeadroom(const Vm& vm, const Resources& amount) {
  const Resources after = vm.used + amount;
  const Resources& whole = vm.status.capacity;
  const auto within = [](int64_t used, int64_t all) {
    return static_cast<double>(used) <=
           kGuaranteedRunMaxUse * static_cast<double>(all);
  };
  return within(after.memory_mib, whole.memory_mib) &&
         (amount.accelerators == 0 ||
          within(after.accelerators, whole.accelerators));
}

// Runs without checkpoints must have starved for longer.
bool MayMigrate(const HeldRun& held, const WorkflowStep& step, TimePoint now) {
  if (step.gang) return false;
  return step.saves_progress ||
         now - *held.starved_since >= kStarvationTimeWithoutCheckpoint;
}

}  // namespace

double Dispatcher::FreeCpuFor(const Vm& vm, double best_effort_rank) const {
  const auto& sums = BestEffortCpuSumsOf(vm).sums;
  const auto after = std::upper_bound(
      sums.begin(), sums.end(), best_effort_rank,
      [](double order, const auto& entry) { return order < entry.first; });
  const double ahead = after == sums.begin() ? 0 : std::prev(after)->second;
  return FreeCores(vm) * kMillicoresPerCore - ahead;
}

bool Dispatcher::HasBestEffortRoom(const Vm& vm, const Job& job,
                                   const WorkflowStep& step) const {
  if (dispatch_internal::NeedsGuaranteedRun(job) &&
      LeavesHeadroom(vm, step.each)) {
    return true;
  }
  const auto asked = static_cast<double>(step.each.cpu_millis);
  if (FreeCpuFor(vm, job.best_effort_rank) < asked) return false;
  // A task may displace those of higher rank, within a limit.
  const double displaceable =
      kMaxDisplacedShare * FreeCores(vm) * kMillicoresPerCore;
  if (FreeCpuFor(vm, kLastRank) + displaceable < asked) return false;
  const bool starved = PacePercentOf(vm, step.image) < kStarvedPercent;
  return !starved && WorstTailRatio(vm, step) < kMaxTailRatio;
}

bool Dispatcher::HasLowInterferenceVm(const std::string& except, const Job& job,
                                      const WorkflowStep& step,
                                      TimePoint now) const {
  return std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
    const auto& [name, vm] = entry;
    return name != except && !stalls_.Avoids(name) &&
           FitObstacle(vm, name, job, step, now) == Obstacle::kNone &&
           FreeCpuFor(vm, kLastRank) >=
               static_cast<double>(step.each.cpu_millis) &&
           WorstTailRatio(vm, step) < dispatch_internal::kHarmfulTailRatio;
  });
}

// Mirrors how the executor shares out processor time and pace.
std::vector<RunRef> Dispatcher::StarvedRuns(Vm& vm, TimePoint now) {
  std::vector<std::pair<double, RunRef>> ranked;
  std::map<std::string, double> remaining;  // By image.
  for (const auto& [run, held] : vm.held) {
    if (held.best_effort_cpu == 0) continue;
    ranked.emplace_back(held.best_effort_rank, run);
    remaining[held.image] += static_cast<double>(held.best_effort_cpu) *
                             PacePercentOf(vm, held.image) / kFullPacePercent;
  }
  std::sort(ranked.begin(), ranked.end());
  double free = FreeCores(vm) * kMillicoresPerCore;
  std::vector<RunRef> starved;
  for (const auto& [rank, run] : ranked) {
    HeldRun& held = vm.held.at(run);
    const auto asked = static_cast<double>(held.best_effort_cpu);
    double& of_image = remaining[held.image];
    const double granted = std::max(std::min({asked, of_image, free}), 0.0);
    of_image -= granted;
    free -= granted;
    if (granted * kFullPacePercent >= kStarvedPercent * asked) {
      held.starved_since.reset();
      continue;
    }
    if (!held.starved_since) held.starved_since = now;
    const Duration starved_for = now - *held.starved_since;
    if (starved_for >= kStarvationTime && !vm.stops.Has(run)) {
      starved.push_back(run);
    }
  }
  return starved;
}

void Dispatcher::RefreshIdle(TimePoint now) {
  if (now - idle_refreshed_at_ < kIdleInterval) return;
  idle_refreshed_at_ = now;
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over() || job->held_runs > 0) {
      job->idle_since.reset();
    } else if (!job->idle_since) {
      job->idle_since = now;
    } else if (now - *job->idle_since >= kMaxIdle) {
      job->run_guaranteed = true;
    }
  }
}

void Dispatcher::RefreshServiceCpu() {
  service_cpu_.clear();
  for (const auto& [name, vm] : vms_) {
    if (!vm.has_inventory) continue;
    service_cpu_[vm.status.service] += vm.status.capacity.cpu_millis;
  }
}

void Dispatcher::RefreshBestEffortRanks(TimePoint now, UnixMillis unix_now) {
  if (now - ranks_refreshed_at_ < kRankInterval) return;
  ranks_refreshed_at_ = now;
  RefitInterference();
  RefreshServiceCpu();
  RefreshPacePolicy(unix_now);
  for (const auto& [id, job] : jobs_) {
    if (job->progress.over()) continue;
    UpdateExpectedRunTimes(*job);
    UpdateBestEffortRank(*job, now, unix_now);
  }
  for (auto& [name, vm] : vms_) {
    vm.cold = vm.cold && now < vm.warm_at;
    RunTraitsList update{options_.epoch, vm.status.incarnation, {}};
    for (auto& [run, held] : vm.held) {
      const Job* job =
          held.best_effort_cpu > 0 ? Find(run.task.workflow) : nullptr;
      if (job == nullptr) continue;
      const double moved =
          std::abs(job->best_effort_rank - held.best_effort_rank);
      if (moved <= kRankSlack * held.best_effort_rank) continue;
      held.best_effort_rank = job->best_effort_rank;
      vm.best_effort_sums.valid = false;
      const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
      update.runs.push_back({run, dispatch_internal::TraitsOf(*job, step)});
    }
    if (vm.has_inventory && !update.runs.empty()) Send(name, std::move(update));
  }
}

void Dispatcher::MigrateStarvedOf(const std::string& name, Vm& vm,
                                  TimePoint now) {
  int moves = 0;
  for (const RunRef& run : StarvedRuns(vm, now)) {
    if (moves >= kMaxMigrationsPerVm) break;
    Job* job = Find(run.task.workflow);
    if (job == nullptr || !MayStart(*job)) continue;
    const WorkflowStep& step = job->progress.workflow().steps[run.task.step];
    HeldRun& held = vm.held.at(run);
    if (!MayMigrate(held, step, now)) continue;
    if (!HasLowInterferenceVm(name, *job, step, now)) continue;
    MigrateRun(name, vm, *job, run, "too little processor time there", now);
    ++moves;
  }
}

void Dispatcher::MigrateStarved(TimePoint now) {
  if (now - starved_migrated_at_ < kStarvedInterval) return;
  starved_migrated_at_ = now;
  for (auto& [name, vm] : vms_) MigrateStarvedOf(name, vm, now);
}

}  // namespace beamhill
