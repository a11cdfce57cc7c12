// The platform's transactional table, as the product needs it.
//
// A small set of hooks, so that any dialect can be met by an adaptor and
// tests can put a model in its place. Every answer comes from the loop, never
// from inside the call.
//
//   table.commit({{}, {{"cells/a", 0, "..."}}}, [](CommitAnswer answer) {
//     if (answer.result == CommitResult::kCommitted) { ... }
//   });
#ifndef BEAMHILL_TABLE_TABLE_H_
#define BEAMHILL_TABLE_TABLE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "beamhill/base/error.h"

namespace beamhill {

// Versions start at 1 and change with each write. 0 stands for "absent".
struct Row {
  std::string key;
  std::string value;
  uint64_t version = 0;
};

// As an expected version: write whatever version the row has. For rows that
// another row's check guards already.
inline constexpr uint64_t kAnyVersion = UINT64_MAX;

// Takes effect only if the row has that version.
struct RowWrite {
  std::string key;
  uint64_t expected_version = 0;
  std::optional<std::string> value;  // Absent: delete the row.
};

struct RowCheck {
  std::string key;
  uint64_t expected_version = 0;
};

// All of it takes effect or none.
struct Transaction {
  std::vector<RowCheck> checks;
  std::vector<RowWrite> writes;
};

enum class CommitResult : uint8_t {
  kCommitted,
  kConflict,    // A version was another; nothing took effect.
  kNotApplied,  // Refused or never sent; nothing took effect.
  kUnknown,     // It may have taken effect, or may yet do so.
};

struct CommitAnswer {
  CommitResult result = CommitResult::kUnknown;
  std::vector<uint64_t> versions;  // Of the writes, when committed.
  // After a conflict, as far as the table tells: the rows with an expected
  // version that are there, as they are.
  std::vector<Row> current_rows = {};
};

using ReadAnswer = std::function<void(Result<std::vector<Row>>)>;
using CommitDone = std::function<void(CommitAnswer)>;

struct Table {
  // The rows of these keys at one moment; a row that is absent has version 0.
  std::function<void(std::vector<std::string> keys, ReadAnswer done)> read;
  // All rows whose key starts with `prefix`, by key.
  std::function<void(std::string prefix, ReadAnswer done)> scan;
  std::function<void(Transaction transaction, CommitDone done)> commit;
};

}  // namespace beamhill

#endif  // BEAMHILL_TABLE_TABLE_H_
