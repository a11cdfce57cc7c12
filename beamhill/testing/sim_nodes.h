// Nodes of the coordination simulation: entries and VMs, and the connections
// between them.
//
//   std::vector<std::unique_ptr<SimEntry>> entries;
//   entries.push_back(std::make_unique<SimEntry>(world, table, "entry-1"));
//   SimVm vm(world, record, "vm-1", capacity, entries, SimDefect::kNone);
//   entries[0]->Kill();
#ifndef BEAMHILL_TESTING_SIM_NODES_H_
#define BEAMHILL_TESTING_SIM_NODES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/agent/agent_core.h"
#include "beamhill/cell/cell_host.h"
#include "beamhill/testing/coordination_sim.h"
#include "beamhill/testing/sim_world.h"
#include "beamhill/testing/worker_model.h"

namespace beamhill {

class SimVm;

// An entry process that runs the real CellHost.
class SimEntry {
 public:
  SimEntry(SimWorld& world, SimTable& table, std::string name);

  void Start();
  void Kill();
  // Releases its cells, then kills the process 1 s later.
  void Release();

  void OnHello(SimVm* vm, uint64_t link, const Hello& hello);
  void OnMessage(const std::string& vm, uint64_t link, const Message& message);
  void OnLinkDown(const std::string& vm, uint64_t link);
  void OnVmGone(const std::string& vm);
  // Evicts the task if this entry owns the cell.
  void Evict(const TaskId& task);

  SimProcess& process() { return process_; }
  CellHost* host() { return host_.get(); }
  const std::string& name() const { return name_; }
  // Whether the entry can't reach the table.
  bool table_blocked = false;
  // Takeovers by earlier incarnations.
  uint64_t takeovers = 0;

 private:
  struct Peer {
    SimVm* vm = nullptr;
    uint64_t link = 0;
    Session session;
  };
  void Tick();
  void Flush();

  SimWorld& world_;
  SimTable& table_;
  std::string name_;
  SimProcess process_;
  std::unique_ptr<CellHost> host_;
  std::map<std::string, Peer> peers_;
};

// A VM with a worker and an agent process that runs the real AgentCore.
class SimVm {
 public:
  SimVm(SimWorld& world, WorkRecord& record, std::string name,
        const Resources& capacity,
        std::vector<std::unique_ptr<SimEntry>>& entries, SimDefect defect);

  void StartAgent();
  void KillAgent();
  // Fails the VM for good, with its agent, worker and tasks.
  void Lose();
  // Drops all further messages of the connection at once; each end detects the
  // loss after a random delay.
  void CutLink(size_t entry);
  // Handles a connection closed by the entry or by the death of its process.
  void OnEntryClosed(const std::string& entry, uint64_t link);
  // Delivers a message from the entry, in order, after the link's delay.
  void SendFromEntry(const std::string& entry, uint64_t link, Message message);

  SimProcess& process() { return process_; }
  WorkerModel& worker() { return worker_; }
  const std::string& name() const { return name_; }
  const Resources& capacity() const { return capacity_; }
  bool lost() const { return lost_; }
  // Added to the delay of each message, in both directions.
  Duration link_delay{};

 private:
  struct Connection {
    uint64_t id = 0;
    bool up = false;
    TimePoint last_to_entry{};
    TimePoint last_to_vm{};
  };
  void OnMessage(const std::string& entry, uint64_t link, Message message);
  void Dial(size_t entry);
  void Connected(size_t entry);
  void ScheduleLinkDown(size_t entry, Duration delay);
  void Tick();
  void Flush();
  // Polls the worker's tasks periodically.
  void ListWorker();
  void RunCommand(const WorkerCommand& command);
  void SendToEntry(size_t entry, Message message);
  size_t EntryIndex(const std::string& name) const;
  void InjectDefect(std::string* entry, Message* message);

  SimWorld& world_;
  WorkRecord& record_;
  std::string name_;
  Resources capacity_;
  std::vector<std::unique_ptr<SimEntry>>& entries_;
  SimDefect defect_;
  SimProcess process_;
  WorkerModel worker_;
  std::unique_ptr<AgentCore> core_;
  uint64_t incarnation_ = 0;
  std::vector<Connection> links_;
  bool lost_ = false;
  bool list_in_flight_ = false;
  std::optional<TimePoint> unreachable_since_;
  // Last reading of the worker's clock, which is the unskewed virtual clock.
  TimePoint worker_clock_{};
  TimePoint worker_clock_read_at_{};
  TimePoint last_call_at_{};
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_SIM_NODES_H_
