#include "beamhill/agent/idempotency_key_store.h"

namespace beamhill {

KeyLookup IdempotencyKeyStore::Begin(const std::string& key, TimePoint now) {
  RemoveExpired(now);
  const auto it = keys_.find(key);
  if (it == keys_.end()) {
    // Evicting an unexpired key could execute its request twice, so a full
    // store rejects new keys.
    if (keys_.size() >= max_keys_) return {KeyState::kFull, nullptr};
    keys_.emplace(key, StoredKey{});
    return {KeyState::kNew, nullptr};
  }
  if (it->second.in_progress) return {KeyState::kInProgress, nullptr};
  if (it->second.response == nullptr) return {KeyState::kUnknown, nullptr};
  return {KeyState::kAnswered, it->second.response};
}

bool IdempotencyKeyStore::Claim(const std::string& key, TimePoint now) {
  if (Begin(key, now).state != KeyState::kNew) return false;
  End(key, nullptr, now);
  return true;
}

void IdempotencyKeyStore::MarkNotRun(const std::string& key) {
  keys_.erase(key);
}

void IdempotencyKeyStore::End(const std::string& key,
                              std::shared_ptr<const CachedResponse> response,
                              TimePoint now) {
  const auto it = keys_.find(key);
  if (it == keys_.end()) return;
  it->second.in_progress = false;
  it->second.ended_at = now;
  it->second.response = std::move(response);
  ended_.emplace_back(now, key);
}

void IdempotencyKeyStore::RemoveExpired(TimePoint now) {
  while (!ended_.empty() && ended_.front().first + retention_ <= now) {
    // Keep a key that was removed as not run and has been used again since.
    const auto it = keys_.find(ended_.front().second);
    if (it != keys_.end() && it->second.ended_at == ended_.front().first) {
      keys_.erase(it);
    }
    ended_.pop_front();
  }
}

}  // namespace beamhill
