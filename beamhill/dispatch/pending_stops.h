// The stops that an owner wants of one VM, each from its decision until the VM
// tells that the run is over or never begins.
//
// A stop may be lost with a link, an executor or the owner's authority. So what
// is kept is the state that is aimed at, and a stop is due again and again
// until that state is reported. BigFleet's controllers do the same: they
// compare whole states and send no deltas ("Wire formats" in its paper).
//
// Pure.
//
//   PendingStops stops;
//   stops.Add(run, now);
//   for (const DueStop& stop : stops.TakeDue(now)) Send(stop.run);
//   stops.Remove(run);  // It is over.
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
  bool repeated = false;  // It was sent before.
};

class PendingStops {
 public:
  // The run is to be stopped, due at once; nothing changes when it was to be
  // stopped already.
  void Add(const RunRef& run, TimePoint now);
  // The run is over, or the VM does not have it.
  void Remove(const RunRef& run) { stops_.erase(run); }
  void Clear() { stops_.clear(); }
  // What was sent so far may be lost: all of them are due.
  void MakeAllDue();

  bool Has(const RunRef& run) const { return stops_.count(run) > 0; }
  bool empty() const { return stops_.empty(); }
  size_t size() const { return stops_.size(); }
  std::vector<RunRef> Runs() const;

  // Those that are due, which count as sent then.
  std::vector<DueStop> TakeDue(TimePoint now);

  // For how long the oldest one has been wanted; zero without any.
  Duration OldestAge(TimePoint now) const;

 private:
  struct Stop {
    TimePoint since{};
    std::optional<TimePoint> sent_at;
    bool due = true;
  };

  std::map<RunRef, Stop> stops_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_PENDING_STOPS_H_
