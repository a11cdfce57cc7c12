// Error handling by return values.
//
// Every operation that can fail returns a Result<T>, a std::variant of the
// value and an Error. Only a violated invariant terminates the process.
//
//   Result<int> port = ParsePort(text);
//   if (!IsOk(port)) return ErrorOf(port);
//   Listen(ValueOf(port));
#ifndef BEAMHILL_BASE_ERROR_H_
#define BEAMHILL_BASE_ERROR_H_

#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace beamhill {

// The category of an Error. Callers branch on it, never on the message.
enum class ErrorCode {
  kInvalidArgument,    // The input is invalid in any state of the system.
  kNotFound,           // The requested object does not exist.
  kConflict,           // A precondition on a version was not met.
  kResourceExhausted,  // A budget, quota or limit is exhausted.
  kUnavailable,        // Not done; a later retry may succeed.
  kUnknownOutcome,     // The operation may or may not have taken effect.
  kPermissionDenied,   // A key or token is invalid.
  kInternal,           // The peer violated its contract.
};

// Returns the name of a code as logs and JSON responses contain it.
std::string_view ErrorCodeName(ErrorCode code);

// A failure: its category, what happened, and what the user can do about it.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string message;
  std::string action;
};

// The value of an operation that returns nothing on success.
struct Ok {};

template <typename T>
using Result = std::variant<T, Error>;

using Status = Result<Ok>;

template <typename T>
bool IsOk(const Result<T>& result) {
  return result.index() == 0;
}

// Requires IsOk(result).
template <typename T>
T& ValueOf(Result<T>& result) {
  return std::get<0>(result);
}
template <typename T>
const T& ValueOf(const Result<T>& result) {
  return std::get<0>(result);
}
template <typename T>
T&& ValueOf(Result<T>&& result) {
  return std::get<0>(std::move(result));
}

// Requires !IsOk(result).
template <typename T>
const Error& ErrorOf(const Result<T>& result) {
  return std::get<1>(result);
}

// Prints the text and aborts the process if `holds` is false.
void CheckInvariant(bool holds, std::string_view text);

}  // namespace beamhill

#endif  // BEAMHILL_BASE_ERROR_H_
