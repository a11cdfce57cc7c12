// The part of Executor that paces best-effort tasks beside serving tasks.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

// Smaller changes of a pace are not sent to the runner.
constexpr int kMinPaceChangePercent = 5;
// Share of their requested CPU that serving tasks use, averaged over their load
// variations, as given by the workloads' descriptions.
constexpr int64_t kServingUsePercent = 50;
// Minimum pace of a best-effort run whatever its rank, so that the last ranks
// make progress too; lower only where the pace of its image is lower because of
// interference. At an overcommitment of 25 % it takes 2 % of the CPU.
constexpr int64_t kMinSharePercent = 10;
// Stands for the pace of a run after a pace order without an answer.
constexpr int kUnknownPercent = -1;
// A pace order counts as lost without an answer after this time. The runner is
// on the same VM and usually answers within a few milliseconds.
constexpr Duration kPaceReplyTimeout = std::chrono::milliseconds(200);
// A poll sent this long after a pace order shows its effect: the CPU use that
// it lists covers the last half second.
constexpr Duration kPaceEffectDelay = std::chrono::milliseconds(550);
// A best-effort run that uses more than this share of its requested CPU counts
// as active; a paused one uses none.
constexpr int64_t kActiveUsePercent = 5;
// A run with at least this pace counts as active even when CPU is scarce.
constexpr int kSurelyActivePacePercent = 50;
// A sample covers half a second; a shorter interval would count it twice.
constexpr Duration kInterferenceReportInterval = std::chrono::milliseconds(450);

bool IsUsingCpu(const RunningRun& running, int64_t cpu_millis) {
  return running.measurement * kFullPacePercent >
         cpu_millis * kActiveUsePercent;
}

}  // namespace

void Executor::OnRunTraits(const RunTraitsList& list) {
  for (const RunTraits& run : list.runs) {
    const auto [it, added] = paced_.try_emplace(run.run);
    it->second.traits = run.traits;
    if (added) it->second.percent = kUnknownPercent;
  }
}

Executor::PacingView Executor::ViewForPacing(const RunnerView& view) const {
  PacingView state;
  state.free_cpu_millis = status_.capacity.cpu_millis;
  const auto vm_cpu_millis =
      static_cast<double>(std::max<int64_t>(status_.capacity.cpu_millis, 1));
  for (const RunningRun& running : view.running) {
    const auto it = paced_.find(running.run);
    if (it == paced_.end()) {
      state.free_cpu_millis -= running.measurement;
      continue;
    }
    const TaskTraits& traits = it->second.traits;
    if (traits.best_effort) {
      state.best_effort_runs.push_back(running.run);
      state.best_effort_active =
          state.best_effort_active || IsUsingCpu(running, traits.cpu_millis);
      Pacer::BestEffortShare& share = state.best_effort[traits.image];
      share.used += static_cast<double>(running.measurement) / vm_cpu_millis;
      share.requested += static_cast<double>(traits.cpu_millis) / vm_cpu_millis;
      continue;
    }
    state.free_cpu_millis -=
        traits.cpu_millis * kServingUsePercent / kFullPacePercent;
    if (running.measurement > 0) {
      state.serving.push_back({traits.image,
                               std::chrono::milliseconds(running.measurement),
                               traits.tail_target});
    }
  }
  return state;
}

void Executor::UpdatePaces(const RunnerView& view, TimePoint sent_at,
                           TimePoint now) {
  const PacingView state = ViewForPacing(view);
  if (state.serving.empty() && state.best_effort_runs.empty()) {
    if (!idle_reported_) ReportInterference({}, {}, now);
    return;
  }
  pacer_.Observe(state.serving, state.best_effort, state.best_effort_active,
                 now);
  CheckPaces(view, sent_at, now);
  ReportInterference(state.serving, state.best_effort, now);
  AssignPaces(state.best_effort_runs, state.free_cpu_millis);
}

void Executor::CheckPaces(const RunnerView& view, TimePoint sent_at,
                          TimePoint now) {
  for (const RunningRun& running : view.running) {
    const auto it = paced_.find(running.run);
    if (it == paced_.end() || !it->second.traits.best_effort) continue;
    PacedRun& paced = it->second;
    if (!paced.answered && now - paced.ordered_at >= kPaceReplyTimeout) {
      paced.percent = kUnknownPercent;
    }
    if (sent_at - paced.ordered_at < kPaceEffectDelay) continue;
    const bool active = IsUsingCpu(running, paced.traits.cpu_millis);
    const bool ordered_to_pause = paced.percent == 0;
    const bool ordered_to_run = paced.percent >= kSurelyActivePacePercent;
    if (active ? ordered_to_pause : ordered_to_run) {
      paced.percent = kUnknownPercent;
    }
  }
}

