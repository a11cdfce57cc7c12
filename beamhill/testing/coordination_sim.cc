#include "beamhill/testing/coordination_sim.h"

#include <algorithm>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "beamhill/cell/rows.h"
#include "beamhill/testing/sim_nodes.h"
#include "beamhill/testing/sim_world.h"
#include "beamhill/testing/worker_model.h"

namespace beamhill {
namespace {

constexpr char kCell[] = "hall";
constexpr Resources kVm{4000, 8000, 0};
constexpr int kMinLiveVms = 2;
constexpr Duration kListPollPeriod = std::chrono::seconds(2);
// Longer than the ownership term, so that ownership expires during it.
constexpr Duration kLongPause = std::chrono::seconds(45);

// Hashes a task, to give it the same true run time at each attempt.
uint64_t HashTask(const TaskId& task, uint64_t salt) {
  uint64_t x = std::hash<std::string>()(task.job) ^
               (task.index * 0x9E3779B97F4A7C15ULL) ^ salt;
  x ^= x >> 31;
  x *= 0xBF58476D1CE4E5B9ULL;
  return x ^ (x >> 29);
}

class CoordinationSim {
 public:
  explicit CoordinationSim(const SimOptions& options)
      : options_(options), world_(options.seed), table_(world_) {
    InjectTableDefects();
    for (int i = 0; i < options.entries; ++i) {
      entries_.push_back(std::make_unique<SimEntry>(
          world_, table_, "entry-" + std::to_string(i + 1)));
    }
    for (int i = 0; i < options.vms; ++i) AddVm();
  }

  // Fails the owner during a long job and waits for the next start.
  Duration RunTakeover(SimFault fault) {
    for (int i = 0; i < 4; ++i) SubmitJob(500, kFittingTask);
    const TimePoint lost_at = world_.now() + std::chrono::seconds(20);
    while (world_.Step(lost_at)) {
    }
    SimEntry& owner = OwnerOrAny();
    if (fault == SimFault::kEntryKilled) owner.Kill();
    if (fault == SimFault::kEntryPaused) owner.process().Pause();
    if (fault == SimFault::kEntryReleased) owner.Release();
    const size_t before = record_.events().size();
    while (world_.Step(lost_at + std::chrono::minutes(2))) {
      const TimePoint started = StartUnderNewOwner(before);
      if (started != TimePoint{}) return started - lost_at;
    }
    return std::chrono::minutes(2);
  }

  SimReport Run() {
    const TimePoint faults_end = world_.now() + options_.length;
    for (int i = 0; i < 3; ++i) SubmitJob(20, kFittingTask);
    world_.After(std::chrono::seconds(5),
                 [this, faults_end] { InjectFaults(faults_end); });
    world_.After(kListPollPeriod, [this] { PollVmList(); });
    world_.After(std::chrono::seconds(10),
                 [this, faults_end] { SubmitRegularly(faults_end); });
    while (world_.Step(faults_end)) TrackOwner();
    ClearFaults();
    const TimePoint end = faults_end + options_.recovery;
    while (!AllFinished() && world_.Step(end)) TrackOwner();
    return Report();
  }

 private:
  static constexpr Resources kFittingTask{1000, 1000, 0};
  static constexpr Resources kOversizedTask{5000, 1000, 0};

  // Returns when a task was first started under a later epoch.
  TimePoint StartUnderNewOwner(size_t from) const {
    const auto& events = record_.events();
    for (size_t i = from; i < events.size(); ++i) {
      const bool started = events[i].kind == WorkEventKind::kStarted;
      if (started && events[i].attempt.epoch() > 1) return events[i].at;
    }
    return TimePoint{};
  }

  void AddVm() {
    const int number = ++vms_made_;
    auto vm =
        std::make_unique<SimVm>(world_, record_, "vm-" + std::to_string(number),
                                kVm, entries_, options_.defect);
    vm->worker().run_time = [this](const TaskId& task, const JobSpec& job) {
      return TrueRunTime(task, job);
    };
    vms_.push_back(std::move(vm));
  }

  Duration TrueRunTime(const TaskId& task, const JobSpec& job) const {
    const uint64_t mixed = HashTask(task, options_.seed);
    const double factor = 0.5 + static_cast<double>(mixed % 1000) / 1000.0;
    auto run = std::chrono::duration_cast<Duration>(job.declared_run * factor);
    if (wrong_run_times_) run = run * (1 + static_cast<int64_t>(mixed % 7));
    return run;
  }

