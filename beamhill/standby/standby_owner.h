// Owns the deployment's work when no scheduler is left.
//
// All entry VMs may be lost for good while work is still running. A process
// beside a runner that has received no message of an owner for a while joins
// the schedulers with the lowest capacity of all, and leaves once another
// process owns the work. A missing lease alone does not count: after a restart
// of the whole deployment the runners of most VMs have not registered yet, and
// hundreds of processes would join.
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
  Address peers;  // Listens here for links from schedulers.
  // Acts as standby after this long without a message of an owner; schedulers
  // take over sooner.
  Duration owner_timeout = std::chrono::milliseconds(3500);
  // Leaves after another owner has sent messages for this long.
  Duration leave_delay = std::chrono::seconds(3);
  LinkListenerLimits peer_links;  // Of links that schedulers dial.
  // Memory for the workflows that it knows as owner, in bytes.
  uint64_t work_bytes = SchedulerSettings().work_bytes;
};

struct StandbyHooks {
  std::function<TimePoint()> now;
  // Time since this VM last received a message of an owner.
  std::function<Duration()> since_owner;
  std::function<Duration()> table_silence;
  AdvisorHook advisor;
  // The newest known set of data halls to evacuate, and a callback for a peer's
  // copy. `watch_evacuations` starts or stops following the set: only a process
  // that acts as standby needs it, and each follower queries the table
  // continuously.
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
  // Of the links that schedulers have dialed, since this process last began to
  // stand in.
  ListenerCounts link_counts() const;

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
  // Service settings received from peers, to be passed on to others.
  uint64_t settings_version_ = 0;
  std::string settings_document_;
  // Metrics of `scheduler_`, which end with it.
  std::unique_ptr<Metrics> scheduler_metrics_;
  std::unique_ptr<Scheduler> scheduler_;
  TimePoint join_retry_at_{};
  std::optional<TimePoint> not_needed_since_;
  Timer tick_;
};

}  // namespace beamhill

#endif  // BEAMHILL_STANDBY_STANDBY_OWNER_H_
