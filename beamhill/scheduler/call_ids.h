// Ids of a process's calls to other processes, by which their answers are
// matched.
//
//   CallIds ids(RandomSeed());
//   const uint64_t id = ids.Next();
#ifndef BEAMHILL_SCHEDULER_CALL_IDS_H_
#define BEAMHILL_SCHEDULER_CALL_IDS_H_

#include <cstdint>

namespace beamhill {

// The ids begin at a random number, so that an answer to a call of another
// process, or of an earlier one of the same name, matches none of this process.
class CallIds {
 public:
  // `random`: 64 random bits, different each time a process starts.
  explicit CallIds(uint64_t random) : first_(random >> 1), next_(first_) {}

  uint64_t Next() { return next_++; }
  // Whether Next has returned the id.
  bool Issued(uint64_t id) const { return id >= first_ && id < next_; }

 private:
  uint64_t first_;
  uint64_t next_;
};

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_CALL_IDS_H_
