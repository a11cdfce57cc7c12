// Calls to another process that wait for their answers, by number.
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
  // Gets nothing when no answer came in time.
  using Callback = std::function<void(std::optional<T>)>;

  explicit PendingCalls(EventLoop& loop) : loop_(loop) {}

  // `done` runs once: at the answer, or after the timeout.
  void Add(uint64_t id, Duration timeout, Callback done) {
    Call& call = calls_[id];
    call.done = std::move(done);
    call.timeout =
        loop_.After(timeout, [this, id] { Finish(id, std::nullopt); });
  }

  // Does nothing for a call that isn't open: its answer came too late.
  void Finish(uint64_t id, std::optional<T> answer) {
    const auto it = calls_.find(id);
    if (it == calls_.end()) return;
    const Callback done = std::move(it->second.done);
    calls_.erase(it);
    done(std::move(answer));
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
