#include "beamhill/agent/idempotency_key_store.h"

namespace beamhill {

KeyLookup KeyMemory::Begin(const std::string& key, TimePoint now) {
  DropOld(now);
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    // Forgetting a key early could run it twice, so a full memory refuses.
    if (keys_.size() >= max_keys_) return {KeyState::kFull, nullptr};
    keys_.emplace(key, Entry{});
    return {KeyState::kNew, nullptr};
  }
  if (it->second.in_progress) return {KeyState::kInProgress, nullptr};
  if (it->second.answer == nullptr) return {KeyState::kUnknown, nullptr};
  return {KeyState::kAnswered, it->second.answer};
}

bool KeyMemory::Claim(const std::string& key, TimePoint now) {
  if (Begin(key, now).state != KeyState::kNew) return false;
  End(key, nullptr, now);
  return true;
}

void KeyMemory::Abandon(const std::string& key) { keys_.erase(key); }

void KeyMemory::End(const std::string& key,
                    std::shared_ptr<const KeptAnswer> answer, TimePoint now) {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return;
  it->second.in_progress = false;
  it->second.ended_at = now;
  it->second.answer = std::move(answer);
  ended_.emplace_back(now, key);
}

void KeyMemory::DropOld(TimePoint now) {
  while (!ended_.empty() && ended_.front().first + keep_for_ <= now) {
    // Unless it was released and has begun anew since.
    const auto it = keys_.find(ended_.front().second);
    if (it != keys_.end() && it->second.ended_at == ended_.front().first) {
      keys_.erase(it);
    }
    ended_.pop_front();
  }
}

}  // namespace beamhill
