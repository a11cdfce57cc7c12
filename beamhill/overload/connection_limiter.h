// Chooses which connections of a listener to close when there are too many or
// when they hold too much memory.
//
// Clients that follow the protocol are short in each phase of their
// connections, so the connection that has been in its phase for the longest
// time is closed first. A client in conversation can be protected, since its
// connection is old beside those of clients that always connect anew. Reads no
// clock and closes nothing itself.
//
//   ConnectionLimiter limiter(limits);
//   limiter.Add(id, now);
//   while (auto excess = limiter.FindExcess(now)) Close(*excess);
#ifndef BEAMHILL_OVERLOAD_CONNECTION_LIMITER_H_
#define BEAMHILL_OVERLOAD_CONNECTION_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "beamhill/base/time.h"
#include "beamhill/overload/listener_limits.h"

namespace beamhill {

// What the only client of a listener with a small share may hold: a dump of the
// process's state can be larger than such a share.
inline constexpr size_t kMaxBytesAlone = size_t{16} * 1000 * 1000;

class ConnectionLimiter {
 public:
  using Id = uint64_t;
  enum class Reason {
    kConnections,  // More than max_connections are open.
    kBytes,        // All together hold more than max_bytes.
  };
  struct Excess {
    Id id = 0;
    Reason reason = Reason::kConnections;
  };

  explicit ConnectionLimiter(const ListenerLimits& limits) : limits_(limits) {}

  // Adds a connection that holds no bytes. Ids must not be used twice.
  void Add(Id id, TimePoint now) { connections_[id].since = now; }
  void Remove(Id id);
  bool Contains(Id id) const { return connections_.count(id) != 0; }
  // The connection waits for, receives or sends something else from now on.
  void BeginPhase(Id id, TimePoint now) { connections_.at(id).since = now; }
  // The connection is closed after all that are not protected until then.
  void Protect(Id id, TimePoint until) {
    connections_.at(id).protected_until = until;
  }
  // Whether the connection is exempt from being closed, as while its request is
  // handled.
  void SetExempt(Id id, bool exempt) { connections_.at(id).exempt = exempt; }
  // Memory that is held for the connection.
  void SetBytes(Id id, size_t bytes);
  // Memory that is held for requests, whether or not their connections are
  // still open.
  void SetRequestBytes(size_t bytes) { request_bytes_ = bytes; }

  // Whether a limit is exceeded, so that FindExcess may have a result.
  bool IsExceeded() const {
    return connections_.size() > limits_.max_connections ||
           bytes() > limits_.max_bytes;
  }
  // Returns the connection to close next; nullopt if none has to be closed, or
  // if all are exempt. If bytes have to be freed, connections that hold less
  // than the average are spared, and one that alone holds any, up to
  // kMaxBytesAlone.
  std::optional<Excess> FindExcess(TimePoint now) const;

  size_t size() const { return connections_.size(); }
  size_t bytes() const { return bytes_ + request_bytes_; }

 private:
  struct Connection {
    TimePoint since{};
    TimePoint protected_until{};
    size_t bytes = 0;
    bool exempt = false;
  };

  // Returns the oldest connection that is not exempt and holds at least
  // `min_bytes`, of those that are not protected if there are any.
  std::optional<Id> FindOldest(size_t min_bytes, TimePoint now) const;

  ListenerLimits limits_;
  std::map<Id, Connection> connections_;
  size_t bytes_ = 0;  // Of all connections.
  size_t request_bytes_ = 0;
};

}  // namespace beamhill

#endif  // BEAMHILL_OVERLOAD_CONNECTION_LIMITER_H_
