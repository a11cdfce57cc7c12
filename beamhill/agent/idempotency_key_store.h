// Idempotency keys of one runner: executes each key at most once.
//
// Performs no I/O and reads no clock. Completed keys are kept for a retention
// time, up to a maximum number of keys; a response that is small enough to be
// cached is replayed to later requests with the same key.
//
//   switch (keys.Begin(key, now).state) {
//     case KeyState::kNew:
//       // Execute the request, then:
//       keys.End(key, response, now);
#ifndef BEAMHILL_AGENT_IDEMPOTENCY_KEY_STORE_H_
#define BEAMHILL_AGENT_IDEMPOTENCY_KEY_STORE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "beamhill/base/time.h"
#include "beamhill/messages/messages.h"

namespace beamhill {

enum class KeyState : uint8_t {
  kNew,         // Not seen before; now recorded as in progress.
  kInProgress,  // The request is being executed.
  kAnswered,    // Executed; `response` holds the response.
  kUnknown,     // Sent to the runner or claimed; no complete response is kept.
  kFull,        // Not recorded: the store is at its maximum size.
};

// A complete response that is replayed to repeated requests.
struct CachedResponse {
  uint32_t status = 0;
  HeaderList headers;
  std::string body;
};

// Result of a lookup. `response` is set only in state kAnswered.
struct KeyLookup {
  KeyState state = KeyState::kNew;
  std::shared_ptr<const CachedResponse> response;
};

// Maps idempotency keys to the state of their request. Not thread-safe.
class IdempotencyKeyStore {
 public:
  IdempotencyKeyStore(Duration retention, size_t max_keys)
      : retention_(retention), max_keys_(max_keys) {}

  bool ContainsKey(const std::string& key) const {
    return keys_.count(key) > 0;
  }
  // Looks up a key, and records it as in progress if it is new.
  KeyLookup Begin(const std::string& key, TimePoint now);
  // Records a key that another runner is about to execute. Returns true if the
  // key was new; false if it was known, or if the store is full.
  bool Claim(const std::string& key, TimePoint now);
  // Removes a key whose request provably did not run, so that it counts as new.
  void MarkNotRun(const std::string& key);
  // Records that the request of `key` ended. A null `response` means that its
  // outcome is unknown or its response was not cached. No effect on a key that
  // the store does not contain.
  void End(const std::string& key,
           std::shared_ptr<const CachedResponse> response, TimePoint now);

  size_t size() const { return keys_.size(); }

 private:
  struct StoredKey {
    bool in_progress = true;
    TimePoint ended_at{};
    std::shared_ptr<const CachedResponse> response;
  };

  void RemoveExpired(TimePoint now);

  Duration retention_;
  size_t max_keys_;
  std::map<std::string, StoredKey> keys_;
  // Keys whose requests ended, in order of their end, for expiry.
  std::deque<std::pair<TimePoint, std::string>> ended_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_IDEMPOTENCY_KEY_STORE_H_
