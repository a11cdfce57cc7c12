// Owns the deployment's work when no scheduler is left to do so.
//
// Every entry VM may go for good while work still runs. A process beside a
// runner that has heard no owner for a while joins the schedulers as the
// weakest of them, and leaves once another one owns the work. Having no lease
// is no reason: after a start of everything the runners of most VMs have not
// registered yet, and hundreds of processes would join.
//
//   auto standby = StandbyOwner::Create(loop, settings, table, hooks, metrics);
#ifndef BEAMHILL_STANDBY_STANDBY_OWNER_H_
#define BEAMHILL_STANDBY_STANDBY_OWNER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "beamhill/event/event_loop.h"
#include "beamhill/metrics/metrics.h"
#include "beamhill/scheduler/scheduler.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct StandbySettings {
  std::string name;
  Address peers;  // Where schedulers dial this process.
  // Without a word of an owner for so long it stands in; schedulers take over
  // sooner.
  Duration owner_timeout = std::chrono::milliseconds(3500);
  // It leaves when another owner has been heard for so long.
  Duration leave_delay = std::chrono::seconds(3);
};

struct StandbyHooks {
  std::function<TimePoint()> now;
  // How long ago this VM last heard an owner.
  std::function<Duration()> since_owner;
  std::function<Duration()> store_silence;
  AdvisorHook advisor;
  // The newest that is known of the data halls to be emptied, and a peer's
  // copy. `watch_evacuations` begins or ends to follow them: only a process
  // that stands in needs them, and each that follows asks the table all the
  // time.
  EvacuationsHook evacuations;
  std::function<void(const Evacuations&)> on_evacuations_copy;
  std::function<void(bool follow)> watch_evacuations;
};

class StandbyOwner {
 public:
  static std::unique_ptr<StandbyOwner> Create(EventLoop& loop,
                                              const StandbySettings& settings,
                                              Table table, StandbyHooks hooks,
                                              Metrics& metrics);
  ~StandbyOwner();

  bool is_active() const { return scheduler_ != nullptr; }
  std::string Dump() const;

 private:
  StandbyOwner(EventLoop& loop, const StandbySettings& settings, Table table,
               StandbyHooks hooks, Metrics& metrics);
  void Tick();
  void Join();
  void LeaveIfNotNeeded(TimePoint now);
  SchedulerHooks MakeSchedulerHooks();

  EventLoop& loop_;
  StandbySettings settings_;
  Table table_;
  StandbyHooks hooks_;
  // Service settings that peers have passed on; it passes them on as well.
  uint64_t settings_version_ = 0;
  std::string settings_document_;
  // Of the scheduler, whose figures go with it.
  std::unique_ptr<Metrics> scheduler_metrics_;
  std::unique_ptr<Scheduler> scheduler_;
  TimePoint join_retry_at_{};
  std::optional<TimePoint> not_needed_since_;
  Timer tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_STANDBY_STANDBY_OWNER_H_
