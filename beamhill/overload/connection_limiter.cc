#include "beamhill/overload/connection_limiter.h"

#include <utility>

namespace beamhill {

void ConnectionLimiter::Remove(Id id) {
  const auto it = connections_.find(id);
  if (it == connections_.end()) return;
  bytes_ -= it->second.bytes;
  connections_.erase(it);
}

void ConnectionLimiter::SetBytes(Id id, size_t bytes) {
  Connection& connection = connections_.at(id);
  bytes_ += bytes - connection.bytes;
  connection.bytes = bytes;
}

std::optional<ConnectionLimiter::Id> ConnectionLimiter::FindOldest(
    size_t min_bytes, TimePoint now) const {
  const auto rank = [now](const Connection& connection) {
    return std::pair(connection.protected_until > now, connection.since);
  };
  const Connection* oldest = nullptr;
  std::optional<Id> found;
  for (const auto& [id, connection] : connections_) {
    if (connection.exempt || connection.bytes < min_bytes) continue;
    if (oldest != nullptr && rank(connection) >= rank(*oldest)) continue;
    oldest = &connection;
    found = id;
  }
  return found;
}

std::optional<ConnectionLimiter::Excess> ConnectionLimiter::FindExcess(
    TimePoint now) const {
  if (connections_.size() > limits_.max_connections) {
    if (const auto id = FindOldest(0, now)) {
      return Excess{*id, Reason::kConnections};
    }
  }
  if (bytes() > limits_.max_bytes && bytes_ > 0) {
    // Rounded up, so that no connection without bytes is closed.
    const size_t average = (bytes_ - 1) / connections_.size() + 1;
    const auto id = FindOldest(average, now);
    const bool alone = id && connections_.at(*id).bytes == bytes_;
    if (id && (!alone || bytes_ > kMaxBytesAlone)) {
      return Excess{*id, Reason::kBytes};
    }
  }
  return std::nullopt;
}

}  // namespace beamhill
