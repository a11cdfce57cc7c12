// Client for the platform's HTTP interface: its transactional table and its
// list of VMs. Only this folder knows the paths and JSON formats of that
// interface.
//
//   PlatformClient platform(loop, {"127.0.0.1", 8080}, timeout);
//   platform.table().read({"owner/row"}, [](const auto& rows) { ... });
//   platform.ListVms([](const auto& vms) { ... });
#ifndef BEAMHILL_PLATFORM_HTTP_TABLE_H_
#define BEAMHILL_PLATFORM_HTTP_TABLE_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "beamhill/base/error.h"
#include "beamhill/event/event_loop.h"
#include "beamhill/http/http_client.h"
#include "beamhill/table/table.h"

namespace beamhill {

// One VM of the platform's list. The list may be out of date.
struct ListedVm {
  std::string vm;
  bool leaving = false;  // The platform is about to remove the VM.
};

class PlatformClient {
 public:
  // `timeout` applies to each call.
  PlatformClient(EventLoop& loop, const Address& platform, Duration timeout);
  ~PlatformClient();

  // The returned table must not outlive this client.
  Table table();
  // Fails with kUnavailable when the platform does not answer, and with
  // kInternal when its answer is malformed.
  void ListVms(std::function<void(Result<std::vector<ListedVm>>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace beamhill

#endif  // BEAMHILL_PLATFORM_HTTP_TABLE_H_
