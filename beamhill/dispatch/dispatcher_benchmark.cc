// Benchmarks the Dispatcher by the number of VMs: a tick with a backlog of
// best-effort tasks that fit nowhere, one report of interference, and the path
// of small workflows from their arrival to the stored end.
#include <benchmark/benchmark.h>

#include <map>
#include <string>

#include "beamhill/dispatch/dispatcher.h"

namespace beamhill {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMillis kUnixNow{1'000'000};
constexpr Resources kVmCapacity{16000, 62500, 0};
constexpr int kServingImages = 16;
constexpr int kBestEffortImages = 30;

std::string NameOf(const char* kind, int64_t number) {
  return kind + std::to_string(number);
}

Workflow BestEffortWorkflow(int64_t number) {
  Workflow workflow;
  workflow.id = NameOf("best-effort-", number);
  workflow.service = "web";
  workflow.offered_to_epoch = 1;
  workflow.policy.stretch = 2;
  workflow.steps.resize(2);
  for (WorkflowStep& step : workflow.steps) {
    step.tasks = 20;
    step.each = {1800, 3200, 0};
    step.declared_run = std::chrono::milliseconds(2700);
    step.best_effort = true;
    step.saves_progress = true;
    step.image = NameOf("batch-", number % kBestEffortImages);
  }
  workflow.steps[1].after = {0};
  return workflow;
}

Workflow ServingWorkflow(int64_t number) {
  Workflow workflow;
  workflow.id = NameOf("serving-", number);
  workflow.service = "web";
  workflow.offered_to_epoch = 1;
  workflow.steps.resize(1);
  workflow.steps[0].tasks = 14;
  workflow.steps[0].each = {3200, 6500, 0};
  workflow.steps[0].long_running = true;
  workflow.steps[0].image = NameOf("service-", number % kServingImages);
  workflow.steps[0].tail_target = std::chrono::milliseconds(18);
  return workflow;
}

VmInterference InterferenceReportOf(int64_t vm) {
  VmInterference report;
  report.epoch = 1;
  report.serving.push_back(
      {NameOf("service-", vm % kServingImages), std::chrono::milliseconds(10)});
  report.serving.push_back({NameOf("service-", (vm + 1) % kServingImages),
                            std::chrono::milliseconds(12)});
  for (int64_t i = 0; i < 3; ++i) {
    report.best_effort_loads.push_back(
        {NameOf("batch-", (vm + i) % kBestEffortImages), 1500, 100});
  }
  return report;
}

std::unique_ptr<Dispatcher> CreateLoadedDispatcher(int64_t vms) {
  DispatcherOptions options;
  options.epoch = 1;
  auto dispatcher = Dispatcher::Create(options, nullptr, kStart);
  for (int64_t i = 0; i < vms; ++i) {
    const std::string vm = NameOf("vm-", i);
    VmStatus status;
    status.incarnation = vm + "-incarnation";
    status.service = "web";
    status.capacity = kVmCapacity;
    dispatcher->OnLinkUp(vm);
    dispatcher->OnInventory(vm, {1, status, {}, {}, {}, {}}, kStart);
    dispatcher->OnHeartbeat(vm, {1, kStart}, kStart);
  }
  for (int64_t i = 0; i < vms / 5; ++i) {
    dispatcher->AddWorkflow(ServingWorkflow(i), std::nullopt, kStart);
  }
  dispatcher->Tick(kStart, kUnixNow);
  for (int round = 0; round < 15; ++round) {
    for (int64_t i = 0; i < vms; ++i) {
      dispatcher->OnInterference(NameOf("vm-", i), InterferenceReportOf(i));
    }
  }
  for (int64_t i = 0; i < vms; ++i) {
    dispatcher->AddWorkflow(BestEffortWorkflow(i), std::nullopt, kStart);
  }
  for (int i = 0; i < 50; ++i) dispatcher->Tick(kStart, kUnixNow);
  dispatcher->TakeMessages();
  return dispatcher;
}

void BM_TickWithBacklog(benchmark::State& state) {
  const auto dispatcher = CreateLoadedDispatcher(state.range(0));
  for (auto _ : state) {
    dispatcher->Tick(kStart, kUnixNow);
    benchmark::DoNotOptimize(dispatcher->TakeMessages());
  }
}
BENCHMARK(BM_TickWithBacklog)->Arg(11)->Arg(76)->Arg(240)->Arg(716);

void BM_OnInterference(benchmark::State& state) {
  const auto dispatcher = CreateLoadedDispatcher(state.range(0));
  int64_t vm = 0;
  for (auto _ : state) {
    const int64_t at = vm++ % state.range(0);
    dispatcher->OnInterference(NameOf("vm-", at), InterferenceReportOf(at));
  }
}
BENCHMARK(BM_OnInterference)->Arg(240);

// Runs small workflows from their arrival to their stored end. An item is one
// start of a task.
void BM_StartToEnd(benchmark::State& state) {
  constexpr uint32_t kTasks = 20;
  const auto dispatcher = CreateLoadedDispatcher(state.range(0));
  int64_t number = 0;
  std::map<std::string, uint64_t> ends;
  for (auto _ : state) {
    Workflow workflow;
    workflow.id = NameOf("small-", number++);
    workflow.service = "web";
    workflow.offered_to_epoch = 1;
    workflow.steps.resize(1);
    workflow.steps[0].tasks = kTasks;
    workflow.steps[0].each = {100, 100, 0};
    workflow.steps[0].declared_run = std::chrono::seconds(1);
    dispatcher->AddWorkflow(workflow, std::nullopt, kStart);
    dispatcher->Tick(kStart, kUnixNow);
    for (const VmMessage& out : dispatcher->TakeMessages()) {
      const auto* starts = std::get_if<StartRuns>(&out.message);
      if (starts == nullptr) continue;
      RunReports reports{1, starts->incarnation, {}, {}, {}};
      for (const StartRun& run : starts->runs) {
        const TaskRef task{starts->workflow, 0, 0, run.index};
        reports.ended.push_back(
            {++ends[out.vm], {task, run.run}, RunEndKind::kDone, ""});
      }
      dispatcher->OnReports(out.vm, reports, kStart);
    }
    if (dispatcher->TakeCommit(kStart)) dispatcher->OnCommitted();
  }
  state.SetItemsProcessed(state.iterations() * kTasks);
}
BENCHMARK(BM_StartToEnd)->Arg(11)->Arg(76)->Arg(240)->Arg(716)->Iterations(500);

}  // namespace
}  // namespace beamhill
