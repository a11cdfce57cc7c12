#include "beamhill/messages/codec.h"

#include <tuple>
#include <type_traits>

#include "beamhill/messages/internal/cbor_fields.h"
#include "beamhill/messages/internal/message_codec.h"

namespace beamhill {
namespace {

// Lists the fields of each structure in wire order, for encoding and decoding.
// Branches are equal where structures share field names.
// NOLINTBEGIN(bugprone-branch-clone)
struct MessageFields {
  template <typename T>
  static auto Of(T& v) {
    using U = std::remove_const_t<T>;
    if constexpr (std::is_same_v<U, Resources>) {
      return std::tie(v.cpu_millis, v.memory_mib, v.accelerators);
    } else if constexpr (std::is_same_v<U, TaskId>) {
      return std::tie(v.job, v.index);
    } else if constexpr (std::is_same_v<U, Attempt>) {
      return std::tie(v.value);
    } else if constexpr (std::is_same_v<U, JobSpec>) {
      return std::tie(v.id, v.team, v.work_class, v.urgency, v.kind, v.tasks,
                      v.each, v.declared_run);
    } else if constexpr (std::is_same_v<U, TaskOutcome>) {
      return std::tie(v.task, v.attempt, v.kind, v.checkpoint, v.reason);
    } else if constexpr (std::is_same_v<U, RunningTask>) {
      return std::tie(v.task, v.attempt, v.granted);
    } else if constexpr (std::is_same_v<U, Session>) {
      return std::tie(v.incarnation, v.link);
    } else if constexpr (std::is_same_v<U, Fence>) {
      return std::tie(v.epoch, v.session);
    } else if constexpr (std::is_same_v<U, Hello>) {
      return std::tie(v.version, v.shared_key, v.vm, v.region, v.hall, v.rack,
                      v.cell, v.session, v.capacity, v.service, v.slots,
                      v.connections, v.uptime);
    } else if constexpr (std::is_same_v<U, Welcome>) {
      return std::tie(v.entry);
    } else if constexpr (std::is_same_v<U, Heartbeat>) {
      return std::tie(v.fence, v.stamp);
    } else if constexpr (std::is_same_v<U, Grant>) {
      return std::tie(v.fence, v.echoed_stamp, v.term);
    } else if constexpr (std::is_same_v<U, InventoryRequest>) {
      return std::tie(v.cell, v.confirmed, v.number, v.fence);
    } else if constexpr (std::is_same_v<U, Inventory>) {
      return std::tie(v.fence, v.number, v.running, v.outcomes);
    } else if constexpr (std::is_same_v<U, StartTask>) {
      return std::tie(v.index, v.attempt, v.checkpoint);
    } else if constexpr (std::is_same_v<U, StartTasks>) {
      return std::tie(v.fence, v.job, v.tasks);
    } else if constexpr (std::is_same_v<U, StopTask>) {
      return std::tie(v.task, v.attempt);
    } else if constexpr (std::is_same_v<U, StopTasks>) {
      return std::tie(v.fence, v.mode, v.tasks);
    } else if constexpr (std::is_same_v<U, Outcomes>) {
      return std::tie(v.fence, v.outcomes);
    } else if constexpr (std::is_same_v<U, AcknowledgeOutcomes>) {
      return std::tie(v.fence, v.tasks);
    } else if constexpr (std::is_same_v<U, OwnerLost>) {
      return std::tie(v.epoch);
    } else if constexpr (std::is_same_v<U, RunnerReport>) {
      return std::tie(v.in_progress, v.limit, v.ended, v.latency, v.draining);
    } else if constexpr (std::is_same_v<U, RequestStart>) {
      return std::tie(v.id, v.service, v.method, v.target, v.headers,
                      v.idempotency_key, v.key_is_new, v.deadline, v.body);
    } else if constexpr (std::is_same_v<U, RequestCancel>) {
      return std::tie(v.id);
    } else if constexpr (std::is_same_v<U, ResponseStart>) {
      return std::tie(v.id, v.status, v.headers);
    } else if constexpr (std::is_same_v<U, ResponseBytes>) {
      return std::tie(v.id, v.bytes);
    } else if constexpr (std::is_same_v<U, ResponseEnd>) {
      return std::tie(v.id, v.outcome, v.reason);
    } else if constexpr (std::is_same_v<U, ActiveSettings>) {
      return std::tie(v.revision, v.values);
    } else if constexpr (std::is_same_v<U, BatchEvictionRequest>) {
      return std::tie(v.fence);
    } else if constexpr (std::is_same_v<U, KeyClaim>) {
      return std::tie(v.id, v.key);
    } else if constexpr (std::is_same_v<U, KeyClaimed>) {
      return std::tie(v.id, v.is_new);
    } else {
      static_assert(std::is_same_v<U, KeyRelease>);
      return std::tie(v.key);
    }
  }
};

// NOLINTEND(bugprone-branch-clone)

using Codec = messages_internal::CborFields<MessageFields>;

}  // namespace

std::string Encode(const Message& message) {
  return messages_internal::EncodeMessage<Codec>(message);
}

Result<Message> Decode(std::string_view bytes) {
  return messages_internal::DecodeMessage<Codec, Message>(bytes);
}

}  // namespace beamhill
