#ifndef SRC_FORWARD_IDLE_CONNECTIONS_H_
#define SRC_FORWARD_IDLE_CONNECTIONS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "include/base/clock.h"
#include "include/base/endpoint.h"
#include "src/forward/pooled_connection.h"

namespace toucanknot {

// The connections of a pool that no exchange uses, by endpoint. Holds nothing
// for an endpoint without connections.
class IdleConnections {
 public:
  // Maximum number of idle connections to one endpoint.
  static constexpr size_t kMaxPerEndpoint = 8;

  // Which idle connections may carry a request.
  struct Query {
    // Used within this time.
    Duration fresh_for = Duration::Max();
    // If not 0, they have not carried a request with this id.
    uint64_t id_hash = 0;
  };

  // Returns a usable connection, or null.
  PooledConnectionPtr Acquire(const Endpoint& endpoint,
                              const Query& query,
                              Instant now);
  // Keeps a connection for reuse, or closes it when there are too many.
  void Keep(PooledConnectionPtr connection);
  // Closes the connections to `endpoint`.
  void Close(const Endpoint& endpoint);
  // Closes the connection that has been idle for longest. Returns false if
  // there is none.
  bool CloseOldest();
  // Closes connections that have been idle for longer than `idle`, and those
  // that are no longer to be used.
  void CloseExpired(Duration idle, Instant now);

  size_t size() const { return size_; }
  // Connections closed here since the start, and those on which the peer had
  // sent bytes that belong to no exchange.
  uint64_t discarded() const { return discarded_; }
  uint64_t surplus_bytes() const { return surplus_bytes_; }

 private:
  using List = std::deque<PooledConnectionPtr>;

  // The most recently used connection that matches; removes unusable ones.
  PooledConnectionPtr Take(List& list, const Query& query, Instant now);

  std::map<Endpoint, List> by_endpoint_;
  size_t size_ = 0;
  uint64_t discarded_ = 0;
  uint64_t surplus_bytes_ = 0;
};

}  // namespace toucanknot

#endif  // SRC_FORWARD_IDLE_CONNECTIONS_H_
