// Limits of the shape of a CBOR message, to be checked before it is decoded:
// the decoder recurses into nested values, and each value takes many times its
// encoded size in memory.
//
//   if (!IsWithinLimits(bytes)) return MalformedMessage();
#ifndef BEAMHILL_MESSAGES_INTERNAL_CBOR_LIMITS_H_
#define BEAMHILL_MESSAGES_INTERNAL_CBOR_LIMITS_H_

#include <cstddef>
#include <string_view>

namespace beamhill::messages_internal {

// Arrays in arrays, and values in all, of one message. A caller's job has fewer
// values than half of the bytes of its body, which has 256 KiB at most.
inline constexpr size_t kMaxCborDepth = 32;
inline constexpr size_t kMaxCborValues = size_t{256} * 1024;

// Returns whether the bytes are one value within these limits, encoded as
// beamhill does it: without tags and with all lengths given.
bool IsWithinLimits(std::string_view bytes);

}  // namespace beamhill::messages_internal

#endif  // BEAMHILL_MESSAGES_INTERNAL_CBOR_LIMITS_H_
