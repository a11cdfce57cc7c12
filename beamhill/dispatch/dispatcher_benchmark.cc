// Cost of the owner's decisions by the number of its VMs: a tick with a
// backlog of fillers that find no place, and one report of pressure.
#include <benchmark/benchmark.h>

#include <map>
#include <string>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnix{1'000'000};
constexpr Resources kVm{16000, 62500, 0};
constexpr int kServingImages = 16;
constexpr int kFillingImages = 30;

std::string NameOf(const char* kind, int64_t number) {
  return kind + std::to_string(number);
}

Workflow Filling(int64_t number) {
  Workflow workflow;
  workflow.id = NameOf("filling-", number);
  workflow.service = "web";
  workflow.offered_to = 1;
  workflow.policy.stretch = 2;
  workflow.steps.resize(2);
  for (WorkflowStep& step : workflow.steps) {
    step.tasks = 20;
    step.each = {1800, 3200, 0};
    step.declared_run = std::chrono::milliseconds(2700);
    step.best_effort = true;
    step.saves_progress = true;
    step.image = NameOf("batch-", number % kFillingImages);
  }
  workflow.steps[1].after = {0};
  return workflow;
}

Workflow Serving(int64_t number) {
  Workflow workflow;
  workflow.id = NameOf("serving-", number);
  workflow.service = "web";
  workflow.offered_to = 1;
  workflow.steps.resize(1);
  workflow.steps[0].tasks = 14;
  workflow.steps[0].each = {3200, 6500, 0};
  workflow.steps[0].long_running = true;
  workflow.steps[0].image = NameOf("service-", number % kServingImages);
  workflow.steps[0].tail_target = std::chrono::milliseconds(18);
  return workflow;
}

VmInterference PressureOf(int64_t vm) {
  VmInterference pressure;
  pressure.epoch = 1;
  pressure.serving.push_back(
      {NameOf("service-", vm % kServingImages), std::chrono::milliseconds(10)});
  pressure.serving.push_back({NameOf("service-", (vm + 1) % kServingImages),
                              std::chrono::milliseconds(12)});
  for (int64_t i = 0; i < 3; ++i) {
    pressure.best_effort_loads.push_back(
        {NameOf("batch-", (vm + i) % kFillingImages), 1500, 100});
  }
  return pressure;
}

std::unique_ptr<Dispatcher> OwnerOf(int64_t vms) {
  DispatcherOptions options;
  options.epoch = 1;
  auto owner = Dispatcher::Create(options, nullptr, kStart);
  for (int64_t i = 0; i < vms; ++i) {
    const std::string vm = NameOf("vm-", i);
    VmStatus status;
    status.incarnation = vm + "-life";
    status.service = "web";
    status.capacity = kVm;
    owner->OnLinkUp(vm);
    owner->OnInventory(vm, {1, status, {}, {}, {}, {}}, kStart);
    owner->OnHeartbeat(vm, {1, kStart}, kStart);
  }
  for (int64_t i = 0; i < vms / 5; ++i) {
    owner->AddWorkflow(Serving(i), std::nullopt, kStart);
  }
  owner->Tick(kStart, kUnix);
  for (int round = 0; round < 15; ++round) {
    for (int64_t i = 0; i < vms; ++i) {
      owner->OnPressure(NameOf("vm-", i), PressureOf(i));
    }
  }
  for (int64_t i = 0; i < vms; ++i) {
    owner->AddWorkflow(Filling(i), std::nullopt, kStart);
  }
  for (int i = 0; i < 50; ++i) owner->Tick(kStart, kUnix);
  owner->TakeMessages();
  return owner;
}

void BM_TickWithBacklog(benchmark::State& state) {
  const auto owner = OwnerOf(state.range(0));
  for (auto _ : state) {
    owner->Tick(kStart, kUnix);
    benchmark::DoNotOptimize(owner->TakeMessages());
  }
}
BENCHMARK(BM_TickWithBacklog)->Arg(11)->Arg(76)->Arg(240)->Arg(716);

void BM_Pressure(benchmark::State& state) {
  const auto owner = OwnerOf(state.range(0));
  int64_t vm = 0;
  for (auto _ : state) {
    const int64_t at = vm++ % state.range(0);
    owner->OnPressure(NameOf("vm-", at), PressureOf(at));
  }
}
BENCHMARK(BM_Pressure)->Arg(240);

// Small jobs from their arrival to their stored end; reported by the start.
void BM_StartToEnd(benchmark::State& state) {
  constexpr uint32_t kTasks = 20;
  const auto owner = OwnerOf(state.range(0));
  int64_t number = 0;
  std::map<std::string, uint64_t> ends;
  for (auto _ : state) {
    Workflow workflow;
    workflow.id = NameOf("small-", number++);
    workflow.service = "web";
    workflow.offered_to = 1;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = kTasks;
    workflow.steps[0].each = {100, 100, 0};
    workflow.steps[0].declared_run = std::chrono::seconds(1);
    owner->AddWorkflow(workflow, std::nullopt, kStart);
    owner->Tick(kStart, kUnix);
    for (const VmMessage& out : owner->TakeMessages()) {
      const auto* starts = std::get_if<StartRuns>(&out.message);
      if (starts == nullptr) continue;
      RunReports reports{1, starts->incarnation, {}, {}, {}};
      for (const StartRun& run : starts->runs) {
        const TaskRef task{starts->workflow, 0, 0, run.index};
        reports.ended.push_back(
            {++ends[out.vm], {task, run.run}, RunEndKind::kDone, ""});
      }
      owner->OnReports(out.vm, reports, kStart);
    }
    if (owner->TakeCommit(kStart)) owner->OnCommitted();
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(BM_StartToEnd)->Arg(11)->Arg(76)->Arg(240)->Arg(716)->Iterations(500);

}  // namespace
}  // namespace beamhill
