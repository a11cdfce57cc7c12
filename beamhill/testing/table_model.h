// In-memory model of the platform's table: versioned rows, transactions and
// rate limits. It does no I/O; the fake platform serves it over HTTP, and the
// coordination tests drive it in virtual time.
//
//   TableModel table(/*reads_per_second=*/0, /*writes_per_second=*/0);
//   CommitAnswer answer = table.Commit(transaction);
//   std::vector<Row> rows = table.Scan("jobs/");
#ifndef BEAMHILL_TESTING_TABLE_MODEL_H_
#define BEAMHILL_TESTING_TABLE_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/table/table.h"

namespace beamhill {

struct TableModelCounts {
  uint64_t reads = 0;
  uint64_t row_writes = 0;
  uint64_t conflicts = 0;
  uint64_t refused = 0;  // Calls over the rate limit.
};

class TableModel {
 public:
  // Limits are in read calls and written rows per second; 0: unlimited.
  TableModel(uint64_t reads_per_second, uint64_t writes_per_second);

  // Returns one row for each key, with version 0 for a missing one.
  std::vector<Row> Read(const std::vector<std::string>& keys);
  std::vector<Row> Scan(const std::string& prefix);
  // Never returns kUnknown: only a transport loses answers. A conflict returns
  // the current rows of the transaction's conditions.
  CommitAnswer Commit(const Transaction& transaction);

  // Take a call's cost from the token buckets; false if the limit is exceeded.
  bool AdmitRead(TimePoint now);
  bool AdmitWrites(uint64_t rows, TimePoint now);

  const TableModelCounts& counts() const { return counts_; }
  const std::map<std::string, Row>& rows() const { return rows_; }

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at{};
    bool Take(double rate, double amount, TimePoint now);
  };

  uint64_t VersionOf(const std::string& key) const;
  std::vector<Row> CurrentRows(const Transaction& transaction) const;

  double reads_per_second_;
  double writes_per_second_;
  Bucket read_bucket_;
  Bucket write_bucket_;
  std::map<std::string, Row> rows_;
  uint64_t next_version_ = 1;
  TableModelCounts counts_;
};

}  // namespace beamhill

#endif  // BEAMHILL_TESTING_TABLE_MODEL_H_