  void SubmitJob(uint32_t tasks, const Resources& each) {
    RangeRow row;
    row.job.id = "job-" + std::to_string(jobs_.size() + 1);
    row.job.tasks = tasks;
    row.job.each = each;
    row.job.declared_run =
        world_.Between(std::chrono::milliseconds(500), std::chrono::seconds(6));
    row.job.urgency = world_.Chance(0.2) ? Urgency::kUrgent : Urgency::kNormal;
    row.range = {0, tasks};
    row.initial_window = options_.defect == SimDefect::kWindowNotSaved ? 0 : 8;
    Transaction submit;
    submit.writes.push_back({RangeKey(kCell, row.job.id), 0, EncodeRow(row)});
    table_.model().Commit(submit);
    jobs_[row.job.id] = row;
  }

  void SubmitRegularly(TimePoint until) {
    if (world_.now() >= until) return;
    SubmitJob(static_cast<uint32_t>(5 + world_.Below(30)), kFittingTask);
    world_.After(std::chrono::seconds(12),
                 [this, until] { SubmitRegularly(until); });
  }

  // Cancels a job like the product, conditional on the version read.
  void CancelJob() {
    const auto rows = table_.model().Scan(RangePrefix(kCell));
    if (rows.empty()) return;
    const Row& row = rows[world_.Below(rows.size())];
    RangeRow range;
    if (!IsOk(DecodeRow(row.value, &range))) return;
    range.cancelled = true;
    Transaction cancel;
    cancel.writes.push_back({row.key, row.version, EncodeRow(range)});
    table_.model().Commit(cancel);
  }

  bool IsImpossible(const std::string& job) const {
    return !kVm.Holds(jobs_.at(job).job.each);
  }

  bool AllFinished() const {
    for (const auto& [job, row] : jobs_) {
      if (IsImpossible(job)) continue;
      if (table_rows().count(RangeKey(kCell, job)) > 0) return false;
    }
    return true;
  }

  const std::map<std::string, Row>& table_rows() const {
    return const_cast<SimTable&>(table_).model().rows();
  }

  // Polls the platform's VM list, which shows a loss after a lag, and reports
  // each loss once to every live entry.
  void PollVmList() {
    world_.After(kListPollPeriod, [this] { PollVmList(); });
    for (const auto& vm : vms_) {
      const bool wrong = options_.defect == SimDefect::kLiveVmReportedGone &&
                         world_.Chance(0.02);
      const auto lost = gone_at_.find(vm->name());
      const bool shows = lost != gone_at_.end() && world_.now() >= lost->second;
      if (!wrong && (!shows || !reported_.insert(vm->name()).second)) continue;
      // Entries believe a wrong list only about a VM that is not linked.
      if (wrong) {
        for (size_t i = 0; i < entries_.size(); ++i) vm->CutLink(i);
      }
      for (const auto& entry : entries_) {
        if (entry->process().alive()) entry->OnVmGone(vm->name());
      }
    }
  }

  void FailVm(SimVm& vm) {
    const auto live =
        std::count_if(vms_.begin(), vms_.end(),
                      [](const auto& each) { return !each->lost(); });
    if (vm.lost() || live <= kMinLiveVms) return;
    vm.Lose();
    gone_at_[vm.name()] =
        world_.now() +
        world_.Between(std::chrono::seconds(1), std::chrono::seconds(12));
    world_.After(std::chrono::seconds(8), [this] { AddVm(); });
  }

  SimVm& AnyVm() {
    while (true) {
      SimVm& vm = *vms_[world_.Below(vms_.size())];
      if (!vm.lost()) return vm;
    }
  }

  SimEntry& AnyEntry() { return *entries_[world_.Below(entries_.size())]; }

  // Returns the entry that acts as owner, if any: faults there matter most.
  SimEntry& OwnerOrAny() {
    for (const auto& entry : entries_) {
      if (entry->host() != nullptr && entry->host()->owns()) return *entry;
    }
    return AnyEntry();
  }

  SimEntry& TargetEntry() {
    return world_.Chance(0.75) ? OwnerOrAny() : AnyEntry();
  }

  void InjectFaults(TimePoint until) {
    if (world_.now() >= until || options_.faults.empty()) return;
    Inject(options_.faults[world_.Below(options_.faults.size())]);
    const auto least = options_.fault_interval / 4;
    world_.After(world_.Between(least, options_.fault_interval * 2 - least),
                 [this, until] { InjectFaults(until); });
  }

  void PauseFor(SimProcess& process, Duration length) {
    if (!process.alive()) return;
    process.Pause();
    world_.After(length, [&process] { process.Resume(); });
  }

  void RestartLater(SimEntry& entry) {
    world_.After(world_.Between(std::chrono::milliseconds(100),
                                std::chrono::seconds(20)),
                 [&entry] {
                   if (!entry.process().alive()) entry.Start();
                 });
  }

