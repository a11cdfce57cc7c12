#include "beamhill/dispatch/incarnation_name.h"

namespace beamhill {
namespace {

constexpr char kSeparator = '/';

bool HasStartTime(std::string_view incarnation) {
  return incarnation.find(kSeparator) != std::string_view::npos;
}

}  // namespace

std::string IncarnationName(std::string_view runner,
                            std::optional<UnixMillis> started) {
  std::string name(runner);
  if (started) name += kSeparator + std::to_string(started->count());
  return name;
}

std::string RunnerOf(std::string_view incarnation) {
  return std::string(incarnation.substr(0, incarnation.find(kSeparator)));
}

bool MayBeSameIncarnation(std::string_view a, std::string_view b) {
  if (a == b) return true;
  if (HasStartTime(a) && HasStartTime(b)) return false;
  return !a.empty() && RunnerOf(a) == RunnerOf(b);
}

}  // namespace beamhill
