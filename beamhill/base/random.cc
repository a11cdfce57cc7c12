#include "beamhill/base/random.h"

#include <random>

namespace beamhill {

uint64_t RandomSeed() {
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace beamhill
