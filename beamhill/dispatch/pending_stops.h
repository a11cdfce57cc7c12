// Stops of runs on one VM that the owner has decided and the VM has not
// confirmed yet, by reporting that the run has ended or will never start.
//
// A stop can be lost with a link, an executor or the owner's authority. So
// PendingStops keeps the desired state, and a stop is sent again until the VM
// reports that state. BigFleet's controllers reconcile in the same way: they
// compare whole states instead of sending deltas ("Wire formats" in its paper).
//
// Reads no clock and does no I/O.
//
//   PendingStops stops;
//   stops.Add(run, now);
//   for (const DueStop& stop : stops.TakeDue(now)) Send(stop.run);
//   stops.Remove(run);  // The run has ended.
#ifndef BEAMHILL_DISPATCH_PENDING_STOPS_H_
#define BEAMHILL_DISPATCH_PENDING_STOPS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/dispatch/dispatch_messages.h"

namespace beamhill {

struct DueStop {
  RunRef run;
  bool repeated = false;  // Whether the stop was sent before.
};

class PendingStops {
 public:
  // Adds a stop of the run, due at once. Does nothing if there is one already.
  void Add(const RunRef& run, TimePoint now);
  // Call when the run has ended or the VM does not have it.
  void Remove(const RunRef& run) { stops_.erase(run); }
  void Clear() { stops_.clear(); }
  // Makes all stops due, since those sent so far may be lost.
  void MakeAllDue();

  bool Has(const RunRef& run) const { return stops_.count(run) > 0; }
  bool empty() const { return stops_.empty(); }
  size_t size() const { return stops_.size(); }
  std::vector<RunRef> Runs() const;

  // Returns the stops that are due, and marks them as sent at `now`.
  std::vector<DueStop> TakeDue(TimePoint now);

  // Time since the oldest stop was added; zero if there is none.
  Duration OldestAge(TimePoint now) const;

 private:
  struct Stop {
    TimePoint since{};  // When it was added.
    std::optional<TimePoint> sent_at;
    bool due = true;
  };

  std::map<RunRef, Stop> stops_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PENDING_STOPS_H_
