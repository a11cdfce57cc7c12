#include "beamhill/routing/runner_table.h"

#include <algorithm>
#include <boost/uuid/detail/sha1.hpp>
#include <utility>

namespace beamhill {
namespace {

// Weights of a new sample in the moving averages.
constexpr double kLatencySmoothing = 0.1;
constexpr double kFailureSmoothing = 0.1;
// A runner is ejected above this share of failures, once it has ended enough
// requests for the share to mean anything.
constexpr double kEjectionFailureShare = 0.5;
constexpr uint32_t kMinSamplesToEject = 10;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr Duration kMaxEjection = std::chrono::minutes(1);

// How long agents record idempotency keys.
constexpr Duration kKeyRetention = std::chrono::minutes(10);
// Agents that start within this time of their service's first one are treated
// as started together.
constexpr Duration kStartupSkew = std::chrono::minutes(1);

uint32_t Sha1Word(const std::string& text) {
  boost::uuids::detail::sha1 hash;
  hash.process_bytes(text.data(), text.size());
  unsigned int digest[5];
  hash.get_digest(digest);
  return digest[0];
}

}  // namespace

RunnerTable::RunnerTable(std::function<double()> random)
    : random_(std::move(random)) {}

void RunnerTable::OnLinkUp(const std::string& vm, const std::string& service,
                           uint32_t slots, const std::string& hall,
                           TimePoint keys_since) {
  Runner runner;
  runner.service = service;
  runner.hall = hall;
  runner.keys_since = keys_since;
  runner.limit = slots;
  runners_[vm] = runner;
}

void RunnerTable::OnLinkDown(const std::string& vm) { runners_.erase(vm); }

void RunnerTable::OnReport(const std::string& vm, const RunnerReport& report,
                           TimePoint now) {
  const auto it = runners_.find(vm);
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  runner.limit = report.limit;
  runner.draining = report.draining;
  runner.reported_at = now;
  runner.other_in_progress = report.in_progress > runner.sent_in_progress
                                 ? report.in_progress - runner.sent_in_progress
                                 : 0;
}

void RunnerTable::OnListed(const std::string& vm, bool leaving) {
  const auto it = runners_.find(vm);
  if (it != runners_.end()) it->second.listed_leaving = leaving;
}

bool RunnerTable::IsLeaving(const Runner& runner) {
  return runner.draining || runner.listed_leaving;
}

uint32_t RunnerTable::ExpectedInProgress(const Runner& runner) {
  return runner.sent_in_progress + runner.other_in_progress;
}

// The wait grows with the share of the limit in use and with the latency.
double RunnerTable::RelativeWait(const Runner& runner) const {
  const double load = static_cast<double>(ExpectedInProgress(runner) + 1) /
                      static_cast<double>(std::max(1U, runner.limit));
  return load * static_cast<double>(runner.latency.count() + 1);
}

std::optional<std::string> RunnerTable::Pick(
    const std::string& service, const std::set<std::string>& excluded,
    TimePoint now) {
  std::vector<std::pair<const std::string*, const Runner*>> usable;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service || IsLeaving(runner)) continue;
    if (excluded.count(vm) > 0 || now < runner.ejected_until) continue;
    if (ExpectedInProgress(runner) >= runner.limit) continue;
    usable.emplace_back(&vm, &runner);
  }
  if (usable.empty()) return PickLeastRecentlyReported(service, excluded, now);
  const auto pick_random = [&] {
    return static_cast<size_t>(random_() * static_cast<double>(usable.size()));
  };
  const auto& first = usable[pick_random()];
  const auto& second = usable[pick_random()];
  return RelativeWait(*first.second) <= RelativeWait(*second.second)
             ? *first.first
             : *second.first;
}

// Reports are some milliseconds old, so that a runner may have capacity by now
// although all seem to be at their limit, most likely the one with the oldest
// report. Its agent enforces the limit: a request that the agent refuses has
// not run.
std::optional<std::string> RunnerTable::PickLeastRecentlyReported(
    const std::string& service, const std::set<std::string>& excluded,
    TimePoint now) {
  const std::string* stalest = nullptr;
  TimePoint oldest{};
  for (auto& [vm, runner] : runners_) {
    if (runner.service != service || IsLeaving(runner)) continue;
    if (excluded.count(vm) > 0 || now < runner.ejected_until) continue;
    if (stalest != nullptr && runner.reported_at >= oldest) continue;
    stalest = &vm;
    oldest = runner.reported_at;
  }
  if (stalest == nullptr) return std::nullopt;
  // Not picked again until it has reported or all others have been picked.
  runners_.at(*stalest).reported_at = now;
  return *stalest;
}

