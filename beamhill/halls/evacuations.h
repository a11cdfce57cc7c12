// Data halls that operators evacuate: no more tasks are started on their VMs
// until the request is withdrawn.
//
// Each scheduler reads the requests from the operators' table, and receives
// copies from its peers in case the table rejects its calls. The newest list is
// in force.
//
//   EvacuationTracker tracker;
//   tracker.OnRequested("north");  // Rows of the operators' table ...
//   tracker.OnWithdrawn("south");
//   tracker.OnCurrent(41);         // ... which was read up to this version.
//   if (tracker.newest().Holds("north")) ...
#ifndef BEAMHILL_HALLS_EVACUATIONS_H_
#define BEAMHILL_HALLS_EVACUATIONS_H_

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace beamhill {

// The halls to be evacuated, as of one version of the operators' table.
struct Evacuations {
  bool known = false;              // Whether the table has been read.
  uint64_t version = 0;            // Of the table.
  std::vector<std::string> halls;  // Sorted.

  // Whether the hall is to be evacuated.
  bool Holds(const std::string& hall) const;
  // Compares the versions; a known list is newer than an unknown one.
  bool IsNewerThan(const Evacuations& other) const;

  template <typename S>
  static auto Fields(S& s) {
    return std::tie(s.known, s.version, s.halls);
  }
};

// Keeps the newest list of halls to be evacuated.
class EvacuationTracker {
 public:
  // A request, or its withdrawal, was read from the table. Takes effect at the
  // next OnCurrent.
  void OnRequested(const std::string& hall) { requested_.insert(hall); }
  void OnWithdrawn(const std::string& hall) { requested_.erase(hall); }
  // The table has been read completely up to this version.
  void OnCurrent(uint64_t version);
  // A peer has sent its list; an older one is ignored.
  void OnCopy(const Evacuations& copy);

  const Evacuations& newest() const { return newest_; }

 private:
  std::set<std::string> requested_;  // As read from the table.
  Evacuations newest_;
};

}  // namespace beamhill

#endif  // BEAMHILL_HALLS_EVACUATIONS_H_
