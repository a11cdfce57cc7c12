// Values the CPU that serving tasks leave free on a VM for best-effort tasks,
// given which images serve there.
//
// Reads no clock and does no I/O. A best-effort image can't run beside a
// serving image that it interferes with. A free core that all best-effort
// images may use counts as one core. A core that only some may use counts less,
// the more so the scarcer the cores for the excluded images are.
//
//   ServingLayout layout = ServingLayout::Create(demands, interferes, vms);
//   double lost = layout.EffectiveCores({"a"}, 8) -
//                 layout.EffectiveCores({"a", "b"}, 6);
#ifndef BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_
#define BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace beamhill {

// Holds the weights of the best-effort images at one time.
class ServingLayout {
 public:
  using Images = std::set<std::string>;
  // The cores that tasks of each best-effort image request.
  using Demands = std::map<std::string, double>;
  // Whether the best-effort image interferes too much with the serving image to
  // run beside it.
  using InterferencePredicate = std::function<bool(
      const std::string& best_effort, const std::string& serving)>;

  struct VmCores {
    Images serving;
    double free_cores = 0;  // Not used by serving tasks.
  };

  // Without demands every value is 0. Of more than 64 best-effort images, those
  // with the lowest demand are ignored.
  static ServingLayout Create(const Demands& demands,
                              const InterferencePredicate& interferes,
                              const std::vector<VmCores>& vms);

  // Returns the value of a VM's free cores beside these serving images, in
  // cores and at most `free_cores`.
  double EffectiveCores(const Images& serving, double free_cores) const;

 private:
  using Mask = uint64_t;  // A bit for each best-effort image.

  // Returns the best-effort images that may run beside all of these.
  Mask AllowedWith(const Images& serving) const;
  void AddInterference(const Images& serving,
                       const InterferencePredicate& interferes);

  std::vector<std::string> images_;  // Best-effort images, by bit of a mask.
  // Part of a core's value that each best-effort image contributes: its demand
  // over the cores that it may use, normalised to a sum of 1.
  std::vector<double> image_weights_;
  std::map<std::string, Mask> interfering_;  // By serving image.
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_
