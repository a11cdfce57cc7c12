// Encodes and decodes a message that is an alternative of a variant. Its
// encoding is a CBOR array of its index in the variant and its fields.
//
//   std::string bytes = EncodeMessage<Codec>(message);
//   Result<Message> message = DecodeMessage<Codec, Message>(bytes);
#ifndef BEAMHILL_MESSAGES_INTERNAL_MESSAGE_CODEC_H_
#define BEAMHILL_MESSAGES_INTERNAL_MESSAGE_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "beamhill/base/error.h"
#include "beamhill/messages/internal/cbor_fields.h"
#include "beamhill/messages/internal/cbor_limits.h"

namespace beamhill::messages_internal {

// Returns the encoded message. `Codec` is an instance of CborFields.
template <typename Codec, typename Message>
std::string EncodeMessage(const Message& message) {
  Json array = Json::array({message.index()});
  std::visit([&array](const auto& m) { array.push_back(Codec::To(m)); },
             message);
  std::string bytes;
  Json::to_cbor(array, bytes);
  return bytes;
}

// Decodes `body` as the alternative with index `number`. Returns
// kInvalidArgument if there is none or the fields do not match.
template <typename Codec, typename Message, size_t I = 0>
Result<Message> DecodeAs(size_t number, const Json& body) {
  if constexpr (I == std::variant_size_v<Message>) {
    return Error{ErrorCode::kInvalidArgument, "unknown message type",
                 "run the same version of beamhill on every VM"};
  } else {
    if (number != I) return DecodeAs<Codec, Message, I + 1>(number, body);
    std::variant_alternative_t<I, Message> message;
    if (!Codec::From(body, &message)) {
      return Error{ErrorCode::kInvalidArgument,
                   "malformed fields in message type " + std::to_string(I),
                   "run the same version of beamhill on every VM"};
    }
    return Message(std::move(message));
  }
}

// Decodes a complete message, or returns kInvalidArgument.
template <typename Codec, typename Message>
Result<Message> DecodeMessage(std::string_view bytes) {
  const Json json = IsWithinLimits(bytes) ? ParseCbor(bytes) : Json();
  if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned()) {
    return Error{
        ErrorCode::kInvalidArgument,
        "the bytes are not a message: expected a CBOR array of type and fields",
        ""};
  }
  return DecodeAs<Codec, Message>(json[0].get<size_t>(), json[1]);
}

}  // namespace beamhill::messages_internal

#endif  // BEAMHILL_MESSAGES_INTERNAL_MESSAGE_CODEC_H_
