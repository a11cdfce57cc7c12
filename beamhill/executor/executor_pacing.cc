// The part of Executor that paces fillers beside serving tasks.
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

// Changes of a filler's share below this are not worth a call.
constexpr int kLeastPaceChange = 5;
// Share of what serving tasks ask for that they use, on average over their
// swings; from the workloads' sheets.
constexpr int64_t kServingUsePercent = 50;
// The least share at which a filler works however many come before it, unless
// its image is held lower for what it disturbs: so the last in the order get on
// too. At an overcommitment of a quarter it takes 2 % of the processors.
constexpr int64_t kLeastSharePercent = 10;
// What a filler works at after a pace order without an answer.
constexpr int kUnknownPercent = -1;
// A pace order without an answer for so long is taken for lost: the runner is
// on the same VM, and answers within some milliseconds.
constexpr Duration kPaceAnswered = std::chrono::milliseconds(200);
// A look that is sent so long after a pace order shows what became of it: the
// use that it tells is up to half a second old.
constexpr Duration kPaceSettled = std::chrono::milliseconds(550);
// A filler that uses more than this part of what it asks for is at work; one
// that was ordered to rest uses nothing.
constexpr int64_t kAtWorkPercent = 5;
// One that was ordered this pace uses more than that, however short processors
// are.
constexpr int kSurelyAtWork = 50;
// A sample covers half a second; more often would count it twice.
constexpr Duration kPressureInterval = std::chrono::milliseconds(450);

bool IsSeenAtWork(const RunningRun& filler, int64_t cpu_millis) {
  return filler.measurement * kWholePercent > cpu_millis * kAtWorkPercent;
}

}  // namespace

void Executor::OnTraits(const RunTraitsList& list) {
  for (const RunTraits& run : list.runs) {
    const auto [it, added] = paced_.try_emplace(run.run);
    it->second.traits = run.traits;
    if (added) it->second.percent = kUnknownPercent;
  }
}

Executor::PacingView Executor::ViewForPacing(const RunnerView& view) const {
  PacingView seen;
  seen.free_cpu = status_.capacity.cpu_millis;
  const auto whole =
      static_cast<double>(std::max<int64_t>(status_.capacity.cpu_millis, 1));
  for (const RunningRun& running : view.running) {
    const auto it = paced_.find(running.run);
    if (it == paced_.end()) {
      seen.free_cpu -= running.measurement;
      continue;
    }
    const TaskTraits& traits = it->second.traits;
    if (traits.fills) {
      seen.fillers.push_back(running.run);
      seen.fillers_work =
          seen.fillers_work || IsSeenAtWork(running, traits.cpu_millis);
      Pacer::FillingShare& share = seen.filling[traits.image];
      share.used += static_cast<double>(running.measurement) / whole;
      share.asked += static_cast<double>(traits.cpu_millis) / whole;
      continue;
    }
    seen.free_cpu -= traits.cpu_millis * kServingUsePercent / kWholePercent;
    if (running.measurement > 0) {
      seen.serving.push_back({traits.image,
                              std::chrono::milliseconds(running.measurement),
                              traits.tail_target});
    }
  }
  return seen;
}

void Executor::Pace(const RunnerView& view, TimePoint sent_at, TimePoint now) {
  const PacingView seen = ViewForPacing(view);
  if (seen.serving.empty() && seen.fillers.empty()) {
    if (!calm_told_) ReportPressure({}, {}, now);
    return;
  }
  pacer_.Observe(seen.serving, seen.filling, seen.fillers_work, now);
  NotePaces(view, sent_at, now);
  ReportPressure(seen.serving, seen.filling, now);
  PaceInOrder(seen.fillers, seen.free_cpu);
}

void Executor::NotePaces(const RunnerView& view, TimePoint sent_at,
                         TimePoint now) {
  for (const RunningRun& running : view.running) {
    const auto it = paced_.find(running.run);
    if (it == paced_.end() || !it->second.traits.fills) continue;
    Paced& paced = it->second;
    if (!paced.answered && now - paced.ordered_at >= kPaceAnswered) {
      paced.percent = kUnknownPercent;
    }
    if (sent_at - paced.ordered_at < kPaceSettled) continue;
    const bool works = IsSeenAtWork(running, paced.traits.cpu_millis);
    const bool ordered_to_rest = paced.percent == 0;
    const bool ordered_to_work = paced.percent >= kSurelyAtWork;
    if (works ? ordered_to_rest : ordered_to_work) {
      paced.percent = kUnknownPercent;
    }
  }
}

