// One cell with its owner and agents, connected by encoded frames in virtual
// time. It measures the costs per agent and per start that docs/CAPACITY.md
// lists as slopes.
//
//   SlopeCell cell(300);
//   UsageTotals idle = cell.MeasureIdle();
#ifndef BEAMHILL_TESTING_SLOPE_CELL_H_
#define BEAMHILL_TESTING_SLOPE_CELL_H_

#include <malloc.h>

#include <ctime>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/agent/agent_core.h"
#include "beamhill/cell/cell_owner.h"
#include "beamhill/cell/rows.h"
#include "beamhill/messages/codec.h"
#include "beamhill/testing/worker_model.h"

namespace beamhill {

inline constexpr Duration kStepLength = std::chrono::milliseconds(100);
inline constexpr int kIdleSeconds = 60;
inline constexpr int kLoadSeconds = 20;
inline constexpr int kStartsPerAgentSecond = 10;
inline constexpr Duration kTaskRunTime = std::chrono::seconds(1);
// Bytes of the WebSocket and TCP/IP headers of a small frame, and of its
// acknowledgement when no data goes back in time to carry it.
inline constexpr uint64_t kFrameOverheadBytes = 8 + 40;

// Returns the processor time of this thread, in seconds.
inline double CpuSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) / 1e9;
}

inline size_t HeapBytes() { return mallinfo2().uordblks; }

// Traffic and processor time used over a period of virtual time.
struct UsageTotals {
  uint64_t messages = 0;
  uint64_t bytes = 0;
  double owner_cpu = 0;  // Seconds.
  double agent_cpu = 0;  // Seconds, over all agents.
};

class SlopeCell {
 public:
  explicit SlopeCell(int agents) {
    CellOwnerOptions options;
    options.cell = "cell";
    const size_t before = HeapBytes();
    owner_ = CellOwner::Create(options, {1, now_, now_, false, false}, {}, {});
    nodes_.resize(static_cast<size_t>(agents));
    for (int i = 0; i < agents; ++i) {
      Node& node = nodes_[static_cast<size_t>(i)];
      node.name = "vm-" + std::to_string(i);
      AgentCoreOptions core;
      core.vm = node.name;
      core.capacity = kVm;
      core.incarnation = static_cast<uint64_t>(i) + 1;
      node.core = AgentCore::Create(core);
      node.core->OnWorkerList({}, now_);
      node.worker = std::make_unique<WorkerModel>(node.name, kVm, &record_);
      node.worker->Attach(core.incarnation);
      Hello hello;
      hello.vm = node.name;
      hello.rack = "rack-" + std::to_string(i / 3);
      hello.cell = "cell";
      hello.capacity = kVm;
      hello.session = node.core->OnLinkUp("e");
      owner_->OnHello(hello, now_);
      index_[node.name] = static_cast<size_t>(i);
    }
    Advance(3);
    idle_heap_bytes_ = HeapBytes() - before;
  }

  // Measures kIdleSeconds without work.
  UsageTotals MeasureIdle() {
    totals_ = {};
    Advance(kIdleSeconds);
    return totals_;
  }

  // Measures kLoadSeconds of steady load. Sets `starts` to the tasks started.
  UsageTotals MeasureLoad(uint64_t* starts) {
    RangeRow row;
    row.job.id = "j-01234567-89ab-cdef-0123-456789abcdef";
    row.job.team = "team";
    row.job.work_class = "class";
    row.job.each = {100, 100, 0};
    row.job.tasks = 100'000'000;
    row.job.declared_run = kTaskRunTime;
    row.range = {0, row.job.tasks};
    row.initial_window = row.job.tasks;
    owner_->OnRange(row);
    Advance(3);
    totals_ = {};
    const uint64_t before = owner_->counts().starts;
    Advance(kLoadSeconds);
    *starts = owner_->counts().starts - before;
    return totals_;
  }

  uint64_t snapshots() const { return snapshots_; }
  uint64_t snapshot_bytes() const { return snapshot_bytes_; }
  // Heap used by the owner and agents of the idle cell.
  size_t idle_heap_bytes() const { return idle_heap_bytes_; }

 private:
  // Fits kStartsPerAgentSecond tasks of 100 CPU millis that run 1 s each.
  static constexpr Resources kVm{100 * kStartsPerAgentSecond, 1'000'000, 0};

  struct Node {
    std::string name;
    std::unique_ptr<AgentCore> core;
    std::unique_ptr<WorkerModel> worker;
  };

