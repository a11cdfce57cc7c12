// Tracks calls to another process that await their answers, keyed by call id.
//
//   PendingCalls<Answer> calls(loop);
//   calls.Add(7, timeout, [](std::optional<Answer> answer) { ... });
//   calls.Finish(7, answer);
#ifndef BEAMHILL_SCHEDULER_PENDING_CALLS_H_
#define BEAMHILL_SCHEDULER_PENDING_CALLS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "beamhill/event/event_loop.h"

namespace beamhill {

template <typename T>
class PendingCalls {
 public:
  // Receives nullopt if no answer arrived before the timeout.
  using Callback = std::function<void(std::optional<T>)>;

  explicit PendingCalls(EventLoop& loop) : loop_(loop) {}

  // Registers a call. `done` runs once: with the answer or, after `timeout`,
  // with nullopt.
  void Add(uint64_t id, Duration timeout, Callback done) {
    Call& call = calls_[id];
    call.done = std::move(done);
    call.timeout =
        loop_.After(timeout, [this, id] { Finish(id, std::nullopt); });
  }

  // Completes the call with `answer`. Returns false, and does nothing else, if
  // no such call is pending, for example after its timeout.
  bool Finish(uint64_t id, std::optional<T> answer) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return false;
    const Callback done = std::move(it->second.done);
    calls_.erase(it);
    done(std::move(answer));
    return true;
  }

 private:
  struct Call {
    Callback done;
    Timer timeout;
  };

  EventLoop& loop_;
  std::map<uint64_t, Call> calls_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_PENDING_CALLS_H_
