// Tracks VMs whose runners answer calls while their tasks make no progress, and
// when one run may be started on such a VM to find out whether that has
// changed.
//
// Reads no clock and does no I/O. The executors detect the stalls.
//
//   StalledVms stalls;
//   stalls.Report("vm-3", status.incarnation, status.stalled, now, "web");
//   stalls.Compare(stalled_vms, answering_vms, "web");
//   if (stalls.Avoids("vm-3") && !stalls.ProbeIsDue("vm-3", now)) ...
#ifndef BEAMHILL_DISPATCH_STALLED_VMS_H_
#define BEAMHILL_DISPATCH_STALLED_VMS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "beamhill/base/time.h"
#include "beamhill/workflow/workflow.h"

namespace beamhill {

class StalledVms {
 public:
  // Records what the VM's executor reports about this incarnation of the
  // service's runner. Returns whether this has changed. Forgets everything
  // about an earlier incarnation.
  bool Report(const std::string& vm, const std::string& incarnation,
              bool stalled, TimePoint now, const std::string& service = "");
  // Decides whether work is kept off the service's stalled VMs, by the numbers
  // of its VMs that are stalled and that answer, stalled ones included. If more
  // than a third are stalled, the fault is not in single VMs, and all of them
  // stay in use. Returns whether the decision has changed.
  bool Compare(size_t stalled, size_t answering,
               const std::string& service = "");

  bool empty() const { return stalls_.empty(); }
  bool Has(const std::string& vm) const { return stalls_.count(vm) > 0; }
  // Services of which too many VMs are stalled.
  const std::set<std::string>& too_many() const { return too_many_; }
  // Whether the VM is stalled and work is kept off it.
  bool Avoids(const std::string& vm) const;
  // Time since the stall was first reported; zero if there is none.
  Duration Age(const std::string& vm, TimePoint now) const;

  // Whether a probe may be started on the VM. False while one runs there.
  bool ProbeIsDue(const std::string& vm, TimePoint now) const;
  // Whether one is due for so long that there seems to be no suitable run.
  bool ProbeIsOverdue(const std::string& vm, TimePoint now) const;
  // `expected`: how long the run is expected to last.
  void BeginProbe(const std::string& vm, const RunRef& run, TimePoint now,
                  Duration expected = Duration(0));
  std::optional<RunRef> ProbeOn(const std::string& vm) const;
  // Whether the VM's probe has run long enough to have shown progress.
  bool ProbeHasFailed(const std::string& vm, TimePoint now) const;
  // Schedules the next probe: after a longer delay if this one has failed,
  // after the same delay if it ended without an answer.
  void EndProbe(const std::string& vm, TimePoint now);

 private:
  struct Probe {
    RunRef run;
    TimePoint began{};
    Duration time{};  // After which it has failed.
  };
  struct Stall {
    std::string service;
    std::string incarnation;
    TimePoint since{};
    Duration probe_delay{};
    TimePoint next_probe_at{};
    std::optional<Probe> probe;
  };

  std::map<std::string, Stall> stalls_;  // By VM.
  std::set<std::string> too_many_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_STALLED_VMS_H_
