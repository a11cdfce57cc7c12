#include "beamhill/replay/owner_fencing_replay.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "beamhill/executor/executor.h"
#include "beamhill/executor/vm_registration.h"
#include "beamhill/replay/leased_runner.h"
#include "beamhill/replay/virtual_time.h"
#include "beamhill/table/row_names.h"
#include "beamhill/testing/table_model.h"

namespace beamhill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kFaults = seconds(4);
constexpr Duration kRecovery = seconds(12);
// A runner that does not answer for this long has outlasted all its leases.
constexpr Duration kMinSilence = milliseconds(7200);
constexpr Duration kMaxSilence = seconds(9);
constexpr Duration kRunnerTimeout = seconds(1);
constexpr Duration kMessageDelay = milliseconds(1);
constexpr Duration kTableDelay = milliseconds(4);
constexpr Duration kTableTimeout = milliseconds(300);
constexpr Duration kStartInterval = milliseconds(40);
constexpr Duration kLeaseTerm = seconds(5);
constexpr Duration kAuthorityTerm = seconds(8);
// An owner that the table answers notices a claim within this time.
constexpr Duration kConfirmInterval = milliseconds(500);
constexpr uint64_t kEarlierEpoch = 1;
constexpr uint64_t kLaterEpoch = 2;
constexpr char kVm[] = "vm";

class Replay {
 public:
  explicit Replay(uint64_t seed) : random_(seed) {
    StoreOwner(kEarlierEpoch);
    const VmRecord record{kVm, "10.0.0.1:1"};
    table_.Commit(
        {{}, {{rows::kExecutors + record.vm, 0, EncodeRecord(record)}}});
    StartRunner();
    StartExecutor();
    owners_[kEarlierEpoch].acts_until = TimePoint::max();
    Attach(kEarlierEpoch, Duration(0));
    Every(kStartInterval, [this] { SendStarts(); });
    ScheduleFaults();
  }

  OwnerFencingOutcome Run() {
    time_.RunUntil(began_ + kFaults + kRecovery);
    // A start of the last 100 ms, by an owner that may act.
    outcome_.recovered = time_.now() - last_run_at_ < milliseconds(100);
    CollectCounts();
    return std::move(outcome_);
  }

 private:
  struct Owner {
    TimePoint acts_until{};
    uint64_t link = 0;  // 0: not attached.
    bool has_inventory = false;
    std::string incarnation;  // Of the runner.
  };

