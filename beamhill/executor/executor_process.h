// The executor as a process: links from owners, its own row in the table, and
// the Executor between them and the runner.
//
//   auto process =
//       ExecutorProcess::Start(loop, settings, table, runner, metrics);
//   ValueOf(process)->executor().OnRunnerRegistered(status, clock);  // by the
//   adaptor
#ifndef BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_
#define BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
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
  std::string vm;  // The VM's name.
  Address links;   // Where owners dial.
  ExecutorOptions executor;
};

class ExecutorProcess {
 public:
  // Fails when it can't listen for owners.
  static Result<std::unique_ptr<ExecutorProcess>> Start(
      EventLoop& loop, const ExecutorSettings& settings, Table table,
      TaskRunner runner, Metrics& metrics);

  Executor& executor() { return *executor_; }
  // Prepares the end of the process, then calls `done`. Where the runner has
  // left, the VM's row goes: owners that come later need not wait for it.
  void Leave(std::function<void()> done);
  std::string Dump() const;

 private:
  ExecutorProcess(EventLoop& loop, const ExecutorSettings& settings,
                  Table table);
  Status Listen();
  void MakeExecutor(TaskRunner runner, Metrics& metrics);
  void MakeRegistration();
  LinkHooks OnAccept(Link& link);

  EventLoop& loop_;
  ExecutorSettings settings_;
  Table table_;
  std::unique_ptr<Executor> executor_;
  std::unique_ptr<LinkListener> listener_;
  std::map<uint64_t, Link*> links_;
  uint64_t next_link_ = 1;
  std::mt19937_64 random_;
  std::unique_ptr<VmRegistration> registration_;
  Timer tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_EXECUTOR_PROCESS_H_
