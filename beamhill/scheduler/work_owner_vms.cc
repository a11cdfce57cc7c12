// WorkOwner's discovery of the VMs' executors and communication with them.
#include <algorithm>
#include <string>
#include <utility>

#include "beamhill/config/config.h"
#include "beamhill/log/log.h"
#include "beamhill/scheduler/work_owner.h"

namespace beamhill {
namespace {

// A VM whose executor has sent no message for this long is asked for its
// inventory, and is redialed if it does not answer pings either.
constexpr Duration kVmLinkTimeout = std::chrono::milliseconds(2500);
constexpr Duration kReattachDelay = std::chrono::milliseconds(300);
// VMs per log line; stays below 4 KiB with the users' names.
constexpr size_t kVmsPerLine = 100;

// Logs many VMs per line: a takeover links hundreds of VMs at once, and the log
// would drop separate lines for them.
void LogVms(LogLevel level, const char* event, std::vector<std::string>& vms) {
  for (size_t first = 0; first < vms.size(); first += kVmsPerLine) {
    const size_t end = std::min(first + kVmsPerLine, vms.size());
    std::string names;
    for (size_t i = first; i < end; ++i) {
      if (!names.empty()) names += " ";
      names += vms[i];
    }
    Log(level, event, {{"count", end - first}, {"vms", names}});
  }
  vms.clear();
}

}  // namespace

void WorkOwner::ScanVms() {
  dispatcher_->RetryAttach();
  Flush();
  if (scanning_vms_) return;
  scanning_vms_ = true;
  table_.scan(rows::kExecutors,
              lifetime_.Guard([this](Result<std::vector<Row>> rows) {
                scanning_vms_ = false;
                if (IsOk(rows)) OnVmRows(ValueOf(rows));
              }));
}

void WorkOwner::ScanLegacyExecutors() {
  table_.scan(rows::kLegacyExecutors,
              lifetime_.Guard([this](Result<std::vector<Row>> rows) {
                if (IsOk(rows)) OnLegacyExecutorRows(ValueOf(rows));
              }));
}

void WorkOwner::OnVmRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const auto record = DecodeRecord<VmRecord>(row.value);
    if (!IsOk(record)) continue;
    const std::string& name = ValueOf(record).vm;
    ConnectIfChanged(ValueOf(record));
    const auto it = vms_.find(name);  // Absent if the address is invalid.
    if (it != vms_.end()) it->second.registered = true;
  }
}

// An upgraded executor has both rows, and only the one of the current version
// follows its address.
void WorkOwner::OnLegacyExecutorRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const auto record = DecodeRecord<VmRecord>(row.value);
    if (!IsOk(record)) continue;
    const auto it = vms_.find(ValueOf(record).vm);
    if (it != vms_.end() && it->second.registered) continue;
    ConnectIfChanged(ValueOf(record));
  }
}

void WorkOwner::ConnectIfChanged(const VmRecord& record) {
  const auto it = vms_.find(record.vm);
  const bool known =
      it != vms_.end() && it->second.record.address == record.address;
  if (!known) Connect(record);
}

void WorkOwner::Connect(const VmRecord& record) {
  const Result<Address> address = ParseAddress(record.address);
  if (!IsOk(address)) {
    Log(LogLevel::kWarning, "bad_row",
        {{"vm", record.vm}, {"error", ErrorOf(address).message}});
    return;
  }
  VmPeer& vm = vms_[record.vm];
  if (vm.peer) dispatcher_->OnLinkDown(record.vm);
  vm.record = record;
  const std::string name = record.vm;
  DialedPeerHooks hooks;
  hooks.on_open = [this, name](DialedPeer&) {
    newly_linked_.push_back(name);
    dispatcher_->OnLinkUp(name);
    Flush();
  };
  hooks.on_message = [this, name](DialedPeer&, const DispatchMessage& message) {
    OnVmMessage(name, message);
  };
  hooks.on_down = [this, name](DialedPeer&, bool was_open) {
    if (was_open) newly_unlinked_.push_back(name);
    dispatcher_->OnLinkDown(name);
  };
  vm.peer = DialedPeer::Dial(loop_, ValueOf(address), std::move(hooks));
}

void WorkOwner::OnVmMessage(const std::string& vm,
                            const DispatchMessage& message) {
  const TimePoint now = BootClock::now();
  RefreshAuthority();
  if (const auto* heartbeat = std::get_if<VmHeartbeat>(&message)) {
    dispatcher_->OnHeartbeat(vm, *heartbeat, now);
    Flush();
    return;
  }
  if (const auto* status = std::get_if<VmStatus>(&message)) {
    dispatcher_->OnStatus(vm, *status, now);
  } else if (const auto* reports = std::get_if<RunReports>(&message)) {
    dispatcher_->OnReports(vm, *reports, now);
  } else if (const auto* interference = std::get_if<VmInterference>(&message)) {
    dispatcher_->OnInterference(vm, *interference);
    return;
  } else if (const auto* inventory = std::get_if<VmInventory>(&message)) {
    if (!dispatcher_->OnInventory(vm, *inventory, now)) {
      Log(LogLevel::kInfo, "inventory_with_unknown_work", {{"vm", vm}});
      ScanMarkers();
      vms_.at(vm).reattach = loop_.After(kReattachDelay, [this, vm] {
        // A link that has closed meanwhile attaches when it opens again.
        if (!vms_.at(vm).peer->is_open()) return;
        dispatcher_->OnLinkUp(vm);
        Flush();
      });
      return;
    }
  }
  ScheduleTick();
}

void WorkOwner::CheckLinks() {
  for (auto& [name, vm] : vms_) {
    vm.peer->CloseIfSilent(kVmLinkTimeout);
    if (vm.peer->SinceMessage() > kVmLinkTimeout) dispatcher_->OnVmSilent(name);
  }
  LogVms(LogLevel::kInfo, "vms_linked", newly_linked_);
  LogVms(LogLevel::kWarning, "vms_unlinked", newly_unlinked_);
}

}  // namespace beamhill
