// FIFO queue of calls of one kind to a runner, with a limit on calls in flight.
//
// A queued call can be withdrawn or replaced. A call that was taken out has
// been sent and may take effect whether or not it is answered.
//
//   CallQueue<PendingStart> queue(/*max_in_flight=*/3);
//   queue.Push(run, start, now);
//   while (auto next = queue.TakeNext()) {
//     Call(next->run, next->call, [&queue] { queue.OnDone(); });
//   }
#ifndef BEAMHILL_EXECUTOR_CALL_QUEUE_H_
#define BEAMHILL_EXECUTOR_CALL_QUEUE_H_

#include <cstddef>
#include <functional>
#include <iterator>
#include <list>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

template <typename Call>
class CallQueue {
 public:
  struct QueuedCall {
    RunRef run;
    TimePoint queued_at{};
    Call call;
  };

  explicit CallQueue(size_t max_in_flight) : max_in_flight_(max_in_flight) {}

  // Appends a call. If one for the same run is queued already, replaces that
  // one, which keeps its position and its queueing time.
  void Push(const RunRef& run, Call call, TimePoint now) {
    const auto it = by_run_.find(run);
    if (it != by_run_.end()) {
      it->second->call = std::move(call);
      return;
    }
    waiting_.push_back({run, now, std::move(call)});
    by_run_[run] = std::prev(waiting_.end());
  }

  // Takes out the next call, which is in flight until OnDone; nullopt if the
  // queue is empty or the limit on calls in flight is reached.
  std::optional<QueuedCall> TakeNext() {
    if (waiting_.empty() || in_flight_ >= max_in_flight_) return std::nullopt;
    ++in_flight_;
    return Remove(waiting_.begin());
  }
  // Must be called once for each call taken out, after it was answered, given
  // up or not made at all.
  void OnDone() { --in_flight_; }

  // Removes the queued call for the run; returns whether there was one.
  bool Withdraw(const RunRef& run) {
    const auto it = by_run_.find(run);
    if (it == by_run_.end()) return false;
    Remove(it->second);
    return true;
  }
  // Removes and returns all queued calls for which `stale` holds.
  std::vector<QueuedCall> WithdrawIf(
      const std::function<bool(const QueuedCall&)>& stale) {
    std::vector<QueuedCall> taken;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const auto entry = it++;
      if (stale(*entry)) taken.push_back(Remove(entry));
    }
    return taken;
  }
  // Removes all queued calls; calls in flight still count towards the limit.
  void Clear() {
    waiting_.clear();
    by_run_.clear();
  }

  size_t waiting() const { return waiting_.size(); }
  // How long the first queued call has waited; zero if none is queued.
  Duration OldestWait(TimePoint now) const {
    return waiting_.empty() ? Duration(0) : now - waiting_.front().queued_at;
  }

 private:
  using Position = typename std::list<QueuedCall>::iterator;

  QueuedCall Remove(Position position) {
    by_run_.erase(position->run);
    QueuedCall entry = std::move(*position);
    waiting_.erase(position);
    return entry;
  }

  size_t max_in_flight_;
  size_t in_flight_ = 0;
  std::list<QueuedCall> waiting_;
  std::map<RunRef, Position> by_run_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_CALL_QUEUE_H_
