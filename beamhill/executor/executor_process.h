// Runs an Executor as a process: accepts links from owners, keeps the VM's row
// in the table and exports metrics.
//
//   auto process =
//       ExecutorProcess::Start(loop, settings, table, runner, metrics);
//   ValueOf(process)->OnRunnerRegistered(status, clock);
#ifndef BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_
#define BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/executor/executor.h"
#include "beamhill/executor/vm_registration.h"
#include "beamhill/link/link.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct ExecutorSettings {
  std::string vm;  // Name of the VM.
  Address links;   // Address on which to listen for owners.
  // Where owners reach this process, if not at `links`.
  std::optional<Address> advertised;
  ExecutorOptions executor;
  LinkListenerLimits owner_links;
};

class ExecutorProcess {
 public:
  // Starts the process; fails if it can't listen for owners.
  static Result<std::unique_ptr<ExecutorProcess>> Start(
      EventLoop& loop, const ExecutorSettings& settings, Table table,
      TaskRunner runner, Metrics& metrics);

  // Handles the runner's registration or its renewal: see
  // Executor::OnRunnerRegistered and VmRegistration::OnRunnerRegistered.
  void OnRunnerRegistered(const VmStatus& status,
                          std::optional<RunnerClock> clock);
  // Handles the announcement of this incarnation that it is about to exit.
  void OnRunnerLeaving(const std::string& incarnation);

  const Executor& executor() const { return *executor_; }
  // Time since the last message of an owner, or since owners can find this VM
  // if that is shorter; zero while they can't.
  Duration SinceOwner() const;
  // Prepares the exit of the process, then calls `done`. If the runner is gone,
  // or silent until all its leases have expired, removes the VM's row, so that
  // later owners don't wait for this VM. See Executor::NextExitStep.
  void Leave(std::function<void()> done);
  std::string Dump() const;

  // Of the links that owners have dialed.
  ListenerCounts owner_link_counts() const { return listener_->counts(); }

 private:
  ExecutorProcess(EventLoop& loop, const ExecutorSettings& settings,
                  Table table);
  Status Listen();
  void MakeExecutor(TaskRunner runner, Metrics& metrics);
  void MakeRegistration();
  LinkHooks OnAccept(Link& link);
  // Takes the next step towards the exit, if one is due.
  void ContinueLeaving();

  EventLoop& loop_;
  ExecutorSettings settings_;
  Table table_;
  std::unique_ptr<Executor> executor_;
  std::unique_ptr<LinkListener> listener_;
  std::map<LinkId, Link*> links_;
  std::mt19937_64 random_;
  std::unique_ptr<VmRegistration> registration_;
  std::function<void()> on_left_;  // Set while leaving.
  Timer tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_
