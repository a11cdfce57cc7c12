#include "beamhill/dispatch/stalled_vms.h"

#include <algorithm>
#include <chrono>

namespace beamhill {
namespace {

constexpr Duration kFirstProbeDelay = std::chrono::milliseconds(1000);
constexpr Duration kMaxProbeDelay = std::chrono::milliseconds(4000);
// Within this time an executor finds that a short run progresses and reports
// it.
constexpr Duration kProbeTime = std::chrono::milliseconds(1500);
// A probe takes this share of its run's time at least, in which it gains two
// percent on a VM that works.
constexpr double kProbeShare = 0.03;
constexpr Duration kProbeOverdue = std::chrono::milliseconds(8000);
// With more than 1/3 of the VMs stalled, the rest could not take their work.
constexpr size_t kTooManyDivisor = 3;

}  // namespace

bool StalledVms::Report(const std::string& vm, const std::string& incarnation,
                        bool stalled, TimePoint now,
                        const std::string& service) {
  const auto it = stalls_.find(vm);
  const bool known = it != stalls_.end();
  const bool replaced = known && it->second.incarnation != incarnation;
  if (known == stalled && !replaced) return false;
  if (known) stalls_.erase(it);
  if (stalled) {
    stalls_[vm] = Stall{
        service,     incarnation, now, kFirstProbeDelay, now + kFirstProbeDelay,
        std::nullopt};
  }
  return true;
}

bool StalledVms::Compare(size_t stalled, size_t answering,
                         const std::string& service) {
  if (stalled * kTooManyDivisor > answering) {
    return too_many_.insert(service).second;
  }
  return too_many_.erase(service) > 0;
}

bool StalledVms::Avoids(const std::string& vm) const {
  const auto it = stalls_.find(vm);
  return it != stalls_.end() && too_many_.count(it->second.service) == 0;
}

Duration StalledVms::Age(const std::string& vm, TimePoint now) const {
  const auto it = stalls_.find(vm);
  return it == stalls_.end() ? Duration(0) : now - it->second.since;
}

bool StalledVms::ProbeIsDue(const std::string& vm, TimePoint now) const {
  const auto it = stalls_.find(vm);
  return it != stalls_.end() && !it->second.probe &&
         now >= it->second.next_probe_at;
}

bool StalledVms::ProbeIsOverdue(const std::string& vm, TimePoint now) const {
  return ProbeIsDue(vm, now - kProbeOverdue);
}

void StalledVms::BeginProbe(const std::string& vm, const RunRef& run,
                            TimePoint now, Duration expected) {
  const auto it = stalls_.find(vm);
  if (it == stalls_.end()) return;
  const auto share =
      std::chrono::duration_cast<Duration>(expected * kProbeShare);
  it->second.probe = Probe{run, now, std::max(kProbeTime, share)};
}

std::optional<RunRef> StalledVms::ProbeOn(const std::string& vm) const {
  const auto it = stalls_.find(vm);
  if (it == stalls_.end() || !it->second.probe) return std::nullopt;
  return it->second.probe->run;
}

bool StalledVms::ProbeHasFailed(const std::string& vm, TimePoint now) const {
  const auto it = stalls_.find(vm);
  return it != stalls_.end() && it->second.probe &&
         now - it->second.probe->began >= it->second.probe->time;
}

void StalledVms::EndProbe(const std::string& vm, TimePoint now) {
  const auto it = stalls_.find(vm);
  if (it == stalls_.end() || !it->second.probe) return;
  Stall& stall = it->second;
  if (ProbeHasFailed(vm, now)) {
    stall.probe_delay = std::min(2 * stall.probe_delay, kMaxProbeDelay);
  }
  stall.probe.reset();
  stall.next_probe_at = now + stall.probe_delay;
}

}  // namespace beamhill
