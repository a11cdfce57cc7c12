#include "beamhill/placement/serving_layout.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

constexpr size_t kMaxImages = 64;  // Bits of a mask.
// Scarcity of an image that may work nowhere is as if it had so many cores.
constexpr double kLeastCores = 1;

}  // namespace

ServingLayout ServingLayout::Create(const Demands& demands,
                                    const HarmHook& harms,
                                    const std::vector<Vm>& vms) {
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [image, cores] : demands) ranked.emplace_back(cores, image);
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > kMaxImages) ranked.resize(kMaxImages);
  ServingLayout layout;
  for (const auto& entry : ranked) layout.filling_.push_back(entry.second);
  std::vector<double> usable(ranked.size(), 0.0);
  for (const Vm& vm : vms) {
    layout.LearnHarms(vm.serving, harms);
    const Mask allowed = layout.AllowedBeside(vm.serving);
    for (size_t i = 0; i < usable.size(); ++i) {
      if ((allowed >> i & 1) != 0) usable[i] += std::max(vm.free_cores, 0.0);
    }
  }
  double total = 0;
  for (size_t i = 0; i < ranked.size(); ++i) {
    const double scarcity = ranked[i].first / std::max(usable[i], kLeastCores);
    layout.importance_.push_back(scarcity);
    total += scarcity;
  }
  if (total > 0) {
    for (double& importance : layout.importance_) importance /= total;
  }
  return layout;
}

void ServingLayout::LearnHarms(const Images& serving, const HarmHook& harms) {
  for (const std::string& image : serving) {
    if (harmed_by_.count(image) > 0) continue;
    Mask mask = 0;
    for (size_t i = 0; i < filling_.size(); ++i) {
      if (harms(filling_[i], image)) mask |= Mask{1} << i;
    }
    harmed_by_[image] = mask;
  }
}

ServingLayout::Mask ServingLayout::AllowedBeside(const Images& serving) const {
  Mask harmed = 0;
  for (const std::string& image : serving) {
    const auto it = harmed_by_.find(image);
    if (it != harmed_by_.end()) harmed |= it->second;
  }
  return ~harmed;
}

double ServingLayout::EffectiveCores(const Images& serving,
                                     double free_cores) const {
  if (free_cores <= 0) return 0;
  const Mask allowed = AllowedBeside(serving);
  double worth = 0;
  for (size_t i = 0; i < importance_.size(); ++i) {
    if ((allowed >> i & 1) != 0) worth += importance_[i];
  }
  return worth * free_cores;
}

}  // namespace beamhill
