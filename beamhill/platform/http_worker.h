// Client for the worker of one VM over the platform's HTTP interface.
//
// The worker gets the end of a lease as a time on its own clock, so that a
// delayed call can't extend a lease. Each answer of the worker carries its
// clock; the agent converts a lease end by its offset from the moment at which
// it received the latest answer.
//
//   HttpWorker worker(loop, {"127.0.0.1", 8080}, "vm-1", incarnation);
//   worker.List([](const auto& tasks, TimePoint sent_at) { ... });
//   worker.Run(command, on_start);
#ifndef BEAMHILL_PLATFORM_HTTP_WORKER_H_
#define BEAMHILL_PLATFORM_HTTP_WORKER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "beamhill/agent/agent_core.h"
#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_client.h"

namespace beamhill {

class HttpWorker {
 public:
  // `agent_incarnation` identifies this agent process to the worker.
  HttpWorker(EventLoop& loop, const Address& platform, std::string vm,
             uint64_t agent_incarnation);
  ~HttpWorker();

  using StartCallback = std::function<void(
      const TaskId&, Attempt, WorkerStartAnswer, const std::string& reason)>;
  // Sends one command to the worker. Calls `on_start` for kStart only; the
  // effect of other commands shows in the next List.
  void Run(const WorkerCommand& command, const StartCallback& on_start);

  // Lists all tasks of the worker, attaching this agent first if it is not
  // attached. `sent_at` is when the call was sent. Fails with kUnavailable when
  // the worker does not answer or obeys another agent, and with kInternal when
  // its answer is malformed.
  void List(
      std::function<void(Result<std::vector<WorkerTask>>, TimePoint sent_at)>
          done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLATFORM_HTTP_WORKER_H_
