// Selects the runner for each request, as seen by one entry.
//
// Load balancing is by power of two choices: of two runners drawn at random,
// the one with the lower expected wait is selected. A runner's occupancy is
// estimated as its last report of other entries' requests plus the requests
// that this entry has in progress there. A runner that fails most of its
// requests is ejected for a while, but never more than half of a service's
// runners at a time. The class reads no clock and does no I/O.
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
  // `random` returns values uniform in [0, 1).
  explicit RunnerTable(std::function<double()> random);

  // Adds the runner of a VM whose agent has linked. `slots` is its limit of
  // concurrent requests until its first report. `keys_since` is the time since
  // which its agent has recorded idempotency keys.
  void OnLinkUp(const std::string& vm, const std::string& service,
                uint32_t slots, const std::string& hall = "",
                TimePoint keys_since = TimePoint{});
  void OnLinkDown(const std::string& vm);
  // The platform's list shows the VM, as leaving or not.
  void OnListed(const std::string& vm, bool leaving);
  void OnReport(const std::string& vm, const RunnerReport& report,
                TimePoint now);

  // Returns the VM of a runner of the service that is not leaving, ejected or
  // among `excluded`: one below its limit or, if all seem to be at their limit,
  // the one whose last report is the oldest. Returns nothing if there is none.
  std::optional<std::string> Pick(const std::string& service,
                                  const std::set<std::string>& excluded,
                                  TimePoint now);
  // Returns the VMs of this idempotency key's replicas, the agents that record
  // it: at most two, in different halls if possible. The first is the primary
  // replica, whose runner executes the request.
  //
  // Selects by rendezvous hashing: every entry that knows the same runners gets
  // the same result, and at least one replica stays the same when one runner
  // joins or leaves. An agent that started recently may have forgotten keys and
  // is not selected, unless all agents of the service started recently.
  std::vector<std::string> KeyReplicas(const std::string& service,
                                       const std::string& key,
                                       TimePoint now) const;

  void OnSent(const std::string& vm);
  // A request that was sent has ended. `failed`: the runner answered with a
  // server error, or not at all.
  void OnEnded(const std::string& vm, Duration latency, bool failed,
               TimePoint now);
  // The agent refused a request. Its runner counts as at its limit until the
  // next report.
  void OnRefused(const std::string& vm);

  // Whether its agent's report or the platform's list shows the VM as leaving.
  bool IsLeaving(const std::string& vm) const;
  // Whether any runner serves the service, usable or not.
  bool KnowsService(const std::string& service) const;

  // The state of one runner, for diagnostics.
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
    TimePoint keys_since{};
    uint32_t limit = 0;
    // Requests in progress of other entries, by the last report, and of this
    // one.
    uint32_t other_in_progress = 0;
    uint32_t sent_in_progress = 0;
    Duration latency = std::chrono::milliseconds(1);  // Moving average.
    bool draining = false;        // By its agent's last report.
    bool listed_leaving = false;  // By the platform's list.
    TimePoint reported_at{};
    double failure_share = 0;  // Moving average, in [0, 1].
    uint32_t samples = 0;      // Requests ended.
    TimePoint ejected_until{};
    Duration ejection{};  // Length of the last one; zero after a success.
  };

  // The fallback of Pick when all runners seem to be at their limit.
  std::optional<std::string> PickLeastRecentlyReported(
      const std::string& service, const std::set<std::string>& excluded,
      TimePoint now);
  static bool IsLeaving(const Runner& runner);
  // Returns the number of requests estimated to be in progress.
  static uint32_t ExpectedInProgress(const Runner& runner);
  // Returns a measure of the expected wait, to compare runners by.
  double RelativeWait(const Runner& runner) const;
  // Ejects the runner if it fails too often and enough others remain.
  void EjectIfFailing(Runner& runner, TimePoint now);
  // Whether at most half of the service's runners are ejected with one more.
  bool MayEject(const std::string& service, TimePoint now) const;

  std::function<double()> random_;
  std::map<std::string, Runner> runners_;
};

}  // namespace beamhill

#endif  // BEAMHILL_ROUTING_RUNNER_TABLE_H_
