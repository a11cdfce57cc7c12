// The tables of the schedulers and executors, and which of them share a
// partition.
//
// The platform's table takes the transactions of one partition one after
// another and refuses more once too many wait. So what all processes write at
// the same moment must not stand before that by which work goes on.
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
  // Who owns the work, the work itself and what became of it. An owner's
  // transactions hold its own row beside those of workflows, so that a later
  // owner's claim makes them fail.
  kWork,
  // Where VMs are reached: one row a VM, written by its executor alone. After
  // a loss of power all executors look after theirs at once.
  kVms,
};

namespace rows {

inline constexpr char kOwner[] = "owner/row";
inline constexpr char kWorkflows[] = "workflows/";
inline constexpr char kProgress[] = "progress/";
inline constexpr char kCancels[] = "cancels/";
inline constexpr char kLearned[] = "learned/";
inline constexpr char kInterference[] = "learned/pressure";
// What the owner may not have heard of yet: "n-" new, "c-" cancelled.
inline constexpr char kArrivals[] = "arrivals/";
inline constexpr char kExecutors[] = "executors/";
// Where executors of earlier versions register: among the work's rows. Read,
// and removed with their VM, but no longer written.
inline constexpr char kLegacyExecutors[] = "vms/";

std::string NewMarker(const std::string& workflow);
std::string CancelMarker(const std::string& workflow);

// The partition of the row with this key.
constexpr RowPartition PartitionOf(std::string_view key) {
  constexpr std::string_view kPrefix = kExecutors;
  return key.substr(0, kPrefix.size()) == kPrefix ? RowPartition::kVms
                                                  : RowPartition::kWork;
}

}  // namespace rows
}  // namespace beamhill

#endif  // BEAMHILL_TABLE_ROW_NAMES_H_
