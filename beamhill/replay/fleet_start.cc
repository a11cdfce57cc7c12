#include "beamhill/replay/fleet_start.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/dispatch/ownership_keeper.h"
#include "beamhill/executor/vm_registration.h"
#include "beamhill/replay/virtual_time.h"
#include "beamhill/scheduler/handover.h"

namespace beamhill {
namespace {

constexpr Duration kSchedulerTick = std::chrono::milliseconds(50);
constexpr Duration kVmTick = std::chrono::milliseconds(100);
constexpr Duration kRunnerRenewal = std::chrono::seconds(1);
constexpr Duration kSimulationStep = std::chrono::milliseconds(10);

class FleetStartSimulation {
 public:
  explicit FleetStartSimulation(const FleetStartOptions& options)
      : options_(options),
        random_(options.seed),
        time_(TimePoint(std::chrono::hours(1))),
        table_(time_, options.table) {
    StoreInitialRows();
    for (size_t i = 0; i < options_.vms; ++i) AddVm(i);
    for (size_t i = 0; i < options_.schedulers; ++i) AddScheduler(i);
  }

  FleetStartOutcome Run() {
    const TimePoint end = time_.now() + options_.time_limit;
    outcome_.registration_time = options_.time_limit;
    outcome_.owner_load_time = options_.time_limit;
    while (time_.now() < end && !finished_) {
      time_.RunUntil(time_.now() + kSimulationStep);
      RecordRegistrations();
    }
    outcome_.table = table_.counts();
    return outcome_;
  }

 private:
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  static VmRecord MakeVmRecord(size_t vm, const std::string& port) {
    return {"vm-" + std::to_string(vm),
            "10.0." + std::to_string(vm) + ".1:" + port};
  }

  void StoreInitialRows() {
    if (options_.initial_vm_rows == InitialVmRows::kNone) return;
    const bool unchanged =
        options_.initial_vm_rows == InitialVmRows::kUnchanged;
    Transaction initial_rows;
    for (size_t i = 0; i < options_.vms; ++i) {
      const VmRecord record = MakeVmRecord(i, unchanged ? "1" : "2");
      initial_rows.writes.push_back(
          {rows::kExecutors + record.vm, 0, EncodeRecord(record)});
    }
    OwnerRecord owner;
    owner.epoch = 1;
    owner.owner = "scheduler-gone";
    owner.released = true;
    initial_rows.writes.push_back({rows::kOwner, 0, EncodeRecord(owner)});
    table_.model().Commit(initial_rows);
  }

  // Calls `tick` every `interval`, from a random start time on.
  void ScheduleStart(Duration interval, std::function<void()> tick) {
    const auto delay =
        std::chrono::duration_cast<Duration>(Uniform() * options_.start_spread);
    if (interval == kSchedulerTick) {
      first_scheduler_start_ =
          std::min(first_scheduler_start_, time_.now() + delay);
    }
    time_.After(delay, [this, interval, tick = std::move(tick)] {
      Repeat(interval, tick);
    });
  }

  void Repeat(Duration interval, const std::function<void()>& tick) {
    tick();
    time_.After(interval, [this, interval, tick] { Repeat(interval, tick); });
  }

  void AddVm(size_t number) {
    VmRegistrationHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.random = [this] { return Uniform(); };
    hooks.since_owner = [] { return Duration(0); };
    hooks.runner_is_gone = [] { return false; };
    hooks.on_owner_epoch = [](uint64_t) {};
    hooks.log = [](const std::string&, const std::string&) {};
    registrations_.push_back(std::make_unique<VmRegistration>(
        MakeVmRecord(number, "1"), table_.AsTable(), std::move(hooks)));
    VmRegistration* registration = registrations_.back().get();
    ScheduleStart(kVmTick, [registration] { registration->Tick(); });
    // A runner registers about once a second.
    ScheduleStart(kRunnerRenewal, [registration] {
      registration->OnRunnerRegistered("incarnation", [] {});
    });
  }

  void AddScheduler(size_t number) {
    OwnershipKeeperOptions options;
    options.name = "scheduler-" + std::to_string(number);
    options.incarnation = number + 1;
    options.address = "10.1.0.1:" + std::to_string(number + 1);
    OwnershipKeeperHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.random = [this] { return Uniform(); };
    hooks.claim_delay = [this] {
      return RandomizedClaimDelay(/*host_capacity=*/1, /*others=*/0, Uniform());
    };
    hooks.on_follow = [](const OwnerRecord&) {};
    hooks.on_taken = [this](uint64_t, EarlierOwner, bool) {
      OnOwnershipTaken();
    };
    hooks.on_lost = [] {};
    hooks.log = [this](const std::string& event, const std::string&) {
      if (event == "claiming") ++outcome_.claims;
    };
    keepers_.push_back(std::make_unique<OwnershipKeeper>(
        options, table_.AsTable(), std::move(hooks)));
    OwnershipKeeper* keeper = keepers_.back().get();
    ScheduleStart(kSchedulerTick, [this, keeper] {
      // Followers receive the owner's heartbeats.
      if (owner_epoch_ && !keeper->owns()) keeper->OnOwnerHeard(*owner_epoch_);
      keeper->Tick();
    });
  }

  void OnOwnershipTaken() {
    ++outcome_.owners;
    for (const auto& keeper : keepers_) {
      if (keeper->owns()) owner_epoch_ = keeper->epoch();
    }
    if (outcome_.owners > 1) return;
    LoadRows(
        {rows::kWorkflows, rows::kProgress, rows::kCancels, rows::kExecutors});
  }

  // Scans the prefixes one after another, as a new owner does, and repeats a
  // failed scan.
  void LoadRows(std::vector<std::string> prefixes) {
    const std::string next = prefixes.front();
    prefixes.erase(prefixes.begin());
    table_.AsTable().scan(
        next, [this, next, prefixes](const Result<std::vector<Row>>& rows) {
          if (!IsOk(rows)) {
            std::vector<std::string> remaining = prefixes;
            remaining.insert(remaining.begin(), next);
            LoadRows(remaining);
          } else if (!prefixes.empty()) {
            LoadRows(prefixes);
          } else {
            outcome_.owner_load_time = time_.now() - first_scheduler_start_;
            outcome_.vms_loaded = ValueOf(rows).size();
          }
        });
  }

  void RecordRegistrations() {
    const bool all = std::all_of(registrations_.begin(), registrations_.end(),
                                 [](const auto& registration) {
                                   return registration->ready_for_starts();
                                 });
    if (all && outcome_.registration_time == options_.time_limit) {
      outcome_.registration_time = time_.now() - first_scheduler_start_;
    }
    finished_ = all && outcome_.owner_load_time < options_.time_limit;
  }

  FleetStartOptions options_;
  std::mt19937_64 random_;
  VirtualTime time_;
  TimedTable table_;
  std::vector<std::unique_ptr<VmRegistration>> registrations_;
  std::vector<std::unique_ptr<OwnershipKeeper>> keepers_;
  TimePoint first_scheduler_start_ = TimePoint::max();
  std::optional<uint64_t> owner_epoch_;
  FleetStartOutcome outcome_;
  bool finished_ = false;
};

}  // namespace

FleetStartOutcome SimulateFleetStart(const FleetStartOptions& options) {
  return FleetStartSimulation(options).Run();
}

}  // namespace beamhill
