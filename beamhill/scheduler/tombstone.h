// Tombstones: rows in place of workflows that were cancelled before they were
// stored.
//
// A cancellation that finds no workflow can't tell whether a submission is
// still under way: held by another scheduler, in the table's queue, or executed
// seconds after its caller has given up. The tombstone takes the workflow's
// key, so any such submission fails its condition that the row does not exist.
//
// A row in kCancels lists each tombstone, since a scan of kWorkflows would read
// every stored workflow. Both rows are written and removed together, except
// that a scheduler of an earlier version may overwrite the listing with that of
// an ordinary cancellation.
//
//   table.commit(WriteTombstone(id, /*version=*/0), done);
//   // As the owner, at intervals:
//   table.scan(rows::kCancels, [&](Result<std::vector<Row>> rows) {
//     Remove(expiry.OnScanned(ValueOf(rows), now));
//   });
#ifndef BEAMHILL_SCHEDULER_TOMBSTONE_H_
#define BEAMHILL_SCHEDULER_TOMBSTONE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/table/table.h"

namespace beamhill {

// Returns whether the row, of kWorkflows or kCancels, belongs to a tombstone.
bool IsTombstone(const Row& row);

// Returns a transaction that stores a tombstone for the workflow if its row has
// this version; 0 if there is none. Replacing a tombstone restarts its
// retention.
Transaction WriteTombstone(const std::string& workflow, uint64_t version);

// Maximum number of tombstones in a transaction of RemoveTombstones: each takes
// three of its 100 entries.
inline constexpr size_t kMaxTombstonesPerRemoval = 33;

// Returns a transaction that removes the tombstones with these listings, if
// none of them has been replaced since the listings were read.
Transaction RemoveTombstones(const std::vector<Row>& listings);

// Decides when tombstones are removed. One that is removed too early lets a
// cancelled submission be stored, so the retention must exceed the time from
// the arrival of a submission to the last moment at which it may be executed.
//
// Counts from the scan that first returns a tombstone, since the clock of the
// process that wrote it may differ. Not thread-safe.
class TombstoneExpiry {
 public:
  explicit TombstoneExpiry(Duration retention) : retention_(retention) {}

  // Takes all rows of kCancels, as read at `now` or shortly before. Returns the
  // listings of the tombstones that have not changed for the retention.
  std::vector<Row> OnScanned(const std::vector<Row>& rows, TimePoint now);

  // The number of tombstones in the last scan.
  size_t size() const { return unchanged_.size(); }

 private:
  struct Unchanged {
    uint64_t version = 0;
    TimePoint since{};
  };

  Duration retention_;
  std::map<std::string, Unchanged> unchanged_;  // By key of the listing.
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_TOMBSTONE_H_
