// Queues that callers submit workflows to, and the services whose VMs run them,
// as the operators' settings define them.
//
//   QueueTable table = ...;
//   const Queue* queue = table.Match("jobs.example", "/batch/5c0e", &rest);
#ifndef BEAMHILL_QUEUES_QUEUE_TABLE_H_
#define BEAMHILL_QUEUES_QUEUE_TABLE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "beamhill/workflow/workflow.h"

namespace beamhill {

// A queue and the requests that are routed to it.
struct Queue {
  std::string name;
  std::string host;         // Host of its requests, without the port.
  std::string path_prefix;  // Ends with '/'.
  std::string service;      // Whose VMs run its workflows.
  QueuePolicy policy;
};

// A group of VMs.
struct Service {
  std::string name;
  // Whether its runners reject runs that exceed their capacity.
  bool enforces_capacity = true;
  // Whether it is a reserve whose VMs are switched off.
  bool spare = false;
};

// The queues and services of one version of the settings.
struct QueueTable {
  uint64_t version = 0;  // 0: no settings have been received yet.
  std::vector<Queue> queues;
  std::vector<Service> services;

  // Returns the queue of the host with the longest matching path prefix, and
  // sets `rest` to the part of the path after it. Returns null if none matches.
  const Queue* Match(std::string_view host, std::string_view path,
                     std::string* rest) const;
};

}  // namespace beamhill

#endif  // BEAMHILL_QUEUES_QUEUE_TABLE_H_
