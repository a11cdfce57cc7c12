#include "beamhill/messages/internal/cbor_limits.h"

#include <array>
#include <cstdint>
#include <optional>

namespace beamhill::messages_internal {
namespace {

// Major types of RFC 8949.
enum Major : unsigned {
  kByteString = 2,
  kTextString = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
};

constexpr unsigned kMajorShift = 5;
constexpr unsigned kArgumentMask = 0x1f;
constexpr unsigned kFirstSizedArgument = 24;  // In one byte, then 2, 4 and 8.
constexpr unsigned kLastSizedArgument = 27;

// Reads the first byte of a value and its argument off `bytes`. Returns nullopt
// if they are incomplete or the length is left open.
struct Head {
  unsigned major = 0;
  uint64_t argument = 0;
};
std::optional<Head> ReadHead(std::string_view& bytes) {
  if (bytes.empty()) return std::nullopt;
  const auto first = static_cast<unsigned char>(bytes[0]);
  bytes.remove_prefix(1);
  Head head{static_cast<unsigned>(first) >> kMajorShift, first & kArgumentMask};
  if (head.argument < kFirstSizedArgument) return head;
  if (head.argument > kLastSizedArgument) return std::nullopt;
  const size_t size = size_t{1} << (head.argument - kFirstSizedArgument);
  if (bytes.size() < size) return std::nullopt;
  head.argument = 0;
  for (size_t i = 0; i < size; ++i) {
    constexpr unsigned kBitsPerByte = 8;
    head.argument =
        head.argument << kBitsPerByte | static_cast<unsigned char>(bytes[i]);
  }
  bytes.remove_prefix(size);
  return head;
}

}  // namespace

bool IsWithinLimits(std::string_view bytes) {
  // Values that are still missing from each open array or map.
  std::array<uint64_t, kMaxCborDepth> missing{};
  size_t depth = 0;
  for (size_t values = 0; values < kMaxCborValues; ++values) {
    const std::optional<Head> head = ReadHead(bytes);
    if (!head || head->major == kTag) return false;
    uint64_t children = 0;
    if (head->major == kByteString || head->major == kTextString) {
      if (head->argument > bytes.size()) return false;
      bytes.remove_prefix(head->argument);
    } else if (head->major == kArray || head->major == kMap) {
      // Each value takes a byte at least.
      if (head->argument > bytes.size()) return false;
      children = head->major == kMap ? 2 * head->argument : head->argument;
    }
    if (children > 0) {
      if (depth == kMaxCborDepth) return false;
      missing[depth++] = children;
      continue;
    }
    while (depth > 0 && --missing[depth - 1] == 0) --depth;
    if (depth == 0) return bytes.empty();
  }
  return false;
}

}  // namespace beamhill::messages_internal
