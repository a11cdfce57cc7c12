// A stand-in for the platform's table: rows with versions, transactions, and
// the faults of the real one. Pure; the fake platform serves it over HTTP and
// the coordination tests drive it in virtual time.
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
  uint64_t refused = 0;  // Over the rate limit.
};

class TableModel {
 public:
  // Limits in rows a second; 0 for none.
  TableModel(uint64_t reads_per_second, uint64_t writes_per_second);

  std::vector<Row> Read(const std::vector<std::string>& keys);
  std::vector<Row> Scan(const std::string& prefix);
  // Never kUnknown: a lost answer is the transport's doing.
  CommitAnswer Commit(const Transaction& transaction);

  // Counts one call against the limits; false when it is refused.
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
  std::vector<Row> Standing(const Transaction& transaction) const;

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
