// Dispatcher: chooses which tasks start next, and on which VM.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "beamhill/dispatch/dispatcher.h"
#include "beamhill/dispatch/run_number.h"

namespace beamhill {
namespace {

// Bounds the duration of a tick; the rest starts in the next one.
constexpr uint64_t kMaxStartsPerTick = 200;
// A VM needs this much of its lease left: a start would be refused or soon cut
// short otherwise.
constexpr Duration kMinLeaseTime = std::chrono::milliseconds(800);
constexpr double kHarmfulTailCost = 5;
// Costs of bringing a serving image to a VM where nothing serves, and to one
// where only other images do. Differences in load cost at most 1.
constexpr double kNewServingCost = 3;
constexpr double kMixedServingCost = 2;
// Cost per core that best-effort tasks lose.
constexpr double kLayoutCostPerCore = 2;
// Costs of another rack than that of the data, and of the VM where the task
// last failed. They outweigh any difference in load.
constexpr double kOtherRackCost = 4;
constexpr double kAvoidedVmCost = 8;
// Cost of a VM whose runner is still warming up: no more than
// kNewServingCost, as it is temporary.
constexpr double kColdVmCost = 3;
// Cost of a stalled VM to a long-running task: more than all others together.
constexpr double kStalledVmCost = 1000;
// Work that ends after this multiple of its objective has no value left.
constexpr int kLateFactor = 3;
// A step that asks for more than 1/4 of a service's processors is assumed to
// run in waves of that size. Users count its objective in the same way.
constexpr int64_t kWaveDivisor = 4;

// When the round's objective ends. Rounds with a due time count from there.
TimePoint DueOf(const dispatch_internal::Job& job, uint32_t round,
                TimePoint now, UnixMillis unix_now) {
  const Workflow& workflow = job.progress.workflow();
  if (workflow.repetitions == 0) return job.added_at + job.objective;
  const UnixMillis began = workflow.first_due + round * workflow.interval;
  return now + (began - unix_now) + job.objective;
}

Lateness LatenessOf(const dispatch_internal::Job& job, uint32_t round,
                    TimePoint now, UnixMillis unix_now) {
  const TimePoint due = DueOf(job, round, now, unix_now);
  const TimePoint end = now + job.progress.RemainingCriticalPath(round, now);
  if (end > due + (kLateFactor - 1) * job.objective) return Lateness::kTooLate;
  return end > due ? Lateness::kLate : Lateness::kInTime;
}

double BestEffortRankOf(const dispatch_internal::Job& job, uint32_t round,
                        TimePoint now, UnixMillis unix_now) {
  return BestEffortRank(LatenessOf(job, round, now, unix_now),
                        job.progress.RemainingCoreSeconds(round),
                        DueOf(job, round, now, unix_now));
}

// Latest start time for an order sent now, by the clock of the VM.
TimePoint LatestStart(const dispatch_internal::Vm& vm, TimePoint now) {
  // The stamp was taken before the heartbeat arrived, so the VM's clock has
  // reached at least this time.
  return vm.stamp + (now - vm.stamped_at) + kStartOrderTtl;
}

}  // namespace

uint64_t Dispatcher::NextRun(const WorkflowProgress::Task& task) const {
  return std::max(task.run + 1, FirstRunOf(options_.epoch));
}

int64_t Dispatcher::WavesOf(const Job& job, const WorkflowStep& step) const {
  const auto room = service_cpu_.find(job.progress.workflow().service);
  const int64_t wave =
      room == service_cpu_.end() ? 0 : room->second / kWaveDivisor;
  if (wave == 0) return 1;
  const int64_t wide = step.each.cpu_millis * step.tasks;
  return std::max<int64_t>(1, (wide + wave - 1) / wave);
}

void Dispatcher::UpdateExpectedRunTimes(Job& job) const {
  const Workflow& workflow = job.progress.workflow();
  for (uint32_t i = 0; i < workflow.steps.size(); ++i) {
    const Duration declared = workflow.steps[i].declared_run;
    job.progress.set_expected_run(i,
                                  run_times_.Expect(workflow.queue, declared));
  }
}

Duration Dispatcher::LatencyObjectiveOf(const Job& job, uint32_t round) const {
  const Workflow& workflow = job.progress.workflow();
  const Duration chain = CriticalPath(workflow, [&](size_t number) {
    const WorkflowStep& step = workflow.steps[number];
    const auto failures = static_cast<int64_t>(
        job.progress.MaxFailures(round, static_cast<uint32_t>(number)));
    return job.progress.ExpectedRun(static_cast<uint32_t>(number)) *
           (WavesOf(job, step) + failures);
  });
  return std::chrono::duration_cast<Duration>(chain * workflow.policy.stretch) +
         workflow.policy.target_latency;
}

void Dispatcher::UpdateBestEffortRank(Job& job, TimePoint now,
                                      UnixMillis unix_now) {
  const Workflow& workflow = job.progress.workflow();
  for (uint32_t round = 0; round < workflow.rounds(); ++round) {
    if (job.progress.RemainingCoreSeconds(round) <= 0) continue;
    job.objective = LatencyObjectiveOf(job, round);
    job.best_effort_rank = BestEffortRankOf(job, round, now, unix_now);
    return;
  }
}

// Sorts by lateness, the queue's priority and the rank. Long-running tasks are
// never late.
std::vector<Dispatcher::OpenStepRef> Dispatcher::ByUrgency(
    TimePoint now, UnixMillis unix_now) {
  using Rank = std::tuple<Lateness, int32_t, double, TimePoint>;
  std::vector<std::pair<Rank, OpenStepRef>> ranked;
  for (const auto& [id, job] : jobs_) {
    if (!MayStart(*job)) continue;
    const Workflow& workflow = job->progress.workflow();
    for (const auto& open : job->progress.OpenSteps(unix_now)) {
      Lateness lateness = LatenessOf(*job, open.round, now, unix_now);
      if (workflow.steps[open.step].long_running) lateness = Lateness::kInTime;
      ranked.push_back({Rank{lateness, workflow.policy.priority,
                             BestEffortRankOf(*job, open.round, now, unix_now),
                             DueOf(*job, open.round, now, unix_now)},
                        {job.get(), open}});
    }
  }
  std::stable_sort(
      ranked.begin(), ranked.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  std::vector<OpenStepRef> ordered;
  ordered.reserve(ranked.size());
  for (const auto& entry : ranked) ordered.push_back(entry.second);
  return ordered;
}

void Dispatcher::StartWaitingTasks(TimePoint now, UnixMillis unix_now) {
  failed_searches_.Clear();
  const uint64_t limit = counts_.starts + kMaxStartsPerTick;
  for (const OpenStepRef& ref : ByUrgency(now, unix_now)) {
    if (counts_.starts >= limit) break;
    const WorkflowStep& step =
        ref.job->progress.workflow().steps[ref.open.step];
    if (!HasAdvice(*ref.job, ref.open, now)) continue;
    if (step.gang) {
      StartGang(*ref.job, ref.open, now);
    } else {
      StartStep(*ref.job, ref.open, now);
    }
  }
  FlushStarts();
}

void Dispatcher::StartStep(Job& job, const WorkflowProgress::OpenStep& open,
                           TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  const WorkflowStep& step = workflow.steps[open.step];
  std::vector<WorkflowProgress::Task>& tasks =
      job.progress.TasksOf(open.round, open.step);
  std::vector<uint32_t> waiting;
  for (uint32_t i = 0; i < tasks.size(); ++i) {
    const bool waits = tasks[i].phase == WorkflowProgress::Phase::kWaiting;
    if (waits && now >= tasks[i].not_before) waiting.push_back(i);
  }
  // The one that has been down longest comes first.
  if (step.long_running) {
    std::stable_sort(waiting.begin(), waiting.end(), [&](auto a, auto b) {
      return tasks[a].last_run_ended_at.value_or(now) <
             tasks[b].last_run_ended_at.value_or(now);
    });
  }
  for (const uint32_t i : waiting) {
    WorkflowProgress::Task& task = tasks[i];
    std::string name;
    const bool suspect = !task.crashed_runs.empty();
    Vm* vm = suspect ? ChooseForTrial({&job, open}, i, now, &name)
                     : ChooseVm(job, step, open, task.avoid_vm, now, &name);
    if (vm == nullptr && suspect) continue;
    if (vm == nullptr) return;
    StartOn(name, *vm, job, {workflow.id, open.round, open.step, i},
            NextRun(task), now);
  }
}

void Dispatcher::StartGang(Job& job, const WorkflowProgress::OpenStep& open,
                           TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  const WorkflowStep& step = workflow.steps[open.step];
  std::vector<WorkflowProgress::Task>& tasks =
      job.progress.TasksOf(open.round, open.step);
  uint64_t run = 0;
  std::string checkpoint;
  for (const WorkflowProgress::Task& task : tasks) {
    // The next run of a gang needs all members to be free.
    if (task.phase != WorkflowProgress::Phase::kWaiting ||
        now < task.not_before) {
      return;
    }
    run = std::max(run, NextRun(task));
    if (checkpoint.empty()) checkpoint = task.checkpoint;
  }
  const auto reserved = step.same_rack
                            ? ReserveGangTogether(job, open, run, now)
                            : ReserveGang(job, open, run, std::nullopt, now);
  const bool suspect =
      std::any_of(tasks.begin(), tasks.end(),
                  [](const auto& task) { return !task.crashed_runs.empty(); });
  for (const auto& [name, ref] : reserved) {
    Vm& vm = vms_[name];
    Release(vm, ref);
    tasks[ref.task.index].checkpoint = checkpoint;
    StartOn(name, vm, job, ref.task, run, now);
    if (suspect) BeginTrial(vm, workflow.id, now);
  }
}

std::vector<Dispatcher::Reservation> Dispatcher::ReserveGang(
    Job& job, const WorkflowProgress::OpenStep& open, uint64_t run,
    const std::optional<std::string>& rack, TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  const WorkflowStep& step = workflow.steps[open.step];
  std::vector<Reservation> reserved;
  const size_t failed_before = failed_searches_.size();
  for (uint32_t i = 0; i < step.tasks; ++i) {
    std::string name;
    Vm* vm = ChooseVm(job, step, open, "", now, &name, rack);
    if (vm == nullptr) {
      // The room of the other members is free again.
      if (!reserved.empty()) failed_searches_.Truncate(failed_before);
      for (const auto& [holder, ref] : reserved) Release(vms_[holder], ref);
      return {};
    }
    const RunRef ref{{workflow.id, open.round, open.step, i}, run};
    Hold(*vm, ref, job, step);
    reserved.emplace_back(name, ref);
  }
  return reserved;
}

std::vector<Dispatcher::Reservation> Dispatcher::ReserveGangTogether(
    Job& job, const WorkflowProgress::OpenStep& open, uint64_t run,
    TimePoint now) {
  std::set<std::string> racks;
  for (const auto& [name, vm] : vms_) racks.insert(vm.status.rack);
  for (const std::string& rack : racks) {
    auto reserved = ReserveGang(job, open, run, rack, now);
    if (!reserved.empty()) return reserved;
  }
  return ReserveGang(job, open, run, std::nullopt, now);
}

Obstacle Dispatcher::VmObstacle(const Vm& vm, const std::string& name,
                                const Job& job, const WorkflowStep& step,
                                TimePoint now) const {
  const VmStatus& status = vm.status;
  if (!vm.linked || !vm.has_inventory || !vm.leased || status.draining ||
      status.incarnation.empty()) {
    return Obstacle::kOffline;
  }
  if (status.service != job.progress.workflow().service) {
    return Obstacle::kService;
  }
  if (IsEvacuated(vm)) return Obstacle::kEvacuated;
  if (stalls_.Avoids(name) && !MayProbeStall(name, vm, step, now)) {
    return Obstacle::kStalled;
  }
  if (IsOnTrial(vm, now) &&
      vm.trial->workflows.count(job.progress.workflow().id) == 0) {
    return Obstacle::kTrial;
  }
  if (now < vm.not_before) return Obstacle::kBackOff;
  if (vm.lease_bound - now < kMinLeaseTime) return Obstacle::kLease;
  if (!step.required_label.empty() &&
      std::find(status.labels.begin(), status.labels.end(),
                step.required_label) == status.labels.end()) {
    return Obstacle::kLabel;
  }
  return Obstacle::kNone;
}

Obstacle Dispatcher::FitObstacle(const Vm& vm, const std::string& name,
                                 const Job& job, const WorkflowStep& step,
                                 TimePoint now) const {
  // Cheap and selective checks come first, expensive ones last.
  const Resources need = dispatch_internal::RoomNeededBy(step);
  if (!(vm.status.capacity - vm.used).Holds(need)) return Obstacle::kRoom;
  const Obstacle admission = VmObstacle(vm, name, job, step, now);
  if (admission != Obstacle::kNone) return admission;
  if (step.best_effort && !HasBestEffortRoom(vm, job, step)) {
    return Obstacle::kBestEffort;
  }
  if (!reservations_.Admit(name, vm.status.capacity - vm.used,
                           job.progress.workflow().id,
                           dispatch_internal::StepNumber(job, step), need,
                           dispatch_internal::IsDown(job, step))) {
    return Obstacle::kReserved;
  }
  if (!IsHealthyFor(name, vm, job, step, now)) return Obstacle::kQuarantine;
  return Obstacle::kNone;
}

bool Dispatcher::MayHost(const Vm& vm, const std::string& name, const Job& job,
                         const WorkflowStep& step,
                         const WorkflowProgress::OpenStep& open,
                         TimePoint now) const {
  return FitObstacle(vm, name, job, step, now) == Obstacle::kNone &&
         dispatch_internal::StepObstacle(vm, job, open, now) == Obstacle::kNone;
}

// Lower is better. Best-effort tasks go where most processor time is free and
// least harm is expected. Serving tasks are packed on few VMs, beside others of
// their image if possible, so that best-effort tasks find VMs without
// interference. All others go where they fit most tightly.
double Dispatcher::PlacementCost(const Vm& vm, const WorkflowStep& step) const {
  const auto used = static_cast<double>(vm.used.cpu_millis);
  const auto best_effort = static_cast<double>(vm.best_effort_cpu);
  const auto serving = static_cast<double>(vm.serving_cpu);
  const auto whole =
      static_cast<double>(std::max<int64_t>(vm.status.capacity.cpu_millis, 1));
  if (step.best_effort) {
    const double busy =
        (used - serving + dispatch_internal::kServingUtilization * serving +
         best_effort) /
        whole;
    if (vm.serving.empty()) return busy;
    const double ratio = WorstTailRatio(vm, step);
    const double harm = ratio > dispatch_internal::kHarmfulTailRatio
                            ? kHarmfulTailCost * ratio
                            : ratio;
    return busy + harm;
  }
  if (step.tail_target > Duration(0)) {
    const double loss =
        kLayoutCostPerCore * LayoutLoss(vm, step.image, step.each.cpu_millis);
    if (vm.serving.empty()) return loss + kNewServingCost + best_effort / whole;
    const double mixing =
        vm.serving.count(step.image) > 0 ? 0 : kMixedServingCost;
    return loss + mixing + (best_effort - used) / whole;
  }
  return -used / whole;
}

VmSearch Dispatcher::SearchFor(const Job& job, const WorkflowStep& step,
                               TimePoint now) const {
  const Workflow& workflow = job.progress.workflow();
  VmSearch search;
  search.service = workflow.service;
  search.need = step.each;
  search.best_effort = step.best_effort;
  search.image = step.image;
  search.best_effort_rank = job.best_effort_rank;
  if (dispatch_internal::IsDown(job, step)) {
    search.rights |= kUseReservedCapacity;
  }
  if (!stalls_.empty()) {
    if (dispatch_internal::MayProbe(step)) {
      search.rights |= kProbeStalledVm | kProbeVmStalledForLong;
    }
    if (step.long_running && !step.gang) {
      search.rights |= kProbeVmStalledForLong;
    }
  }
  if (dispatch_internal::MayStartInQuarantine(job, step, now)) {
    search.rights |= kStartInQuarantine;
  }
  // Trials are opened for suspects.
  const bool on_trial =
      !suspects_.empty() &&
      std::any_of(vms_.begin(), vms_.end(), [&](const auto& entry) {
        return IsOnTrial(entry.second, now) &&
               entry.second.trial->workflows.count(workflow.id) > 0;
      });
  if (on_trial || job.reservations > 0 ||
      dispatch_internal::NeedsGuaranteedRun(job)) {
    search.rights |= kOwnVm;
  }
  return search;
}

Dispatcher::Vm* Dispatcher::ChooseVm(const Job& job, const WorkflowStep& step,
                                     const WorkflowProgress::OpenStep& open,
                                     const std::string& avoid, TimePoint now,
                                     std::string* name,
                                     const std::optional<std::string>& rack) {
  const Workflow& workflow = job.progress.workflow();
  const bool advised = workflow.policy.needs_advice;
  const bool simple =
      step.max_per_vm == 0 && step.required_label.empty() && !advised && !rack;
  // The failure of a step with further constraints rules out nothing.
  const VmSearch search = SearchFor(job, step, now);
  if (simple && failed_searches_.RuleOut(search)) return nullptr;
  Vm* best = nullptr;
  double best_cost = 0;
  for (auto& [vm_name, vm] : vms_) {
    if (rack && vm.status.rack != *rack) continue;
    if (!MayHost(vm, vm_name, job, step, open, now)) continue;
    double cost = PlacementCost(vm, step);
    if (!step.preferred_rack.empty() && vm.status.rack != step.preferred_rack) {
      cost += kOtherRackCost;
    }
    if (vm_name == avoid) cost += kAvoidedVmCost;
    if (vm.cold) cost += kColdVmCost;
    if (step.long_running && stalls_.Avoids(vm_name)) cost += kStalledVmCost;
    if (best == nullptr || cost < best_cost) {
      best = &vm;
      best_cost = cost;
      *name = vm_name;
    }
  }
  if (best == nullptr && simple) failed_searches_.Add(search);
  return best;
}

void Dispatcher::StartOn(const std::string& name, Vm& vm, Job& job,
                         const TaskRef& ref, uint64_t run, TimePoint now) {
  const Workflow& workflow = job.progress.workflow();
  const WorkflowStep& step = workflow.steps[ref.step];
  Hold(vm, {ref, run}, job, step);
  vm.held[{ref, run}].since = now;
  vm.last_start = now;
  if (stalls_.Avoids(name)) {
    vm.held[{ref, run}].probes_stall = true;
    stalls_.BeginProbe(name, {ref, run}, now,
                       job.progress.ExpectedRun(ref.step));
    LogDecision(ref.workflow, "vm_probed", name + ", one run is started");
  }
  job.idle_since.reset();
  const std::string checkpoint =
      step.saves_progress ? job.progress.At(ref).checkpoint : "";
  job.progress.OnStarted(ref, run, name, now);
  // Its run time is not typical of the step.
  if (vm.cold) job.progress.At(ref).measurable = false;
  ++counts_.starts;
  StartRuns& starts =
      starts_[{name, TaskRef{ref.workflow, ref.round, ref.step, 0}}];
  if (starts.runs.empty()) {
    starts.epoch = options_.epoch;
    starts.incarnation = vm.status.incarnation;
    starts.workflow = ref.workflow;
    starts.round = ref.round;
    starts.step = ref.step;
    starts.payload = workflow.payload;
    starts.traits = dispatch_internal::TraitsOf(job, step);
    starts.latest_start = LatestStart(vm, now);
    starts.report_begin = !job.progress.begun();
  }
  const dispatch_internal::Ticket* ticket = dispatch_internal::TicketFor(
      job, {ref.round, ref.step}, vm.status.incarnation, now);
  starts.runs.push_back(
      {ref.index, run, checkpoint, ticket == nullptr ? "" : ticket->text});
  run_log_.Note("run_ordered", {ref, run}, name,
                step.image.empty() ? "" : "image " + step.image);
}

void Dispatcher::FlushStarts() {
  for (auto& [key, starts] : std::exchange(starts_, {})) {
    // The executor needs the weights of a new image before its first start.
    Vm& vm = vms_[key.first];
    if (vm.has_new_image) SendWeightsTo(key.first, vm);
    Send(key.first, std::move(starts));
  }
}

}  // namespace beamhill
