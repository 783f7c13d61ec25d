#include "src/forward/idle_connections.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/http/send_window.h"

namespace toucanknot {
namespace {

bool HasCarried(const PooledConnection& connection, uint64_t id_hash) {
  const auto contains = [id_hash](const auto& ids) {
    return std::find(ids.begin(), ids.end(), id_hash) != ids.end();
  };
  return contains(connection.carried) || contains(connection.refused);
}

}  // namespace

PooledConnectionPtr IdleConnections::Acquire(const Endpoint& endpoint,
                                             const Query& query,
                                             Instant now) {
  const auto it = by_endpoint_.find(endpoint);
  if (it == by_endpoint_.end())
    return nullptr;
  PooledConnectionPtr taken = Take(it->second, query, now);
  if (it->second.empty())
    by_endpoint_.erase(it);
  return taken;
}

PooledConnectionPtr IdleConnections::Take(List& list,
                                          const Query& query,
                                          Instant now) {
  // The most recently used connection is the most likely to be alive.
  for (size_t i = list.size(); i-- > 0;) {
    const auto at = list.begin() + static_cast<ptrdiff_t>(i);
    PooledConnection& connection = **at;
    uint64_t surplus = 0;
    if (now >= connection.idle_until || connection.IsUnusable(surplus)) {
      surplus_bytes_ += surplus;
      ++discarded_;
      --size_;
      list.erase(at);
      continue;
    }
    // The remaining ones are older still.
    if (now - connection.last_used > query.fresh_for)
      return nullptr;
    if (query.id_hash != 0 && HasCarried(connection, query.id_hash))
      continue;
    // The peer responded before it read the whole request and may read the rest
    // yet; another request would wait behind it.
    if (HasUnacknowledged(connection.stream.socket().native_handle()))
      continue;
    PooledConnectionPtr taken = std::move(*at);
    list.erase(at);
    --size_;
    return taken;
  }
  return nullptr;
}

void IdleConnections::Keep(PooledConnectionPtr connection) {
  List& list = by_endpoint_[connection->endpoint];
  if (list.size() >= kMaxPerEndpoint)
    return;
  list.push_back(std::move(connection));
  ++size_;
}

void IdleConnections::Close(const Endpoint& endpoint) {
  const auto it = by_endpoint_.find(endpoint);
  if (it == by_endpoint_.end())
    return;
  size_ -= it->second.size();
  discarded_ += it->second.size();
  by_endpoint_.erase(it);
}

bool IdleConnections::CloseOldest() {
  const auto oldest = std::min_element(by_endpoint_.begin(), by_endpoint_.end(),
                                       [](const auto& a, const auto& b) {
                                         return a.second.front()->last_used <
                                                b.second.front()->last_used;
                                       });
  if (oldest == by_endpoint_.end())
    return false;
  oldest->second.pop_front();
  if (oldest->second.empty())
    by_endpoint_.erase(oldest);
  ++discarded_;
  --size_;
  return true;
}

void IdleConnections::CloseExpired(Duration idle, Instant now) {
  for (auto it = by_endpoint_.begin(); it != by_endpoint_.end();) {
    const size_t closed = std::erase_if(it->second, [&](const auto& c) {
      return now - c->last_used > idle || now >= c->idle_until;
    });
    discarded_ += closed;
    size_ -= closed;
    it = it->second.empty() ? by_endpoint_.erase(it) : std::next(it);
  }
}

}  // namespace toucanknot
