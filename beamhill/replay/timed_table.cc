#include "beamhill/replay/timed_table.h"

#include <algorithm>
#include <utility>

namespace beamhill {

TimedTable::TimedTable(VirtualTime& time, TimedTableOptions options)
    : time_(time),
      options_(std::move(options)),
      model_(options_.reads_per_second, 0) {}

Table TimedTable::AsTable() {
  Table table;
  table.read = [this](std::vector<std::string> keys, ReadAnswer done) {
    Answer(std::move(done), [this, keys] { return model_.Read(keys); });
  };
  table.scan = [this](std::string prefix, ReadAnswer done) {
    Answer(std::move(done), [this, prefix] { return model_.Scan(prefix); });
  };
  table.commit = [this](Transaction transaction, CommitDone done) {
    Commit(std::move(transaction), std::move(done));
  };
  return table;
}

void TimedTable::Answer(ReadAnswer done,
                        std::function<std::vector<Row>()> read) {
  ++counts_.reads;
  if (!model_.AdmitRead(time_.now())) {
    ++counts_.refused;
    time_.After(options_.latency, [done = std::move(done)] {
      done(Error{ErrorCode::kUnavailable, "read rate limit exceeded", ""});
    });
    return;
  }
  // The read takes effect half a latency before its answer arrives.
  time_.After(options_.latency / 2,
              [this, done = std::move(done), read = std::move(read)] {
                const std::vector<Row> rows = read();
                time_.After(options_.latency / 2, [done, rows] { done(rows); });
              });
}

void TimedTable::Commit(Transaction transaction, CommitDone done) {
  ++counts_.transactions;
  const TimePoint now = time_.now();
  TimePoint& busy_until =
      busy_until_[options_.partition_of(transaction.writes.front().key)];
  busy_until = std::max(busy_until, now);
  if (busy_until - now > options_.max_queue_delay) {
    ++counts_.refused;
    time_.After(options_.latency, [done = std::move(done)] {
      done({CommitResult::kNotApplied, {}});
    });
    return;
  }
  const Duration write_interval =
      Duration(std::chrono::seconds(1)) /
      static_cast<int64_t>(options_.partition_writes_per_second);
  busy_until += write_interval;
  time_.After(busy_until - now, [this, transaction = std::move(transaction),
                                 done = std::move(done)] {
    const CommitAnswer answer = model_.Commit(transaction);
    time_.After(options_.latency / 2, [done, answer] { done(answer); });
  });
}

}  // namespace beamhill
