// Discrete-event simulation for coordination tests: a virtual clock with an
// event queue, processes with skewed clocks that can be paused, killed and
// restarted, and the platform's table with injected faults.
//
//   SimWorld world(/*seed=*/7);
//   SimProcess process(world);
//   process.After(delay, [] { ... });  // dropped on death, deferred by a pause
//   while (world.Step(end)) {}
#ifndef BEAMHILL_TESTING_SIM_WORLD_H_
#define BEAMHILL_TESTING_SIM_WORLD_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/table/table.h"
#include "beamhill/testing/table_model.h"

namespace beamhill {

// Virtual clock, event queue and seeded random source of one simulation.
class SimWorld {
 public:
  explicit SimWorld(uint64_t seed) : random_(seed) {}

  TimePoint now() const { return now_; }
  uint64_t steps() const { return steps_; }
  // Schedules `callback`; a time in the past means now.
  void At(TimePoint at, std::function<void()> callback);
  void After(Duration delay, std::function<void()> callback) {
    At(now_ + delay, std::move(callback));
  }
  // Runs the next event. Returns false when none is due by `end`.
  bool Step(TimePoint end);

  // Random draws: from [0, 1), [low, high) and [0, n), and a Bernoulli trial.
  double Uniform() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }
  Duration Between(Duration low, Duration high);
  size_t Below(size_t n) {
    return static_cast<size_t>(Uniform() * static_cast<double>(n));
  }
  bool Chance(double probability) { return Uniform() < probability; }

 private:
  struct Event {
    TimePoint at;
    uint64_t order;
    std::function<void()> callback;
    bool operator>(const Event& o) const {
      return at != o.at ? at > o.at : order > o.order;
    }
  };

  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_order_ = 0;
  uint64_t steps_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::mt19937_64 random_;
};

// A process whose clock has a random offset and rate error.
class SimProcess {
 public:
  explicit SimProcess(SimWorld& world);

  // Reads the process's own, skewed clock.
  TimePoint LocalNow() const;
  bool alive() const { return alive_; }
  bool paused() const { return paused_; }
  uint64_t incarnation() const { return incarnation_; }

  // Runs `work` in the current incarnation after `delay`: drops it if the
  // process has died since, and defers it while the process is paused.
  void After(Duration delay, std::function<void()> work);
  // Like After, without a delay.
  void Deliver(std::function<void()> work);

  void Kill();
  void Start();
  void Pause();
  void Resume();

 private:
  void RunOrDefer(uint64_t incarnation, const std::function<void()>& work);

  SimWorld& world_;
  int64_t clock_rate_ppm_;
  Duration clock_offset_;
  bool alive_ = true;
  bool paused_ = false;
  uint64_t incarnation_ = 1;
  std::vector<std::function<void()>> deferred_;
};

struct SimTableFaults {
  bool down = false;
  Duration delay{};        // Added to each call in each direction.
  double lose_answer = 0;  // Share of commits that get no answer.
  double apply_late = 0;   // Share of those that is applied later.
};

// The platform's table behind a network with latency and faults.
class SimTable {
 public:
  explicit SimTable(SimWorld& world) : world_(world), model_(0, 0) {}

  // Returns the table for `process`. Its calls fail after a timeout while
  // `*unreachable` is set.
  Table For(SimProcess& process, const bool* unreachable);

  TableModel& model() { return model_; }
  SimTableFaults& faults() { return faults_; }
  // Changes a transaction before it is applied, to inject a defect.
  std::function<void(Transaction*)> mutate_transaction;
  // Injects a defect: a failed read returns the process's last good result.
  bool stale_reads = false;

 private:
  void Read(SimProcess& process, const bool* unreachable,
            const std::string& name, std::function<std::vector<Row>()> read,
            ReadAnswer done);
  void Commit(SimProcess& process, const bool* unreachable,
              Transaction transaction, CommitDone done);
  CommitAnswer Apply(Transaction transaction);
  Duration Latency();

  SimWorld& world_;
  TableModel model_;
  SimTableFaults faults_;
  std::map<std::pair<SimProcess*, std::string>, std::vector<Row>>
      last_good_reads_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_SIM_WORLD_H_
