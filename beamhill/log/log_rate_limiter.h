// How many log lines may be written, by event, so that frequent events never
// crowd out rare ones: the lines about single runs come by the thousand, and
// the one line about a change of owner is what explains a failure.
//
// Each event has a few lines a second to itself; beyond these all events share
// one budget. Pure: times go in.
//
//   LogBudget budget(options);
//   if (budget.Admit("run_ended", now)) Write(line);
//   for (auto& [event, count] : budget.TakeDropped()) ...
#ifndef BEAMHILL_LOG_LOG_RATE_LIMITER_H_
#define BEAMHILL_LOG_LOG_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "beamhill/base/time.h"

namespace beamhill {

struct LogBudgetOptions {
  // Lines a second, and at once after a quiet time: of all events together,
  // and of each event by itself before it draws on these.
  double shared_per_second = 300;
  double shared_burst = 900;
  double own_per_second = 10;
  double own_burst = 40;
};

class LogBudget {
 public:
  using Counts = std::map<std::string, uint64_t, std::less<>>;  // By event.

  explicit LogBudget(const LogBudgetOptions& options);

  // Whether a line of the event may be written now; counts it if not.
  bool Admit(std::string_view event, TimePoint now);
  // Counts a line that was admitted and could not be written.
  void NoteDropped(std::string_view event);

  uint64_t dropped() const { return dropped_; }
  // What was dropped since the last call.
  Counts TakeDropped();

 private:
  // Tokens that come back with time.
  struct Bucket {
    double tokens = 0;
    TimePoint refilled_at{};
    bool Take(double per_second, double burst, TimePoint now);
  };

  LogBudgetOptions options_;
  Bucket shared_;
  std::map<std::string, Bucket, std::less<>> own_;
  uint64_t dropped_ = 0;
  Counts dropped_by_event_;
};

}  // namespace beamhill

#endif  // BEAMHILL_LOG_LOG_RATE_LIMITER_H_
