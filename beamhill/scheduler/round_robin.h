// Iterates over a large map in batches, resuming after the last key returned.
//
//   for (const auto& key : NextRoundRobin(peers, cursor, 8)) { ... }
#ifndef BEAMHILL_SCHEDULER_ROUND_ROBIN_H_
#define BEAMHILL_SCHEDULER_ROUND_ROBIN_H_

#include <algorithm>
#include <cstddef>
#include <vector>

namespace beamhill {

// Returns up to `max_count` distinct keys of `map`, starting after `cursor` and
// wrapping around to the first key. Sets `cursor` to the last key returned, if
// any.
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
