// Measures the CellOwner's scheduling and heartbeats by the number of workers.
#include <benchmark/benchmark.h>

#include "beamhill/cell/cell_owner.h"

namespace beamhill {
namespace {

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr Resources kVm{32000, 125000, 0};

// Creates an owner with idle workers that are ready for tasks.
std::unique_ptr<CellOwner> CreateOwner(int64_t workers) {
  auto owner = CellOwner::Create({}, {1, kStart, kStart, false, false}, {}, {});
  for (int64_t i = 0; i < workers; ++i) {
    Hello hello;
    hello.vm = "vm-" + std::to_string(i);
    hello.capacity = kVm;
    hello.session = {static_cast<uint64_t>(i) + 1, 1};
    owner->OnHello(hello, kStart);
  }
  owner->OnOwnershipConfirmed(kStart);
  for (const AgentMessage& message : owner->TakeMessages()) {
    const auto* request = std::get_if<InventoryRequest>(&message.message);
    if (request == nullptr) continue;
    owner->OnInventory(
        message.vm, Inventory{request->fence, request->number, {}, {}}, kStart);
  }
  owner->TakeSnapshot(kStart);
  owner->OnSnapshotDurable(kStart);
  for (int64_t i = 0; i < workers; ++i) {
    const Fence fence{1, {static_cast<uint64_t>(i) + 1, 1}};
    owner->OnHeartbeat("vm-" + std::to_string(i), Heartbeat{fence, kStart},
                       kStart);
  }
  owner->TakeMessages();
  return owner;
}

RangeRow JobRange(uint32_t tasks) {
  RangeRow row;
  row.job.id = "job";
  row.job.team = "team";
  row.job.work_class = "class";
  row.job.tasks = tasks;
  row.job.each = {1000, 1000, 0};
  row.range = {0, tasks};
  row.initial_window = tasks;
  return row;
}

// Ticks that start tasks, placement included. The starts per second are
// reported as a counter.
void BM_Start(benchmark::State& state) {
  const auto owner = CreateOwner(state.range(0));
  owner->OnRange(JobRange(100'000'000));
  uint64_t starts = 0;
  for (auto unused : state) {
    const uint64_t before = owner->counts().starts;
    owner->Tick(kStart);
    starts += owner->counts().starts - before;
    state.PauseTiming();
    // Ends the tasks, which frees their capacity.
    for (const AgentMessage& message : owner->TakeMessages()) {
      const auto* s = std::get_if<StartTasks>(&message.message);
      if (s == nullptr) continue;
      Outcomes outcomes{s->fence, {}};
      for (const StartTask& task : s->tasks) {
        outcomes.outcomes.push_back(
            {{"job", task.index}, task.attempt, OutcomeKind::kDone, "", ""});
      }
      owner->OnOutcomes(message.vm, outcomes, kStart);
    }
    owner->TakeMessages();
    state.ResumeTiming();
  }
  state.counters["starts"] = benchmark::Counter(static_cast<double>(starts),
                                                benchmark::Counter::kIsRate);
  state.SetComplexityN(state.range(0));
}
BENCHMARK(BM_Start)->Arg(30)->Arg(100)->Arg(300)->Arg(700)->Arg(7700);

// A tick of a full cell with queued tasks, none of which can start.
void BM_TickOfAFullCell(benchmark::State& state) {
  const auto owner = CreateOwner(state.range(0));
  owner->OnRange(JobRange(100'000'000));
  for (int i = 0; i < 1000; ++i) owner->Tick(kStart);
  owner->TakeMessages();
  for (auto unused : state) owner->Tick(kStart);
}
BENCHMARK(BM_TickOfAFullCell)->Arg(30)->Arg(100)->Arg(300)->Arg(700)->Arg(7700);

void BM_Heartbeat(benchmark::State& state) {
  const auto owner = CreateOwner(state.range(0));
  const Heartbeat heartbeat{Fence{1, {1, 1}}, kStart};
  for (auto unused : state) {
    owner->OnHeartbeat("vm-0", heartbeat, kStart);
    benchmark::DoNotOptimize(owner->TakeMessages());
  }
}
BENCHMARK(BM_Heartbeat)->Arg(30)->Arg(700)->Arg(7700);

}  // namespace
}  // namespace beamhill
