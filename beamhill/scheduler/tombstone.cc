#include "beamhill/scheduler/tombstone.h"

#include <utility>

#include "beamhill/table/row_names.h"

namespace beamhill {
namespace {

// Not a valid encoding of any stored record.
constexpr char kTombstone[] = "tombstone";

}  // namespace

bool IsTombstone(const Row& row) {
  return row.version != 0 && row.value == kTombstone;
}

Transaction WriteTombstone(const std::string& workflow, uint64_t version) {
  Transaction transaction;
  transaction.writes.push_back(
      {rows::kWorkflows + workflow, version, kTombstone});
  transaction.writes.push_back(
      {rows::kCancels + workflow, kAnyVersion, kTombstone});
  return transaction;
}

Transaction RemoveTombstones(const std::vector<Row>& listings) {
  const std::string prefix = rows::kCancels;
  Transaction transaction;
  for (const Row& listing : listings) {
    const std::string workflow = listing.key.substr(prefix.size());
    transaction.writes.push_back({listing.key, listing.version, std::nullopt});
    transaction.writes.push_back(
        {rows::kWorkflows + workflow, kAnyVersion, std::nullopt});
  }
  return transaction;
}

std::vector<Row> TombstoneExpiry::OnScanned(const std::vector<Row>& rows,
                                            TimePoint now) {
  std::map<std::string, Unchanged> seen;
  std::vector<Row> expired;
  for (const Row& row : rows) {
    if (!IsTombstone(row)) continue;
    const auto known = unchanged_.find(row.key);
    const bool same =
        known != unchanged_.end() && known->second.version == row.version;
    const TimePoint since = same ? known->second.since : now;
    seen[row.key] = {row.version, since};
    if (now - since >= retention_) expired.push_back(row);
  }
  unchanged_ = std::move(seen);
  return expired;
}

}  // namespace beamhill
