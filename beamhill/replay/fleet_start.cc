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
constexpr Duration kStep = std::chrono::milliseconds(10);

class FleetStart {
 public:
  explicit FleetStart(const FleetStartOptions& options)
      : options_(options),
        random_(options.seed),
        time_(TimePoint(std::chrono::hours(1))),
        table_(time_, options.table) {
    StoreRowsBefore();
    for (size_t i = 0; i < options_.vms; ++i) AddVm(i);
    for (size_t i = 0; i < options_.schedulers; ++i) AddScheduler(i);
  }

  FleetStartOutcome Play() {
    const TimePoint end = time_.now() + options_.limit;
    outcome_.all_registered = options_.limit;
    outcome_.owner_loaded = options_.limit;
    while (time_.now() < end && !done_) {
      time_.RunUntil(time_.now() + kStep);
      NoteRegistered();
    }
    outcome_.table = table_.counts();
    return outcome_;
  }

 private:
  double Chance() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  static VmRecord RecordOf(size_t vm, const std::string& port) {
    return {"vm-" + std::to_string(vm),
            "10.0." + std::to_string(vm) + ".1:" + port};
  }

  void StoreRowsBefore() {
    if (options_.rows_before == RowsBefore::kNone) return;
    const bool same = options_.rows_before == RowsBefore::kAsTheyWere;
    Transaction before;
    for (size_t i = 0; i < options_.vms; ++i) {
      const VmRecord record = RecordOf(i, same ? "1" : "2");
      before.writes.push_back(
          {rows::kExecutors + record.vm, 0, EncodeRecord(record)});
    }
    OwnerRecord owner;
    owner.epoch = 1;
    owner.owner = "scheduler-gone";
    owner.released = true;
    before.writes.push_back({rows::kOwner, 0, EncodeRecord(owner)});
    table_.model().Commit(before);
  }

  // Runs `tick` at each multiple of the interval after a start drawn at random.
  void StartLater(Duration interval, std::function<void()> tick) {
    const auto delay =
        std::chrono::duration_cast<Duration>(Chance() * options_.spread);
    if (interval == kSchedulerTick) {
      first_start_ = std::min(first_start_, time_.now() + delay);
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
    hooks.random = [this] { return Chance(); };
    hooks.since_owner = [] { return Duration(0); };
    hooks.log = [](const std::string&, const std::string&) {};
    registrations_.push_back(std::make_unique<VmRegistration>(
        RecordOf(number, "1"), table_.AsTable(), std::move(hooks)));
    VmRegistration* registration = registrations_.back().get();
    StartLater(kVmTick, [registration] { registration->Tick(); });
  }

  void AddScheduler(size_t number) {
    OwnershipKeeperOptions options;
    options.name = "scheduler-" + std::to_string(number);
    options.incarnation = number + 1;
    options.address = "10.1.0.1:" + std::to_string(number + 1);
    OwnershipKeeperHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.random = [this] { return Chance(); };
    hooks.claim_delay = [this] {
      return SpreadClaimDelay(/*host_capacity=*/1, /*others=*/0, Chance());
    };
    hooks.on_follow = [](const OwnerRecord&) {};
    hooks.on_taken = [this](uint64_t, bool, bool) { OnTaken(); };
    hooks.on_lost = [] {};
    hooks.log = [this](const std::string& event, const std::string&) {
      if (event == "claiming") ++outcome_.claims;
    };
    keepers_.push_back(std::make_unique<OwnershipKeeper>(
        options, table_.AsTable(), std::move(hooks)));
    OwnershipKeeper* keeper = keepers_.back().get();
    StartLater(kSchedulerTick, [this, keeper] {
      // Followers hear the owner's heartbeats.
      if (owner_epoch_ && !keeper->owns()) keeper->OnOwnerHeard(*owner_epoch_);
      keeper->Tick();
    });
  }

  void OnTaken() {
    ++outcome_.owners;
    for (const auto& keeper : keepers_) {
      if (keeper->owns()) owner_epoch_ = keeper->epoch();
    }
    if (outcome_.owners > 1) return;
    Load({rows::kWorkflows, rows::kProgress, rows::kCancels, rows::kExecutors});
  }

  // As a new owner does: one table after the other, the VMs last here.
  void Load(std::vector<std::string> prefixes) {
    const std::string next = prefixes.front();
    prefixes.erase(prefixes.begin());
    table_.AsTable().scan(
        next, [this, next, prefixes](const Result<std::vector<Row>>& rows) {
          if (!IsOk(rows)) {
            std::vector<std::string> again = prefixes;
            again.insert(again.begin(), next);
            Load(again);
          } else if (!prefixes.empty()) {
            Load(prefixes);
          } else {
            outcome_.owner_loaded = time_.now() - first_start_;
            outcome_.vms_loaded = ValueOf(rows).size();
          }
        });
  }

  void NoteRegistered() {
    const bool all = std::all_of(registrations_.begin(), registrations_.end(),
                                 [](const auto& r) { return r->stored(); });
    if (all && outcome_.all_registered == options_.limit) {
      outcome_.all_registered = time_.now() - first_start_;
    }
    done_ = all && outcome_.owner_loaded < options_.limit;
  }

  FleetStartOptions options_;
  std::mt19937_64 random_;
  VirtualTime time_;
  TimedTable table_;
  std::vector<std::unique_ptr<VmRegistration>> registrations_;
  std::vector<std::unique_ptr<OwnershipKeeper>> keepers_;
  TimePoint first_start_ = TimePoint::max();
  std::optional<uint64_t> owner_epoch_;
  FleetStartOutcome outcome_;
  bool done_ = false;
};

}  // namespace

FleetStartOutcome PlayFleetStart(const FleetStartOptions& options) {
  return FleetStart(options).Play();
}

}  // namespace beamhill