  Duration Random(Duration below) {
    return Duration(std::uniform_int_distribution<Duration::rep>(
        0, below.count() - 1)(random_));
  }
  bool Chance(double probability) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }
  void Note(const std::string& event) {
    const auto at = static_cast<int64_t>(ToMillis(time_.now() - began_));
    outcome_.events.push_back(std::to_string(at) + " ms: " + event);
  }
  void Every(Duration interval, const std::function<void()>& call) {
    call();
    time_.After(interval, [this, interval, call] { Every(interval, call); });
  }

  // Faults, each at a random time.
  void ScheduleFaults() {
    time_.After(Random(kFaults), [this] { Claim(); });
    for (const double chance : {0.9, 0.6, 0.3}) {
      if (!Chance(chance)) continue;
      const bool executor = Chance(0.7);
      const bool runner = !executor || Chance(0.7);
      time_.After(Random(kFaults),
                  [this, executor, runner] { Restart(executor, runner); });
    }
    if (Chance(0.7)) earlier_is_cut_off_ = true;
    for (bool* away : {&away_for_executor_, &away_for_all_}) {
      if (!Chance(0.3)) continue;
      time_.After(Random(kFaults), [this, away] {
        *away = true;
        Note(away == &away_for_all_ ? "table away for all"
                                    : "table away for the executor");
        time_.After(Random(seconds(3)), [this, away] {
          *away = false;
          Note("table is back");
        });
      });
    }
    if (Chance(0.4)) time_.After(Random(seconds(1)), [this] { Silence(); });
  }

  // The runner answers no call for a while. Its executor restarts before it
  // answers again.
  void Silence() {
    silent_ = true;
    Note("runner is silent");
    const Duration silence = kMinSilence + Random(kMaxSilence - kMinSilence);
    const bool table_is_away = Chance(0.5);
    time_.After(silence - milliseconds(100), [this, table_is_away] {
      away_for_executor_ = table_is_away;
      Restart(/*executor=*/true, /*runner=*/false);
    });
    time_.After(silence, [this] {
      silent_ = false;
      Note("runner answers again");
    });
    time_.After(silence + seconds(1), [this] { away_for_executor_ = false; });
  }

  void Claim() {
    if (away_for_all_) {
      time_.After(milliseconds(50), [this] { Claim(); });
      return;
    }
    StoreOwner(kLaterEpoch);
    Note("claim by the later owner");
    claimed_ = true;
    const TimePoint now = time_.now();
    owners_[kEarlierEpoch].acts_until =
        now + (earlier_is_cut_off_ ? Random(kAuthorityTerm)
                                   : Random(kConfirmInterval));
    owners_[kLaterEpoch].acts_until = TimePoint::max();
    Attach(kLaterEpoch, Random(milliseconds(500)));
  }

  void Restart(bool executor, bool runner) {
    Note(std::string("restart of") + (executor ? " executor" : "") +
         (runner ? " runner" : ""));
    if (runner && runner_up_) {
      runner_up_ = false;
      time_.After(Random(milliseconds(600)), [this] { StartRunner(); });
    }
    if (executor && executor_) {
      CollectCounts();
      registration_.reset();
      executor_.reset();
      for (auto& [epoch, owner] : owners_) owner.link = 0;
      time_.After(Random(milliseconds(600)), [this] {
        StartExecutor();
        for (const auto& [epoch, owner] : owners_) {
          if (owner.acts_until != TimePoint{}) {
            Attach(epoch, Random(milliseconds(300)));
          }
        }
      });
    }
  }

  // The table.
  void StoreOwner(uint64_t epoch) {
    OwnerRecord owner;
    owner.epoch = epoch;
    table_.Commit({{}, {{rows::kOwner, kAnyVersion, EncodeRecord(owner)}}});
  }

  // The table as the executor reaches it.
  Table ExecutorTable() {
    const auto reachable = [this] {
      return !away_for_all_ && !away_for_executor_;
    };
    Table table;
    table.read = [this, reachable](std::vector<std::string> keys,
                                   ReadAnswer done) {
      if (!reachable()) {
        time_.After(kTableTimeout, [done] {
          done(Error{ErrorCode::kUnavailable, "away", ""});
        });
        return;
      }
      // Read at some moment between the call and its answer.
      time_.After(Random(kTableDelay), [this, keys, done] {
        const std::vector<Row> rows = table_.Read(keys);
        time_.After(Random(kTableDelay), [done, rows] { done(rows); });
      });
    };
    table.commit = [this, reachable](Transaction transaction, CommitDone done) {
      time_.After(kTableDelay, [this, reachable, transaction, done] {
        if (reachable()) {
          done(table_.Commit(transaction));
        } else {
          done({CommitResult::kNotApplied, {}});
        }
      });
    };
    return table;
  }

  // The VM.
  void StartRunner() {
    incarnation_ = "runner-" + std::to_string(++incarnations_);
    runner_up_ = true;
    LeasedRunnerHooks hooks;
    hooks.run_time_of = [](const TaskRef&) { return milliseconds(40); };
    hooks.on_start = [this](const RunRef& run) { OnRunBegan(run); };
    hooks.on_end = [](const RunRef&, RunEndKind) {};
    hooks.on_end_lost = [](const RunEnd&) {};
    // Kept until the end: calls to it may be pending.
    runners_.push_back(std::make_unique<LeasedRunner>(time_, hooks));
    Note(incarnation_ + " is up");
    Every(milliseconds(200), [this, incarnation = incarnation_] {
      if (runner_up_ && incarnation == incarnation_) Register();
    });
    Every(milliseconds(20), [this, runner = runners_.back().get()] {
      if (runner == runners_.back().get()) runner->Tick();
    });
  }

  void Register() {
    if (!executor_) return;
    VmStatus status;
    status.incarnation = incarnation_;
    status.service = "web";
    status.capacity = {16000, 32000, 0};
    registration_->OnRunnerRegistered(incarnation_, [this, status] {
      executor_->OnRunnerRegistered(status, Clock());
    });
  }

  RunnerClock Clock() const {
    return std::chrono::duration_cast<RunnerClock>(
        time_.now().time_since_epoch());
  }

  // What answers in place of the intended incarnation; nullopt if that is up.
  std::optional<RunnerVerdict> Rejection(const std::string& incarnation) const {
    if (!runner_up_) return RunnerVerdict::kUnreachable;
    if (incarnation != incarnation_) return RunnerVerdict::kOtherIncarnation;
    return std::nullopt;
  }

  TaskRunner RunnerCalls() {
    TaskRunner calls;
    calls.start = [this](RunnerStart call, auto done) {
      if (silent_) {
        time_.After(kRunnerTimeout, [done] {
          done({RunnerVerdict::kNoAnswer, std::nullopt});
        });
        return;
      }
      if (const auto rejection = Rejection(call.incarnation)) {
        time_.After(kMessageDelay, [done, rejection] {
          done({*rejection, std::nullopt});
        });
        return;
      }
      runners_.back()->Hooks().start(std::move(call), done);
    };
    calls.poll = [this](RunnerPoll call, auto done) {
      if (silent_) {
        time_.After(kRunnerTimeout, [done] {
          RunnerView view;
          view.reply.verdict = RunnerVerdict::kNoAnswer;
          done(view);
        });
        return;
      }
      if (const auto rejection = Rejection(call.incarnation)) {
        time_.After(kMessageDelay, [done, rejection] {
          RunnerView view;
          view.reply.verdict = *rejection;
          done(view);
        });
        return;
      }
      runners_.back()->Hooks().poll(std::move(call), done);
    };
    calls.stop = [](const RunnerStop&, auto) {};
    calls.pace = [](const RunnerPace&, auto) {};
    return calls;
  }

  void StartExecutor() {
    Note("executor is up");
    const uint64_t generation = ++executors_;
    ExecutorHooks hooks;
    hooks.now = [this] { return time_.now(); };
    hooks.log = [](const std::string&, const std::string&, const std::string&) {
    };
    hooks.send = [this](uint64_t link, const DispatchMessage& message) {
      time_.After(kMessageDelay,
                  [this, link, message] { OnVmMessage(link, message); });
    };
    hooks.ready_for_starts = [this] {
      return registration_->ready_for_starts();
    };
    executor_ = std::make_unique<Executor>(ExecutorOptions{}, RunnerCalls(),
                                           std::move(hooks));
    VmRegistrationHooks row_hooks;
    row_hooks.now = [this] { return time_.now(); };
    row_hooks.random = [] { return 0.5; };
    row_hooks.since_owner = [this] { return executor_->SinceOwner(); };
    row_hooks.runner_is_gone = [this] { return executor_->runner_is_gone(); };
    row_hooks.on_owner_epoch = [this](uint64_t epoch) {
      executor_->RejectOwnersBelow(epoch);
    };
    row_hooks.log = [](const std::string&, const std::string&) {};
    registration_ = std::make_unique<VmRegistration>(
        VmRecord{kVm, "10.0.0.1:1"}, ExecutorTable(), std::move(row_hooks));
    Every(milliseconds(100), [this, generation] {
      if (generation != executors_ || !executor_) return;
      executor_->Tick();
      registration_->Tick();
    });
  }

  void CollectCounts() {
    if (!executor_) return;
    outcome_.owners_refused += executor_->counts().owners_refused;
  }

  // The owners.
  bool Acts(const Owner& owner) const { return time_.now() < owner.acts_until; }

  void Attach(uint64_t epoch, Duration delay) {
    time_.After(delay, [this, epoch, generation = executors_] {
      Owner& owner = owners_[epoch];
      if (!executor_ || generation != executors_ || !Acts(owner)) return;
      owner.link = ++links_;
      owner.has_inventory = false;
      Note("attach under epoch " + std::to_string(epoch));
      Send(epoch, ::beamhill::Attach{"owner", epoch});
    });
  }

  void Send(uint64_t epoch, const DispatchMessage& message) {
    const Owner& owner = owners_[epoch];
    if (owner.link == 0 || !Acts(owner)) return;
    time_.After(kMessageDelay, [this, link = owner.link, epoch, message] {
      if (executor_ && owners_[epoch].link == link) {
        executor_->OnMessage(link, message);
      }
    });
  }

  void OnVmMessage(uint64_t link, const DispatchMessage& message) {
    for (auto& [epoch, owner] : owners_) {
      if (owner.link != link || !Acts(owner)) continue;
      if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
        if (heartbeat->epoch != epoch) continue;
        Send(epoch, RenewLease{epoch, heartbeat->stamp, kLeaseTerm});
      } else if (const auto* inventory = std::get_if<VmInventory>(&message)) {
        if (inventory->epoch != epoch) continue;
        owner.has_inventory = true;
        owner.incarnation = inventory->status.incarnation;
        if (epoch == kLaterEpoch && !stock_taken_) {
          Note("the later owner has the inventory");
          stock_taken_ = true;
        }
      } else if (const auto* status = std::get_if<VmStatus>(&message)) {
        owner.incarnation = status->incarnation;
      }
    }
  }

  void SendStarts() {
    for (const auto& [epoch, owner] : owners_) {
      if (!owner.has_inventory || owner.incarnation.empty()) continue;
      StartRuns starts;
      starts.epoch = epoch;
      starts.incarnation = owner.incarnation;
      starts.workflow = std::to_string(epoch);
      starts.traits.cpu_millis = 10;
      starts.runs = {{next_task_++, 1, "", ""}};
      Send(epoch, starts);
    }
  }

  void OnRunBegan(const RunRef& run) {
    last_run_at_ = time_.now();
    const bool earlier = run.task.workflow == std::to_string(kEarlierEpoch);
    ++(earlier ? outcome_.earlier_runs : outcome_.later_runs);
    if (earlier && claimed_) ++outcome_.runs_after_claim;
    if (!earlier || !stock_taken_) return;
    const auto at = static_cast<int64_t>(ToMillis(time_.now() - began_));
    outcome_.violations.push_back(std::to_string(at) + " ms: run " +
                                  std::to_string(run.task.index));
  }

  std::mt19937_64 random_;
  const TimePoint began_{std::chrono::hours(1)};
  VirtualTime time_{began_};
  TableModel table_{0, 0};
  bool earlier_is_cut_off_ = false;
  bool away_for_executor_ = false;
  bool away_for_all_ = false;
  bool silent_ = false;  // The runner answers no call.
  bool claimed_ = false;
  bool stock_taken_ = false;
  std::map<uint64_t, Owner> owners_;  // By epoch.
  uint64_t links_ = 0;
  uint32_t next_task_ = 0;
  TimePoint last_run_at_{};
  uint64_t incarnations_ = 0;
  uint64_t executors_ = 0;
  std::string incarnation_;  // Of the runner.
  bool runner_up_ = false;
  OwnerFencingOutcome outcome_;
  std::vector<std::unique_ptr<LeasedRunner>> runners_;
  std::unique_ptr<Executor> executor_;
  std::unique_ptr<VmRegistration> registration_;
};

}  // namespace

OwnerFencingOutcome ReplayOwnerFencing(uint64_t seed) {
  return Replay(seed).Run();
}

}  // namespace beamhill
