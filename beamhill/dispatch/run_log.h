// Puts decisions about single runs of one step that fall together into one log
// line: a burst starts and ends runs by the hundred, and a line each would
// drown all else.
//
//   RunLog log(on_decision);
//   log.Note("run_ended", {task, 2}, "vm-3", "done");
//   log.Flush();  // "run_ended", "w", "0.1 done: 4/2@vm-3 7/2@vm-5"
#ifndef BEAMHILL_DISPATCH_RUN_LOG_H_
#define BEAMHILL_DISPATCH_RUN_LOG_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "beamhill/dispatch/dispatch_messages.h"

namespace beamhill {

// Called for each decision that touches a workflow, for the log.
using DecisionHook =
    std::function<void(const std::string& workflow, const std::string& event,
                       const std::string& detail)>;

class RunLog {
 public:
  // Without a hook nothing is kept.
  explicit RunLog(const DecisionHook& hook) : hook_(hook) {}

  // `note` says what goes for all runs of the line: an image, a reason.
  void Note(const char* event, const RunRef& run, const std::string& vm,
            const std::string& note);
  // One line for each event, step and note: "ROUND.STEP note: " and then
  // "INDEX/RUN@VM" for each run, in the order in which they were noted.
  void Flush();

 private:
  struct Entry {
    uint32_t index = 0;
    uint64_t run = 0;
    std::string vm;
  };
  // Event, workflow, round, step and note.
  using Key =
      std::tuple<std::string, std::string, uint32_t, uint32_t, std::string>;

  const DecisionHook& hook_;
  // In the order of the first run of each line.
  std::vector<std::pair<Key, std::vector<Entry>>> lines_;
  std::map<Key, size_t> line_of_;
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RUN_LOG_H_
