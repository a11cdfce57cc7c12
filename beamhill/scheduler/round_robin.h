// Passes on a large set in small parts, one after another.
//
//   for (const auto& key : NextInTurn(peers, cursor, 8)) { ... }
#ifndef BEAMHILL_SCHEDULER_ROUND_ROBIN_H_
#define BEAMHILL_SCHEDULER_ROUND_ROBIN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace beamhill {

// At most `most` of the map's keys, each once: those behind `cursor`, then from
// the first one on. Moves the cursor to the last of them.
template <typename Map>
std::vector<typename Map::key_type> NextInTurn(const Map& map,
                                               typename Map::key_type& cursor,
                                               size_t most) {
  std::vector<typename Map::key_type> keys;
  auto it = map.upper_bound(cursor);
  for (size_t left = std::min(most, map.size()); left > 0; --left) {
    if (it == map.end()) it = map.begin();
    keys.push_back(it->first);
    ++it;
  }
  if (!keys.empty()) cursor = keys.back();
  return keys;
}

}  // namespace beamhill

#endif  // BEAMHILL_SCHEDULER_ROUND_ROBIN_H_
