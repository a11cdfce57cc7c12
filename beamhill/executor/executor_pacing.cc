// The part of Executor that paces fillers beside serving tasks.
#include <algorithm>
#include <cstdlib>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "beamhill/executor/executor.h"

namespace beamhill {
namespace {

// Changes of a filler's share below this are not worth a call.
constexpr int kLeastPaceChange = 5;
// What a filler works at after a pace order without an answer.
constexpr int kUnknownPercent = -1;
// A sample covers half a second; more often would count it twice.
constexpr Duration kPressureInterval = std::chrono::milliseconds(450);

}  // namespace

void Executor::OnTraits(const RunTraitsList& list) {
  for (const RunTraits& run : list.runs) {
    traits_[run.run] = {run.image, run.fills, run.tail_target, 100};
  }
}

void Executor::Pace(const RunnerView& view, TimePoint now) {
  std::vector<ServingSample> serving;
  Pacer::FillingShares filling;
  std::vector<RunRef> fillers;
  const auto whole =
      static_cast<double>(std::max<int64_t>(status_.capacity.cpu_millis, 1));
  for (const RunningRun& running : view.running) {
    const auto it = traits_.find(running.run);
    if (it == traits_.end()) continue;
    const Traits& traits = it->second;
    if (traits.fills) {
      fillers.push_back(running.run);
      filling[traits.image] += static_cast<double>(running.measure) / whole;
    } else if (running.measure > 0) {
      serving.push_back({traits.image,
                         std::chrono::milliseconds(running.measure),
                         traits.tail_target});
    }
  }
  if (serving.empty() && fillers.empty()) return;
  pacer_.Observe(serving, filling, now);
  ReportPressure(serving, filling, now);
  for (const RunRef& run : fillers) {
    const Traits& traits = traits_[run];
    const int percent = pacer_.PercentOf(traits.image);
    const int change = std::abs(traits.percent - percent);
    const bool worth_it = change >= kLeastPaceChange || percent == 0;
    if (change > 0 && worth_it) OrderPace(run, percent);
  }
}

void Executor::OrderPace(const RunRef& run, int percent) {
  traits_[run].percent = percent;
  ++counts_.paces;
  runner_.pace({status_.life, epoch_, run, percent},
               lifetime_.Guard([this, run](RunnerReply reply) {
                 NoteClock(reply.clock);
                 if (reply.verdict == RunnerVerdict::kDone) return;
                 // Unknown what it works at: order it again.
                 const auto it = traits_.find(run);
                 if (it != traits_.end()) it->second.percent = kUnknownPercent;
               }));
}

void Executor::ReportPressure(const std::vector<ServingSample>& serving,
                              const Pacer::FillingShares& filling,
                              TimePoint now) {
  if (serving.empty() || now - pressure_sent_at_ < kPressureInterval) return;
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
    const double cpu = share * static_cast<double>(status_.capacity.cpu_millis);
    pressure.filling.push_back(
        {image, static_cast<int64_t>(cpu), pacer_.PercentOf(image)});
  }
  SendToOwner(pressure);
}

void Executor::OnWeights(const PressureWeights& learned) {
  Pacer::Weights weights;
  for (const PressureWeight& weight : learned.weights) {
    weights[{weight.serving, weight.filling}] = weight.per_vm;
  }
  pacer_.SetWeights(std::move(weights));
}

}  // namespace beamhill
