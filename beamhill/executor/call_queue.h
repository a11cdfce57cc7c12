// Calls of one kind that are to be made to a runner: so many may be open at a
// time, the others wait here in their order.
//
// What waits can still be withdrawn, replaced or found to be out of date; what
// was taken has left, and may take effect whatever becomes of its answer.
//
//   CallQueue<PendingStart> lane(/*max_in_flight=*/3);
//   lane.Push(run, start, now);
//   while (auto next = lane.TakeNext()) {
//     Call(next->run, next->call, [&lane] { lane.OnDone(); });
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
  struct Entry {
    RunRef run;
    TimePoint queued_at{};
    Call call;
  };

  explicit CallQueue(size_t max_in_flight) : max_in_flight_(max_in_flight) {}

  // Behind all others. A call that waits for the same run is replaced and
  // keeps its turn.
  void Push(const RunRef& run, Call call, TimePoint now) {
    const auto it = by_run_.find(run);
    if (it != by_run_.end()) {
      it->second->call = std::move(call);
      return;
    }
    waiting_.push_back({run, now, std::move(call)});
    by_run_[run] = std::prev(waiting_.end());
  }

  // The next call that may leave now; it is open until OnDone.
  std::optional<Entry> TakeNext() {
    if (waiting_.empty() || in_flight_ >= max_in_flight_) return std::nullopt;
    ++in_flight_;
    return Remove(waiting_.begin());
  }
  // An open call was answered or given up, or was not made after all.
  void OnDone() { --in_flight_; }

  // Whether a call for the run waited; it does no more.
  bool Withdraw(const RunRef& run) {
    const auto it = by_run_.find(run);
    if (it == by_run_.end()) return false;
    Remove(it->second);
    return true;
  }
  // Takes out all waiting calls of which `stale` holds.
  std::vector<Entry> WithdrawIf(
      const std::function<bool(const Entry&)>& stale) {
    std::vector<Entry> taken;
    for (auto it = waiting_.begin(); it != waiting_.end();) {
      const auto entry = it++;
      if (stale(*entry)) taken.push_back(Remove(entry));
    }
    return taken;
  }
  // Withdraws all that waits; open calls stay open.
  void Clear() {
    waiting_.clear();
    by_run_.clear();
  }

  size_t waiting() const { return waiting_.size(); }
  // How long the one that comes next has waited.
  Duration OldestWait(TimePoint now) const {
    return waiting_.empty() ? Duration(0) : now - waiting_.front().queued_at;
  }

 private:
  using Position = typename std::list<Entry>::iterator;

  Entry Remove(Position position) {
    by_run_.erase(position->run);
    Entry entry = std::move(*position);
    waiting_.erase(position);
    return entry;
  }

  size_t max_in_flight_;
  size_t in_flight_ = 0;
  std::list<Entry> waiting_;
  std::map<RunRef, Position> by_run_;
};

}  // namespace beamhill

#endif  // BEAMHILL_EXECUTOR_CALL_QUEUE_H_
