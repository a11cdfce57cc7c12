// Passes on a large set in small parts, one after another.
//
//   for (const auto& key : NextRoundRobin(peers, cursor, 8)) { ... }
#ifndef BEAMHILL_SCHEDULER_ROUND_ROBIN_H_
#define BEAMHILL_SCHEDULER_ROUND_ROBIN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace beamhill {

// At max_count `max_count` of the map's keys, each once: those behind `cursor`,
// then from the first one on. Moves the cursor to the last of them.
template <typename Map>
std::vector<typename Map::key_type> NextRoundRobin(
    const Map& map, typename Map::key_type& cursor, size_t max_count) {
  std::vector<typename Map::key_type> keys;
  auto it = map.upper_bound(cursor);
  for (size_t remaining = std::min(max_count, map.size()); remaining > 0;
       --remaining) {
    if (it == map.end()) it = map.begin();
    keys.push_back(it->first);
    ++it;
  }
  if (!keys.empty()) cursor = keys.back();
  return keys;
}

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_ROUND_ROBIN_H_