  Duration FaultLength() {
    return world_.Chance(0.3) ? kLongPause
                              : world_.Between(std::chrono::milliseconds(500),
                                               std::chrono::seconds(15));
  }

  void Inject(SimFault fault) {
    switch (fault) {
      case SimFault::kLoadWave:
        for (int i = 0; i < 5; ++i) SubmitJob(30, kFittingTask);
        return;
      case SimFault::kWrongRunTimes:
        wrong_run_times_ = !wrong_run_times_;
        return;
      case SimFault::kImpossibleJob:
        return SubmitJob(3, kOversizedTask);
      case SimFault::kCancelWave:
        for (int i = 0; i < 3; ++i) CancelJob();
        return;
      case SimFault::kFailingWorker: {
        SimVm& vm = AnyVm();
        vm.worker().set_fails_every_task(true);
        world_.After(std::chrono::seconds(4),
                     [&vm] { vm.worker().set_fails_every_task(false); });
        return;
      }
      case SimFault::kEvictionWave:
        return EvictMany();
      case SimFault::kVmLost:
        return FailVm(AnyVm());
      case SimFault::kRackLost:
        for (int i = 0; i < 3; ++i) FailVm(AnyVm());
        return;
      case SimFault::kEntryKilled: {
        SimEntry& entry = TargetEntry();
        if (!entry.process().alive()) return;
        entry.Kill();
        return RestartLater(entry);
      }
      case SimFault::kEntryPaused:
        return PauseFor(TargetEntry().process(), FaultLength());
      case SimFault::kEntryReleased: {
        SimEntry& entry = TargetEntry();
        entry.Release();
        world_.After(std::chrono::seconds(3),
                     [this, &entry] { RestartLater(entry); });
        return;
      }
      case SimFault::kAgentKilled: {
        SimVm& vm = AnyVm();
        if (!vm.process().alive()) return;
        vm.KillAgent();
        world_.After(world_.Between(std::chrono::milliseconds(10),
                                    std::chrono::seconds(12)),
                     [&vm] {
                       if (!vm.process().alive()) vm.StartAgent();
                     });
        return;
      }
      case SimFault::kAgentPaused: {
        SimVm& vm = AnyVm();
        const Duration length = FaultLength();
        record_.AddUnreachable(vm.name(), world_.now(), world_.now() + length);
        return PauseFor(vm.process(), length);
      }
      case SimFault::kLinkCut: {
        SimVm& vm = AnyVm();
        const size_t entry = world_.Below(entries_.size());
        if (vm.process().alive()) vm.CutLink(entry);
        return;
      }
      case SimFault::kLinkSlow: {
        SimVm& vm = AnyVm();
        vm.link_delay = world_.Between(std::chrono::milliseconds(100),
                                       std::chrono::seconds(8));
        // Entries learn late what happens on the VM.
        record_.AddUnreachable(vm.name(), world_.now(),
                               world_.now() + kLongPause);
        world_.After(FaultLength(), [&vm] { vm.link_delay = Duration(0); });
        return;
      }
      case SimFault::kEntryCutFromTable: {
        SimEntry& entry = TargetEntry();
        entry.table_blocked = true;
        world_.After(FaultLength(), [&entry] { entry.table_blocked = false; });
        return;
      }
      case SimFault::kTableDown:
        table_.faults().down = true;
        world_.After(FaultLength(), [this] { table_.faults().down = false; });
        return;
      case SimFault::kTableSlow:
        table_.faults().delay = std::chrono::milliseconds(700);
        world_.After(FaultLength(),
                     [this] { table_.faults().delay = Duration(0); });
        return;
      case SimFault::kAnswersLost:
        table_.faults().lose_answer = 0.5;
        table_.faults().apply_late = 0.5;
        world_.After(FaultLength(),
                     [this] { table_.faults().lose_answer = 0; });
        return;
    }
  }

  void EvictMany() {
    for (const auto& entry : entries_) {
      if (entry->host() == nullptr || !entry->host()->owns()) continue;
      std::vector<TaskId> running;
      for (const auto& [job, ledger] : entry->host()->owner()->ranges()) {
        for (const auto& task : ledger.RunningTasks()) {
          if (world_.Chance(0.5)) running.push_back({job, task.index});
        }
      }
      for (const TaskId& task : running) entry->Evict(task);
    }
  }

  void ClearFaults() {
    table_.faults() = {};
    for (const auto& entry : entries_) {
      entry->table_blocked = false;
      entry->process().Resume();
      if (!entry->process().alive()) entry->Start();
    }
    for (const auto& vm : vms_) {
      vm->process().Resume();
      vm->link_delay = Duration(0);
      vm->worker().set_fails_every_task(false);
      if (!vm->lost() && !vm->process().alive()) vm->StartAgent();
    }
  }

