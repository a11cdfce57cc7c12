#include "beamhill/routing/runner_table.h"

#include <algorithm>
#include <boost/uuid/detail/sha1.hpp>
#include <utility>

namespace beamhill {
namespace {

constexpr double kLatencyWeight = 0.1;  // Of a new sample in the average.
constexpr double kFailureWeight = 0.1;
constexpr double kEjectAbove = 0.5;
constexpr uint32_t kSamplesToEject = 10;
constexpr Duration kFirstEjection = std::chrono::seconds(2);
constexpr Duration kMaxEjection = std::chrono::minutes(1);

// How long agents remember keys, and how far apart agents that are started
// together may be up.
constexpr Duration kKeyMemory = std::chrono::minutes(10);
constexpr Duration kStartedTogether = std::chrono::minutes(1);

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
                           TimePoint remembers_since) {
  Runner runner;
  runner.service = service;
  runner.hall = hall;
  runner.remembers_since = remembers_since;
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
  runner.leaving = report.draining;
  runner.reported_at = now;
  runner.others =
      report.in_progress > runner.own ? report.in_progress - runner.own : 0;
}

void RunnerTable::OnListed(const std::string& vm, bool leaving) {
  const auto it = runners_.find(vm);
  if (it != runners_.end()) it->second.listed_leaving = leaving;
}

bool RunnerTable::IsLeaving(const Runner& runner) {
  return runner.leaving || runner.listed_leaving;
}

uint32_t RunnerTable::Expected(const Runner& runner) {
  return runner.own + runner.others;
}

// Waiting grows with the share of the limit in use and the runner's latency.
double RunnerTable::Cost(const Runner& runner) const {
  const double load = static_cast<double>(Expected(runner) + 1) /
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
    if (Expected(runner) >= runner.limit) continue;
    usable.emplace_back(&vm, &runner);
  }
  if (usable.empty()) return PickStalest(service, excluded, now);
  const auto draw = [&] {
    return static_cast<size_t>(random_() * static_cast<double>(usable.size()));
  };
  const auto& first = usable[draw()];
  const auto& second = usable[draw()];
  return Cost(*first.second) <= Cost(*second.second) ? *first.first
                                                     : *second.first;
}

// Every runner looks full, but what is known of it is some milliseconds old:
// the one known of longest is the likeliest to have room by now. Its gate
// decides; a refusal there is proof of not-run.
std::optional<std::string> RunnerTable::PickStalest(
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
  // Not asked again until it has reported or all others were asked.
  runners_.at(*stalest).reported_at = now;
  return *stalest;
}

std::vector<std::string> RunnerTable::Keepers(const std::string& service,
                                              const std::string& key,
                                              TimePoint now) const {
  TimePoint oldest = now;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service) continue;
    oldest = std::min(oldest, runner.remembers_since);
  }
  const TimePoint settled =
      std::max(now - kKeyMemory, oldest + kStartedTogether);
  struct Keeper {
    uint32_t score;
    const std::string* vm;
    const std::string* hall;
  };
  std::vector<Keeper> keepers;
  for (const auto& [vm, runner] : runners_) {
    if (runner.service != service || runner.remembers_since > settled) continue;
    keepers.push_back({Sha1Word(vm + "\n" + key), &vm, &runner.hall});
  }
  std::sort(keepers.begin(), keepers.end(),
            [](const Keeper& a, const Keeper& b) { return a.score > b.score; });
  std::vector<std::string> chosen;
  if (keepers.empty()) return chosen;
  chosen.push_back(*keepers.front().vm);
  const auto elsewhere = std::find_if(
      keepers.begin() + 1, keepers.end(), [&keepers](const Keeper& keeper) {
        return *keeper.hall != *keepers.front().hall;
      });
  if (elsewhere != keepers.end()) {
    chosen.push_back(*elsewhere->vm);
  } else if (keepers.size() > 1) {
    chosen.push_back(*keepers[1].vm);
  }
  return chosen;
}

void RunnerTable::OnSent(const std::string& vm) {
  const auto it = runners_.find(vm);
  if (it != runners_.end()) ++it->second.own;
}

void RunnerTable::OnEnded(const std::string& vm, Duration latency, bool failed,
                          TimePoint now) {
  const auto it = runners_.find(vm);
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  if (runner.own > 0) --runner.own;
  ++runner.samples;
  runner.failure_share +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - runner.failure_share);
  if (failed) {
    // A fast failure must not make the runner look quick.
    EjectIfFailing(runner, now);
    return;
  }
  runner.ejection = Duration(0);
  const double sample = static_cast<double>(latency.count());
  const double average = static_cast<double>(runner.latency.count());
  runner.latency = Duration(static_cast<Duration::rep>(
      average + kLatencyWeight * (sample - average)));
}

void RunnerTable::OnRefused(const std::string& vm) {
  const auto it = runners_.find(vm);
  if (it == runners_.end()) return;
  Runner& runner = it->second;
  if (runner.own > 0) --runner.own;
  if (Expected(runner) < runner.limit) {
    runner.others = runner.limit - runner.own;
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
  if (runner.samples < kSamplesToEject) return;
  if (runner.failure_share <= kEjectAbove) return;
  if (!MayEject(runner.service, now)) return;
  runner.ejection = runner.ejection == Duration(0)
                        ? kFirstEjection
                        : std::min(runner.ejection * 2, kMaxEjection);
  runner.ejected_until = now + runner.ejection;
  // A single good answer after the pause is enough to stay.
  runner.failure_share = kEjectAbove;
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
    views.push_back({vm, runner.service, runner.limit, Expected(runner),
                     runner.latency, IsLeaving(runner),
                     now < runner.ejected_until});
  }
  return views;
}

}  // namespace beamhill
