#include "beamhill/testing/sim_world.h"

#include <utility>

namespace beamhill {
namespace {

// Any two clocks drift apart by less than the specified 2 per thousand.
constexpr int64_t kMaxClockRatePpm = 800;
constexpr Duration kTableTimeout = std::chrono::seconds(2);

std::string JoinKeys(const std::vector<std::string>& keys) {
  std::string all;
  for (const std::string& key : keys) all += key + " ";
  return all;
}

Error TableUnavailable() {
  return {ErrorCode::kUnavailable, "the table did not answer", ""};
}

}  // namespace

void SimWorld::At(TimePoint at, std::function<void()> callback) {
  events_.push({std::max(at, now_), next_order_++, std::move(callback)});
}

bool SimWorld::Step(TimePoint end) {
  if (events_.empty() || events_.top().at > end) return false;
  const Event event = events_.top();
  events_.pop();
  now_ = event.at;
  ++steps_;
  event.callback();
  return true;
}

Duration SimWorld::Between(Duration low, Duration high) {
  const double span = static_cast<double>((high - low).count());
  return low + Duration(static_cast<Duration::rep>(span * Uniform()));
}

SimProcess::SimProcess(SimWorld& world)
    : world_(world),
      clock_rate_ppm_(static_cast<int64_t>(
          (world.Uniform() * 2 - 1) * static_cast<double>(kMaxClockRatePpm))),
      clock_offset_(world.Between(Duration(0), std::chrono::hours(100))) {}

TimePoint SimProcess::LocalNow() const {
  const Duration t = world_.now().time_since_epoch();
  return TimePoint(clock_offset_ + t + t * clock_rate_ppm_ / 1'000'000);
}

void SimProcess::RunOrDefer(uint64_t incarnation,
                            const std::function<void()>& work) {
  if (!alive_ || incarnation != incarnation_) return;
  if (paused_) {
    deferred_.push_back(
        [this, incarnation, work] { RunOrDefer(incarnation, work); });
    return;
  }
  work();
}

void SimProcess::After(Duration delay, std::function<void()> work) {
  world_.After(delay,
               [this, incarnation = incarnation_, work = std::move(work)] {
                 RunOrDefer(incarnation, work);
               });
}

void SimProcess::Deliver(std::function<void()> work) {
  RunOrDefer(incarnation_, work);
}

void SimProcess::Kill() {
  alive_ = false;
  paused_ = false;
  deferred_.clear();
}

void SimProcess::Start() {
  alive_ = true;
  ++incarnation_;
}

void SimProcess::Pause() { paused_ = true; }

void SimProcess::Resume() {
  if (!paused_) return;
  paused_ = false;
  const auto backlog = std::exchange(deferred_, {});
  for (const auto& work : backlog) work();
}

Duration SimTable::Latency() {
  return world_.Between(std::chrono::milliseconds(1),
                        std::chrono::milliseconds(15)) +
         faults_.delay;
}

Table SimTable::For(SimProcess& process, const bool* unreachable) {
  Table table;
  SimProcess* p = &process;
  table.read = [this, p, unreachable](const std::vector<std::string>& keys,
                                      ReadAnswer done) {
    Read(
        *p, unreachable, JoinKeys(keys),
        [this, keys] { return model_.Read(keys); }, std::move(done));
  };
  table.scan = [this, p, unreachable](const std::string& prefix,
                                      ReadAnswer done) {
    Read(
        *p, unreachable, prefix, [this, prefix] { return model_.Scan(prefix); },
        std::move(done));
  };
  table.commit = [this, p, unreachable](Transaction transaction,
                                        CommitDone done) {
    Commit(*p, unreachable, std::move(transaction), std::move(done));
  };
  return table;
}

void SimTable::Read(SimProcess& process, const bool* unreachable,
                    const std::string& name,
                    std::function<std::vector<Row>()> read, ReadAnswer done) {
  const uint64_t incarnation = process.incarnation();
  SimProcess* p = &process;
  const auto reply = [p, incarnation,
                      done](const Result<std::vector<Row>>& rows) {
    if (p->incarnation() != incarnation) return;
    p->Deliver([done, rows] { done(rows); });
  };
  const auto source = std::make_pair(p, name);
  const Duration request_delay = Latency();
  if (faults_.down || *unreachable || request_delay > kTableTimeout) {
    world_.After(kTableTimeout, [this, reply, source] {
      const auto last = last_good_reads_.find(source);
      if (stale_reads && last != last_good_reads_.end()) {
        return reply(last->second);
      }
      reply(TableUnavailable());
    });
    return;
  }
  const Duration answer_delay = Latency();
  world_.After(request_delay, [this, read, reply, answer_delay, source] {
    const std::vector<Row> rows = read();
    if (stale_reads) last_good_reads_[source] = rows;
    world_.After(answer_delay, [reply, rows] { reply(rows); });
  });
}

CommitAnswer SimTable::Apply(Transaction transaction) {
  if (mutate_transaction) mutate_transaction(&transaction);
  return model_.Commit(transaction);
}

void SimTable::Commit(SimProcess& process, const bool* unreachable,
                      Transaction transaction, CommitDone done) {
  const uint64_t incarnation = process.incarnation();
  SimProcess* p = &process;
  const auto reply = [p, incarnation, done](const CommitAnswer& result) {
    if (p->incarnation() != incarnation) return;
    p->Deliver([done, result] { done(result); });
  };
  const CommitAnswer unknown{CommitResult::kUnknown, {}};
  if (faults_.down || *unreachable) {
    const bool refused = world_.Chance(0.3);
    world_.After(kTableTimeout, [reply, refused, unknown] {
      reply(refused ? CommitAnswer{CommitResult::kNotApplied, {}} : unknown);
    });
    return;
  }
  const Duration request_delay = Latency();
  const Duration answer_delay = Latency();
  const bool lost = world_.Chance(faults_.lose_answer) ||
                    request_delay + answer_delay > kTableTimeout;
  const bool late = lost && world_.Chance(faults_.apply_late);
  const Duration apply_after =
      late
          ? request_delay + world_.Between(Duration(0), std::chrono::seconds(6))
          : request_delay;
  if (lost) {
    world_.After(kTableTimeout, [reply, unknown] { reply(unknown); });
  }
  world_.After(apply_after, [this, transaction, reply, answer_delay, lost] {
    const CommitAnswer result = Apply(transaction);
    if (!lost) world_.After(answer_delay, [reply, result] { reply(result); });
  });
}

}  // namespace beamhill
