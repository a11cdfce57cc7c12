// Encodes messages to CBOR and decodes them.
//
// A message is a CBOR array of its index in the Message variant and the array
// of its fields. Fields are identified by position instead of by name, which
// keeps a heartbeat under 60 bytes.
//
//   link.Send(Encode(Heartbeat{fence, BootClock::now()}));
//   Result<Message> message = Decode(frame);
#ifndef BEAMHILL_MESSAGES_CODEC_H_
#define BEAMHILL_MESSAGES_CODEC_H_

#include <string>
#include <string_view>

#include "beamhill/base/error.h"
#include "beamhill/messages/messages.h"

namespace beamhill {

std::string Encode(const Message& message);

// Returns kInvalidArgument unless `bytes` are exactly one message with a known
// index, the right number of fields and the right types.
Result<Message> Decode(std::string_view bytes);

}  // namespace beamhill

#endif  // BEAMHILL_MESSAGES_CODEC_H_