void Executor::PaceInOrder(std::vector<RunRef> fillers, int64_t free_cpu) {
  const auto key = [this](const RunRef& run) {
    return std::tie(paced_.at(run).traits.yield_order, run);
  };
  std::sort(fillers.begin(), fillers.end(),
            [&](const RunRef& a, const RunRef& b) { return key(a) < key(b); });
  const auto least_of = [this](const TaskTraits& traits) {
    const int64_t percent =
        std::min<int64_t>(pacer_.PercentOf(traits.image), kLeastSharePercent);
    return traits.cpu_millis * percent / kWholePercent;
  };
  std::map<std::string, int64_t> allowed_cpu;  // By image, beyond the least.
  for (const RunRef& run : fillers) {
    const TaskTraits& traits = paced_.at(run).traits;
    allowed_cpu[traits.image] +=
        traits.cpu_millis * pacer_.PercentOf(traits.image) / kWholePercent -
        least_of(traits);
    free_cpu -= least_of(traits);
  }
  for (const RunRef& run : fillers) {
    const Paced& paced = paced_.at(run);
    const int64_t cpu = std::max<int64_t>(paced.traits.cpu_millis, 1);
    const int64_t least = least_of(paced.traits);
    int64_t& of_image = allowed_cpu[paced.traits.image];
    const int64_t more =
        std::max<int64_t>(std::min({cpu - least, of_image, free_cpu}), 0);
    of_image -= more;
    free_cpu -= more;
    const int64_t granted = least + more;
    const auto percent = static_cast<int>(granted * kWholePercent / cpu);
    const int change = std::abs(paced.percent - percent);
    const bool worth_it = change >= kLeastPaceChange || percent == 0 ||
                          percent == kWholePercent ||
                          paced.percent == kUnknownPercent;
    if (change > 0 && worth_it) OrderPace(run, percent);
  }
}

void Executor::PaceNewFiller(const RunRef& run) {
  const auto it = paced_.find(run);
  if (it == paced_.end() || !it->second.traits.fills) return;
  const int percent = pacer_.PercentOf(it->second.traits.image);
  if (percent < it->second.percent) OrderPace(run, percent);
}

void Executor::OrderPace(const RunRef& run, int percent) {
  Paced& paced = paced_[run];
  paced.percent = percent;
  paced.ordered_at = hooks_.now();
  paced.answered = false;
  pace_lane_.Push(run, {percent}, hooks_.now());
  SendPaces();
}

void Executor::SendPaces() {
  while (const auto next = pace_lane_.TakeNext()) {
    const RunRef& run = next->run;
    const auto it = paced_.find(run);
    if (it == paced_.end()) {  // It has ended meanwhile.
      pace_lane_.OnDone();
      continue;
    }
    it->second.ordered_at = hooks_.now();
    const uint64_t number = ++counts_.paces;
    it->second.last_sent = number;
    runner_.pace({status_.life, epoch_, run, next->call.percent},
                 lifetime_.Guard([this, run, number,
                                  caller = PresentCaller()](RunnerReply reply) {
                   pace_lane_.OnDone();
                   if (IsPresent(caller)) OnPaceReply(run, number, reply);
                   SendPaces();
                 }));
  }
}

void Executor::OnPaceReply(const RunRef& run, uint64_t number,
                           const RunnerReply& reply) {
  NoteClock(reply.clock);
  const auto it = paced_.find(run);
  if (it == paced_.end()) return;
  Paced& paced = it->second;
  const bool newest = number == paced.last_sent;
  if (newest) paced.answered = true;
  // Unknown what it works at: order it again. An older order may have been
  // carried out after a newer one.
  if (!newest || reply.verdict != RunnerVerdict::kDone) {
    paced.percent = kUnknownPercent;
  }
}

void Executor::ReportPressure(const std::vector<ServingSample>& serving,
                              const Pacer::FillingShares& filling,
                              TimePoint now) {
  if (now - pressure_sent_at_ < kPressureInterval) return;
  pressure_sent_at_ = now;
  std::map<std::string, Duration> tails;
  for (const ServingSample& sample : serving) {
    tails[sample.image] = std::max(tails[sample.image], sample.tail);
  }
  VmPressure pressure;
  pressure.epoch = epoch_;
  for (const auto& [image, tail] : tails) {
    pressure.serving.push_back({image, tail});
  }
  for (const auto& [image, share] : filling) {
    const double cpu =
        share.used * static_cast<double>(status_.capacity.cpu_millis);
    pressure.filling.push_back(
        {image, static_cast<int64_t>(cpu), pacer_.PercentOf(image)});
  }
  calm_told_ = owner_link_ && serving.empty() && filling.empty();
  SendToOwner(pressure);
}

void Executor::OnPacePolicy(const PacePolicyNotice& notice) {
  if (notice.policy != pace_policy_) {
    hooks_.log("pace_policy", "", std::string(PacePolicyName(notice.policy)));
  }
  pace_policy_ = notice.policy;
  pacer_.set_policy(pace_policy_);
}

void Executor::OnWeights(const PressureWeights& learned) {
  Pacer::Weights weights;
  for (const PressureWeight& weight : learned.weights) {
    weights[{weight.serving, weight.filling}] = weight.per_vm;
  }
  pacer_.SetWeights(std::move(weights));
}

}  // namespace beamhill
