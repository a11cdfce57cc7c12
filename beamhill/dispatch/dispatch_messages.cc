#include "beamhill/dispatch/dispatch_messages.h"

#include "beamhill/messages/internal/cbor_fields.h"
#include "beamhill/messages/internal/message_codec.h"

namespace beamhill {
namespace {

using messages_internal::Json;
using messages_internal::ParseCbor;

// Provides the codec with the fields of each structure, in wire order.
struct DispatchFields {
  template <typename T>
  static auto Of(T& v) {
    using U = std::remove_const_t<T>;
    if constexpr (std::is_same_v<U, Resources>) {
      return std::tie(v.cpu_millis, v.memory_mib, v.accelerators);
    } else {
      return U::Fields(v);
    }
  }
};
using Codec = messages_internal::CborFields<DispatchFields>;

template <typename Record>
std::string EncodeAny(const Record& record) {
  std::string bytes;
  Json::to_cbor(Codec::To(record), bytes);
  return bytes;
}

}  // namespace

std::string_view NotBegunReasonName(NotBegunReason reason) {
  switch (reason) {
    case NotBegunReason::kStopped:
      return "stopped";
    case NotBegunReason::kNoRoom:
      return "no_room";
    case NotBegunReason::kFenced:
      return "fenced";
    case NotBegunReason::kOutdated:
      return "outdated";
    case NotBegunReason::kNotAllowed:
      return "not_allowed";
    case NotBegunReason::kUnhealthy:
      return "unhealthy";
    case NotBegunReason::kUnreachable:
      return "unreachable";
  }
  return "unhealthy";
}

std::string_view PacePolicyName(PacePolicy policy) {
  return policy == PacePolicy::kGuarded ? "guarded" : "cautious";
}

std::string EncodeDispatch(const DispatchMessage& message) {
  return messages_internal::EncodeMessage<Codec>(message);
}

Result<DispatchMessage> DecodeDispatch(std::string_view bytes) {
  return messages_internal::DecodeMessage<Codec, DispatchMessage>(bytes);
}

std::string EncodeRecord(const Workflow& record) { return EncodeAny(record); }
std::string EncodeRecord(const ProgressRecord& record) {
  return EncodeAny(record);
}
std::string EncodeRecord(const OwnerRecord& record) {
  return EncodeAny(record);
}
std::string EncodeRecord(const VmRecord& record) { return EncodeAny(record); }
std::string EncodeRecord(const InterferenceRecord& record) {
  return EncodeAny(record);
}

template <typename Record>
Result<Record> DecodeRecord(std::string_view bytes) {
  Record record;
  if (!Codec::From(ParseCbor(bytes), &record)) {
    return Error{ErrorCode::kInternal,
                 "a stored record does not have the expected fields",
                 "check whether another version of beamhill wrote it"};
  }
  return record;
}

template Result<Workflow> DecodeRecord<Workflow>(std::string_view);
template Result<ProgressRecord> DecodeRecord<ProgressRecord>(std::string_view);
template Result<OwnerRecord> DecodeRecord<OwnerRecord>(std::string_view);
template Result<VmRecord> DecodeRecord<VmRecord>(std::string_view);
template Result<InterferenceRecord> DecodeRecord<InterferenceRecord>(
    std::string_view);

}  // namespace beamhill
