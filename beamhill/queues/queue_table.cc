#include "beamhill/queues/queue_table.h"

namespace beamhill {

const Queue* QueueTable::Match(std::string_view host, std::string_view path,
                               std::string* rest) const {
  const std::string_view name = host.substr(0, host.find(':'));
  const Queue* best = nullptr;
  for (const Queue& queue : queues) {
    if (queue.host != name) continue;
    if (path.substr(0, queue.path_prefix.size()) != queue.path_prefix) continue;
    if (best == nullptr ||
        queue.path_prefix.size() > best->path_prefix.size()) {
      best = &queue;
    }
  }
  if (best != nullptr) *rest = path.substr(best->path_prefix.size());
  return best;
}

}  // namespace beamhill
