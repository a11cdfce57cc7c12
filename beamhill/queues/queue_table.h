// The queues that callers submit to, and the services whose VMs run their
// work: the part of the operators' settings that requests are judged by.
//
//   QueueTable table = ...;
//   const Queue* queue = table.Match("nony24.example", "/lohu930/5c0e", &rest);
#ifndef BEAMHILL_QUEUES_QUEUE_TABLE_H_
#define BEAMHILL_QUEUES_QUEUE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "beamhill/workflow/workflow.h"

namespace beamhill {

struct Queue {
  std::string name;
  std::string host;         // Of the requests; compared without its port.
  std::string path_prefix;  // Ends with '/'.
  std::string service;
  QueuePolicy policy;
};

struct Service {
  std::string name;
  // Whether its runners refuse what exceeds their room.
  bool enforces_capacity = true;
  // A reserve whose VMs are off.
  bool spare = false;
};

struct QueueTable {
  uint64_t version = 0;  // 0: nothing has been heard yet.
  std::vector<Queue> queues;
  std::vector<Service> services;

  // The queue of the host with the longest prefix of the path, or null.
  // `rest` gets what follows the prefix.
  const Queue* Match(std::string_view host, std::string_view path,
                     std::string* rest) const;
};

}  // namespace beamhill

#endif  // BEAMHILL_QUEUES_QUEUE_TABLE_H_
