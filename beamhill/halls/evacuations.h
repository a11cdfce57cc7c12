// Which data halls the operators have asked to be emptied: nothing more is to
// be started on their VMs until the request is withdrawn.
//
// Each scheduler reads the operators' table itself, and gets copies from its
// peers in case the table turns it away; what holds is the newest.
//
//   EvacuationTracker board;
//   board.OnRequested("north");       // A row of the operators' table ...
//   board.OnWithdrawn("south");
//   board.OnCurrent(41);              // ... which is read up to this version.
//   if (board.newest().Holds("north")) ...
#ifndef BEAMHILL_HALLS_EVACUATIONS_H_
#define BEAMHILL_HALLS_EVACUATIONS_H_

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace beamhill {

// The halls to be emptied, as of one version of the operators' table.
struct Evacuations {
  bool known = false;              // False until the table has been read once.
  uint64_t version = 0;            // Of the table.
  std::vector<std::string> halls;  // Sorted.

  bool Holds(const std::string& hall) const;
  // Whether it says more than the other: by version, or as the only one known.
  bool IsNewerThan(const Evacuations& other) const;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.known, s.version, s.halls);
  }
};

class EvacuationTracker {
 public:
  // A request was read in the table, or its withdrawal. Counts from the next
  // OnCurrent on.
  void OnRequested(const std::string& hall) { requested_.insert(hall); }
  void OnWithdrawn(const std::string& hall) { requested_.erase(hall); }
  // All of the table up to this version has been read.
  void OnCurrent(uint64_t version);
  // A peer's; an older one changes nothing.
  void OnCopy(const Evacuations& copy);

  const Evacuations& newest() const { return newest_; }

 private:
  std::set<std::string> requested_;  // As read here.
  Evacuations newest_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HALLS_EVACUATIONS_H_
