// What became of each idempotency key: at most one run for a key.
//
// Pure. Ended keys are kept for a time and up to a number; answers that are
// short enough are kept whole, to be given again.
//
//   switch (keys.Begin(key, now).state) {
//     case KeyState::kNew: ...run it, then keys.End(key, answer, now);
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
  kNew,         // Not seen before; now in progress.
  kInProgress,  // Runs at this moment.
  kAnswered,    // Ran; `answer` holds what was answered.
  kUnknown,     // Was handed to the runner; its answer is not known whole.
  kFull,        // No room to remember one more key.
};

struct KeptAnswer {
  uint32_t status = 0;
  HeaderList headers;
  std::string body;
};

struct KeyLookup {
  KeyState state = KeyState::kNew;
  std::shared_ptr<const KeptAnswer> answer;
};

class KeyMemory {
 public:
  KeyMemory(Duration keep_for, size_t max_keys)
      : keep_for_(keep_for), max_keys_(max_keys) {}

  bool Knows(const std::string& key) const { return keys_.count(key) > 0; }
  // Looks a key up, and begins it when it is new.
  KeyLookup Begin(const std::string& key, TimePoint now);
  // Remembers a key that another runner is about to run. True when it is new
  // here; false also when there is no room to remember it.
  bool Claim(const std::string& key, TimePoint now);
  // It provably did not run: the key is new again.
  void Abandon(const std::string& key);
  // It ran, and this was answered; a null answer is an unknown one.
  void End(const std::string& key, std::shared_ptr<const KeptAnswer> answer,
           TimePoint now);

  size_t size() const { return keys_.size(); }

 private:
  struct Entry {
    bool in_progress = true;
    TimePoint ended_at{};
    std::shared_ptr<const KeptAnswer> answer;
  };

  void DropOld(TimePoint now);

  Duration keep_for_;
  size_t max_keys_;
  std::map<std::string, Entry> keys_;
  std::deque<std::pair<TimePoint, std::string>> ended_;
};

}  // namespace beamhill

#endif  // BEAMHILL_AGENT_IDEMPOTENCY_KEY_STORE_H_
