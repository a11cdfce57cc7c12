#include "beamhill/testing/table_model.h"

#include <algorithm>

namespace beamhill {

TableModel::TableModel(uint64_t reads_per_second, uint64_t writes_per_second)
    : reads_per_second_(static_cast<double>(reads_per_second)),
      writes_per_second_(static_cast<double>(writes_per_second)) {}

bool TableModel::Bucket::Take(double rate, double amount, TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - filled_at).count();
  tokens = std::min(rate, tokens + std::max(0.0, seconds) * rate);
  filled_at = now;
  if (tokens < amount) return false;
  tokens -= amount;
  return true;
}

bool TableModel::AdmitRead(TimePoint now) {
  if (reads_per_second_ <= 0) return true;
  if (read_bucket_.Take(reads_per_second_, 1, now)) return true;
  ++counts_.refused;
  return false;
}

bool TableModel::AdmitWrites(uint64_t rows, TimePoint now) {
  if (writes_per_second_ <= 0) return true;
  if (write_bucket_.Take(writes_per_second_, static_cast<double>(rows), now)) {
    return true;
  }
  ++counts_.refused;
  return false;
}

uint64_t TableModel::VersionOf(const std::string& key) const {
  const auto it = rows_.find(key);
  return it == rows_.end() ? 0 : it->second.version;
}

std::vector<Row> TableModel::Read(const std::vector<std::string>& keys) {
  ++counts_.reads;
  std::vector<Row> rows;
  for (const std::string& key : keys) {
    const auto it = rows_.find(key);
    rows.push_back(it == rows_.end() ? Row{key, "", 0} : it->second);
  }
  return rows;
}

std::vector<Row> TableModel::Scan(const std::string& prefix) {
  ++counts_.reads;
  std::vector<Row> rows;
  for (auto it = rows_.lower_bound(prefix); it != rows_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    rows.push_back(it->second);
  }
  return rows;
}

std::vector<Row> TableModel::CurrentRows(const Transaction& transaction) const {
  std::vector<Row> current;
  const auto add = [&](const std::string& key) {
    const auto it = rows_.find(key);
    if (it != rows_.end()) current.push_back(it->second);
  };
  for (const RowCheck& check : transaction.checks) add(check.key);
  for (const RowWrite& write : transaction.writes) {
    if (write.expected_version != kAnyVersion) add(write.key);
  }
  return current;
}

CommitAnswer TableModel::Commit(const Transaction& transaction) {
  const bool checks_hold =
      std::all_of(transaction.checks.begin(), transaction.checks.end(),
                  [this](const RowCheck& c) {
                    return VersionOf(c.key) == c.expected_version;
                  });
  const bool writes_hold =
      std::all_of(transaction.writes.begin(), transaction.writes.end(),
                  [this](const RowWrite& w) {
                    return w.expected_version == kAnyVersion ||
                           VersionOf(w.key) == w.expected_version;
                  });
  if (!checks_hold || !writes_hold) {
    ++counts_.conflicts;
    return {CommitResult::kConflict, {}, CurrentRows(transaction)};
  }
  CommitAnswer answer{CommitResult::kCommitted, {}};
  for (const RowWrite& write : transaction.writes) {
    ++counts_.row_writes;
    if (!write.value) {
      rows_.erase(write.key);
      answer.versions.push_back(0);
      continue;
    }
    const uint64_t version = next_version_++;
    rows_[write.key] = Row{write.key, *write.value, version};
    answer.versions.push_back(version);
  }
  return answer;
}

}  // namespace beamhill
