// What the processor time that serving tasks leave on a VM is worth to tasks
// that fill, by which images serve there.
//
// Pure. A filling image can't work beside a serving image that it harms. A core
// that any filler may use is worth one core; one that only some may use counts
// less, the more so the scarcer the places for the others are.
//
//   ServingLayout layout = ServingLayout::Create(demands, harms, vms);
//   double lost = layout.Worth({"a"}, 8) - layout.Worth({"a", "b"}, 6);
#ifndef BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_
#define BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace beamhill {

class ServingLayout {
 public:
  using Images = std::set<std::string>;
  // Cores that tasks of each filling image would like to have.
  using Demands = std::map<std::string, double>;
  // Whether the filling image can't work beside the serving one.
  using HarmHook = std::function<bool(const std::string& filling,
                                      const std::string& serving)>;

  struct Vm {
    Images serving;
    double free_cores = 0;  // Left for fillers.
  };

  // Without demands nothing is worth anything. Beyond 64 filling images the
  // ones that ask for least are not heeded.
  static ServingLayout Create(const Demands& demands, const HarmHook& harms,
                              const std::vector<Vm>& vms);

  // In cores, at most `free_cores`.
  double EffectiveCores(const Images& serving, double free_cores) const;

 private:
  using Mask = uint64_t;  // A bit for each filling image.

  // The filling images that may work beside all of these.
  Mask AllowedBeside(const Images& serving) const;
  void LearnHarms(const Images& serving, const HarmHook& harms);

  std::vector<std::string> filling_;
  // Part of the worth of a core that each filling image makes up: its demand
  // over the cores that it may use, of the sum of these.
  std::vector<double> importance_;
  std::map<std::string, Mask> harmed_by_;  // By serving image.
};

}  // namespace beamhill

#endif  // BEAMHILL_PLACEMENT_SERVING_LAYOUT_H_
