#include "beamhill/placement/serving_layout.h"

#include <algorithm>
#include <utility>

namespace beamhill {
namespace {

constexpr size_t kMaxImages = 64;  // Bits of a mask.
// Lower bound of the cores that an image may use, for images that may run
// nowhere.
constexpr double kMinUsableCores = 1;

}  // namespace

ServingLayout ServingLayout::Create(const Demands& demands,
                                    const InterferencePredicate& interferes,
                                    const std::vector<VmCores>& vms) {
  std::vector<std::pair<double, std::string>> ranked;
  for (const auto& [image, cores] : demands) ranked.emplace_back(cores, image);
  std::sort(ranked.rbegin(), ranked.rend());
  if (ranked.size() > kMaxImages) ranked.resize(kMaxImages);
  ServingLayout layout;
  for (const auto& entry : ranked) layout.images_.push_back(entry.second);
  std::vector<double> usable(ranked.size(), 0.0);
  for (const VmCores& vm : vms) {
    layout.AddInterference(vm.serving, interferes);
    const Mask allowed = layout.AllowedWith(vm.serving);
    for (size_t i = 0; i < usable.size(); ++i) {
      if ((allowed >> i & 1) != 0) usable[i] += std::max(vm.free_cores, 0.0);
    }
  }
  double total = 0;
  for (size_t i = 0; i < ranked.size(); ++i) {
    const double scarcity =
        ranked[i].first / std::max(usable[i], kMinUsableCores);
    layout.image_weights_.push_back(scarcity);
    total += scarcity;
  }
  if (total > 0) {
    for (double& weight : layout.image_weights_) weight /= total;
  }
  return layout;
}

void ServingLayout::AddInterference(const Images& serving,
                                    const InterferencePredicate& interferes) {
  for (const std::string& image : serving) {
    if (interfering_.count(image) > 0) continue;
    Mask mask = 0;
    for (size_t i = 0; i < images_.size(); ++i) {
      if (interferes(images_[i], image)) mask |= Mask{1} << i;
    }
    interfering_[image] = mask;
  }
}

ServingLayout::Mask ServingLayout::AllowedWith(const Images& serving) const {
  Mask interfering = 0;
  for (const std::string& image : serving) {
    const auto it = interfering_.find(image);
    if (it != interfering_.end()) interfering |= it->second;
  }
  return ~interfering;
}

double ServingLayout::EffectiveCores(const Images& serving,
                                     double free_cores) const {
  if (free_cores <= 0) return 0;
  const Mask allowed = AllowedWith(serving);
  double value = 0;
  for (size_t i = 0; i < image_weights_.size(); ++i) {
    if ((allowed >> i & 1) != 0) value += image_weights_[i];
  }
  return value * free_cores;
}

}  // namespace beamhill