  template <typename Callback>
  // Runs `work` and adds its processor time to `sum`.
  static void AddCpuTime(double* sum, Callback work) {
    const double start_cpu = CpuSeconds();
    work();
    *sum += CpuSeconds() - start_cpu;
  }

  void Advance(int seconds) {
    const TimePoint end = now_ + std::chrono::seconds(seconds);
    while (now_ < end) {
      now_ += kStepLength;
      AddCpuTime(&totals_.owner_cpu, [this] { TickOwner(); });
      DeliverToAgents();
      for (Node& node : nodes_) TickAgent(node);
    }
  }

  void TickOwner() {
    owner_->OnOwnershipConfirmed(now_);
    owner_->Tick(now_);
    if (const auto snapshot = owner_->TakeSnapshot(now_)) {
      ++snapshots_;
      snapshot_bytes_ = EncodeRow(*snapshot).size();
      owner_->OnSnapshotDurable(now_);
    }
  }

  void DeliverToAgents() {
    std::vector<std::pair<std::string, std::string>> frames;
    AddCpuTime(&totals_.owner_cpu, [&] {
      for (const AgentMessage& message : owner_->TakeMessages()) {
        frames.emplace_back(message.vm, Encode(message.message));
      }
    });
    for (const auto& addressed : frames) {
      const std::string& frame = addressed.second;
      CountFrame(frame);
      Node& node = nodes_[index_.at(addressed.first)];
      AddCpuTime(&totals_.agent_cpu, [&] {
        const Result<Message> message = Decode(frame);
        node.core->OnMessage("e", ValueOf(message), now_);
      });
      DeliverToOwner(node);
    }
  }

  void DeliverToOwner(Node& node) {
    RunCommands(node);
    std::vector<std::string> frames;
    AddCpuTime(&totals_.agent_cpu, [&] {
      for (const EntryMessage& message : node.core->TakeMessages()) {
        frames.push_back(Encode(message.message));
      }
    });
    for (const std::string& frame : frames) {
      CountFrame(frame);
      AddCpuTime(&totals_.owner_cpu, [&] { Receive(node.name, frame); });
    }
  }

  void Receive(const std::string& vm, const std::string& frame) {
    const Result<Message> decoded = Decode(frame);
    const Message& message = ValueOf(decoded);
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      owner_->OnHeartbeat(vm, *heartbeat, now_);
    } else if (const auto* inventory = std::get_if<Inventory>(&message)) {
      owner_->OnInventory(vm, *inventory, now_);
    } else if (const auto* outcomes = std::get_if<Outcomes>(&message)) {
      owner_->OnOutcomes(vm, *outcomes, now_);
    }
  }

  void TickAgent(Node& node) {
    node.worker->Advance(now_);
    const std::vector<WorkerTask> list = node.worker->List();
    AddCpuTime(&totals_.agent_cpu, [&] {
      node.core->OnWorkerList(list, now_);
      node.core->Tick(now_);
    });
    DeliverToOwner(node);
  }

  void RunCommands(Node& node) {
    for (const WorkerCommand& command : node.core->TakeCommands()) {
      const uint64_t agent = index_.at(node.name) + 1;
      std::string reason;
      switch (command.kind) {
        case WorkerCommandKind::kStart:
          node.core->OnStartAnswer(
              command.task, command.attempt,
              node.worker->Start(agent, command, command.lease_end, now_,
                                 &reason),
              reason, now_);
          break;
        case WorkerCommandKind::kRenew:
          node.worker->Renew(agent, command.lease_end, now_);
          break;
        case WorkerCommandKind::kThrottle:
          break;
        case WorkerCommandKind::kForget:
          node.worker->Forget(agent, command.task, command.attempt);
          break;
        case WorkerCommandKind::kCancel:
        case WorkerCommandKind::kEvict:
          node.worker->Stop(agent, command.task, command.attempt, true, now_);
          break;
      }
    }
  }

  void CountFrame(const std::string& frame) {
    ++totals_.messages;
    totals_.bytes += frame.size() + kFrameOverheadBytes;
  }

  TimePoint now_{std::chrono::hours(1)};
  WorkRecord record_;
  std::unique_ptr<CellOwner> owner_;
  std::vector<Node> nodes_;
  std::map<std::string, size_t> index_;
  UsageTotals totals_;
  uint64_t snapshots_ = 0;
  uint64_t snapshot_bytes_ = 0;
  size_t idle_heap_bytes_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_SLOPE_CELL_H_
