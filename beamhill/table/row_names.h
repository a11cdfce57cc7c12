// Row keys of the schedulers and executors in the platform's table, and the
// partition of each row.
//
// The table executes the transactions of one partition sequentially and refuses
// further ones when too many are queued. Rows that many processes write at the
// same time are therefore kept out of the partition that scheduling depends on.
//
//   table.commit({{}, {{std::string(rows::kExecutors) + vm, 0, value}}}, done);
#ifndef BEAMHILL_TABLE_ROW_NAMES_H_
#define BEAMHILL_TABLE_ROW_NAMES_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace beamhill {

// Rows of one partition can be written in one transaction.
enum class RowPartition : uint8_t {
  // The owner row, workflows and their progress. The owner's transactions also
  // check its own row, so that they fail once another owner has claimed it.
  kWork,
  // Addresses of VMs: one row per VM, written only by its executor. After a
  // power failure, all executors write their rows at the same time.
  kVms,
};

namespace rows {

inline constexpr char kOwner[] = "owner/row";
inline constexpr char kWorkflows[] = "workflows/";
inline constexpr char kProgress[] = "progress/";
inline constexpr char kCancels[] = "cancels/";
inline constexpr char kLearned[] = "learned/";
// Interference of best-effort tasks with serving tasks, as the owner learned
// it.
inline constexpr char kInterference[] = "learned/pressure";
// Markers for workflows that the owner may not have seen yet: "n-" followed by
// the ID of a new one, "c-" by that of a cancelled one.
inline constexpr char kArrivals[] = "arrivals/";
inline constexpr char kExecutors[] = "executors/";
// Registrations by executors of earlier versions, in partition kWork. Read, and
// deleted with their VM, but no longer written.
inline constexpr char kLegacyExecutors[] = "vms/";

// Returns the key of the marker of a new workflow.
std::string NewMarker(const std::string& workflow);
// Returns the key of the marker of a cancelled workflow.
std::string CancelMarker(const std::string& workflow);

// Returns the partition of the row with this key.
constexpr RowPartition PartitionOf(std::string_view key) {
  constexpr std::string_view kPrefix = kExecutors;
  return key.substr(0, kPrefix.size()) == kPrefix ? RowPartition::kVms
                                                  : RowPartition::kWork;
}

}  // namespace rows
}  // namespace beamhill

#endif  // BEAMHILL_TABLE_ROW_NAMES_H_
