// Interface to the platform's transactional key-value table.
//
// A small set of function objects, so that adaptors can implement it for
// different platforms and tests can replace it by a model. Callbacks always run
// on the event loop, never within the call.
//
//   table.commit({{}, {{"cells/a", 0, "..."}}}, [](CommitAnswer answer) {
//     if (answer.result == CommitResult::kCommitted) { ... }
//   });
#ifndef BEAMHILL_TABLE_TABLE_H_
#define BEAMHILL_TABLE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/error.h"

namespace beamhill {

// A row of the table. Versions start at 1 and change with each write; version 0
// means that the row is absent.
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

// Expected version that matches any version, for rows that are already guarded
// by the check of another row.
inline constexpr uint64_t kAnyVersion = UINT64_MAX;

// Writes or deletes a row if it has the expected version.
struct RowWrite {
  std::string key;
  uint64_t expected_version = 0;
  std::optional<std::string> value;  // Deletes the row if absent.
};

// Requires a row to have the expected version, without writing it.
struct RowCheck {
  std::string key;
  uint64_t expected_version = 0;
};

// Checks and writes that take effect atomically.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

enum class CommitResult : uint8_t {
  kCommitted,
  kConflict,    // A version did not match; nothing took effect.
  kNotApplied,  // Refused or never sent; nothing took effect.
  kUnknown,     // May have taken effect, or may still do so.
};

struct CommitAnswer {
  CommitResult result = CommitResult::kUnknown;
  std::vector<uint64_t> versions;  // New versions of the writes, if committed.
  // After a conflict, if the table reports them: the current state of the rows
  // with an expected version that exist.
  std::vector<Row> current_rows = {};
};

using ReadAnswer = std::function<void(Result<std::vector<Row>>)>;
using CommitDone = std::function<void(CommitAnswer)>;

// The operations of the table.
struct Table {
  // Reads the rows of `keys`, in that order, at one point in time. A row that
  // is absent has version 0.
  std::function<void(std::vector<std::string> keys, ReadAnswer done)> read;
  // Reads all rows whose key starts with `prefix`, sorted by key.
  std::function<void(std::string prefix, ReadAnswer done)> scan;
  // Executes the transaction as a whole or not at all.
  std::function<void(Transaction transaction, CommitDone done)> commit;
  // The largest value of a row, in bytes. A transaction with a larger one is
  // refused as a whole.
  size_t max_value_bytes = std::numeric_limits<size_t>::max();
};

}  // namespace beamhill

#endif  // BEAMHILL_TABLE_TABLE_H_
