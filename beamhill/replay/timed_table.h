// TimedTable: a Table over a TableModel with simulated latency and limited
// throughput.
//
// Each partition applies its transactions one after another at a fixed rate and
// refuses them while its queue is too long. Reads share one rate limit.
//
//   TimedTable timed(time, TimedTableOptions{});
//   OwnershipKeeper keeper(options, timed.AsTable(), hooks);
//   time.RunUntil(time.now() + std::chrono::seconds(1));
#ifndef BEAMHILL_REPLAY_TIMED_TABLE_H_
#define BEAMHILL_REPLAY_TIMED_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "beamhill/replay/virtual_time.h"
#include "beamhill/table/row_names.h"
#include "beamhill/table/table.h"
#include "beamhill/testing/table_model.h"

namespace beamhill {

struct TimedTableOptions {
  uint64_t reads_per_second = 16000;
  uint64_t partition_writes_per_second = 300;
  // A transaction that would wait for longer is refused.
  Duration max_queue_delay = std::chrono::seconds(1);
  // From a call to its answer, without queueing.
  Duration latency = std::chrono::milliseconds(4);
  // Returns the name of the partition that holds a key.
  std::function<std::string(const std::string& key)> partition_of =
      [](const std::string& key) {
        return rows::PartitionOf(key) == RowPartition::kVms ? "vms" : "work";
      };
};

struct TimedTableCounts {
  uint64_t reads = 0;
  uint64_t transactions = 0;
  uint64_t refused = 0;  // Reads and transactions.
};

class TimedTable {
 public:
  TimedTable(VirtualTime& time, TimedTableOptions options);

  // Returns hooks that refer to this object, which must outlive them.
  Table AsTable();
  TableModel& model() { return model_; }
  const TimedTableCounts& counts() const { return counts_; }

 private:
  void Answer(ReadAnswer done, std::function<std::vector<Row>()> read);
  void Commit(Transaction transaction, CommitDone done);

  VirtualTime& time_;
  TimedTableOptions options_;
  TableModel model_;
  std::map<std::string, TimePoint> busy_until_;  // By partition.
  TimedTableCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_REPLAY_TIMED_TABLE_H_
