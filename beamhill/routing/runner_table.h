// Which runner a request goes to, as one entry sees the runners.
//
// Pure. Of two runners drawn at random the one with the lower expected wait
// is taken. Occupancy is the runner's last report plus what this entry has
// sent since. A runner that fails most of its requests is left out for a
// while, but never more than half of a service's runners.
//
//   RunnerTable runners(random);
//   runners.OnReport("vm-3", report, now);
//   auto vm = runners.Pick("assessor", tried, now);
//   runners.OnSent(*vm);  ...  runners.OnEnded(*vm, latency, failed, now);
#ifndef BEAMHILL_ROUTING_RUNNER_TABLE_H_
#define BEAMHILL_ROUTING_RUNNER_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "beamhill/base/time.h"
#include "beamhill/messages/messages.h"

namespace beamhill {

class RunnerTable {
 public:
  // `random` is uniform in [0, 1).
  explicit RunnerTable(std::function<double()> random);

  // `remembers_since`: how far back its agent's memory of keys reaches.
  void OnLinkUp(const std::string& vm, const std::string& service,
                uint32_t slots, const std::string& hall = "",
                TimePoint remembers_since = TimePoint{});
  void OnLinkDown(const std::string& vm);
  // What the platform's list says of the VM.
  void OnListed(const std::string& vm, bool leaving);
  void OnReport(const std::string& vm, const RunnerReport& report,
                TimePoint now);

  // A runner of the service that is not among `excluded`: one with room, or
  // when none seems to have any, the one last heard of longest ago.
  std::optional<std::string> Pick(const std::string& service,
                                  const std::set<std::string>& excluded,
                                  TimePoint now);
  // The runners whose agents remember this key, at most two, in different
  // halls if there are such; the first runs it. The same for every entry that
  // knows the same runners, and one of the two stays when one runner goes or
  // joins. An agent that has started lately is no keeper yet, unless all have.
  std::vector<std::string> KeyReplicas(const std::string& service,
                                   const std::string& key, TimePoint now) const;

  void OnSent(const std::string& vm);
  // `failed`: the runner answered with a server error, or not at all.
  void OnEnded(const std::string& vm, Duration latency, bool failed,
               TimePoint now);
  // The agent refused: its room is used up whatever the last report said.
  void OnRefused(const std::string& vm);

  // By its agent's word or the platform's list.
  bool IsLeaving(const std::string& vm) const;
  bool KnowsService(const std::string& service) const;
  struct View {
    std::string vm;
    std::string service;
    uint32_t limit = 0;
    uint32_t expected_in_progress = 0;
    Duration latency{};
    bool leaving = false;
    bool ejected = false;
  };
  std::vector<View> Views(TimePoint now) const;

 private:
  struct Runner {
    std::string service;
    std::string hall;
    TimePoint remembers_since{};
    uint32_t limit = 0;
    uint32_t others = 0;  // In progress for other entries, when reported.
    uint32_t own = 0;     // Sent by this entry and not ended.
    Duration latency = std::chrono::milliseconds(1);
    bool leaving = false;         // By its agent's word.
    bool listed_leaving = false;  // By the platform's.
    TimePoint reported_at{};
    double failure_share = 0;
    uint32_t samples = 0;
    TimePoint ejected_until{};
    Duration ejection{};
  };

  std::optional<std::string> PickStalest(const std::string& service,
                                         const std::set<std::string>& excluded,
                                         TimePoint now);
  static bool IsLeaving(const Runner& runner);
  static uint32_t Expected(const Runner& runner);
  double Cost(const Runner& runner) const;
  void EjectIfFailing(Runner& runner, TimePoint now);
  bool MayEject(const std::string& service, TimePoint now) const;

  std::function<double()> random_;
  std::map<std::string, Runner> runners_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ROUTING_RUNNER_TABLE_H_