  void InjectTableDefects() {
    if (options_.defect == SimDefect::kUnconditionalWrites) {
      table_.mutate_transaction = [this](Transaction* transaction) {
        transaction->checks.clear();
        for (RowWrite& write : transaction->writes) {
          const auto it = table_rows().find(write.key);
          write.expected_version =
              it == table_rows().end() ? 0 : it->second.version;
        }
      };
    }
    if (options_.defect == SimDefect::kRosterNotSaved ||
        options_.defect == SimDefect::kWindowNotSaved) {
      table_.mutate_transaction = [this](Transaction* transaction) {
        for (RowWrite& write : transaction->writes) {
          CellSnapshot snapshot;
          if (write.key != ProgressKey(kCell) || !write.value) continue;
          if (!IsOk(DecodeRow(*write.value, &snapshot))) continue;
          if (options_.defect == SimDefect::kRosterNotSaved) {
            snapshot.roster.clear();
          } else {
            for (RangeProgress& progress : snapshot.ranges) {
              progress.window = 0;
            }
          }
          write.value = EncodeRow(snapshot);
        }
      };
    }
    table_.stale_reads = options_.defect == SimDefect::kConfirmedByStaleRead;
  }

  void TrackOwner() {
    bool owned = false;
    for (const auto& entry : entries_) {
      owned = owned || (entry->process().alive() &&
                        !entry->process().paused() && entry->host()->owns());
    }
    if (owned) {
      owned_at_ = world_.now();
    } else {
      report_.longest_ownerless =
          std::max(report_.longest_ownerless, world_.now() - owned_at_);
    }
  }

  SimReport Report() {
    for (const auto& vm : vms_) {
      vm->worker().Advance(world_.now());
      if (vm->worker().overcommitted()) {
        report_.violations.push_back(vm->name() + " was overcommitted");
      }
    }
    for (const std::string& violation : record_.Violations()) {
      report_.violations.push_back(violation);
    }
    CheckResults();
    for (const WorkEvent& event : record_.events()) {
      report_.starts += event.kind == WorkEventKind::kStarted ? 1 : 0;
      report_.done += event.kind == WorkEventKind::kDone ? 1 : 0;
      report_.evicted += event.kind == WorkEventKind::kCheckpointed ? 1 : 0;
    }
    report_.steps = world_.steps();
    report_.row_writes = table_.model().counts().row_writes;
    report_.reads = table_.model().counts().reads;
    for (const auto& entry : entries_) {
      report_.takeovers += entry->takeovers;
      if (entry->host()) report_.takeovers += entry->host()->counts().takeovers;
    }
    return report_;
  }

  // Compares the result of each job in the table with the workers' record.
  void CheckResults() {
    std::map<std::string, uint64_t> done;
    for (const WorkEvent& event : record_.events()) {
      if (event.kind == WorkEventKind::kDone) ++done[event.task.job];
    }
    for (const auto& [job, row] : jobs_) {
      if (IsImpossible(job)) continue;
      const auto it = table_rows().find(ResultKey(job, kCell));
      PartResult result;
      if (it == table_rows().end() ||
          !IsOk(DecodeRow(it->second.value, &result))) {
        report_.violations.push_back(job + " did not finish");
        continue;
      }
      const bool all_counted =
          result.cancelled || result.done + result.failed == row.range.size();
      if (!all_counted || result.done > done[job]) {
        report_.violations.push_back(
            job + " reports " + std::to_string(result.done) +
            " tasks done, workers completed " + std::to_string(done[job]));
      }
    }
  }

  SimOptions options_;
  SimWorld world_;
  SimTable table_;
  WorkRecord record_;
  std::vector<std::unique_ptr<SimEntry>> entries_;
  std::vector<std::unique_ptr<SimVm>> vms_;
  int vms_made_ = 0;
  std::map<std::string, RangeRow> jobs_;
  // When the platform's list begins to show the loss of a VM.
  std::map<std::string, TimePoint> gone_at_;
  std::set<std::string> reported_;
  bool wrong_run_times_ = false;
  TimePoint owned_at_{std::chrono::hours(1)};
  SimReport report_;
};

}  // namespace

Duration MeasureTakeover(uint64_t seed, SimFault fault) {
  SimOptions options;
  options.seed = seed;
  CoordinationSim sim(options);
  return sim.RunTakeover(fault);
}

SimReport RunCoordinationSim(const SimOptions& options) {
  CoordinationSim sim(options);
  return sim.Run();
}

}  // namespace beamhill