void Executor::AssignPaces(std::vector<RunRef> best_effort_runs,
                           int64_t free_cpu_millis) {
  const auto key = [this](const RunRef& run) {
    return std::tie(paced_.at(run).traits.best_effort_rank, run);
  };
  std::sort(best_effort_runs.begin(), best_effort_runs.end(),
            [&](const RunRef& a, const RunRef& b) { return key(a) < key(b); });
  const auto min_cpu_millis = [this](const TaskTraits& traits) {
    const int64_t percent =
        std::min<int64_t>(pacer_.PacePercent(traits.image), kMinSharePercent);
    return traits.cpu_millis * percent / kFullPacePercent;
  };
  // By image, in addition to the minimum.
  std::map<std::string, int64_t> allowed_cpu_millis;
  for (const RunRef& run : best_effort_runs) {
    const TaskTraits& traits = paced_.at(run).traits;
    allowed_cpu_millis[traits.image] += traits.cpu_millis *
                                            pacer_.PacePercent(traits.image) /
                                            kFullPacePercent -
                                        min_cpu_millis(traits);
    free_cpu_millis -= min_cpu_millis(traits);
  }
  for (const RunRef& run : best_effort_runs) {
    const PacedRun& paced = paced_.at(run);
    const int64_t cpu = std::max<int64_t>(paced.traits.cpu_millis, 1);
    const int64_t minimum = min_cpu_millis(paced.traits);
    int64_t& allowed_for_image = allowed_cpu_millis[paced.traits.image];
    const int64_t extra = std::max<int64_t>(
        std::min({cpu - minimum, allowed_for_image, free_cpu_millis}), 0);
    allowed_for_image -= extra;
    free_cpu_millis -= extra;
    const int64_t granted = minimum + extra;
    const auto percent = static_cast<int>(granted * kFullPacePercent / cpu);
    const int change = std::abs(paced.percent - percent);
    const bool send = change >= kMinPaceChangePercent || percent == 0 ||
                      percent == kFullPacePercent ||
                      paced.percent == kUnknownPercent;
    if (change > 0 && send) OrderPace(run, percent);
  }
}

void Executor::PaceNewBestEffortRun(const RunRef& run) {
  const auto it = paced_.find(run);
  if (it == paced_.end() || !it->second.traits.best_effort) return;
  const int percent = pacer_.PacePercent(it->second.traits.image);
  if (percent < it->second.percent) OrderPace(run, percent);
}

void Executor::OrderPace(const RunRef& run, int percent) {
  PacedRun& paced = paced_[run];
  paced.percent = percent;
  paced.ordered_at = hooks_.now();
  paced.answered = false;
  pace_queue_.Push(run, {percent}, hooks_.now());
  SendPaces();
}

void Executor::SendPaces() {
  while (const auto next = pace_queue_.TakeNext()) {
    const RunRef& run = next->run;
    const auto it = paced_.find(run);
    if (it == paced_.end()) {  // The run has ended.
      pace_queue_.OnDone();
      continue;
    }
    it->second.ordered_at = hooks_.now();
    const uint64_t number = ++counts_.paces;
    it->second.last_sent_number = number;
    runner_.pace(
        {status_.incarnation, epoch_, run, next->call.percent},
        lifetime_.Guard([this, run, number,
                         context = CurrentCallContext()](RunnerReply reply) {
          pace_queue_.OnDone();
          if (IsCurrentContext(context)) OnPaceReply(run, number, reply);
          SendPaces();
        }));
  }
}

void Executor::OnPaceReply(const RunRef& run, uint64_t number,
                           const RunnerReply& reply) {
  NoteClock(reply.clock);
  const auto it = paced_.find(run);
  if (it == paced_.end()) return;
  PacedRun& paced = it->second;
  const bool newest = number == paced.last_sent_number;
  if (newest) paced.answered = true;
  // The pace is unknown and is ordered again: the order failed, or an older
  // order may have taken effect after a newer one.
  if (!newest || reply.verdict != RunnerVerdict::kDone) {
    paced.percent = kUnknownPercent;
  }
}

void Executor::ReportInterference(const std::vector<ServingSample>& serving,
                                  const Pacer::BestEffortShares& best_effort,
                                  TimePoint now) {
  if (now - interference_reported_at_ < kInterferenceReportInterval) return;
  interference_reported_at_ = now;
  std::map<std::string, Duration> tails;
  for (const ServingSample& sample : serving) {
    // Not caused by best-effort tasks, so the owner must not learn from it.
    const bool unrelated = status_.stalled || ExceedsInterference(sample);
    if (options_.detect_stalls && unrelated) continue;
    tails[sample.image] = std::max(tails[sample.image], sample.tail);
  }
  VmInterference report;
  report.epoch = epoch_;
  for (const auto& [image, tail] : tails) {
    report.serving.push_back({image, tail});
  }
  for (const auto& [image, share] : best_effort) {
    const double cpu =
        share.used * static_cast<double>(status_.capacity.cpu_millis);
    report.best_effort_loads.push_back(
        {image, static_cast<int64_t>(cpu), pacer_.PacePercent(image)});
  }
  idle_reported_ = owner_link_ && serving.empty() && best_effort.empty();
  SendToOwner(report);
}

void Executor::OnPacePolicy(const PacePolicyNotice& notice) {
  if (notice.policy != pace_policy_) {
    hooks_.log("pace_policy", "", std::string(PacePolicyName(notice.policy)));
  }
  pace_policy_ = notice.policy;
  pacer_.set_policy(pace_policy_);
}

void Executor::OnWeights(const InterferenceWeights& learned) {
  Pacer::ImagePairWeights weights;
  for (const InterferenceWeight& weight : learned.weights) {
    weights[{weight.serving, weight.best_effort_image}] = weight.per_vm;
  }
  pacer_.SetInterferenceWeights(std::move(weights));
}

}  // namespace beamhill
