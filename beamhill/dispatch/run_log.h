// Combines decisions about runs of the same step into one log line: hundreds of
// runs may start and end at once, and one line for each would flood the log.
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

// Receives the log entry of each decision about a workflow.
using DecisionHook =
    std::function<void(const std::string& workflow, const std::string& event,
                       const std::string& detail)>;

class RunLog {
 public:
  // Does nothing if `hook` is empty. The hook must outlive the log.
  explicit RunLog(const DecisionHook& hook) : hook_(hook) {}

  // Adds a run to the line of its event, step and note. `note` applies to all
  // runs of the line, such as an image or a reason.
  void Note(const char* event, const RunRef& run, const std::string& vm,
            const std::string& note);
  // Writes the lines to the hook: "ROUND.STEP note: " followed by
  // "INDEX/RUN@VM" for each run, in the order in which they were added. Long
  // lines are split.
  void Flush();

 private:
  struct LoggedRun {
    uint32_t index = 0;
    uint64_t run = 0;
    std::string vm;
  };
  // Event, workflow, round, step and note.
  using Key =
      std::tuple<std::string, std::string, uint32_t, uint32_t, std::string>;

  const DecisionHook& hook_;
  // Ordered by the first run of each line.
  std::vector<std::pair<Key, std::vector<LoggedRun>>> lines_;
  std::map<Key, size_t> line_of_;  // Index of the open line in `lines_`.
};

}  // namespace beamhill

#endif  // BEAMHILL_DISPATCH_RUN_LOG_H_