std::vector<std::string> RunnerTable::KeyReplicas(const std::string& service,
                                                  const std::string& key,
                                                  TimePoint now) const {
  TimePoint oldest = now;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service) continue;
    oldest = std::min(oldest, runner.keys_since);
  }
  const TimePoint cutoff = std::max(now - kKeyRetention, oldest + kStartupSkew);
  struct Replica {
    uint32_t score;
    const std::string* vm;
    const std::string* hall;
  };
  std::vector<Replica> replicas;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service || runner.keys_since > cutoff) continue;
    replicas.push_back({Sha1Word(vm + "\n" + key), &vm, &runner.hall});
  }
  std::sort(
      replicas.begin(), replicas.end(),
      [](const Replica& a, const Replica& b) { return a.score > b.score; });
  std::vector<std::string> chosen;
  if (replicas.empty()) return chosen;
  chosen.push_back(*replicas.front().vm);
  const auto in_other_hall =
      std::find_if(replicas.begin() + 1, replicas.end(),
                   [&replicas](const Replica& replica) {
                     return *replica.hall != *replicas.front().hall;
                   });
  if (in_other_hall != replicas.end()) {
    chosen.push_back(*in_other_hall->vm);
  } else if (replicas.size() > 1) {
    chosen.push_back(*replicas[1].vm);
  }
  return chosen;
}

void RunnerTable::OnSent(const std::string& vm) {
  const auto it = runners_.find(vm);
  if (it != runners_.end()) ++it->second.sent_in_progress;
}

void RunnerTable::OnEnded(const std::string& vm, Duration latency, bool failed,
                          TimePoint now) {
  const auto it = runners_.find(vm);
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  if (runner.sent_in_progress > 0) --runner.sent_in_progress;
  ++runner.samples;
  runner.failure_share +=
      kFailureSmoothing * ((failed ? 1.0 : 0.0) - runner.failure_share);
  if (failed) {
    // Its latency is ignored, so that failing fast attracts no requests.
    EjectIfFailing(runner, now);
    return;
  }
  runner.ejection = Duration(0);
  const double sample = static_cast<double>(latency.count());
  const double average = static_cast<double>(runner.latency.count());
  runner.latency = Duration(static_cast<Duration::rep>(
      average + kLatencySmoothing * (sample - average)));
}

void RunnerTable::OnRefused(const std::string& vm) {
  const auto it = runners_.find(vm);
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  if (runner.sent_in_progress > 0) --runner.sent_in_progress;
  if (ExpectedInProgress(runner) < runner.limit) {
    runner.other_in_progress = runner.limit - runner.sent_in_progress;
  }
}

bool RunnerTable::MayEject(const std::string& service, TimePoint now) const {
  size_t all = 0;
  size_t ejected = 0;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service) continue;
    ++all;
    if (now < runner.ejected_until) ++ejected;
  }
  return (ejected + 1) * 2 <= all;
}

void RunnerTable::EjectIfFailing(Runner& runner, TimePoint now) {
  if (runner.samples < kMinSamplesToEject) return;
  if (runner.failure_share <= kEjectionFailureShare) return;
  if (!MayEject(runner.service, now)) return;
  runner.ejection = runner.ejection == Duration(0)
                        ? kFirstEjection
                        : std::min(runner.ejection * 2, kMaxEjection);
  runner.ejected_until = now + runner.ejection;
  // One success after the ejection is enough to avoid the next one.
  runner.failure_share = kEjectionFailureShare;
}

bool RunnerTable::IsLeaving(const std::string& vm) const {
  const auto it = runners_.find(vm);
  return it != runners_.end() && IsLeaving(it->second);
}

bool RunnerTable::KnowsService(const std::string& service) const {
  return std::any_of(runners_.begin(), runners_.end(), [&](const auto& entry) {
    return entry.second.service == service;
  });
}

std::vector<RunnerTable::View> RunnerTable::Views(TimePoint now) const {
  std::vector<View> views;
  for (const auto& [vm, runner] : runners_) {
    views.push_back({vm, runner.service, runner.limit,
                     ExpectedInProgress(runner), runner.latency,
                     IsLeaving(runner), now < runner.ejected_until});
  }
  return views;
}

}  // namespace beamhill
